"""Compares holding hosts for a demand surge with borrowing them; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.need import members_by_pool
from guavapin.capacity.need import pool_needs

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import GrowthPlan
    from guavapin.objects.model import ObjectSet

HOUR_MS = 3_600_000

# Time from a decision to a serving host: a usual drain, the writes and the join.
MOVE_MS = 120_000


@dataclass(frozen=True, slots=True)
class GrowthCost:
    """Costs of holding and of borrowing until the plan ends, in operators' currency.

    `lendable` is the number of hosts that the spare can lend now, `missing` the number
    of the plan's hosts beyond that. `is_borrowing_possible` is set if the notice is
    long enough for a move and no host is missing.
    """

    plan: str
    pool: str
    hosts: int
    holding_cost: float
    borrowing_cost: float
    lendable: int
    missing: int
    is_borrowing_possible: bool
    advice: str


def growth_costs(
    state: FleetState, objects: ObjectSet, wall_ms: int
) -> tuple[GrowthCost, ...]:
    """Return the costs of every growth plan, by name."""
    lendable = _lendable(state, objects)
    return tuple(
        _cost(plan, lendable.get(plan.pool, 0), objects, wall_ms)
        for _, plan in sorted(objects.growth_plans.items())
    )


def _lendable(state: FleetState, objects: ObjectSet) -> dict[str, int]:
    """Return how many hosts the other spare pools can lend to each pool."""
    needs = pool_needs(state, objects)
    members = members_by_pool(state)
    free = {
        name: max(len(members.get(name, ())) - needs[name].floor, 0)
        for name, pool in objects.pools.items()
        if pool.is_spare
    }
    total = sum(free.values())
    return {name: total - free.get(name, 0) for name in objects.pools}


def _cost(
    plan: GrowthPlan, lendable: int, objects: ObjectSet, wall_ms: int
) -> GrowthCost:
    """Price both ways: holding costs every hour, borrowing the moves if needed.

    The moves are weighted with the probability of the surge. A moving host serves no
    requests, so each of the two moves is priced as lost time. Missing hosts cost as
    much as held ones.
    """
    rates = [host.cost_per_hour for host in objects.hosts.values()]
    rate = sum(rates) / len(rates) if rates else 0.0
    hours = max(plan.until_ms - wall_ms, 0) / HOUR_MS
    holding = plan.hosts * rate * hours
    moving_hours = 2 * MOVE_MS / HOUR_MS
    missing = max(plan.hosts - lendable, 0)
    borrowed = plan.hosts - missing
    borrowing = plan.probability * borrowed * rate * moving_hours
    borrowing += missing * rate * hours
    is_notice_sufficient = plan.notice_ms >= MOVE_MS
    return GrowthCost(
        plan.name,
        plan.pool,
        plan.hosts,
        holding,
        borrowing,
        lendable,
        missing,
        is_notice_sufficient and missing == 0,
        _advice(plan, missing, is_notice_sufficient, borrowing < holding),
    )


def _advice(
    plan: GrowthPlan, missing: int, is_notice_sufficient: bool, is_cheaper: bool
) -> str:
    if not is_notice_sufficient:
        found = f"notice of {plan.notice_ms} ms is shorter than a move"
        return f"hold {plan.hosts} hosts: {found} ({MOVE_MS} ms)"
    if missing:
        return f"hold {missing} hosts and borrow {plan.hosts - missing}"
    if is_cheaper:
        return f"borrow {plan.hosts} hosts when the surge comes"
    return f"hold {plan.hosts} hosts"
