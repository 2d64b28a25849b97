"""Decides whether a job is accepted, and when a rejected caller may return.

Answers the load pattern of a burst in one queue that exceeds what a scheduler can hold:
jobs of other queues are still accepted, memory stays bounded, and the callers that are
turned away return no faster than jobs end, and not all at once.
"""

from __future__ import annotations

import zlib
from collections import deque
from typing import TYPE_CHECKING

from guavapin.jobs.calls import Rejected

if TYPE_CHECKING:
    from guavapin.jobs.model import Job

# Limit of jobs that have not ended. At about 2 kB each they take at most 20 MB.
MAX_OPEN_JOBS = 10_000

# Bounds of the time after which a rejected caller may return. Callers wait for some
# seconds; one that is told to return later than that looks for another way at once.
MIN_RETURN_MS = 1_000
MAX_RETURN_MS = 10_000

# Times of return differ by up to this share in both directions.
RETURN_SPREAD = 0.25

# Time over which rejected and ended jobs are counted.
RATE_WINDOW_MS = 1_000


class RecentEvents:
    """Times of the events of the last `RATE_WINDOW_MS`."""

    def __init__(self) -> None:
        self._times_ms: deque[int] = deque()

    def record(self, now_ms: int) -> None:
        """Add an event."""
        self._times_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Return the number of events in the window."""
        while self._times_ms and now_ms - self._times_ms[0] >= RATE_WINDOW_MS:
            self._times_ms.popleft()
        return len(self._times_ms)


class Admission:
    """Open jobs by queue; only the table of jobs changes it.

    A queue may have as many open jobs as there are free places. One queue alone thus
    gets half of all places, and the free half is there for the others.
    """

    def __init__(self) -> None:
        self._queue_by_job: dict[str, str] = {}
        self._open_by_queue: dict[str, int] = {}
        self._ended = RecentEvents()
        self._rejected = RecentEvents()

    def open_in_queue(self, queue: str) -> int:
        """Return the number of open jobs of a queue."""
        return self._open_by_queue.get(queue, 0)

    def add(self, job: Job) -> None:
        """Count a job as open; do nothing if it is counted."""
        if job.job_id not in self._queue_by_job:
            self._queue_by_job[job.job_id] = job.queue
            self._open_by_queue[job.queue] = self.open_in_queue(job.queue) + 1

    def remove(self, job_id: str, now_ms: int) -> None:
        """Count a job as ended; do nothing if it is not counted as open."""
        queue = self._queue_by_job.pop(job_id, None)
        if queue is not None:
            self._open_by_queue[queue] -= 1
            self._ended.record(now_ms)

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job, None if there is a place for it."""
        if self.open_in_queue(job.queue) < MAX_OPEN_JOBS - len(self._queue_by_job):
            return None
        self._rejected.record(now_ms)
        waiting = self._rejected.count(now_ms)
        ended = max(self._ended.count(now_ms), 1)
        return_ms = RATE_WINDOW_MS * waiting // ended
        return_ms = min(max(return_ms, MIN_RETURN_MS), MAX_RETURN_MS)
        return Rejected(
            "too many jobs of the queue are open", _spread(return_ms, job.job_id)
        )


def _spread(delay_ms: int, job_id: str) -> int:
    """Return the delay, changed by a share that depends on the job."""
    share = zlib.crc32(job_id.encode()) / 0xFFFF_FFFF
    return round(delay_ms * (1 + RETURN_SPREAD * (2 * share - 1)))
