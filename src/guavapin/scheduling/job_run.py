"""State of one job: its steps, and which of them may run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.scheduling.record import Progress
from guavapin.scheduling.record import StepProgress
from guavapin.scheduling.run_pools import RunPools
from guavapin.scheduling.step_run import StepRun

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from guavapin.jobs.model import Job
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.step_run import StepKey

_NO_PROGRESS = StepProgress()


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
            step_run.restore(stored)
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
