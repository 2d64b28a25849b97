"""How long subtasks of a queue take, learned from their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Step
    from guavapin.scheduling.job_run import StepRun

# Weight of the newest end. Callers' estimates are off by up to nine tenths, and what a
# queue runs changes slowly.
NEWEST_WEIGHT = 0.05

# Ends of a queue from which on its learned time counts.
MIN_RUNS = 5


class RunTimes:
    """Mean run times by queue, in milliseconds; owned by the scheduler."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, queue: str, run_ms: int) -> None:
        """Take the time of a run that ended as done."""
        count = self._counts.get(queue, 0) + 1
        weight = max(NEWEST_WEIGHT, 1 / count)
        mean_ms = self._mean_ms.get(queue, 0.0)
        self._mean_ms[queue] = mean_ms + weight * (run_ms - mean_ms)
        self._counts[queue] = count

    def expected_ms(self, step_run: StepRun) -> int:
        """Return how long a subtask of a step is expected to run."""
        return self.expected_step_ms(step_run.job_run.job, step_run.step)

    def work(self, job: Job) -> int:
        """Return a job's work, in thousandths of a core times seconds.

        Work without an end does not count.
        """
        return sum(
            step.count
            * step.reserved.cpu_millis
            * self.expected_step_ms(job, step)
            // 1_000
            for step in job.steps
            if not step.is_long_running
        )

    def expected_step_ms(self, job: Job, step: Step) -> int:
        """Return how long a subtask of a step of a job is expected to run."""
        queue = job.queue
        estimate_ms = step.estimate_ms
        if self._counts.get(queue, 0) < MIN_RUNS:
            return estimate_ms
        return max(estimate_ms, round(self._mean_ms[queue]))
