"""The task `exchanges`: owns the requests in progress and assigns them to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimRefused
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanRequest
from guavapin.limits.slots import LoanReturn
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import PeerMessage
from guavapin.retries.policy import EndedAttempt
from guavapin.serving import exchange as state_machine
from guavapin.serving import exchange_loans
from guavapin.serving.deadlines import DeadlineTimer
from guavapin.serving.exchange import Phase
from guavapin.serving.exchange_attempt import verdict_of
from guavapin.serving.exchange_claims import on_claim_answer
from guavapin.serving.exchange_flow import RequestFlow
from guavapin.serving.exchange_flow import RetryDue
from guavapin.serving.exchange_headers import announces_leaving
from guavapin.serving.exchange_headers import is_not_run_refusal
from guavapin.serving.exchange_messages import AwaitLoansReturned
from guavapin.serving.exchange_messages import EndHoldOff
from guavapin.serving.exchange_messages import GetSupply
from guavapin.serving.exchange_messages import ReportSupply
from guavapin.serving.exchange_messages import SupplyReported
from guavapin.serving.exchange_peers import ExchangePeers
from guavapin.serving.exchange_relay import SupplyReport
from guavapin.serving.exchange_relay import UpstreamLeaving
from guavapin.serving.exchange_router import ExchangeRouter
from guavapin.serving.exchange_where import ExplainRequest
from guavapin.serving.exchange_where import explain_request
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import GetCounts
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived
from guavapin.serving.route_table import RouteTableChanged

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange_attempt import Attempt
    from guavapin.serving.exchange_settings import ExchangeSettings

# Interval at which slow start, cool-downs and loans are updated. Requests do not wait
# for it, because each end of an attempt dispatches the next request.
TICK_MS = 250
# An idempotent request that arrives within this many ticks serves as the trial of an
# upstream. After that, an active probe is sent.
PROBE_AFTER_TICKS = 8
MAX_LOANS_PER_TICK = 8
# Free slots are reported to the other zones once a second. With 47 pools and 9 peers
# this costs about 6 KB/s.
REPORT_TICKS = 4


@dataclass(frozen=True, slots=True)
class _DeadlinePassed:
    """Timer: the deadline of a request may have passed."""


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: update the state that depends on the time."""


