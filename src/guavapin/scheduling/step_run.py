"""State of one step of a job: its subtasks that are done, running or waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import Subtask
from guavapin.scheduling.record import StepProgress

if TYPE_CHECKING:
    from guavapin.jobs.model import Step
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.run import LostRun
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.tickets import Ticket

StepKey = tuple[int, int]

# Delay before a long-running subtask that ended by itself starts again. It is doubled
# with each further end up to the maximum, so that a subtask that fails at once does not
# restart in a tight loop.
RESTART_DELAY_MS = 50
MAX_RESTART_DELAY_MS = 1_000


class StepRun:
    """One step of one occurrence of a job; only the scheduler changes it.

    Its subtasks may start once `is_open` is set. A step that is not open yet is created
    when a host lists a run of it: an earlier scheduler saw the preceding steps done,
    and this one has not received their ends yet.
    """

    def __init__(self, job_run: JobRun, key: StepKey, step: Step) -> None:
        self.job_run = job_run
        self.key = key
        self.step = step
        self.is_open = False
        # Raised by each change of the runs and of the waiting and done subtasks.
        self.version = 0
        # Version and progress at the last call of `progress`.
        self._progress = -1, StepProgress()
        # Position among the steps of the term in order of their opening.
        self.number = 0
        # Time at which the step was given a turn before other work, 0 without one.
        self.turn_ms = 0
        self.done: set[int] = set()
        # Numbers of the attempts that failed, by subtask.
        self.failures: dict[int, set[int]] = {}
        self.saved: dict[int, str] = {}
        self.runs: dict[int, list[Run]] = {}
        self.waiting: set[int] = set(range(step.count))
        # Earliest start of a delayed subtask.
        self.not_before_ms: dict[int, int] = {}
        self.restart_counts: dict[int, int] = {}
        self.last_attempt: dict[int, int] = {}
        # Last run of each subtask that was given up without a reported end.
        self.lost: dict[int, LostRun] = {}
        # Last ticket for each executor.
        self.tickets: dict[str, Ticket] = {}
        self.refused_hosts: set[str] = set()
        self.next_advice_request_ms = 0

    @property
    def is_done(self) -> bool:
        """Whether every subtask has ended as done."""
        return len(self.done) == self.step.count

    def subtask(self, index: int) -> Subtask:
        """Return the identity of the subtask with this index."""
        return Subtask(self.job_run.job.job_id, self.key[0], self.key[1], index)

    def count_runs_on(self, executor_id: str) -> int:
        """Count the step's runs on a host, including those that are being stopped."""
        return sum(
            run.executor_id == executor_id
            for runs in self.runs.values()
            for run in runs
        )

    def wanted_runs(self, index: int) -> list[Run]:
        """Return the runs of a subtask that are not being stopped."""
        return [run for run in self.runs.get(index, ()) if run.is_wanted]

    def needs_run(self, index: int) -> bool:
        """Return whether a subtask is to run and no wanted run of it is known."""
        is_open = not self.job_run.state.is_final and index not in self.done
        return is_open and not self.wanted_runs(index)

    def add(self, index: int, run: Run) -> None:
        """Add a run; its subtask no longer waits."""
        self.version += 1
        self.runs.setdefault(index, []).append(run)
        self.last_attempt[index] = max(self.last_attempt.get(index, 0), run.attempt)
        self.waiting.discard(index)

    def remove(self, index: int, run: Run) -> None:
        """Remove a run; an unfinished subtask without another run waits again."""
        self.version += 1
        runs = self.runs.get(index, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs.pop(index, None)
        if index not in self.done and not runs:
            self.waiting.add(index)

    def mark_done(self, index: int) -> None:
        """Mark a subtask as done; in a gang, all of them."""
        self.version += 1
        indexes = range(self.step.count) if self.step.is_gang else (index,)
        for number in indexes:
            self.done.add(number)
            self.waiting.discard(number)

    def add_waiting(self, index: int) -> None:
        """Let a subtask wait for a copy beside its run."""
        self.version += 1
        self.waiting.add(index)

    def record_failure(self, index: int, attempt: int) -> int:
        """Record a failed attempt; return the failures of the subtask, or of the gang.

        An attempt counts once, however often its end is listed.
        """
        self.version += 1
        index = 0 if self.step.is_gang else index
        attempts = self.failures.setdefault(index, set())
        attempts.add(attempt)
        return len(attempts)

    def saved_value(self, index: int) -> str:
        """Return the value from which a subtask resumes, "" if it has none."""
        return self.saved.get(0 if self.step.is_gang else index, "")

    def record_saved(self, index: int, saved: str) -> None:
        """Replace the saved value, unless the new one is empty."""
        if saved:
            self.version += 1
            self.saved[0 if self.step.is_gang else index] = saved

    def progress(self) -> StepProgress:
        """Return the progress of the step, built again only after a change."""
        version, stored = self._progress
        if version != self.version:
            stored = StepProgress(
                _encode_indexes(self.done, self.step.count),
                tuple(
                    (index, tuple(sorted(attempts)))
                    for index, attempts in self.failures.items()
                ),
                tuple(self.saved.items()),
            )
            self._progress = self.version, stored
        return stored

    def restore(self, progress: StepProgress) -> None:
        """Restore the subtasks from stored progress."""
        for index in _decode_indexes(progress.done, self.step.count):
            self.done.add(index)
            self.waiting.discard(index)
        self.failures = {index: set(attempts) for index, attempts in progress.failures}
        self.saved = dict(progress.saved)

    def delay_restart(self, index: int, now_ms: int) -> None:
        """Delay the next start of a long-running subtask that ended by itself."""
        count = self.restart_counts.get(index, 0)
        self.restart_counts[index] = count + 1
        delay_ms = min(RESTART_DELAY_MS * 2 ** min(count, 10), MAX_RESTART_DELAY_MS)
        self.not_before_ms[index] = now_ms + delay_ms

    def absent_count(self) -> int:
        """Count the subtasks without a wanted run at 100 percent."""
        working = sum(
            any(run.percent >= 100 and run.is_wanted for run in runs)
            for runs in self.runs.values()
        )
        return self.step.count - working


def _encode_indexes(indexes: set[int], count: int) -> bytes:
    if not indexes:
        return b""
    bits = bytearray((count + 7) // 8)
    for index in indexes:
        bits[index >> 3] |= 1 << (index & 7)
    return bytes(bits)


def _decode_indexes(bits: bytes, count: int) -> list[int]:
    number = int.from_bytes(bits, "little")
    return [index for index in range(count) if number >> index & 1]
