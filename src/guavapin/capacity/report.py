"""Reports each pool's promised, held and spare hosts with the reasons; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.need import PoolNeed
from guavapin.capacity.need import members_by_pool
from guavapin.capacity.need import pool_needs
from guavapin.fleet.budget import PoolStatus
from guavapin.fleet.budget import pool_statuses

if TYPE_CHECKING:
    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class CapacityReport:
    """Capacity of one pool in hosts.

    `promised` is the number that the budget requires to be available, `held` the hosts
    of the pool after all moves have ended, `available` the hosts in service now.
    `borrowed` is the part of `held` that is declared for other pools. `spare` is `held`
    less the need; it is negative if the pool has a shortage. `reasons` explains the
    need, and `one_fewer` says what the loss of one more host would break.
    """

    pool: str
    promised: int
    held: int
    available: int
    borrowed: int
    needed: int
    spare: int
    reasons: tuple[str, ...]
    one_fewer: str


def capacity_reports(
    state: FleetState, objects: ObjectSet, liveness: Liveness
) -> tuple[CapacityReport, ...]:
    """Return the report of every declared pool, by name."""
    needs = pool_needs(state, objects)
    members = members_by_pool(state)
    statuses = pool_statuses(state, objects, liveness)
    return tuple(
        _report(objects, need, members.get(name, ()), statuses[name])
        for name, need in sorted(needs.items())
    )


def _report(
    objects: ObjectSet, need: PoolNeed, hosts: tuple[str, ...], status: PoolStatus
) -> CapacityReport:
    borrowed = sum(
        name in objects.hosts and objects.hosts[name].pool != need.pool
        for name in hosts
    )
    return CapacityReport(
        pool=need.pool,
        promised=need.budget,
        held=len(hosts),
        available=status.available,
        borrowed=borrowed,
        needed=need.total,
        spare=len(hosts) - need.total,
        reasons=_reasons(need),
        one_fewer=_one_fewer(need, len(hosts) - 1, status.available - 1),
    )


def _reasons(need: PoolNeed) -> tuple[str, ...]:
    parts = (
        (need.budget, "must stay available by the budget"),
        (need.rack, "cover the loss of the pool's largest rack"),
        (need.maintenance, "are or will be out for maintenance"),
        (need.burst, "are kept for a burst of demand"),
    )
    return tuple(f"{hosts} {text}" for hosts, text in parts if hosts)


def _one_fewer(need: PoolNeed, held: int, available: int) -> str:
    """Return the strongest guarantee that would no longer hold."""
    if available < need.budget:
        return f"the budget: {available} available; expected at least {need.budget}"
    if held < need.budget + need.rack:
        return f"the budget, if a rack with {need.rack} of the pool's hosts is lost"
    if held < need.floor:
        return "the budget, if a rack is lost during maintenance"
    if held < need.total:
        return f"the burst: {held - need.floor} hosts left; expected {need.burst}"
    return "nothing"