class ExchangesTask:
    """Service `exchanges`; `guavapin.serving.exchange` holds its state machine."""

    name = "exchanges"

    def __init__(self, settings: ExchangeSettings) -> None:
        self._settings = settings
        self._trial_ticks: dict[str, int] = {}
        self._ticks = 0
        self._loan_waiters: list[Future[Any]] = []
        # Set once the seat is to be released: its next process uses the whole share.
        self._is_releasing = False
        self._context: TaskContext
        self._router: ExchangeRouter
        self._flow: RequestFlow
        self._peers: ExchangePeers
        self._deadlines: DeadlineTimer

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the hold-off of the seat; this task has no sockets."""
        self._context = context
        self._deadlines = DeadlineTimer(context, _DeadlinePassed())
        self._router = ExchangeRouter(self._settings, context.now_ms())
        self._flow = RequestFlow(context, self._router, self._deadlines)
        self._peers = ExchangePeers(context, self._settings)
        self._router.read_reports = self._peers.zone_reports
        context.set_timer(TICK_MS, _Tick())
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this task has no sockets."""

    def handle(self, message: object) -> None:
        """Handle a message of another task or a timer."""
        match message:
            case RequestReceived():
                self._flow.on_received(message)
            case RequestBody():
                self._flow.on_body(message)
            case AttemptHead():
                self._on_head(message)
            case AttemptBody():
                self._on_body(message)
            case AttemptEnded():
                self._on_ended(message)
            case AttemptClosed(attempt_id):
                self._flow.on_closed(attempt_id)
            case CallerGone(request_id):
                exchange = self._flow.get(request_id)
                if exchange is not None:
                    self._flow.apply(state_machine.on_caller_gone(exchange))
            case FlowControl():
                self._on_flow_control(message)
            case RetryDue(request_id):
                self._flow.on_retry_due(request_id)
            case _DeadlinePassed():
                for request_id in self._deadlines.pop_due():
                    self._flow.on_deadline(request_id)
            case _:
                self._handle_rare(message)

    def _handle_rare(self, message: object) -> None:
        match message:
            case _Tick():
                self._on_tick()
            case ClaimGranted() | ClaimRefused():
                self._on_claim(message)
            case PeerMessage():
                self._on_peer(message)
            case MembershipChanged():
                self._peers.on_membership(message)
            case RouteTableChanged(table):
                self._router.configure(table, self._context.now_ms())
                for name in self._router.pools:
                    self._flow.dispatch(name)
            case AnswerPending():
                self._flow.answer_pending()
            case EndHoldOff():
                self._router.end_hold_off(self._context.now_ms())
                for name in self._router.pools:
                    self._flow.dispatch(name)
            case Call(AwaitLoansReturned(), fut):
                self._is_releasing = True
                self._loan_waiters.append(fut)
            case ReportSupply(reply_to):
                supply = SupplyReported(self._router.supply())
                self._context.send(reply_to, supply)
            case Call(GetSupply(), fut):
                fut.set_result(self._router.supply())
            case Call(ExplainRequest() as query, fut):
                now_ms = self._context.now_ms()
                fut.set_result(explain_request(self._router, query, now_ms))
            case Call(GetCounts(), fut):
                fut.set_result(self._read_counts())

    def _on_head(self, event: AttemptHead) -> None:
        attempt = self._flow.attempts.get(event.attempt_id)
        if attempt is None:
            self._flow.counts["late_messages"] += 1
            return
        self._flow.attempts.set_status(event.attempt_id, event.status)
        if attempt.placement is not None and announces_leaving(
            event.status, event.headers, event.is_closing
        ):
            self._announce_leaving(attempt.placement.host)
        exchange = self._flow.get(attempt.request_id)
        if exchange is None or self._retry_on_head(exchange, attempt, event):
            return
        if exchange.is_claimed:
            self._flow.claims.start_answer(
                exchange.request.request_id, event.status, event.headers
            )
        self._flow.apply(
            state_machine.on_answer_head(exchange, event.status, event.headers)
        )

    def _retry_on_head(
        self, exchange: Exchange, attempt: Attempt, event: AttemptHead
    ) -> bool:
        """Retry if the status allows it; the body of the answer is not read."""
        is_peer = attempt.placement is None
        ended = EndedAttempt(
            AttemptResult.COMPLETE,
            event.status,
            is_refused_not_run=is_peer and is_not_run_refusal(event.headers),
            was_forwarded=is_peer,
        )
        if not self._flow.try_retry(exchange, ended):
            return False
        completed = AttemptEnded(event.attempt_id, AttemptResult.COMPLETE)
        verdict = verdict_of(exchange, completed, event.status, self._settings.rules)
        self._flow.cancel(event.attempt_id, exchange, verdict)
        self._flow.dispatch(exchange.request.service.pool)
        return True

    def _on_body(self, event: AttemptBody) -> None:
        attempt = self._flow.attempts.get(event.attempt_id)
        exchange = self._flow.get(attempt.request_id) if attempt else None
        if exchange is None:
            self._flow.counts["late_messages"] += 1
            return
        self._flow.claims.add_body(exchange.request.request_id, event.data)
        self._flow.store(state_machine.on_answer_body(exchange, event.data))

    def _on_ended(self, event: AttemptEnded) -> None:
        attempt = self._flow.attempts.get(event.attempt_id)
        if attempt is None:
            self._flow.counts["late_messages"] += 1
            return
        exchange = self._flow.get(attempt.request_id)
        status = self._flow.attempts.status_of(event.attempt_id)
        verdict = verdict_of(exchange, event, status, self._settings.rules)
        now_ms = self._context.now_ms()
        self._flow.attempts.end(event.attempt_id, exchange, verdict, now_ms)
        self._flow.counts[f"attempts_{event.result.value}"] += 1
        if exchange is None:
            self._flow.dispatch(attempt.pool)
            return
        is_peer = attempt.placement is None
        is_sent = event.result is not AttemptResult.NOT_SENT
        if is_peer and not is_sent:
            self._peers.drop_report(exchange.host)
            self._router.invalidate_reports()
        ended = EndedAttempt(event.result, status, was_forwarded=is_peer)
        if self._flow.try_retry(exchange, ended):
            self._flow.dispatch(attempt.pool)
            return
        reason = event.result.value if is_sent else "upstream_unreachable"
        self._flow.apply(state_machine.on_attempt_ended(exchange, ended, reason))

    def _on_flow_control(self, message: FlowControl) -> None:
        if message.is_attempt:
            attempt = self._flow.attempts.get(message.id)
            if attempt is not None and attempt.request_id:
                forward = FlowControl(attempt.request_id, message.is_paused)
                self._context.send("front", forward)
            return
        exchange = self._flow.get(message.id)
        if exchange is not None and exchange.phase is Phase.ANSWERING:
            forward = FlowControl(exchange.attempt_id, message.is_paused)
            self._context.send("upstreams", forward)

    def _on_claim(self, answer: ClaimGranted | ClaimRefused) -> None:
        exchange = self._flow.get(answer.request_id)
        if exchange is None:
            self._flow.counts["late_messages"] += 1
            return
        self._flow.apply(on_claim_answer(exchange, answer))

    def _on_peer(self, message: PeerMessage) -> None:
        match self._peers.decode(message):
            case LoanRequest() | LoanGrant() | LoanReturn() as loan:
                self._on_loan(loan)
            case UpstreamLeaving(host):
                self._mark_leaving(host)
            case SupplyReport():
                self._router.invalidate_reports()

    def _on_loan(self, message: LoanRequest | LoanGrant | LoanReturn) -> None:
        pool = self._router.pool_of_host(message.upstream)
        if pool is None or (self._is_releasing and isinstance(message, LoanRequest)):
            return
        has_waiting = bool(len(self._router.queues[pool.name].waiting))
        now_ms = self._context.now_ms()
        reply = exchange_loans.handle_message(
            pool, message, has_waiting, self._settings, now_ms
        )
        if reply is not None:
            self._peers.send_to_seat(reply)
        self._flow.dispatch(pool.name)

    def _on_tick(self) -> None:
        self._context.set_timer(TICK_MS, _Tick())
        now_ms = self._context.now_ms()
        self._ticks += 1
        if self._ticks % REPORT_TICKS == 0:
            self._peers.report_supply(self._router.supply())
            self._router.invalidate_reports()
        for name, pool in self._router.pools.items():
            for message in exchange_loans.return_idle(pool, self._settings, now_ms):
                self._peers.send_to_seat(message)
            pool.tick(now_ms)
            self._probe(name)
            if len(self._router.queues[name].waiting):
                self._flow.dispatch(name)
                self._request_loans(name)
        self._answer_loan_waiters(now_ms)

    def _answer_loan_waiters(self, now_ms: int) -> None:
        """Answer `AwaitLoansReturned` once no slot of this seat is in use."""
        attempts = self._flow.attempts
        is_in_use = len(attempts) or attempts.closing or self._router.lent_slots(now_ms)
        if not is_in_use:
            for fut in self._loan_waiters:
                fut.set_result(Ok(None))
            self._loan_waiters.clear()

    def _request_loans(self, pool_name: str) -> None:
        """Request loans while requests wait, one slot of an upstream at a time."""
        waiting = len(self._router.queues[pool_name].waiting)
        if not self._peers.is_connected:
            return
        for _ in range(min(waiting, MAX_LOANS_PER_TICK)):
            message = exchange_loans.request_slot(
                self._router.pools[pool_name],
                self._router.seats,
                self._settings,
                self._context.now_ms(),
                self._router.rng,
            )
            if message is None:
                return
            self._peers.send_to_seat(message)

    def _probe(self, pool_name: str) -> None:
        if self._is_releasing or not self._router.pools[pool_name].due_trials:
            self._trial_ticks.pop(pool_name, None)
            return
        ticks = self._trial_ticks.get(pool_name, 0) + 1
        self._trial_ticks[pool_name] = ticks
        if ticks < PROBE_AFTER_TICKS:
            return
        start = self._flow.attempts.start_probe(pool_name, self._context.now_ms())
        if start is not None:
            self._flow.counts["probes"] += 1
            self._context.send("upstreams", start)

    def _announce_leaving(self, host: str) -> None:
        if self._mark_leaving(host):
            self._peers.announce_leaving(host)

    def _mark_leaving(self, host: str) -> bool:
        pool = self._router.pool_of_host(host)
        if pool is None:
            return False
        return pool.mark_leaving(host, self._context.now_ms())

    def _read_counts(self) -> dict[str, int]:
        return {
            **self._flow.counts,
            "requests_in_progress": len(self._flow),
            "attempts_in_progress": len(self._flow.attempts),
            "attempts_closing": self._flow.attempts.closing,
        }
