"""State of one job: its subtasks that are done, running or waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Subtask
from guavapin.scheduling.record import Progress
from guavapin.scheduling.record import StepProgress
from guavapin.scheduling.run_pools import RunPools

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Step
    from guavapin.scheduling.run import LostRun
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.tickets import Ticket

StepKey = tuple[int, int]

# Delay before a long-running subtask that ended by itself starts again. It is doubled
# with each further end up to the maximum, so that a subtask that fails at once does not
# restart in a tight loop.
RESTART_DELAY_MS = 50
MAX_RESTART_DELAY_MS = 1_000


_NO_PROGRESS = StepProgress()


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


class JobRun:
    """A job with its known steps; only the scheduler changes it.

    `visible_state` is the state that callers see: a final state appears in it only once
    it is stored. `is_inherited` is set if an earlier scheduler may have started
    subtasks of the job.
    """

    def __init__(self, job: Job, now_ms: int, is_inherited: bool) -> None:
        self.job = job
        self.state = JobState.QUEUED
        self.visible_state = JobState.QUEUED
        self.accepted_ms = now_ms
        self.is_inherited = is_inherited
        self.run_pools = RunPools.of(job.service)
        self.steps: dict[StepKey, StepRun] = {}
        self.done_steps: set[StepKey] = set()
        # Numbers of the steps that have not opened, by occurrences that are due, and
        # the first occurrence that is not due yet.
        self._unopened: dict[int, list[int]] = {}
        self._next_occurrence = 0
        self.ended_wall_ms = 0
        # Monotonic time of the end in this term.
        self.ended_ms = 0
        self._remaining_ms: tuple[int, ...] = ()
        self.critical_path_ms = 0
        self.expect([step.estimate_ms for step in job.steps])
        followed = {number for step in job.steps for number in step.after}
        self._last_steps = frozenset(range(len(job.steps))) - followed
        self.work = sum(
            step.count * step.need.cpu_millis * step.estimate_ms for step in job.steps
        )

    def expect(self, steps_ms: Sequence[int]) -> None:
        """Set the expected run time of a subtask of each step, in milliseconds.

        It must not change while a step waits, since the order depends on it.
        """
        self._remaining_ms = _remaining_ms(self.job, steps_ms)
        self.critical_path_ms = max(self._remaining_ms, default=0)

    def is_last_step(self, step: int) -> bool:
        """Return whether no other step follows a step."""
        return step in self._last_steps

    def remaining_ms(self, step: int) -> int:
        """Return the expected time from the start of a step to the end of the job."""
        return self._remaining_ms[step]

    def mark_started(self) -> None:
        """Set the state to running if the job was queued."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        if self.visible_state is JobState.QUEUED:
            self.visible_state = JobState.RUNNING

    def open_steps(self, wall_ms: int) -> list[StepRun]:
        """Open the steps whose occurrence is due and whose predecessors are done.

        Only the newly opened steps are returned.
        """
        while self._next_occurrence < self.job.occurrences:
            if wall_ms < self.job.due_ms(self._next_occurrence):
                break
            self._unopened[self._next_occurrence] = [*range(len(self.job.steps))]
            self._next_occurrence += 1
        opened = []
        for occurrence, numbers in [*self._unopened.items()]:
            ready = [n for n in numbers if self._may_open(occurrence, n)]
            if len(ready) == len(numbers):
                del self._unopened[occurrence]
            elif ready:
                self._unopened[occurrence] = [n for n in numbers if n not in ready]
            for number in ready:
                step_run = self.step_run((occurrence, number))
                assert step_run is not None
                step_run.is_open = True
                opened.append(step_run)
        return opened

    def _may_open(self, occurrence: int, number: int) -> bool:
        predecessors = self.job.steps[number].after
        return all((occurrence, other) in self.done_steps for other in predecessors)

    def step_run(self, key: StepKey) -> StepRun | None:
        """Return a step, open or not, creating it; None if the job has no such step."""
        occurrence, number = key
        if not 0 <= number < len(self.job.steps):
            return None
        if not 0 <= occurrence < self.job.occurrences:
            return None
        if key not in self.steps:
            self.steps[key] = StepRun(self, key, self.job.steps[number])
        return self.steps[key]

    @property
    def is_complete(self) -> bool:
        """Whether every step of every occurrence is done."""
        return len(self.done_steps) == self.job.occurrences * len(self.job.steps)

    def restore(self, progress: Progress) -> None:
        """Restore the state and the steps from stored progress."""
        self.state = self.visible_state = progress.state
        self.ended_wall_ms = progress.ended_ms
        if progress.run_pools:
            self.run_pools = RunPools.of(*progress.run_pools)
        for (occurrence, number), stored in progress.steps:
            key = (occurrence, number)
            step_run = self.step_run(key)
            if step_run is None:
                continue
            for index in _decode_indexes(stored.done, step_run.step.count):
                step_run.done.add(index)
                step_run.waiting.discard(index)
            step_run.failures = {
                index: set(attempts) for index, attempts in stored.failures
            }
            step_run.saved = dict(stored.saved)
            if step_run.is_done:
                self.done_steps.add(key)

    def runs(self) -> Iterator[Run]:
        """Yield the known runs of the job, wanted or not."""
        for step_run in self.steps.values():
            for runs in step_run.runs.values():
                yield from runs

    def add_run_pool(self, pool: str, in_use: frozenset[str]) -> None:
        """Add a pool on which subtasks are to start, and drop those not `in_use`."""
        self.run_pools = self.run_pools.add(pool, in_use)
        for step_run in self.steps.values():
            step_run.version += 1

    @property
    def has_runs(self) -> bool:
        """Whether a run of the job is known, wanted or not."""
        return any(step_run.runs for step_run in self.steps.values())

    @property
    def has_wanted_runs(self) -> bool:
        """Whether a run of the job is known that is not being stopped."""
        return any(run.is_wanted for run in self.runs())

    def _running(self, may_have_unseen_runs: bool) -> Resources:
        """Return the needs of all runs, and of those that a predecessor may have begun.

        Of a subtask that allows copies, a predecessor may have begun two.
        """
        total = Resources()
        for run in self.runs():
            total = total.plus(run.need)
        if not (self.is_inherited and may_have_unseen_runs):
            return total
        for occurrence in range(self.job.occurrences):
            for number, step in enumerate(self.job.steps):
                known = self.steps.get((occurrence, number))
                count = step.count
                if known is not None:
                    seen = known.last_attempt.keys()
                    count -= len(seen if step.is_gang else seen | known.done)
                for _ in range(count * (2 if step.allows_copies else 1)):
                    total = total.plus(step.need)
        return total

    def progress(self, may_have_unseen_runs: bool = False) -> Progress:
        """Return the progress to store; once the job has ended, without its steps.

        With `may_have_unseen_runs`, hosts may run subtasks of an inherited job that are
        not known here.
        """
        steps = []
        running = Resources()
        if self.state.is_final and self.job.organisation:
            running = self._running(may_have_unseen_runs)
        if not self.state.is_final:
            for key, step_run in self.steps.items():
                stored = step_run.progress()
                if stored != _NO_PROGRESS:
                    steps.append((key, stored))
        job = self.job
        queue = job.queue if job.organisation else ""
        pools = self.run_pools.names
        is_named = not self.state.is_final and pools != {job.service}
        return Progress(
            self.state,
            tuple(steps),
            self.ended_wall_ms,
            job.organisation,
            queue,
            running,
            tuple(sorted(pools)) if is_named else (),
        )


def _remaining_ms(job: Job, steps_ms: Sequence[int]) -> tuple[int, ...]:
    """Return for each step the expected time of the longest chain that begins with it.

    A step only names earlier steps as predecessors, so that one pass from the last step
    to the first is enough.
    """
    remaining = [*steps_ms]
    for number in reversed(range(len(job.steps))):
        for predecessor in job.steps[number].after:
            path_ms = steps_ms[predecessor] + remaining[number]
            remaining[predecessor] = max(remaining[predecessor], path_ms)
    return tuple(remaining)


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
