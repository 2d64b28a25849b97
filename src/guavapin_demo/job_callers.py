"""The callers of the demo's jobs: submit planned jobs and poll them until they end."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin_demo.job_demand import HOST
from guavapin_demo.job_demand import submission_body
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.http.messages import CallOutcome
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_demo.job_demand import PlannedJob

CALL_TIMEOUT_MS = 3_000
POLL_INTERVAL_MS = 250

# Attempts to submit one job, each at the next entry host.
SUBMIT_ATTEMPTS = 4

# Time after the last submission within which callers expect all jobs to end.
COMPLETION_TIMEOUT_MS = 15_000

HTTP_OK = 200
HTTP_GONE = 410
HTTP_REJECTED = (429, 503)

_FINAL = (EventKind.SUCCEEDED, EventKind.FAILED, EventKind.CANCELLED)


@dataclass(frozen=True, slots=True)
class SubmitJobs:
    """As a `Call`: submit `jobs` at the fronts `addresses`.

    The reply is the tuple of all `CallerEvent` once every accepted job has ended, or
    `COMPLETION_TIMEOUT_MS` after the last submission.
    """

    jobs: tuple[PlannedJob, ...]
    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _SubmitDue:
    """Timer: the next job is due."""


@dataclass(frozen=True, slots=True)
class _PollDue:
    """Timer: query the state of a job."""

    job: PlannedJob


@dataclass(frozen=True, slots=True)
class _TimeOver:
    """Timer: do not wait any longer for jobs to end."""


@dataclass(frozen=True, slots=True)
class _OpenCall:
    """A call in flight; `attempt` counts submissions from 1 and is 0 for a poll."""

    job: PlannedJob
    attempt: int


class _State(msgspec.Struct, frozen=True):
    state: str


class JobCallersTask:
    """Service ``job_callers``: submits without waiting for earlier jobs to end."""

    name = "job_callers"

    def __init__(self) -> None:
        self._caller_events: list[CallerEvent] = []
        self._pending: list[PlannedJob] = []
        self._open_jobs: set[str] = set()
        self._open_calls: dict[int, _OpenCall] = {}
        self._request_ids = itertools.count(1)
        self._reply_fut: Future[Any] | None = None
        self._started_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Keep the context."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a load to run, the answer to a call or a timer."""
        match message:
            case Call(SubmitJobs(jobs=jobs, addresses=addresses), fut):
                self._pending = [*reversed(jobs)]
                self._addresses = itertools.cycle(addresses)
                self._open_jobs = {job.job_id for job in jobs}
                self._reply_fut = fut
                self._started_ms = self._context.now_ms()
                self._submit_due()
            case PeerReply(request_id=request_id, outcome=outcome):
                self._on_reply(self._open_calls.pop(request_id), outcome)
            case _SubmitDue():
                self._submit_due()
            case _PollDue(job=job):
                self._call(job, 0)
            case _TimeOver():
                self._finish()

    def stop(self) -> None:
        """Do nothing: the task owns no sockets."""

    def _submit_due(self) -> None:
        now_ms = self._context.now_ms() - self._started_ms
        while self._pending and self._pending[-1].at_ms <= now_ms:
            self._call(self._pending.pop(), 1)
        if self._pending:
            delay_ms = max(self._pending[-1].at_ms - now_ms, 1)
            self._context.set_timer(delay_ms, _SubmitDue())
        else:
            self._context.set_timer(COMPLETION_TIMEOUT_MS, _TimeOver())

    def _call(self, job: PlannedJob, attempt: int) -> None:
        request_id = next(self._request_ids)
        self._open_calls[request_id] = _OpenCall(job, attempt)
        if attempt:
            self._record(job, EventKind.SENT)
        call = PeerCall(
            self.name,
            request_id,
            next(self._addresses),
            "POST" if attempt else "GET",
            job.queue.prefix + job.job_id,
            submission_body(job) if attempt else b"",
            CALL_TIMEOUT_MS,
            (("Host", HOST), ("X-Deadline-Ms", str(CALL_TIMEOUT_MS))),
        )
        self._context.send("http", call)

    def _on_reply(self, call: _OpenCall, outcome: CallOutcome) -> None:
        status = outcome.status if isinstance(outcome, Answered) else 0
        if not call.attempt:
            self._on_state(call.job, outcome)
        elif status == HTTP_OK:
            self._record(call.job, EventKind.ACCEPTED)
            self._context.set_timer(POLL_INTERVAL_MS, _PollDue(call.job))
        else:
            is_refused = status in HTTP_REJECTED
            self._record(
                call.job, EventKind.REFUSED if is_refused else EventKind.UNANSWERED
            )
            if call.attempt < SUBMIT_ATTEMPTS:
                self._call(call.job, call.attempt + 1)
            else:
                self._close(call.job)

    def _on_state(self, job: PlannedJob, outcome: CallOutcome) -> None:
        kind = _reported_state(outcome)
        if kind is not None:
            self._record(job, kind)
        if kind in _FINAL:
            self._close(job)
        else:
            self._context.set_timer(POLL_INTERVAL_MS, _PollDue(job))

    def _record(self, job: PlannedJob, kind: EventKind) -> None:
        now_ms = self._context.now_ms()
        self._caller_events.append(CallerEvent(now_ms, job.job_id, kind))

    def _close(self, job: PlannedJob) -> None:
        self._open_jobs.discard(job.job_id)
        if not self._open_jobs:
            self._finish()

    def _finish(self) -> None:
        if self._reply_fut is not None:
            fut, self._reply_fut = self._reply_fut, None
            fut.set_result(tuple(self._caller_events))


def _reported_state(outcome: CallOutcome) -> EventKind | None:
    """Return the state that an answer reports, or None if it reports none."""
    if not isinstance(outcome, Answered):
        return None
    if outcome.status == HTTP_GONE:
        return EventKind.UNKNOWN
    if outcome.status != HTTP_OK:
        return None
    return EventKind(msgspec.json.decode(outcome.body, type=_State).state)
