"""Estimates the rate at which work arrives for each pool from its recent jobs."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Windows in ms over which arrivals are counted, each with the minimum number of jobs
# for a rate; a smaller number may be chance. The demand of a queue can rise fivefold
# at once, and a machine takes longer than a second to arrive, so a sharp rise must be
# detected within a fraction of a second.
WINDOWS = ((400, 10), (1_000, 8))

# Jobs of a pool over which the work per job is averaged. The work of single jobs varies
# more than the rate does, so it is averaged over a longer time than the rate.
MAX_AVERAGED_JOBS = 40


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrived at `at_ms`, in the scheduler's monotonic time.

    `work` is in thousandths of a core times seconds.
    """

    at_ms: int
    work: int


class Arrivals:
    """Recent jobs with their work by pool; only the scheduler changes them."""

    def __init__(self) -> None:
        self._jobs: dict[str, deque[Arrival]] = {}

    def record(self, now_ms: int, pool: str, work: int) -> None:
        """Add a job with its work, in thousandths of a core times seconds."""
        jobs = self._jobs.setdefault(pool, deque())
        jobs.append(Arrival(now_ms, work))
        longest_ms = max(window_ms for window_ms, _ in WINDOWS)
        while len(jobs) > MAX_AVERAGED_JOBS and now_ms - jobs[0].at_ms > longest_ms:
            jobs.popleft()

    def cpu_millis(self, pool: str, now_ms: int) -> int:
        """Return the cores that jobs keep busy at the present rate, in thousandths.

        The result is 0 if too few jobs arrived for a rate.
        """
        jobs = self._jobs.get(pool, ())
        if not jobs:
            return 0
        mean_work = sum(job.work for job in jobs) / len(jobs)
        per_second = 0.0
        for window_ms, min_jobs in WINDOWS:
            count = sum(now_ms - job.at_ms <= window_ms for job in jobs)
            if count >= min_jobs:
                per_second = max(per_second, count * 1_000 / window_ms)
        return round(per_second * mean_work)
