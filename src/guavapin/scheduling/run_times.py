"""Expected run times of subtasks, averaged over the ended runs of their queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Step
    from guavapin.scheduling.step_run import StepRun

# Weight of the newest run in the mean. Callers' estimates are off by up to nine tenths,
# so a mean of ended runs is needed. The weight is low because the work of a queue
# changes slowly.
NEWEST_WEIGHT = 0.05

# Minimum number of ended runs of a queue for its mean to be used.
MIN_RUNS = 5


class RunTimes:
    """Mean run times by queue, in milliseconds; only the scheduler changes them."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, queue: str, run_ms: int) -> None:
        """Add the time of a run that ended as done to the mean of its queue."""
        count = self._counts.get(queue, 0) + 1
        weight = max(NEWEST_WEIGHT, 1 / count)
        mean_ms = self._mean_ms.get(queue, 0.0)
        self._mean_ms[queue] = mean_ms + weight * (run_ms - mean_ms)
        self._counts[queue] = count

    def expected_ms(self, step_run: StepRun) -> int:
        """Return the expected run time of one subtask of a step, in ms."""
        return self.expected_step_ms(step_run.job_run.job, step_run.step)

    def work(self, job: Job) -> int:
        """Return a job's expected work, in thousandths of a core times seconds.

        Long-running steps do not count, since their work has no end.
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
        """Return the expected run time of one subtask of a job's step, in ms."""
        return self.expected_queue_ms(job.queue, step.estimate_ms)

    def expected_queue_ms(self, queue: str, estimate_ms: int) -> int:
        """Return the expected run time of a subtask by its queue and estimate, in ms.

        It is the caller's estimate until `MIN_RUNS` runs of the queue have ended, then
        the larger of the estimate and the mean.
        """
        if self._counts.get(queue, 0) < MIN_RUNS:
            return estimate_ms
        return max(estimate_ms, round(self._mean_ms[queue]))
