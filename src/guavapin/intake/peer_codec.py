"""Codec of the calls that entry hosts send one another, and of their answers."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from guavapin.http.messages import PeerCall
from guavapin.jobs.access import Access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import Forbidden
from guavapin.jobs.calls import JobAnswer
from guavapin.jobs.calls import JobCall
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.limits import find_fault
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.scheduling.messages import KnownScheduler

T = TypeVar("T")

PEER_PATH = "/v1/jobs"

# Path on which an entry host announces the scheduler to another.
SCHEDULER_PATH = "/v1/scheduler"

# Timeout of an announcement. An entry host that does not reach the store keeps
# forwarding calls to the previous scheduler until an announcement arrives.
ANNOUNCEMENT_TIMEOUT_MS = 600


class _Call(msgspec.Struct, omit_defaults=True):
    kind: str
    name: str = ""
    job: Job | None = None
    access: Access = Access()


class _Answer(msgspec.Struct, omit_defaults=True):
    kind: str
    state: str = ""
    count: int = 0
    detail: str = ""
    retry_after_ms: int = 0


def scheduler_announcement(
    reply_to: str, request_id: int, address: str, scheduler: KnownScheduler
) -> PeerCall:
    """Return the call that announces the scheduler to another entry host."""
    body = encode_scheduler(scheduler)
    return PeerCall(
        reply_to,
        request_id,
        address,
        "POST",
        SCHEDULER_PATH,
        body,
        ANNOUNCEMENT_TIMEOUT_MS,
    )


def encode_scheduler(scheduler: KnownScheduler) -> bytes:
    """Return the body that names the scheduler."""
    return msgspec.json.encode(scheduler)


def decode_scheduler(body: bytes) -> KnownScheduler | None:
    """Return the named scheduler, or None if the body is unreadable or names none."""
    scheduler = _decode(body, KnownScheduler)
    is_named = scheduler is not None and scheduler.address and scheduler.token > 0
    return scheduler if is_named else None


def encode_peer_call(call: JobCall) -> bytes:
    """Return the JSON body of a call about a job."""
    match call:
        case SubmitJob(job=job):
            return msgspec.json.encode(_Call("submit", job=job))
        case QueryJob(job_id=job_id, access=access):
            return msgspec.json.encode(_Call("query", job_id, access=access))
        case CancelJob(job_id=job_id, access=access):
            return msgspec.json.encode(_Call("cancel", job_id, access=access))
        case CountWaiting(queue=queue):
            return msgspec.json.encode(_Call("count", queue))


def decode_peer_call(body: bytes) -> JobCall | None:
    """Return the call in a body, or None if it cannot be read."""
    call = _decode(body, _Call)
    if call is None:
        return None
    match call.kind:
        case "submit":
            if call.job is None or find_fault(call.job):
                return None
            return SubmitJob(call.job)
        case "query":
            return QueryJob(call.name, call.access)
        case "cancel":
            return CancelJob(call.name, call.access)
        case "count":
            return CountWaiting(call.name)
    return None


def encode_peer_answer(answer: JobAnswer) -> bytes:
    """Return the JSON body of an answer about a job."""
    match answer:
        case StateIs(state=state):
            return msgspec.json.encode(_Answer("state", state=state.value))
        case WaitingIs(count=count):
            return msgspec.json.encode(_Answer("waiting", count=count))
        case Rejected(detail=detail, retry_after_ms=retry_after_ms):
            rejection = _Answer(
                "rejected", detail=detail, retry_after_ms=retry_after_ms
            )
            return msgspec.json.encode(rejection)
        case NoSuchJob():
            return msgspec.json.encode(_Answer("no_job"))
        case Forbidden():
            return msgspec.json.encode(_Answer("forbidden"))
    return msgspec.json.encode(_Answer("accepted"))


def decode_peer_answer(body: bytes) -> JobAnswer | None:
    """Return the answer in a body, or None if it cannot be read."""
    answer = _decode(body, _Answer)
    if answer is None:
        return None
    match answer.kind:
        case "accepted":
            return Accepted()
        case "no_job":
            return NoSuchJob()
        case "forbidden":
            return Forbidden()
        case "waiting":
            return WaitingIs(answer.count)
        case "rejected":
            return Rejected(answer.detail, answer.retry_after_ms)
        case "state" if answer.state in _STATES:
            return StateIs(JobState(answer.state))
    return None


_STATES = frozenset(state.value for state in JobState)


def _decode(body: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
