"""Answers calls from the store alone while no scheduler can be reached.

Each call is handled by a pure state machine, which returns the next request to the
store or the answer for the caller. Each write also puts a marker under `INBOX_PREFIX`,
from which the next scheduler reads the job or its cancellation.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.jobs.access import may_access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import Forbidden
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import Undecided
from guavapin.jobs.model import JobState
from guavapin.keyvalue import messages as kv
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import SUBMITTED_SUFFIX
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.record import encode_job

if TYPE_CHECKING:
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall

# Delay before a request to the store is repeated.
STORE_RETRY_MS = 150


class FallbackStep(Enum):
    """Request to the store that is in progress."""

    READ_PROGRESS = "read_progress"
    READ_JOB = "read_job"
    READ_PROGRESS_AGAIN = "read_progress_again"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Fallback:
    """State of one call.

    `may_have_effect` is set once a scheduler may have received the call, or a write got
    no answer.
    """

    call: JobCall
    step: FallbackStep
    may_have_effect: bool = False


@dataclass(frozen=True, slots=True)
class Retry:
    """Action: repeat the request to the store after `delay_ms`."""

    delay_ms: int


Transition: TypeAlias = "tuple[Fallback, kv.PlatformRequest | Retry | JobAnswer]"


def begin(
    call: JobCall, may_have_effect: bool, sender: str, request_id: int
) -> Transition:
    """Begin to handle a call; `may_have_effect` if a scheduler may have received it."""
    step = FallbackStep.READ_JOB
    if isinstance(call, SubmitJob):
        step = FallbackStep.WRITE
    elif isinstance(call, QueryJob):
        step = FallbackStep.READ_PROGRESS
    fallback = Fallback(call, step, may_have_effect)
    if isinstance(call, CountWaiting):
        return fallback, Rejected("no scheduler can be reached")
    return fallback, build_request(fallback, sender, request_id)


def build_request(
    fallback: Fallback, sender: str, request_id: int
) -> kv.PlatformRequest:
    """Return the request to the store for the present step."""
    call = fallback.call
    if isinstance(call, SubmitJob):
        key = f"{JOBS_PREFIX}{call.job.job_id}"
        marker = f"{INBOX_PREFIX}{call.job.job_id}{SUBMITTED_SUFFIX}"
        puts = (kv.KeyValue(key, encode_job(call.job)), kv.KeyValue(marker, b"1"))
        # A job that has ended leaves only its progress in the store.
        progress = f"{PROGRESS_PREFIX}{call.job.job_id}"
        expected = (
            kv.KeyRevision(key, kv.NO_REVISION),
            kv.KeyRevision(progress, kv.NO_REVISION),
        )
        return kv.Transact(sender, request_id, expected, puts)
    assert isinstance(call, QueryJob | CancelJob)
    if fallback.step in (FallbackStep.READ_PROGRESS, FallbackStep.READ_PROGRESS_AGAIN):
        return kv.Get(sender, request_id, f"{PROGRESS_PREFIX}{call.job_id}")
    if fallback.step is FallbackStep.READ_JOB:
        return kv.Get(sender, request_id, f"{JOBS_PREFIX}{call.job_id}")
    marker = f"{INBOX_PREFIX}{call.job_id}{CANCELLED_SUFFIX}"
    return kv.Transact(sender, request_id, (), (kv.KeyValue(marker, b"1"),))


def advance(
    fallback: Fallback, outcome: kv.PlatformOutcome, sender: str, request_id: int
) -> Transition:
    """Apply the store's answer; `request_id` is for the next request, if any."""
    if isinstance(outcome, kv.Written | kv.Mismatch):
        # A mismatch shows that the job had been stored before.
        return fallback, Accepted()
    if isinstance(outcome, kv.Found):
        return _advance_found(fallback, outcome, sender, request_id)
    if isinstance(outcome, kv.Missing):
        step = _step_after_missing(fallback)
        if step is None:
            return fallback, NoSuchJob()
        next_state = replace(fallback, step=step)
        return next_state, build_request(next_state, sender, request_id)
    if isinstance(outcome, kv.PermanentlyRefused):
        # This request had no effect, but an earlier one may have had.
        if fallback.may_have_effect:
            return fallback, Undecided("the store refuses the call")
        return fallback, Rejected("the store refuses the call")
    is_unknown = isinstance(outcome, kv.Unknown) and fallback.step is FallbackStep.WRITE
    if is_unknown:
        fallback = replace(fallback, may_have_effect=True)
    if isinstance(outcome, kv.NotSent) and not fallback.may_have_effect:
        return fallback, Rejected("neither a scheduler nor the store can be reached")
    return fallback, Retry(STORE_RETRY_MS)


def timeout_answer(fallback: Fallback) -> JobAnswer:
    """Return the answer for a caller whose deadline has passed."""
    # A write may be in flight, and the store may carry it out later.
    is_writing = fallback.step is FallbackStep.WRITE
    if fallback.may_have_effect or is_writing:
        return Undecided("neither a scheduler nor the store answered in time")
    return Rejected("the store did not answer in time")


def _step_after_missing(fallback: Fallback) -> FallbackStep | None:
    """Return the next read after a missing key, or None if there is no such job.

    If a job ends between the reads, its own key is gone but its progress is stored, so
    the progress is read again.
    """
    if fallback.step is FallbackStep.READ_PROGRESS:
        return FallbackStep.READ_JOB
    if fallback.step is FallbackStep.READ_JOB and isinstance(fallback.call, QueryJob):
        return FallbackStep.READ_PROGRESS_AGAIN
    return None


def _advance_found(
    fallback: Fallback, found: kv.Found, sender: str, request_id: int
) -> Transition:
    call = fallback.call
    assert isinstance(call, QueryJob | CancelJob)
    if fallback.step is FallbackStep.READ_JOB:
        job = decode_job(found.value)
        if job is not None and not may_access(call.access, job.organisation, job.queue):
            return fallback, Forbidden()
        if isinstance(call, CancelJob):
            next_state = replace(fallback, step=FallbackStep.WRITE)
            return next_state, build_request(next_state, sender, request_id)
        return fallback, StateIs(JobState.QUEUED)
    progress = decode_progress(found.value)
    if progress is None:
        return fallback, Rejected("the job's progress cannot be read")
    if not may_access(call.access, progress.organisation, progress.queue):
        return fallback, Forbidden()
    return fallback, StateIs(progress.state)
