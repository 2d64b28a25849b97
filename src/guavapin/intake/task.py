"""The service `intake`: answers callers' requests about jobs."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.intake import fallback as store_fallback
from guavapin.intake.authentication import LOOKUP_FAILED
from guavapin.intake.authentication import Authenticated
from guavapin.intake.authentication import Credentials
from guavapin.intake.authentication import LookUpKey
from guavapin.intake.authentication import authenticate
from guavapin.intake.hand_in import REJECTION as TOO_LATE
from guavapin.intake.hand_in import StoreAnswers
from guavapin.intake.hand_in import can_hand_in
from guavapin.intake.key_lookups import LOOKUP_TIMEOUT_MS
from guavapin.intake.key_lookups import KeyLookups
from guavapin.intake.peer_calls import NOT_FOUND
from guavapin.intake.peer_calls import NOT_SCHEDULING
from guavapin.intake.peer_codec import PEER_PATH
from guavapin.intake.peer_codec import decode_peer_answer
from guavapin.intake.peer_codec import decode_scheduler
from guavapin.intake.peer_codec import encode_peer_call
from guavapin.intake.peer_codec import scheduler_announcement
from guavapin.intake.reachability import CutOff
from guavapin.intake.rejection import REJECTION
from guavapin.intake.rejection import can_return
from guavapin.jobs.calls import BadCall
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import NoSuchQueue
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import Undecided
from guavapin.jobs.table_messages import RefreshTable
from guavapin.jobs.table_messages import TableConfirmed
from guavapin.jobs.table_view import TableView
from guavapin.kernel.decimal import parse_decimal
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import AnswerPending
from guavapin.serving.request_handler import RequestHandler

if TYPE_CHECKING:
    from guavapin.intake.job_call_codec import JobCallCodec
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.metrics.resident import CallObserver
    from guavapin.serving.request_handler import WholeRequest

# Timeout of a call to another entry host. The scheduler answers after one write to the
# store, which usually takes below 50 ms.
FORWARD_TIMEOUT_MS = 800

# Deadline of a caller that sends none.
DEFAULT_DEADLINE_MS = 3_000

# Longest deadline that is honoured, about a day.
MAX_DEADLINE_MS = 99_999_999

# Part of a caller's deadline that is reserved to deliver the answer, at most a fifth of
# the deadline, because the last retries of a caller have little time left.
ANSWER_MARGIN_MS = 150

PROCESS_ENDS = Rejected("the process is about to end")

log = logging.getLogger("guavapin.intake")


@dataclass(frozen=True, slots=True)
class _Deadline:
    """Timer: the deadline of a caller, less the margin, has passed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _LookupTimeout:
    """Timer: the key of a waiting call should have been looked up."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _RetryStore:
    """Timer: repeat the request to the store."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _Pending:
    """Call without an answer yet; `fallback` is set once the store is queried.

    The call is answered by `due_ms` at the latest.
    """

    call: JobCall
    received_ms: int
    due_ms: int
    fallback: store_fallback.Fallback | None = None


