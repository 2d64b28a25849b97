"""Jobs, their steps, and the identifiers of their subtasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from guavapin.jobs.terms import UNRECORDED_TERMS
from guavapin.jobs.terms import QueueTerms


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job will never run again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources on a host: thousandths of a core, megabytes and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: Resources) -> bool:
        """Return whether `other` fits into these resources."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Set of `count` identical subtasks.

    `need` is the resources of one subtask. The steps in `after` must be done before
    this one starts. `preferred_rack` holds the data. `max_per_host` and `target_ms` are
    0 if there is no bound. `may_be_absent` is the number of subtasks that the system's
    own actions may make unavailable at one time, None if the step sets no bound.
    """

    count: int
    need: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_tightly_coupled: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_host: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    saves_progress: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    may_be_absent: int | None = None

    @property
    def allows_copies(self) -> bool:
        """Return whether several runs of a subtask may work at the same time."""
        return self.is_speculative and not self.is_gang

    @property
    def reserved(self) -> Resources:
        """Return the resources that a subtask reserves on its host.

        A filler reserves no processor time: it runs on what other subtasks leave.
        """
        if self.is_filler:
            return Resources(0, self.need.memory_mb, self.need.gpus)
        return self.need


@dataclass(frozen=True, slots=True)
class Job:
    """Job as its caller submitted it.

    `queue`, `service` and `terms` are those in force at the submission. A job with
    `repeats` above 0 runs that many times: occurrence K may start at `first_due_ms` +
    K x `interval_ms` since the Unix epoch. `accepted_ms` is the wall clock of the host
    that accepted the job. `organisation` is that of the key with which the job was
    submitted, "" without a key. A job that `is_excess` is beyond the rate of its
    organisation's share.
    """

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    terms: QueueTerms = UNRECORDED_TERMS
    organisation: str = ""
    is_excess: bool = False

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(self.repeats, 1)

    def due_ms(self, occurrence: int) -> int:
        """Return the wall clock from which an occurrence may start, 0 for at once."""
        if not self.repeats:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True, order=True)
class Subtask:
    """Identifier of one subtask in one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int
