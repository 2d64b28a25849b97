"""The service `intake`: callers' requests about jobs."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.intake import fallback as machine
from guavapin.intake.peer_codec import PEER_PATH
from guavapin.intake.peer_codec import decode_peer_answer
from guavapin.intake.peer_codec import decode_scheduler
from guavapin.intake.peer_codec import encode_peer_call
from guavapin.intake.peer_codec import scheduler_news
from guavapin.intake.peer_desk import NOT_KNOWN
from guavapin.intake.peer_desk import NOT_SCHEDULING
from guavapin.jobs.calls import BadCall
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import NoSuchQueue
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import Undecided
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachNoted
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.request_handler import RequestHandler

if TYPE_CHECKING:
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.metrics.resident import CallObserver
    from guavapin.serving.messages import Headers
    from guavapin.serving.request_handler import WholeRequest

# An answer of the scheduler takes one write to the store, usually below 50 ms.
FORWARD_TIMEOUT_MS = 800

# Time of a caller who states none.
DEFAULT_DEADLINE_MS = 3_000

# Kept back from a caller's time for the way of the answer, but no more than a fifth:
# the last tries of a caller have little time left.
ANSWER_MARGIN_MS = 150

log = logging.getLogger("guavapin.intake")


class JobCallWire(Protocol):
    """Translates callers' requests and the answers to them; never raises."""

    @property
    def deadline_header(self) -> bytes:
        """Return the header that holds how many milliseconds a caller waits."""
        ...

    def decode(
        self, queue: Queue, method: str, path: str, body: bytes, wall_ms: int
    ) -> JobCall | BadCall:
        """Return what a caller asks of `queue`."""
        ...

    def encode(self, answer: JobAnswer) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer."""
        ...


@dataclass(frozen=True, slots=True)
class _Deadline:
    """Timer: the caller's time is over."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _Again:
    """Timer: ask the store again."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _Pending:
    """A call whose answer is not known; `fallback` once the store is asked."""

    call: JobCall
    received_ms: int
    fallback: machine.Fallback | None = None


class IntakeTask(RequestHandler):
    """Service ``intake`` behind the callers' front.

    A call goes to the scheduler, here or at another entry host; without one the store
    alone decides. A call is refused only when it certainly has had no effect.
    """

    name = "intake"

    def __init__(self, wire: JobCallWire, holder: str, observer: CallObserver) -> None:
        super().__init__("front")
        self._wire = wire
        self._holder = holder
        self._observer = observer
        self._table: QueueTable | None = None
        self._scheduler = KnownScheduler("", "", 0)
        # The last one that was known; nobody schedules while a duty changes hands.
        self._former = self._scheduler
        self._pending: dict[int, _Pending] = {}
        # Calls on their way to a peer or the store, by number.
        self._calls: dict[int, int] = {}
        self._number = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for requests."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Forget what is pending."""
        self._pending.clear()

    def handle(self, message: object) -> None:
        """Take a request, an answer, a timer or news."""
        match message:
            case QueueTableChanged(table=table):
                self._table = table
            case KnownScheduler():
                self._take_known(message)
            case PeerScheduler(scheduler=scheduler):
                self._take_news(scheduler)
            case JobReply(request_id=request_id, answer=answer):
                self._take_scheduler(request_id, answer, message.may_have_effect)
            case PeerReply(request_id=number, outcome=outcome):
                self._take_peer(number, outcome)
            case kv.Reply(request_id=number, outcome=outcome):
                self._take_store(number, outcome)
            case _Again(request_id=request_id):
                self._ask_again(request_id)
            case _Deadline(request_id=request_id):
                self._give_up(request_id)
            case _:
                if not self.handle_front_message(message):
                    raise InvariantError(f"intake: unexpected message {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Answer a request, or begin to find the answer."""
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
        wall_ms = self._context.clock.wall_ms()
        call = self._wire.decode(queue, req.method, path, req.body, wall_ms)
        if isinstance(call, BadCall):
            log.info("bad call", extra={"queue": queue.name, "detail": call.detail})
            self._finish(req.request_id, call)
            return
        self._pending[req.request_id] = _Pending(call, req.received_ms)
        wait_ms = _deadline_ms(req.header(self._wire.deadline_header))
        left_ms = wait_ms - min(ANSWER_MARGIN_MS, wait_ms // 5)
        self._context.set_timer(left_ms, _Deadline(req.request_id))
        self._forward(req.request_id, call)

    def handle_caller_gone(self, request_id: int) -> None:
        """Forget a call that nobody waits for."""
        self._pending.pop(request_id, None)

    def _forward(self, request_id: int, call: JobCall) -> None:
        if self._scheduler.holder == self._holder:
            request = JobRequest(self.name, request_id, call)
            self._context.send("scheduler", request)
        elif self._scheduler.address:
            self._number += 1
            self._calls[self._number] = request_id
            peer_call = PeerCall(
                self.name,
                self._number,
                self._scheduler.address,
                "POST",
                PEER_PATH,
                encode_peer_call(call),
                FORWARD_TIMEOUT_MS,
            )
            self._context.send("http", peer_call)
        else:
            self._fall_back(request_id, may_have_effect=False)

    def _take_peer(self, number: int, outcome: object) -> None:
        request_id = self._calls.pop(number, 0)
        if not request_id:
            # News for a former scheduler, which may be gone.
            return
        status = outcome.status if isinstance(outcome, Answered) else 0
        # A host that does not schedule is of no more use to callers than none.
        is_reached = status not in (0, NOT_SCHEDULING)
        self._context.send("reach", ReachNoted(is_reached))
        if not isinstance(outcome, Answered):
            was_sent = getattr(outcome, "was_sent", True)
            self._take_scheduler(request_id, None, may_have_effect=was_sent)
        elif status == NOT_SCHEDULING:
            self._take_redirect(request_id, decode_scheduler(outcome.body))
        else:
            answer = decode_peer_answer(outcome.body) if status == 200 else None
            self._take_scheduler(request_id, answer, status != NOT_KNOWN)

    def _take_known(self, known: KnownScheduler) -> None:
        self._scheduler = known
        if not known.address:
            return
        former, self._former = self._former, known
        is_own = known.holder == self._holder
        if is_own and former.address not in ("", known.address):
            # It may not reach the store, and hosts that do not reach it either go on
            # asking it.
            self._number += 1
            call = scheduler_news(self.name, self._number, former.address, known)
            self._context.send("http", call)

    def _take_redirect(self, request_id: int, later: KnownScheduler | None) -> None:
        """Ask a later scheduler that the asked host has named, or the store."""
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if later is not None and self._take_news(later) and pending.fallback is None:
            self._forward(request_id, pending.call)
        else:
            self._fall_back(request_id, may_have_effect=False)

    def _take_news(self, later: KnownScheduler) -> bool:
        """Believe a peer that names a later scheduler than the store has shown here.

        A host that does not reach the store learns of a takeover in no other way.
        """
        is_later = later.token > self._scheduler.token
        if is_later:
            extra = {"holder": later.holder, "token": later.token}
            log.info("scheduler named by a peer", extra=extra)
            self._scheduler = later
        return is_later

    def _take_scheduler(
        self, request_id: int, answer: JobAnswer | None, may_have_effect: bool
    ) -> None:
        if answer is not None:
            self._finish(request_id, answer)
        elif request_id in self._pending:
            self._fall_back(request_id, may_have_effect)

    def _fall_back(self, request_id: int, may_have_effect: bool) -> None:
        pending = self._pending.get(request_id)
        if pending is None or pending.fallback is not None:
            return
        log.info("asking the store", extra={"job": _job_id(pending.call)})
        self._number += 1
        step = machine.begin(pending.call, may_have_effect, self.name, self._number)
        self._do(request_id, pending, step)

    def _take_store(self, number: int, outcome: kv.PlatformOutcome) -> None:
        request_id = self._calls.pop(number, 0)
        is_failed = isinstance(outcome, kv.Unknown | kv.NotSent)
        self._context.send("reach", ReachNoted(not is_failed))
        pending = self._pending.get(request_id)
        if pending is None or pending.fallback is None:
            return
        self._number += 1
        step = machine.take(pending.fallback, outcome, self.name, self._number)
        self._do(request_id, pending, step)

    def _do(self, request_id: int, pending: _Pending, step: machine.Next) -> None:
        fallback, action = step
        self._pending[request_id] = _Pending(
            pending.call, pending.received_ms, fallback
        )
        if isinstance(action, machine.Retry):
            self._context.set_timer(action.delay_ms, _Again(request_id))
        elif isinstance(action, kv.Get | kv.Transact):
            self._calls[self._number] = request_id
            self._context.send("platform", action)
        else:
            assert not isinstance(action, kv.PlatformRequest)
            self._finish(request_id, action)

    def _ask_again(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and pending.fallback is not None:
            self._number += 1
            self._calls[self._number] = request_id
            request = machine.request_of(pending.fallback, self.name, self._number)
            self._context.send("platform", request)

    def _give_up(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if pending.fallback is not None:
            self._finish(request_id, machine.give_up(pending.fallback))
        else:
            self._finish(request_id, Undecided("the scheduler did not answer in time"))

    def _finish(self, request_id: int, answer: JobAnswer) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            elapsed_ms = self._context.clock.now_ms() - pending.received_ms
            call, kind = type(pending.call).__name__, type(answer).__name__
            self._observer.observe_call(call, kind, elapsed_ms)
        if isinstance(answer, Rejected | Undecided):
            extra = {
                "job": _job_id(pending.call) if pending is not None else "",
                "call": type(pending.call).__name__ if pending is not None else "",
                "answer": type(answer).__name__,
                "detail": answer.detail,
                "scheduler": self._scheduler.holder,
            }
            log.info("call not served", extra=extra)
        status, headers, body = self._wire.encode(answer)
        self.answer(request_id, status, headers, body)


def _deadline_ms(text: str) -> int:
    return int(text) if text.isdigit() and len(text) < 9 else DEFAULT_DEADLINE_MS


def _job_id(call: JobCall) -> str:
    match call:
        case SubmitJob(job=job):
            return job.job_id
        case QueryJob(job_id=job_id) | CancelJob(job_id=job_id):
            return job_id
    return ""
