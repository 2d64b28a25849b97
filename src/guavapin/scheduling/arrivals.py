"""How much work arrives for each pool, from the last moments."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Times over which arrivals are counted, each with the jobs from which on they tell a
# rate; fewer are chance. A queue's demand rises fivefold at once, and a machine takes
# longer than a second to come, so that a sharp rise has to show within a part of it.
WINDOWS = ((400, 10), (1_000, 8))

# Jobs of a pool over which their work is averaged; the work of single jobs differs by
# more than the rate does.
JOBS_AVERAGED = 40


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that came at `at_ms`; `work` is in thousandths of a core times seconds."""

    at_ms: int
    work: int


class Arrivals:
    """Recent jobs with their work by pool; owned by the scheduler."""

    def __init__(self) -> None:
        self._jobs: dict[str, deque[Arrival]] = {}

    def record(self, now_ms: int, pool: str, work: int) -> None:
        """Take a job's work, in thousandths of a core times seconds."""
        jobs = self._jobs.setdefault(pool, deque())
        jobs.append(Arrival(now_ms, work))
        longest_ms = max(window_ms for window_ms, _ in WINDOWS)
        while len(jobs) > JOBS_AVERAGED and now_ms - jobs[0].at_ms > longest_ms:
            jobs.popleft()

    def cpu_millis(self, pool: str, now_ms: int) -> int:
        """Return the room that jobs arriving at this rate would take all the time."""
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
