"""Expected run times of subtasks, learned from the ended runs of their queue.

Answers the load pattern of callers whose estimates are off by half and more while a
pool has less room than its work needs: whether a job can still be in time is judged by
what the runs of its queue took, not by the estimate alone.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Job

# Weight of the newest run. The work of a queue changes slowly, and the longest runs
# take seven times the mean.
NEWEST_WEIGHT = 0.05

# Minimum number of ended runs for which a class is used.
MIN_RUNS = 5

# A prediction replaces the estimate only if its mean error is below this share of the
# estimate's, so that good estimates stay in use.
MAX_ERROR_SHARE = 0.75

# Steps with a class of their own for each queue. Later steps have the queue's class.
MAX_STEPS = 8

# Limit of classes; the one whose last run ended first is removed. 8 queues have 72.
MAX_CLASSES = 1_024


@dataclass(frozen=True, slots=True)
class RunTimeClass:
    """Ended runs of a class, with the mean error of each prediction in milliseconds.

    The predictions are the mean of the run times, and the estimate times the mean of
    their ratios to it.
    """

    count: int = 0
    mean_ms: float = 0.0
    ratio: float = 1.0
    mean_error_ms: float = 0.0
    ratio_error_ms: float = 0.0
    estimate_error_ms: float = 0.0

    def after_run(self, estimate_ms: int, run_ms: int) -> RunTimeClass:
        """Return the class after a run has ended as done."""
        weight = max(NEWEST_WEIGHT, 1 / (self.count + 1))
        ratio = run_ms / estimate_ms if estimate_ms > 0 else self.ratio
        if not self.count:
            error_ms = abs(estimate_ms - run_ms)
            return RunTimeClass(1, run_ms, ratio, error_ms, error_ms, error_ms)

        def blend(former: float, newest: float) -> float:
            return former + weight * (newest - former)

        return RunTimeClass(
            self.count + 1,
            blend(self.mean_ms, run_ms),
            blend(self.ratio, ratio),
            blend(self.mean_error_ms, abs(self.mean_ms - run_ms)),
            blend(self.ratio_error_ms, abs(self.ratio * estimate_ms - run_ms)),
            blend(self.estimate_error_ms, abs(estimate_ms - run_ms)),
        )

    def expected_ms(self, estimate_ms: int) -> int:
        """Return the expected run time by the prediction with the least error."""
        limit_ms = MAX_ERROR_SHARE * self.estimate_error_ms
        if min(self.mean_error_ms, self.ratio_error_ms) >= limit_ms:
            return estimate_ms
        if self.ratio_error_ms < self.mean_error_ms and estimate_ms > 0:
            return round(self.ratio * estimate_ms)
        return round(self.mean_ms)


class LearnedTimes:
    """Classes of ended runs by queue and step; only the scheduler changes them."""

    def __init__(self) -> None:
        self._classes: OrderedDict[tuple[str, int], RunTimeClass] = OrderedDict()

    def record(self, queue: str, step: int, estimate_ms: int, run_ms: int) -> None:
        """Add a run of a queue's step that ended as done."""
        for number in (step, -1) if step < MAX_STEPS else (-1,):
            key = queue, number
            known = self._classes.pop(key, RunTimeClass())
            self._classes[key] = known.after_run(estimate_ms, run_ms)
        while len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)

    def expected_ms(self, queue: str, step: int, estimate_ms: int) -> int:
        """Return the expected run time of a subtask, in ms.

        It is learned from the step's runs, else from those of the whole queue, else it
        is the estimate.
        """
        for number in (step, -1):
            known = self._classes.get((queue, number))
            if known is not None and known.count >= MIN_RUNS:
                return known.expected_ms(estimate_ms)
        return estimate_ms

    def expected_steps_ms(self, job: Job) -> tuple[int, ...]:
        """Return the expected run time of a subtask of each step of a job, in ms."""
        return tuple(
            self.expected_ms(job.queue, number, step.estimate_ms)
            for number, step in enumerate(job.steps)
        )
