"""The task `exchanges`: owns the requests in progress and assigns them to upstreams."""

from __future__ import annotations

import itertools
from collections import Counter
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.serving.exchange import Exchange
from guavapin.serving.exchange import Phase
from guavapin.serving.exchange import SendToFront
from guavapin.serving.exchange import on_attempt_body
from guavapin.serving.exchange import on_attempt_ended
from guavapin.serving.exchange import on_attempt_head
from guavapin.serving.exchange import on_caller_gone
from guavapin.serving.exchange import on_deadline
from guavapin.serving.exchange import refusal
from guavapin.serving.exchange import start_attempt
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived
from guavapin.serving.route_table import RouteTable
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import match_service

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.serving.exchange import Action
    from guavapin.serving.exchange import Step
    from guavapin.serving.route_table import Upstream


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Timer: the deadline of a request has passed."""

    request_id: int


class ExchangesTask:
    """Service `exchanges`; see `guavapin.serving.exchange` for the decisions."""

    name = "exchanges"

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._table = RouteTable()
        self._exchanges: dict[int, Exchange] = {}
        self._requests_by_attempt: dict[int, int] = {}
        self._waiting: dict[str, deque[int]] = {}
        self._early_bodies: dict[int, list[RequestBody]] = {}
        self._outstanding: Counter[str] = Counter()
        self._attempt_ids = itertools.count(1)
        self._context: TaskContext

    def start(self, context: TaskContext) -> Outcome[None]:
        """Keep the context; this task has no sockets."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle one message of `front`, `upstreams`, the routes or a timer."""
        match message:
            case RequestReceived():
                self._on_received(message)
            case RequestBody():
                self._on_request_body(message)
            case AttemptHead() | AttemptBody() | AttemptEnded():
                self._on_attempt(message)
            case CallerGone(request_id):
                exchange = self._exchanges.get(request_id)
                if exchange is not None:
                    self._apply(on_caller_gone(exchange))
            case DeadlinePassed(request_id):
                exchange = self._exchanges.get(request_id)
                if exchange is not None:
                    self._apply(on_deadline(exchange))
            case RouteTableChanged(table):
                self._table = table
                for pool in list(self._waiting):
                    self._assign_waiting(pool)

    def stop(self) -> None:
        """Nothing to close."""

    def _on_received(self, message: RequestReceived) -> None:
        host_header = next((v for k, v in message.headers if k == b"host"), b"")
        service = match_service(
            self._table, host_header.decode("latin-1"), message.target
        )
        if service is None:
            self._act(refusal(message.request_id, 404, "not-run", "no_such_service"))
            return
        exchange = Exchange(
            request_id=message.request_id,
            service=service,
            method=message.method,
            target=message.target,
            headers=message.headers,
            received_ms=message.received_ms,
            deadline_ms=message.received_ms + service.timeout_ms,
            body_follows=message.body_follows,
        )
        queue = self._waiting.setdefault(service.pool, deque())
        if len(queue) >= service.queue_limit:
            self._act(refusal(message.request_id, 503, "not-run", "queue_full"))
            return
        self._exchanges[message.request_id] = exchange
        self._context.set_timer(service.timeout_ms, DeadlinePassed(message.request_id))
        queue.append(message.request_id)
        self._assign_waiting(service.pool)

    def _assign_waiting(self, pool: str) -> None:
        queue = self._waiting.get(pool, deque())
        while queue:
            exchange = self._exchanges.get(queue[0])
            if exchange is None or exchange.phase is not Phase.QUEUED:
                queue.popleft()
                continue
            upstream = self._pick(pool)
            if upstream is None:
                return
            queue.popleft()
            self._start(exchange, upstream)

    def _pick(self, pool: str) -> Upstream | None:
        spec = self._table.pools.get(pool)
        members = self._table.upstreams.get(pool, ())
        if spec is None:
            return None
        free = [
            upstream
            for upstream in members
            if upstream.takes_work
            and upstream.zone == self._zone
            and self._outstanding[upstream.host] < spec.slots
        ]
        return min(free, key=lambda u: self._outstanding[u.host], default=None)

    def _start(self, exchange: Exchange, upstream: Upstream) -> None:
        attempt_id = next(self._attempt_ids)
        self._outstanding[upstream.host] += 1
        self._requests_by_attempt[attempt_id] = exchange.request_id
        self._apply(
            start_attempt(
                exchange,
                upstream.host,
                upstream.address,
                attempt_id,
                self._context.now_ms(),
            )
        )
        for part in self._early_bodies.pop(exchange.request_id, ()):
            self._on_request_body(part)

    def _on_request_body(self, part: RequestBody) -> None:
        exchange = self._exchanges.get(part.request_id)
        if exchange is None:
            return
        if exchange.phase is Phase.QUEUED:
            self._early_bodies.setdefault(part.request_id, []).append(part)
            return
        forward = AttemptRequestBody(exchange.attempt_id, part.data, part.is_last)
        self._context.send("upstreams", forward)

    def _on_attempt(self, event: AttemptHead | AttemptBody | AttemptEnded) -> None:
        request_id = self._requests_by_attempt.get(event.attempt_id)
        exchange = self._exchanges.get(request_id) if request_id is not None else None
        if exchange is None:
            return
        match event:
            case AttemptHead():
                self._apply(on_attempt_head(exchange, event))
            case AttemptBody():
                self._apply(on_attempt_body(exchange, event))
            case AttemptEnded():
                self._apply(on_attempt_ended(exchange, event))

    def _apply(self, step: Step) -> None:
        exchange, actions = step
        self._act(actions)
        if exchange.phase is Phase.DONE:
            self._forget(exchange)
        else:
            self._exchanges[exchange.request_id] = exchange

    def _forget(self, exchange: Exchange) -> None:
        self._exchanges.pop(exchange.request_id, None)
        self._early_bodies.pop(exchange.request_id, None)
        if self._requests_by_attempt.pop(exchange.attempt_id, None) is not None:
            self._outstanding[exchange.host] -= 1
            self._assign_waiting(exchange.service.pool)

    def _act(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            target = "front" if isinstance(action, SendToFront) else "upstreams"
            self._context.send(target, action.message)