class IntakeTask(RequestHandler):
    """Service ``intake``; answers the requests at the callers' front.

    A call goes to the scheduler, in this process or at another entry host. If no
    scheduler can be reached, the call is answered from the store alone. If the host is
    cut off, a caller that can return is rejected at once. A call is rejected only if it
    certainly has had no effect.
    """

    name = "intake"

    def __init__(
        self,
        codec: JobCallCodec,
        holder: str,
        observer: CallObserver,
        requires_keys: bool = False,
        revoke_ms: int = 0,
    ) -> None:
        super().__init__("front")
        self._view = TableView(revoke_ms)
        self._key_lookups = KeyLookups()
        self._requires_keys = requires_keys
        self._codec = codec
        self._holder = holder
        self._observer = observer
        self._table: QueueTable | None = None
        self._scheduler = KnownScheduler("", "", 0)
        # Last scheduler with an address: during a handover of the duty there is none.
        self._last_known = self._scheduler
        self._pending: dict[int, _Pending] = {}
        # Request of each call in flight to a peer or the store, by the call's number.
        self._request_by_call: dict[int, int] = {}
        # Time at which each call in flight to the store was sent.
        self._store_sent_ms: dict[int, int] = {}
        self._store_answers = StoreAnswers()
        self._call_id = 0
        self._is_cut_off = False
        self._is_ending = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for requests."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop what is pending; `AnswerPending` has answered the callers before."""
        self._pending.clear()

    def handle(self, message: object) -> None:
        """Handle a request, an answer, a timer, a table or a change of scheduler."""
        match message:
            case QueueTableChanged(table=table):
                self._table = table
            case TableConfirmed(view=view):
                self._view = view
                for req, arrived_ms in self._key_lookups.pop_decided(view.as_of_ms):
                    self._authenticate(req, arrived_ms)
            case _LookupTimeout(request_id=request_id):
                if self._key_lookups.pop(request_id):
                    self._finish(request_id, LOOKUP_FAILED)
            case KnownScheduler():
                self._set_scheduler(message)
            case PeerScheduler(scheduler=scheduler):
                self._adopt_newer(scheduler)
            case CutOff(is_cut_off=is_cut_off):
                self._is_cut_off = is_cut_off
            case JobReply(request_id=request_id, answer=answer):
                self._handle_scheduler_answer(
                    request_id, answer, message.may_have_effect
                )
            case PeerReply(request_id=call_id, outcome=outcome):
                self._handle_peer_reply(call_id, outcome)
            case kv.Reply(request_id=call_id, outcome=outcome):
                self._handle_store_reply(call_id, outcome)
            case _RetryStore(request_id=request_id):
                self._retry_store(request_id)
            case _Deadline(request_id=request_id):
                self._expire(request_id)
            case AnswerPending():
                self._answer_pending()
            case _:
                if not self.handle_front_message(message):
                    raise InvariantError(f"intake: unexpected message {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Answer a request that cannot be served, or forward its call."""
        if self._is_ending:
            self._finish(req.request_id, PROCESS_ENDS)
            return
        # The loop's own time may be older than the request after a suspension.
        self._authenticate(req, self._context.clock.now_ms())

    def _authenticate(self, req: WholeRequest, arrived_ms: int) -> None:
        path = req.target.partition("?")[0]
        host = req.header(b"host").partition(":")[0]
        if self._table is None:
            self._finish(req.request_id, Rejected("no table is in force yet"))
            return
        queue = self._table.find(host, path)
        if queue is None:
            extra = {"host": host, "path": path, "version": self._table.version}
            log.info("no such queue", extra=extra)
            self._finish(req.request_id, NoSuchQueue())
            return
        key = self._codec.read_key(req.header(self._codec.key_header))
        caller = authenticate(
            self._table,
            queue,
            Credentials(arrived_ms, key),
            self._requires_keys,
            self._view,
            self._context.clock.now_ms(),
        )
        if isinstance(caller, Authenticated):
            self._accept(req, queue, caller.organisation, arrived_ms)
        elif isinstance(caller, LookUpKey):
            self._look_up_key(req, arrived_ms)
        else:
            extra = {
                "queue": queue.name,
                "detail": caller.detail,
                "version": self._table.version,
                "view_age_ms": self._view.age_ms(arrived_ms),
            }
            log.info("call not authenticated", extra=extra)
            self._finish(req.request_id, caller)

    def _look_up_key(self, req: WholeRequest, arrived_ms: int) -> None:
        if not self._key_lookups.add(req, arrived_ms):
            self._finish(req.request_id, LOOKUP_FAILED)
            return
        self._context.set_timer(LOOKUP_TIMEOUT_MS, _LookupTimeout(req.request_id))
        self._context.send("tables", RefreshTable())

    def _accept(
        self, req: WholeRequest, queue: Queue, organisation: str, arrived_ms: int
    ) -> None:
        """Decode an authenticated call, and forward it."""
        path = req.target.partition("?")[0]
        wall_ms = self._context.clock.wall_ms()
        call = self._codec.decode(
            queue, req.method, path, req.body, wall_ms, organisation
        )
        if isinstance(call, BadCall):
            log.info("bad call", extra={"queue": queue.name, "detail": call.detail})
            self._finish(req.request_id, call)
            return
        deadline_ms = _deadline_ms(req.header(self._codec.deadline_header))
        timeout_ms = deadline_ms - min(ANSWER_MARGIN_MS, deadline_ms // 5)
        timeout_ms = max(timeout_ms - (self._context.clock.now_ms() - arrived_ms), 0)
        due_ms = self._context.now_ms() + timeout_ms
        pending = _Pending(call, req.received_ms, due_ms)
        self._pending[req.request_id] = pending
        if self._must_reject(pending):
            self._finish(req.request_id, REJECTION)
            return
        self._context.set_timer(timeout_ms, _Deadline(req.request_id))
        self._forward(req.request_id, call)

    def handle_caller_gone(self, request_id: int) -> None:
        """Drop the call of a caller that has closed its connection."""
        self._key_lookups.pop(request_id)
        self._pending.pop(request_id, None)

    def _forward(self, request_id: int, call: JobCall) -> None:
        if self._scheduler.holder == self._holder:
            request = JobRequest(self.name, request_id, call)
            self._context.send("scheduler", request)
        elif self._scheduler.address:
            self._call_id += 1
            self._request_by_call[self._call_id] = request_id
            peer_call = PeerCall(
                self.name,
                self._call_id,
                self._scheduler.address,
                "POST",
                PEER_PATH,
                encode_peer_call(call),
                FORWARD_TIMEOUT_MS,
            )
            self._context.send("http", peer_call)
        else:
            self._fall_back(request_id, may_have_effect=False)

    def _handle_peer_reply(self, call_id: int, outcome: object) -> None:
        request_id = self._request_by_call.pop(call_id, 0)
        if not request_id:
            # Reply to an announcement; the previous scheduler may be gone.
            return
        status = outcome.status if isinstance(outcome, Answered) else 0
        # A peer that does not schedule cannot serve callers, so it counts as a failure.
        is_reached = status not in (0, NOT_SCHEDULING)
        self._context.send("reach", ReachabilityReport(is_reached))
        if not isinstance(outcome, Answered):
            was_sent = getattr(outcome, "was_sent", True)
            self._handle_scheduler_answer(request_id, None, may_have_effect=was_sent)
        elif status == NOT_SCHEDULING:
            self._handle_redirect(request_id, decode_scheduler(outcome.body))
        else:
            answer = decode_peer_answer(outcome.body) if status == 200 else None
            self._handle_scheduler_answer(request_id, answer, status != NOT_FOUND)

    def _set_scheduler(self, scheduler: KnownScheduler) -> None:
        self._scheduler = scheduler
        if not scheduler.address:
            return
        previous, self._last_known = self._last_known, scheduler
        is_own = scheduler.holder == self._holder
        if is_own and previous.address not in ("", scheduler.address):
            # A previous scheduler that does not reach the store may not know of its
            # successor, and other hosts without the store keep forwarding calls to it.
            self._call_id += 1
            call = scheduler_announcement(
                self.name, self._call_id, previous.address, scheduler
            )
            self._context.send("http", call)

    def _handle_redirect(self, request_id: int, newer: KnownScheduler | None) -> None:
        """Forward a call to the newer scheduler named by a peer, or query the store."""
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if newer is not None and self._adopt_newer(newer) and pending.fallback is None:
            self._forward(request_id, pending.call)
        else:
            self._fall_back(request_id, may_have_effect=False)

    def _adopt_newer(self, newer: KnownScheduler) -> bool:
        """Adopt a scheduler that a peer named if its token is above the known one's.

        A host that does not reach the store is notified of a takeover only by peers.
        """
        is_newer = newer.token > self._scheduler.token
        if is_newer:
            extra = {"holder": newer.holder, "token": newer.token}
            log.info("scheduler named by a peer", extra=extra)
            self._scheduler = newer
        return is_newer

    def _handle_scheduler_answer(
        self, request_id: int, answer: JobAnswer | None, may_have_effect: bool
    ) -> None:
        if request_id not in self._pending:
            # The deadline has passed, and the caller has an answer.
            return
        if answer is not None:
            self._finish(request_id, answer)
        else:
            self._fall_back(request_id, may_have_effect)

    def _fall_back(self, request_id: int, may_have_effect: bool) -> None:
        pending = self._pending.get(request_id)
        if pending is None or pending.fallback is not None:
            return
        if not may_have_effect and self._must_reject(pending):
            self._finish(request_id, REJECTION)
            return
        if not may_have_effect and self._is_too_late(pending):
            self._finish(request_id, TOO_LATE)
            return
        log.info("asking the store", extra={"job": _job_id(pending.call)})
        self._call_id += 1
        transition = store_fallback.begin(
            pending.call, may_have_effect, self.name, self._call_id
        )
        self._apply_transition(request_id, pending, transition)

    def _handle_store_reply(self, call_id: int, outcome: kv.PlatformOutcome) -> None:
        request_id = self._request_by_call.pop(call_id, 0)
        self._record_store_answer(call_id, outcome)
        is_failed = isinstance(outcome, kv.Unknown | kv.NotSent)
        self._context.send("reach", ReachabilityReport(not is_failed))
        pending = self._pending.get(request_id)
        if pending is None or pending.fallback is None:
            return
        self._call_id += 1
        transition = store_fallback.advance(
            pending.fallback, outcome, self.name, self._call_id
        )
        self._apply_transition(request_id, pending, transition)

    def _apply_transition(
        self, request_id: int, pending: _Pending, transition: store_fallback.Transition
    ) -> None:
        fallback, action = transition
        self._pending[request_id] = replace(pending, fallback=fallback)
        if isinstance(action, store_fallback.Retry):
            if not fallback.may_have_effect and self._must_reject(pending):
                self._finish(request_id, REJECTION)
                return
            is_late = self._is_too_late(pending, action.delay_ms)
            if not fallback.may_have_effect and is_late:
                self._finish(request_id, TOO_LATE)
                return
            self._context.set_timer(action.delay_ms, _RetryStore(request_id))
        elif isinstance(action, kv.Get | kv.Transact):
            self._send_to_store(request_id, action)
        else:
            assert not isinstance(action, kv.PlatformRequest)
            self._finish(request_id, action)

    def _send_to_store(self, request_id: int, request: kv.PlatformRequest) -> None:
        self._request_by_call[self._call_id] = request_id
        self._store_sent_ms[self._call_id] = self._context.now_ms()
        self._context.send("platform", request)

    def _record_store_answer(self, call_id: int, outcome: kv.PlatformOutcome) -> None:
        now_ms = self._context.now_ms()
        sent_ms = self._store_sent_ms.pop(call_id, now_ms)
        if isinstance(outcome, kv.Written | kv.Mismatch | kv.Found | kv.Missing):
            answers = self._store_answers.after_answer(now_ms - sent_ms, now_ms)
            self._store_answers = answers

    def _is_too_late(self, pending: _Pending, delay_ms: int = 0) -> bool:
        """Return whether a submission cannot be handed in in time any more."""
        now_ms = self._context.now_ms()
        left_ms = pending.due_ms - now_ms
        is_submission = isinstance(pending.call, SubmitJob)
        return is_submission and not can_hand_in(
            left_ms, delay_ms, self._store_answers, now_ms
        )

    def _must_reject(self, pending: _Pending) -> bool:
        """Return whether a call without an effect so far is rejected at once."""
        left_ms = pending.due_ms - self._context.now_ms()
        return self._is_cut_off and can_return(left_ms)

    def _retry_store(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and pending.fallback is not None:
            self._call_id += 1
            request = store_fallback.build_request(
                pending.fallback, self.name, self._call_id
            )
            self._send_to_store(request_id, request)

    def _expire(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if pending.fallback is not None:
            self._finish(request_id, store_fallback.timeout_answer(pending.fallback))
        else:
            self._finish(request_id, Undecided("the scheduler did not answer in time"))

    def _answer_pending(self) -> None:
        """Answer all calls as at their deadlines: rejected only without an effect."""
        self._is_ending = True
        for request_id in self._key_lookups.pop_all():
            self._finish(request_id, LOOKUP_FAILED)
        for request_id in [*self._pending]:
            self._expire(request_id)

    def _finish(self, request_id: int, answer: JobAnswer) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            elapsed_ms = self._context.clock.now_ms() - pending.received_ms
            call, kind = type(pending.call).__name__, type(answer).__name__
            self._observer.observe_call(call, kind, elapsed_ms)
            if isinstance(pending.call, CancelJob):
                is_from_store = pending.fallback is not None
                extra = {
                    "job": pending.call.job_id,
                    "answer": kind,
                    "from": "store" if is_from_store else "scheduler",
                    "scheduler": self._scheduler.holder,
                    "after_ms": elapsed_ms,
                }
                log.info("cancellation answered", extra=extra)
        if isinstance(answer, Rejected | Undecided):
            extra = {
                "job": _job_id(pending.call) if pending is not None else "",
                "call": type(pending.call).__name__ if pending is not None else "",
                "answer": type(answer).__name__,
                "detail": answer.detail,
                "scheduler": self._scheduler.holder,
            }
            log.info("call not served", extra=extra)
        status, headers, body = self._codec.encode(answer)
        self.answer(request_id, status, headers, body)


def _deadline_ms(text: str) -> int:
    deadline_ms = parse_decimal(text)
    if deadline_ms is None or deadline_ms > MAX_DEADLINE_MS:
        return DEFAULT_DEADLINE_MS
    return deadline_ms


def _job_id(call: JobCall) -> str:
    match call:
        case SubmitJob(job=job):
            return job.job_id
        case QueryJob(job_id=job_id) | CancelJob(job_id=job_id):
            return job_id
    return ""
