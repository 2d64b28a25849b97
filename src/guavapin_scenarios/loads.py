"""Generates the requests of a load, repeatably from a seed."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin_demo.demand import plan_requests

if TYPE_CHECKING:
    from guavapin_demo.demand import PlannedRequest
    from guavapin_scenarios.model import Load


def build_requests(load: Load, seed: int) -> tuple[PlannedRequest, ...]:
    """Return the planned and the single requests of a load.

    Their identities and idempotency keys begin with the load's name, so that those of
    two loads differ.
    """
    planned: tuple[PlannedRequest, ...] = ()
    if load.plan is not None:
        rng = random.Random(f"{seed}/{load.name}")
        planned = plan_requests(load.plan, rng)
    return tuple(
        _with_load_name(item, load.name) for item in (*planned, *load.requests)
    )


def _with_load_name(request: PlannedRequest, load: str) -> PlannedRequest:
    key = request.idempotency_key
    return replace(
        request,
        identity=f"{load}-{request.identity}",
        idempotency_key=f"{load}-{key}" if key else "",
    )
