"""Applies events to the requests in progress and executes the resulting actions."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Refused
from guavapin.retries.backoff import delay_ms
from guavapin.retries.policy import spends_budget
from guavapin.routing.picker import PickRequest
from guavapin.serving import exchange as state_machine
from guavapin.serving.exchange import Phase
from guavapin.serving.exchange_arrival import build_exchange
from guavapin.serving.exchange_arrival import build_queue_entry
from guavapin.serving.exchange_arrival import choose_entry_host
from guavapin.serving.exchange_attempt import verdict_at_deadline
from guavapin.serving.exchange_attempts import AttemptTable
from guavapin.serving.exchange_bodies import RequestBodies
from guavapin.serving.exchange_claims import ClaimClient
from guavapin.serving.exchange_headers import read_head
from guavapin.serving.exchange_teams import TeamSlots
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import FlowControl

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.limits.queue import QueuedRequest
    from guavapin.retries.policy import EndedAttempt
    from guavapin.routing.verdict import Verdict
    from guavapin.serving.deadlines import DeadlineTimer
    from guavapin.serving.exchange import Action
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange import Transition
    from guavapin.serving.exchange_router import ExchangeRouter
    from guavapin.serving.exchange_upstream import Placement
    from guavapin.serving.messages import RequestBody
    from guavapin.serving.messages import RequestReceived

# A waiting request may be unable to use any free slot, for example a retry that has
# tried all upstreams with one. Up to this many such requests are skipped per dispatch,
# and the rest of the queue is not searched.
MAX_SKIPPED = 4


@dataclass(frozen=True, slots=True)
class RetryDue:
    """Timer: the backoff of a request has ended."""

    request_id: int


class RequestFlow:
    """Owns the `Exchange` records on behalf of the task `exchanges`."""

    def __init__(
        self, context: TaskContext, router: ExchangeRouter, deadlines: DeadlineTimer
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.attempts = AttemptTable(router)
        self.bodies = RequestBodies()
        self.claims = ClaimClient(context, router.settings.claims_service)
        self._context = context
        self._router = router
        self._deadlines = deadlines
        self._exchanges: dict[int, Exchange] = {}
        self._placements: dict[int, Placement] = {}
        self._claim_prefixes: dict[int, bytes] = {}
        self._teams = TeamSlots(router)
        self._pools_to_dispatch: set[str] = set()
        self._is_dispatching = False
        self._is_ending = False

    def __len__(self) -> int:
        return len(self._exchanges)

    def get(self, request_id: int) -> Exchange | None:
        """Return the record of a request, None if it is not in progress."""
        return self._exchanges.get(request_id)

    def on_received(self, message: RequestReceived) -> None:
        """Queue a request, send it to another zone, or refuse it at once."""
        if self._is_ending:
            self._refuse(message.request_id, 503, state_machine.PROCESS_ENDS)
            return
        service = self._router.match(message.headers, message.target)
        if service is None:
            self._refuse(message.request_id, 404, "no_such_service")
            return
        options = read_head(message.headers)
        if options.body_bytes > service.max_body_bytes:
            self._refuse(message.request_id, 413, "body_too_large")
            return
        state = self._router.services[service.name]
        state.earn_retry_budget()
        wait_ms = state.take_token(options.team, self._context.now_ms())
        if wait_ms > 0:
            self._refuse(message.request_id, 429, "quota", math.ceil(wait_ms / 1_000))
            return
        exchange = build_exchange(message, service, options, self._router)
        self._exchanges[exchange.request.request_id] = exchange
        if message.body_follows:
            self.bodies.open(exchange.request.request_id)
        remaining_ms = exchange.request.deadline_ms - self._context.now_ms()
        self._deadlines.set(exchange.request.request_id, max(remaining_ms, 0))
        if exchange.request.key:
            self._enqueue_keyed(exchange)
        elif not self._spill(exchange):
            self._enqueue(exchange)

    def on_body(self, part: RequestBody) -> None:
        """Forward a part of a body, or buffer it until the request is sent."""
        exchange = self._exchanges.get(part.request_id)
        if exchange is None:
            return
        size = self.bodies.add(part.request_id, part.data, part.is_last)
        if size > exchange.request.service.max_body_bytes:
            self.apply(state_machine.on_body_too_large(exchange))
        elif exchange.phase in (Phase.SENT, Phase.ANSWERING):
            forward = AttemptRequestBody(exchange.attempt_id, part.data, part.is_last)
            self._context.send("upstreams", forward)
        else:
            if self.bodies.pause_if_full(part.request_id):
                self._context.send("front", FlowControl(part.request_id, True))
            if exchange.request.key:
                self._enqueue_keyed(exchange)

    def on_deadline(self, request_id: int) -> None:
        """End a request whose deadline has passed."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            self.counts["deadlines"] += 1
            self.apply(state_machine.on_deadline(exchange))

    def answer_pending(self) -> None:
        """End all requests, and from now on refuse each new one."""
        self._is_ending = True
        for exchange in [*self._exchanges.values()]:
            self.apply(state_machine.on_process_end(exchange))

    def on_retry_due(self, request_id: int) -> None:
        """Queue a request again when its backoff ends."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and exchange.phase is Phase.QUEUED:
            self._enqueue(exchange, is_retry=True)

    def try_retry(self, exchange: Exchange, ended: EndedAttempt) -> bool:
        """Start the backoff of a retry if it is safe, within budget and in time.

        The attempt must have ended, or be cancelled by the caller of this method.
        """
        has_body = self.bodies.can_replay(exchange.request.request_id)
        if not state_machine.can_retry(exchange, ended, has_body):
            return False
        delay = delay_ms(
            exchange.attempts, self._router.rng, self._router.settings.backoff
        )
        end_ms = self._context.now_ms() + delay + exchange.request.expectation.run_ms
        if end_ms > exchange.request.deadline_ms:
            return False
        service = self._router.services[exchange.request.service.name]
        if spends_budget(ended) and not service.spend_retry():
            self.counts["retries_over_budget"] += 1
            return False
        self.counts["retries"] += 1
        self.bodies.stop_sending(exchange.request.request_id)
        self._exchanges[exchange.request.request_id] = state_machine.on_retry(
            exchange, ended
        )
        self._context.set_timer(delay, RetryDue(exchange.request.request_id))
        return True

    def store(self, transition: Transition) -> None:
        """Store a transition that does not end the request, and execute its actions."""
        exchange, actions = transition
        self._exchanges[exchange.request.request_id] = exchange
        for action in actions:
            self._execute(exchange, action)

    def apply(self, transition: Transition) -> None:
        """Store a transition and execute its actions.

        If the request has ended, requests that wait for its pool are started.
        """
        exchange = transition[0]
        self.store(transition)
        if exchange.phase is Phase.DONE:
            self._remove(exchange)
            self.dispatch(exchange.request.service.pool)

    def dispatch(self, pool_name: str) -> None:
        """Start waiting requests of the pool while it has free slots."""
        self._pools_to_dispatch.add(pool_name)
        # At the end of the process, each request is about to be answered as it is.
        if self._is_dispatching or self._is_ending:
            return
        self._is_dispatching = True
        while self._pools_to_dispatch:
            self._dispatch_pool(self._pools_to_dispatch.pop())
        self._is_dispatching = False

    def _dispatch_pool(self, pool_name: str) -> None:
        queue = self._router.queues[pool_name]
        pool, now_ms = queue.pool, self._context.now_ms()
        skipped: list[QueuedRequest] = []
        while len(queue.waiting) and pool.can_place and len(skipped) < MAX_SKIPPED:
            waiting = queue.waiting.pop(pool.allows_long())
            if waiting is None:
                break
            exchange = self._exchanges[waiting.request_id]
            if self._would_miss_deadline(exchange, now_ms):
                self.counts["refused_late"] += 1
                self.apply(state_machine.refuse(exchange, 503, "deadline"))
                continue
            request = PickRequest(waiting.is_long, exchange.tried)
            placement = pool.place(
                request,
                exchange.request.deadline_ms,
                exchange.request.is_idempotent,
                now_ms,
                self._router.rng,
            )
            if placement is None:
                skipped.append(waiting)
                continue
            self._placements[exchange.request.request_id] = placement
            self.apply(state_machine.on_admitted(exchange, placement.host))
        for waiting in reversed(skipped):
            queue.waiting.requeue(waiting)

    def _would_miss_deadline(self, exchange: Exchange, now_ms: int) -> bool:
        """Return whether a request that has waited is expected to miss its deadline."""
        if (
            not self._router.settings.refuses_early
            or now_ms <= exchange.request.received_ms
        ):
            return False
        return (
            now_ms + exchange.request.expectation.run_ms > exchange.request.deadline_ms
        )

    def _enqueue(self, exchange: Exchange, is_retry: bool = False) -> None:
        waiting = build_queue_entry(exchange)
        is_parked = not is_retry and self._teams.is_full(exchange)
        queue = self._router.queues[exchange.request.service.pool]
        outcome = queue.push(
            waiting,
            exchange.request.expectation.p95_ms,
            self._context.now_ms(),
            is_parked,
        )
        if isinstance(outcome, Refused):
            self.counts[f"refused_{outcome.reason.value}"] += 1
            self.apply(state_machine.refuse(exchange, 503, outcome.reason.value))
            return
        if not is_parked and not is_retry:
            self._teams.acquire(
                exchange.request.request_id,
                exchange.request.service.name,
                exchange.request.team,
            )
        self.dispatch(exchange.request.service.pool)

    def _enqueue_keyed(self, exchange: Exchange) -> None:
        """Queue a request with a key once its claim prefix has arrived."""
        request_id = exchange.request.request_id
        if exchange.phase is not Phase.QUEUED or request_id in self._claim_prefixes:
            return
        prefix = self.bodies.claim_prefix(request_id)
        if prefix is not None:
            self._claim_prefixes[request_id] = prefix
            self._enqueue(exchange)

    def _spill(self, exchange: Exchange) -> bool:
        """Send a request to another zone if the own zone is short of slots."""
        entry_host = choose_entry_host(exchange, self._router, self._context.now_ms())
        if not entry_host:
            return False
        self.counts["spilled"] += 1
        self.apply(state_machine.on_admitted(exchange, entry_host))
        return True

    def _execute(self, exchange: Exchange, action: Action) -> None:
        match action:
            case state_machine.SendToFront(message):
                self._context.send("front", message)
            case state_machine.Send():
                self._send(exchange)
            case state_machine.CancelSend(attempt_id, is_late):
                attempt = self.attempts.get(attempt_id)
                now_ms = self._context.now_ms()
                verdict = None
                if is_late and attempt is not None:
                    verdict = verdict_at_deadline(attempt, now_ms)
                self.cancel(attempt_id, exchange, verdict)
            case state_machine.Claim():
                prefix = self._claim_prefixes[exchange.request.request_id]
                refused = self.claims.claim(exchange, prefix)
                if refused:
                    self.apply(state_machine.on_claim_refused(exchange, 503, refused))
            case state_machine.RecordAnswer():
                self.claims.report_outcome(exchange, action)
                self.apply(state_machine.on_recorded(exchange))
            case _:
                self.claims.report_outcome(exchange, action)

    def _send(self, exchange: Exchange) -> None:
        placement = self._placements.pop(exchange.request.request_id, None)
        address = placement.address if placement else exchange.host
        now_ms = self._context.now_ms()
        body = self.bodies.start_sending(exchange.request.request_id)
        start = self.attempts.start(exchange, placement, address, body, now_ms)
        sent = state_machine.on_sent(exchange, start.attempt_id)
        self._exchanges[exchange.request.request_id] = sent
        self._context.send("upstreams", start)
        if self.bodies.resume_if_paused(exchange.request.request_id):
            self._context.send("front", FlowControl(exchange.request.request_id, False))

    def cancel(
        self, attempt_id: int, exchange: Exchange, verdict: Verdict | None
    ) -> None:
        """Cancel an attempt in progress; `on_closed` releases its slot.

        The request may still be running at the upstream until then.
        """
        self._context.send("upstreams", CancelAttempt(attempt_id))
        now_ms = self._context.now_ms()
        self.attempts.end(attempt_id, exchange, verdict, now_ms, keeps_slot=True)

    def on_closed(self, attempt_id: int) -> None:
        """Release the slot of a cancelled attempt and start a waiting request."""
        pool_name = self.attempts.release_slot(attempt_id, self._context.now_ms())
        if pool_name:
            self.dispatch(pool_name)

    def _remove(self, exchange: Exchange) -> None:
        request_id = exchange.request.request_id
        if self._exchanges.pop(request_id, None) is None:
            return
        self._deadlines.discard(request_id)
        self.bodies.drop(request_id)
        self.claims.drop(request_id)
        self._claim_prefixes.pop(request_id, None)
        queue = self._router.queues[exchange.request.service.pool]
        queue.waiting.cancel(request_id)
        placement = self._placements.pop(request_id, None)
        if placement is not None:
            queue.pool.end(placement, None, 1.0, self._context.now_ms())
        self._teams.release(request_id, queue.waiting)

    def _refuse(
        self, request_id: int, status: int, reason: str, retry_after_s: int = 1
    ) -> None:
        self.counts[f"refused_{reason}"] += 1
        for action in state_machine.refusal(
            request_id, status, "not-run", reason, retry_after_s
        ):
            if isinstance(action, state_machine.SendToFront):
                self._context.send("front", action.message)
