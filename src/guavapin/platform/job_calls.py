"""Codec of callers' requests about jobs and of the answers to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavapin.jobs.access import Access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import BadCall
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import Forbidden
from guavapin.jobs.calls import JobAnswer
from guavapin.jobs.calls import JobCall
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import NoSuchQueue
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import Unauthorized
from guavapin.jobs.calls import Undecided
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.limits import find_fault
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.platform.bodies import WireInt
from guavapin.platform.bodies import WireNumber
from guavapin.platform.bodies import decode_body
from guavapin.platform.bodies import encode_body
from guavapin.platform.bodies import find_body_fault

if TYPE_CHECKING:
    from guavapin.jobs.queues import Queue

JOB_ID_LENGTH = 16
MAX_SPEC_BYTES = 4_000
DEADLINE_HEADER = b"x-deadline-ms"
KEY_HEADER = b"authorization"
KEY_SCHEME = "token"


class _Step(msgspec.Struct, rename="kebab", frozen=True):
    count: WireInt
    cpu: WireInt = 0
    mem_mb: WireInt = 0
    gpus: WireInt = 0
    estimate_ms: WireNumber = 0
    after: list[int] = []
    gang: bool = False
    tightly_coupled: bool = False
    required_label: str = ""
    # Name of the rack that holds the data.
    affinity: str = ""
    max_per_server: WireInt = 0
    # Whether copies of a subtask may run in parallel.
    speculative: bool = False
    long_running: bool = False
    checkpoint: bool = False
    image: str = ""
    target_ms: WireNumber = 0
    fills: bool = False
    may_miss: WireInt | None = None


class _Job(msgspec.Struct, rename="kebab", frozen=True):
    spec: str
    steps: list[_Step]
    repeats: WireInt = 0
    start_at_ms: WireNumber = 0
    interval_ms: WireNumber = 0


def read_key(authorization: str) -> str:
    """Return the key of an authorization header, "" if there is none.

    For example, the key of ``Token k1`` is ``k1``.
    """
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def decode_call(
    queue: Queue,
    method: str,
    path: str,
    body: bytes,
    wall_ms: int,
    organisation: str = "",
) -> JobCall | BadCall:
    """Return the call to `queue`; `wall_ms` is the time at which a job is accepted.

    `organisation` is that of the caller's key, "" for a call without a key.
    """
    job_id = path.removeprefix(queue.prefix).partition("?")[0]
    if not job_id and method == "GET":
        return CountWaiting(queue.key)
    if len(job_id) != JOB_ID_LENGTH or not set(job_id) <= set("0123456789abcdefABCDEF"):
        return BadCall(f"job id {job_id[:40]!r}: expected 16 hexadecimal digits")
    access = Access(organisation, queue.key, queue.is_public)
    match method:
        case "GET":
            return QueryJob(job_id, access)
        case "DELETE":
            return CancelJob(job_id, access)
        case "POST":
            return _decode_submission(queue, organisation, job_id, body, wall_ms)
    return BadCall(f"method {method}: expected GET, POST or DELETE")


def find_job_fault(body: bytes) -> str:
    """Return which field of a submission cannot be read and why, "" if all can."""
    return find_body_fault(body, _Job)


def encode_answer(
    answer: JobAnswer,
) -> tuple[int, tuple[tuple[bytes, bytes], ...], bytes]:
    """Return HTTP status, headers and body of an answer."""
    json = ((b"content-type", b"application/json"),)
    match answer:
        case Accepted():
            return 200, json, b"{}"
        case StateIs(state=state):
            return 200, json, encode_body({"state": state.value})
        case WaitingIs(count=count):
            return 200, json, encode_body({"pending": count})
        case NoSuchJob():
            return 410, json, b"{}"
        case NoSuchQueue():
            return 404, json, b"{}"
        case Unauthorized(detail=detail):
            challenge = (b"www-authenticate", b"Token")
            return 401, (*json, challenge), encode_body({"error": detail})
        case Forbidden():
            detail = "the job belongs to another organisation"
            return 403, json, encode_body({"error": detail})
        case BadCall(detail=detail):
            return 400, json, encode_body({"error": detail})
        case Rejected(detail=detail, retry_after_ms=retry_after_ms):
            seconds = max(1, -(-retry_after_ms // 1_000))
            retry = (b"retry-after", str(seconds).encode())
            return 503, (*json, retry), encode_body({"error": detail})
        case Undecided(detail=detail):
            return 504, json, encode_body({"error": detail})


def _decode_submission(
    queue: Queue, organisation: str, job_id: str, body: bytes, wall_ms: int
) -> JobCall | BadCall:
    submitted = decode_body(body, _Job)
    if submitted is None:
        return BadCall(
            "body: expected a job with spec and steps, and numbers from 0 to 2**53"
        )
    if len(submitted.spec.encode()) > MAX_SPEC_BYTES:
        return BadCall(f"spec: expected at most {MAX_SPEC_BYTES} bytes")
    job = Job(
        job_id=job_id,
        queue=queue.key,
        service=queue.service,
        spec=submitted.spec,
        steps=tuple(_decode_step(step) for step in submitted.steps),
        repeats=submitted.repeats,
        first_due_ms=int(submitted.start_at_ms),
        interval_ms=int(submitted.interval_ms),
        accepted_ms=wall_ms,
        terms=queue.terms,
        organisation=organisation,
    )
    fault = find_fault(job)
    return BadCall(f"job: {fault}") if fault else SubmitJob(job)


def _decode_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        need=Resources(step.cpu, step.mem_mb, step.gpus),
        estimate_ms=int(step.estimate_ms),
        after=tuple(step.after),
        is_gang=step.gang,
        is_tightly_coupled=step.tightly_coupled,
        required_label=step.required_label,
        preferred_rack=step.affinity,
        max_per_host=step.max_per_server,
        is_speculative=step.speculative,
        is_long_running=step.long_running,
        saves_progress=step.checkpoint,
        image=step.image,
        target_ms=int(step.target_ms),
        is_filler=step.fills,
        may_be_absent=step.may_miss,
    )
