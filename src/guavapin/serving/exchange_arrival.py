"""Decisions at the arrival of a request: its record, queue entry and zone."""

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
    from guavapin.serving.exchange_headers import RequestOptions
    from guavapin.serving.exchange_router import ExchangeRouter
    from guavapin.serving.messages import RequestReceived


def build_exchange(
    message: RequestReceived,
    service: Service,
    options: RequestOptions,
    router: ExchangeRouter,
) -> Exchange:
    """Return the exchange of a request that has just arrived."""
    kind = request_kind(message.method, message.target, service.path_prefix)
    timeout_ms = service.timeout_ms
    if options.deadline_ms:
        timeout_ms = min(timeout_ms, options.deadline_ms)
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
        key="" if is_idempotent(message.method, service) else options.key,
        team=options.team,
        is_urgent=options.is_urgent,
        hops=options.hops,
    )
    return Exchange(request)


def build_queue_entry(exchange: Exchange) -> QueuedRequest:
    """Return the queue entry of a request."""
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
    """Return the entry host of another zone to send to, "" to serve in the own zone.

    A request with a key stays in its zone, because the other entry host would claim
    the key again.
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
        queue.expected_wait_ms(build_queue_entry(exchange)),
    )
    choice = choose_zone(
        own, reports, exchange.request.hops, now_ms, router.rng, router.settings.spill
    )
    return choice.entry_host if isinstance(choice, Spill) else ""
