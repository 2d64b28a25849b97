"""Explains where a request would be sent now, by the functions that send requests.

Nothing is sent, reserved or counted. Random choices are made with a copy of the random
state, so that the next real request of the same kind gets the same choice.
"""

from __future__ import annotations

import copy
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.routing import health as health_rules
from guavapin.routing.picker import PickRequest
from guavapin.serving import exchange_upstream
from guavapin.serving.exchange_arrival import build_exchange
from guavapin.serving.exchange_arrival import build_queue_entry
from guavapin.serving.exchange_arrival import choose_entry_host
from guavapin.serving.exchange_headers import TEAM
from guavapin.serving.exchange_headers import read_head
from guavapin.serving.messages import RequestReceived

if TYPE_CHECKING:
    from guavapin.kernel.outcome import Outcome
    from guavapin.serving.exchange_pool import ExchangePool
    from guavapin.serving.exchange_router import ExchangeRouter
    from guavapin.serving.exchange_upstream import UpstreamRecord


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Query, sent as a `Call`; the reply is an `Outcome` of `RouteExplanation`."""

    host: str
    path: str
    size: int = 0
    method: str = "GET"
    team: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """An upstream in the own zone; `reason` is "" for a candidate.

    `score` is the cost by which the default picker compares two candidates.
    """

    host: str
    address: str
    reason: str
    outstanding: int
    usable_slots: int
    score: float


@dataclass(frozen=True, slots=True)
class RouteExplanation:
    """Where a request would be sent now.

    `chosen` is the upstream, or the entry host of another zone if `is_other_zone` is
    set; it is "" for a request that would wait or be refused. `rejection` has the
    status and the reason of a refusal, with `retry_after_s`.
    """

    generation: int
    service: str
    pool: str
    zone: str
    is_long: bool
    chosen: str
    is_other_zone: bool
    is_trial: bool
    rejection: str
    retry_after_s: int
    ahead: int
    expected_wait_ms: int
    upstreams: tuple[UpstreamView, ...]


def explain_request(
    router: ExchangeRouter, query: ExplainRequest, now_ms: int
) -> Outcome[RouteExplanation]:
    """Return where a request that arrives now would be sent, and why."""
    headers = (
        (b"host", query.host.encode("latin-1", "replace")),
        (b"content-length", str(query.size).encode()),
        (TEAM, query.team.encode("latin-1", "replace")),
    )
    service = router.match(headers, query.path)
    if service is None:
        names = ", ".join(sorted(router.services)[:10]) or "none"
        detail = (
            f"host = {query.host[:80]!r}, path = {query.path[:80]!r}; expected those "
            f"of a service: {names}"
        )
        return Refused(Reason.MISSING, detail)
    options = read_head(headers)
    message = RequestReceived(0, query.method, query.path, headers, now_ms, False)
    exchange = build_exchange(message, service, options, router)
    queue = router.queues[service.pool]
    entry = build_queue_entry(exchange)
    expectation = exchange.request.expectation
    rejection, retry_after_s = "", 0
    wait_ms = router.services[service.name].preview_token(options.team, now_ms)
    refused = queue.check(entry, expectation.p95_ms, now_ms)
    chosen, is_other_zone, is_trial = "", False, False
    if options.body_bytes > service.max_body_bytes:
        limit = service.max_body_bytes
        rejection = f"413: {options.body_bytes} bytes, expected at most {limit}"
    elif wait_ms > 0:
        rejection, retry_after_s = "429: quota", math.ceil(wait_ms / 1_000)
    else:
        probe = _with_own_random_state(router)
        chosen = choose_entry_host(exchange, probe, now_ms)
        is_other_zone = bool(chosen)
        if not chosen and refused is not None:
            rejection, retry_after_s = f"503: {refused.detail}", 1
        elif not chosen and not queue.waiting.ahead_of(entry):
            placement = queue.pool.preview(
                PickRequest(entry.is_long),
                entry.deadline_ms,
                exchange.request.is_idempotent,
                now_ms,
                probe.rng,
            )
            if placement is not None:
                chosen, is_trial = placement.host, placement.is_trial
    return Ok(
        RouteExplanation(
            router.generation,
            service.name,
            service.pool,
            router.settings.zone,
            entry.is_long,
            chosen,
            is_other_zone,
            is_trial,
            rejection,
            retry_after_s,
            queue.waiting.ahead_of(entry),
            round(queue.expected_wait_ms(entry)),
            _upstreams(queue.pool, now_ms),
        )
    )


def _with_own_random_state(router: ExchangeRouter) -> ExchangeRouter:
    probe = copy.copy(router)
    probe.rng = random.Random()
    probe.rng.setstate(router.rng.getstate())
    return probe


def _upstreams(pool: ExchangePool, now_ms: int) -> tuple[UpstreamView, ...]:
    views = []
    for host, record in sorted(pool.records.items()):
        usable = exchange_upstream.usable_slots(record, pool.settings.health, now_ms)
        views.append(
            UpstreamView(
                host,
                record.upstream.address,
                _reason(record, usable, now_ms),
                record.health.outstanding,
                usable,
                round(health_rules.score(record.health, now_ms), 3),
            )
        )
    return tuple(views)


def _reason(record: UpstreamRecord, usable: int, now_ms: int) -> str:
    """Return why an upstream is no candidate, "" if it is one."""
    if exchange_upstream.has_free_slot(record, usable, now_ms):
        return ""
    if not record.upstream.takes_work:
        return "out of service"
    if record.health.is_leaving:
        return "leaving"
    if not health_rules.is_usable(record.health):
        is_due = health_rules.is_trial_due(record.health, now_ms)
        state = record.health.breaker.value
        return f"circuit breaker {state}" + (", trial due" if is_due else "")
    if usable <= 0:
        return "no share of its slots at this seat"
    return "no free slot"
