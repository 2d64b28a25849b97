"""Callers' calls about jobs, and the answers to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.jobs.access import ANONYMOUS
from guavapin.jobs.access import Access

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import JobState


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Call to accept a job durably; a repeat with the same id is the same job."""

    job: Job


@dataclass(frozen=True, slots=True)
class QueryJob:
    """Call for the state of a job."""

    job_id: str
    access: Access = ANONYMOUS


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Call to cancel a job durably."""

    job_id: str
    access: Access = ANONYMOUS


@dataclass(frozen=True, slots=True)
class CountWaiting:
    """Call for the number of accepted jobs in a queue that have not started."""

    queue: str


JobCall: TypeAlias = SubmitJob | QueryJob | CancelJob | CountWaiting


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer: the job, or its cancellation, is stored."""


@dataclass(frozen=True, slots=True)
class StateIs:
    """Answer to `QueryJob`: the state of the job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class WaitingIs:
    """Answer to `CountWaiting`: the number of waiting jobs."""

    count: int


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """Answer: no job with this id was ever accepted."""


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """Answer: no queue has this host name and path prefix."""


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """Answer: the call has no key, or one that no configuration in force holds.

    The call has had no effect.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Forbidden:
    """Answer: the job belongs to another organisation; the call has had no effect."""


@dataclass(frozen=True, slots=True)
class BadCall:
    """Answer: the call is malformed and has had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """Answer: the call has had no effect and never will.

    The caller may try again after `retry_after_ms`.
    """

    detail: str
    retry_after_ms: int = 1_000


@dataclass(frozen=True, slots=True)
class Undecided:
    """Answer: it is unknown whether the call took effect; a repeat of it is safe."""

    detail: str


JobAnswer: TypeAlias = (
    Accepted
    | StateIs
    | WaitingIs
    | NoSuchJob
    | NoSuchQueue
    | Unauthorized
    | Forbidden
    | BadCall
    | Rejected
    | Undecided
)
