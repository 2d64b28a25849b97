"""Rejects jobs that come too late behind the backlog of their pool.

Answers the load pattern of a pool that cannot grow and has more work than callers can
wait for: one more job would be served when it is of no use, or make another one so.
"""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.jobs.calls import Rejected
from guavapin.scheduling.admission import MAX_RETURN_MS
from guavapin.scheduling.admission import MIN_RETURN_MS
from guavapin.scheduling.admission import spread

if TYPE_CHECKING:
    from guavapin.jobs.model import Job

# Multiple of its objective up to which a job that is late is of use to its caller.
USEFUL_FACTOR = 3

# Time over which completed work is counted. It covers the runs of most jobs, of 0.6 to
# 1.8 s, so that a pool at work always has completed some.
RATE_WINDOW_MS = 2_000

# Limit of the jobs whose first rejection is remembered. Callers give up after some
# seconds; the oldest entry is removed.
MAX_REJECTED_JOBS = 4_096


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What a job finds in its pool.

    `backlog` is the expected work that is open at its priority and before, and
    `completed` that completed in the last `RATE_WINDOW_MS`, both in thousandths of a
    core times milliseconds. `cpu_millis` is the processor time of all machines that the
    pool has or can get. `can_grow` tells that some of them are not in it.
    """

    backlog: int
    completed: int
    cpu_millis: int
    can_grow: bool

    @property
    def backlog_ms(self) -> float:
        """Return the time in which the backlog is certainly not served sooner.

        The measured rate is that of a pool that cannot grow; one that can, or that has
        completed nothing yet, counts with all its processor time.
        """
        rate = self.completed / RATE_WINDOW_MS
        if self.can_grow or not rate:
            rate = float(self.cpu_millis)
        return self.backlog / rate if rate else 0.0


class OpenWork:
    """Open and recently completed work by pool; only the scheduler changes it."""

    def __init__(self) -> None:
        # Pool, priority and open work of each job.
        self._jobs: dict[str, tuple[str, int, int]] = {}
        self._open: Counter[tuple[str, int]] = Counter()
        self._completed: dict[str, deque[tuple[int, int]]] = {}

    def add(self, job_id: str, pool: str, priority: int, work: int) -> None:
        """Add a job with its open work."""
        self._jobs[job_id] = pool, priority, work
        self._open[pool, priority] += work

    def complete(self, job_id: str, work: int, now_ms: int) -> None:
        """Count a part of a job's work as completed."""
        if job_id in self._jobs:
            pool, priority, left = self._jobs[job_id]
            self._jobs[job_id] = pool, priority, max(left - work, 0)
            self._open[pool, priority] -= min(work, left)
            self._completed.setdefault(pool, deque()).append((now_ms, work))

    def remove(self, job_id: str) -> None:
        """Remove a job with the rest of its work."""
        if job_id in self._jobs:
            pool, priority, left = self._jobs.pop(job_id)
            self._open[pool, priority] -= left
            if not self._open[pool, priority]:
                del self._open[pool, priority]

    def backlog(self, pool: str, priority: int) -> int:
        """Return the open work of a pool at a priority and those served before it."""
        return sum(
            work
            for (name, other), work in self._open.items()
            if name == pool and other <= priority
        )

    def completed(self, pool: str, now_ms: int) -> int:
        """Return the work that completed in the last `RATE_WINDOW_MS`."""
        ends = self._completed.get(pool)
        while ends and now_ms - ends[0][0] >= RATE_WINDOW_MS:
            ends.popleft()
        if not ends:
            self._completed.pop(pool, None)
            return 0
        return sum(work for _, work in ends)


class LoadView(Protocol):
    """Finds the load that a job meets, and the time that it is allowed."""

    def allowed_ms(self, job: Job) -> float:
        """Return the objective of a job from its acceptance, 0 if it has none."""
        ...

    def load_before(self, job: Job) -> PoolLoad:
        """Return the load of the pool of a job."""
        ...


class BacklogRule:
    """Admission rule; remembers when it first rejected a job."""

    def __init__(self, view: LoadView) -> None:
        self._view = view
        self._first_rejected_ms: OrderedDict[str, int] = OrderedDict()

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job that would be of no use when it is served.

        The caller returns when the backlog will have become short enough. The time for
        which it has been turned away is subtracted, so that those that have waited
        longest return first.
        """
        rejection = self.preview(job, now_ms)
        if rejection is None:
            self._first_rejected_ms.pop(job.job_id, None)
            return None
        self._first_rejected_ms.setdefault(job.job_id, now_ms)
        if len(self._first_rejected_ms) > MAX_REJECTED_JOBS:
            self._first_rejected_ms.popitem(last=False)
        return rejection

    def preview(self, job: Job, now_ms: int) -> Rejected | None:
        """Return what `rejection` would, without remembering it."""
        useful_ms = USEFUL_FACTOR * self._view.allowed_ms(job)
        if useful_ms <= 0:
            return None
        excess_ms = self._view.load_before(job).backlog_ms - useful_ms
        if excess_ms <= 0:
            return None
        first_ms = self._first_rejected_ms.get(job.job_id, now_ms)
        return_ms = round(excess_ms) - (now_ms - first_ms)
        return_ms = min(max(return_ms, MIN_RETURN_MS), MAX_RETURN_MS)
        return Rejected(
            "the backlog of the pool is longer than the job is of use",
            spread(return_ms, job.job_id),
        )
