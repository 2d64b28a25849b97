"""What a request's arrival decides: its record, its place in the queue, its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.limits.queue import QueuedRequest
from guavapin.retries.policy import is_idempotent
from guavapin.routing.run_time import request_kind
from guavapin.routing.zones import OwnSupply
from guavapin.routing.zones import Spill
from guavapin.routing.zones import choose_zone
from guavapin.serving.exchange import Exchange
from guavapin.serving.exchange_request import CallerRequest

if TYPE_CHECKING:
    from guavapin.objects.model import Service
    from guavapin.serving.exchange_head import RequestHead
    from guavapin.serving.exchange_router import ExchangeRouter
    from guavapin.serving.messages import RequestReceived


def build_exchange(
    message: RequestReceived,
    service: Service,
    head: RequestHead,
    router: ExchangeRouter,
) -> Exchange:
    """Return the record of a request that has just arrived."""
    kind = request_kind(message.method, message.target, service.path_prefix)
    timeout_ms = service.timeout_ms
    if head.deadline_ms:
        timeout_ms = min(timeout_ms, head.deadline_ms)
    run_times = router.services[service.name].run_times
    request = CallerRequest(
        request_id=message.request_id,
        service=service,
        method=message.method,
        target=message.target,
        headers=message.headers,
        received_ms=message.received_ms,
        deadline_ms=message.received_ms + timeout_ms,
        expectation=run_times.expect_within(kind, timeout_ms, message.received_ms),
        kind=kind,
        # Idempotent requests need no claim.
        key="" if is_idempotent(message.method, service) else head.key,
        team=head.team,
        is_urgent=head.is_urgent,
        hops=head.hops,
    )
    return Exchange(request)


def waiting_of(exchange: Exchange) -> QueuedRequest:
    """Return what the queue needs to know of a request."""
    request = exchange.request
    return QueuedRequest(
        request.request_id,
        request.deadline_ms,
        request.expectation.run_ms,
        request.service.name,
        request.service.queue_limit,
        request.is_urgent,
        request.expectation.is_long,
        request.team,
    )


def choose_entry_host(exchange: Exchange, router: ExchangeRouter, now_ms: int) -> str:
    """Return the entry host of another zone to use, empty to serve in the own one.

    A request with a key never leaves: the other entry host would claim it again.
    """
    if exchange.request.key:
        return ""
    reports = router.zone_reports(exchange.request.service.pool)
    if not reports:
        return ""
    queue = router.queues[exchange.request.service.pool]
    own = OwnSupply(
        queue.pool.usable_upstreams,
        queue.pool.free_upstreams,
        queue.expected_wait_ms(waiting_of(exchange)),
    )
    choice = choose_zone(
        own, reports, exchange.request.hops, now_ms, router.rng, router.settings.spill
    )
    return choice.entry_host if isinstance(choice, Spill) else ""
