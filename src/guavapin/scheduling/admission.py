"""Decides whether a job is accepted, and when a rejected caller may return.

Answers the load pattern of a burst in one queue that exceeds what a scheduler can hold:
jobs of other queues are still accepted, memory stays bounded, and the callers that are
turned away return no faster than jobs end, and not all at once.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from guavapin.jobs.calls import Rejected
from guavapin.jobs.limits import count_subtasks

if TYPE_CHECKING:
    from guavapin.jobs.model import Job

# Limit of jobs that have not ended. At about 2 kB each they take at most 20 MB.
MAX_OPEN_JOBS = 10_000

# Limit of the subtasks of these jobs. A step of one subtask takes 2.2 kB, so that they
# take at most 110 MB; an entry host has 300 MB.
MAX_OPEN_SUBTASKS = 50_000

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
    """Open jobs and their subtasks by queue; only the table of jobs changes it.

    A queue may have as many open jobs as there are free places. One queue alone thus
    gets half of all places, and the free half is there for the others. The same holds
    for subtasks.
    """

    def __init__(self) -> None:
        self._open_jobs: dict[str, Job] = {}
        self._open_by_queue: Counter[str] = Counter()
        self._subtasks_by_queue: Counter[str] = Counter()
        self._ended = RecentEvents()
        self._rejected = RecentEvents()

    def open_in_queue(self, queue: str) -> int:
        """Return the number of open jobs of a queue."""
        return self._open_by_queue[queue]

    def add(self, job: Job) -> None:
        """Count a job as open; do nothing if it is counted."""
        if job.job_id not in self._open_jobs:
            self._open_jobs[job.job_id] = job
            self._open_by_queue[job.queue] += 1
            self._subtasks_by_queue[job.queue] += count_subtasks(job)

    def remove(self, job_id: str, now_ms: int) -> None:
        """Count a job as ended; do nothing if it is not counted as open."""
        job = self._open_jobs.pop(job_id, None)
        if job is not None:
            self._open_by_queue[job.queue] -= 1
            self._subtasks_by_queue[job.queue] -= count_subtasks(job)
            self._ended.record(now_ms)

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job, None if there is a place for it."""
        if self._has_place_for(job):
            return None
        self._rejected.record(now_ms)
        waiting = self._rejected.count(now_ms)
        ended = max(self._ended.count(now_ms), 1)
        return_ms = RATE_WINDOW_MS * waiting // ended
        return_ms = min(max(return_ms, MIN_RETURN_MS), MAX_RETURN_MS)
        return Rejected(
            "too much work of the queue is open", spread(return_ms, job.job_id)
        )

    def _has_place_for(self, job: Job) -> bool:
        free_jobs = MAX_OPEN_JOBS - len(self._open_jobs)
        free_subtasks = MAX_OPEN_SUBTASKS - self._subtasks_by_queue.total()
        subtasks = self._subtasks_by_queue[job.queue] + count_subtasks(job)
        return self._open_by_queue[job.queue] < free_jobs and subtasks <= free_subtasks


def spread(delay_ms: int, job_id: str) -> int:
    """Return the delay, changed by a share that depends on the job."""
    share = zlib.crc32(job_id.encode()) / 0xFFFF_FFFF
    return round(delay_ms * (1 + RETURN_SPREAD * (2 * share - 1)))
