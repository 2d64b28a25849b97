"""Demand of a site whose services peak in turn; pure, and determined by its seed."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

PEAK_FACTOR = 5.0
IDLE_FACTOR = 1 / 20


@dataclass(frozen=True, slots=True)
class DemandPlan:
    """Demand of the callers: each service in turn gets `PEAK_FACTOR` times its mean
    rate for `turn_ms`, and `IDLE_FACTOR` times the mean for the rest of the time.

    `mean_per_second` is per service. A share `long_share` of the requests runs
    `long_run_ms` instead of `run_ms`. A share `keyed_share` are non-idempotent requests
    with an idempotency key, and a share `repeated_share` of these is sent twice.
    """

    services: tuple[str, ...]
    duration_ms: int
    turn_ms: int = 4_000
    mean_per_second: float = 30.0
    run_ms: int = 400
    long_run_ms: int = 4_000
    long_share: float = 0.005
    keyed_share: float = 0.1
    repeated_share: float = 0.2


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a caller; `at_ms` counts from the start of the load."""

    at_ms: int
    identity: str
    service: str
    method: str
    run_ms: int
    idempotency_key: str = ""


def rate_at(plan: DemandPlan, service_index: int, at_ms: int) -> float:
    """Return the requests per second of one service at a time."""
    in_turn = at_ms // plan.turn_ms % len(plan.services)
    factor = PEAK_FACTOR if in_turn == service_index else IDLE_FACTOR
    return plan.mean_per_second * factor


def plan_requests(plan: DemandPlan, rng: random.Random) -> tuple[PlannedRequest, ...]:
    """Return all requests of a run, sorted by the time at which they are sent."""
    numbers = itertools.count(1)
    requests = [
        request
        for index, service in enumerate(plan.services)
        for at_ms in arrivals(plan, index, rng)
        for request in _requests_at(plan, service, at_ms, f"r{next(numbers)}", rng)
    ]
    return tuple(sorted(requests, key=lambda request: request.at_ms))


def arrivals(plan: DemandPlan, index: int, rng: random.Random) -> Iterator[int]:
    """Yield the times in ms at which requests of one service are sent, in order."""
    # A Poisson process at the peak rate is thinned to the rate at each moment.
    peak = plan.mean_per_second * PEAK_FACTOR
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(peak) * 1_000
        if at_ms >= plan.duration_ms:
            return
        if rng.random() * peak < rate_at(plan, index, int(at_ms)):
            yield int(at_ms)


def _requests_at(
    plan: DemandPlan, service: str, at_ms: int, identity: str, rng: random.Random
) -> Iterator[PlannedRequest]:
    is_long = rng.random() < plan.long_share
    run_ms = (
        plan.long_run_ms
        if is_long
        else rng.randint(plan.run_ms // 2, plan.run_ms * 3 // 2)
    )
    if rng.random() >= plan.keyed_share:
        yield PlannedRequest(at_ms, identity, service, "GET", run_ms)
        return
    key = f"key-{identity}"
    yield PlannedRequest(at_ms, identity, service, "POST", run_ms, key)
    if rng.random() < plan.repeated_share:
        later_ms = min(at_ms + rng.randint(0, plan.run_ms), plan.duration_ms - 1)
        yield PlannedRequest(later_ms, f"{identity}b", service, "POST", run_ms, key)
