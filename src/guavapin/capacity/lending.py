"""Plans which hosts to lend between pools, with hysteresis and few moves; pure.

A pool with a shortage first gets hosts that another pool has borrowed and no longer
needs, then hosts of the spare. Hosts do not return to their declared pool between two
peaks: the queues peak in turn, so the next borrower takes them in one move instead of
two.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.capacity.need import PoolNeed
from guavapin.capacity.need import members_by_pool
from guavapin.capacity.need import pool_needs
from guavapin.fleet.actions import StartMove

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import ObjectSet

# Demand must exceed a pool's hosts for this long before hosts move to it, so that a
# single late reading moves no host.
SHORTAGE_DELAY_MS = 2_000

# Demand must stay below a pool's hosts for this long before a borrowed host may leave.
SURPLUS_DELAY_MS = 5_000

# A borrowed host returns to its declared pool if no pool needs it for this long. Peaks
# come in turn, so another pool usually needs it earlier.
RETURN_DELAY_MS = 1_800_000


@dataclass(frozen=True, slots=True)
class LendingState:
    """Start of each pool's current shortage or surplus, in ms of monotonic time."""

    shortage_since_ms: Mapping[str, int] = field(default_factory=dict)
    surplus_since_ms: Mapping[str, int] = field(default_factory=dict)


def plan_lending(
    lending: LendingState,
    state: FleetState,
    objects: ObjectSet,
    demand: Mapping[str, float],
    now_ms: int,
) -> tuple[LendingState, tuple[StartMove, ...]]:
    """Return the new state and the moves to start now.

    `demand` is in hosts; a pool without an entry has no demand.
    """
    needs = pool_needs(state, objects)
    members = members_by_pool(state)
    required_hosts = {
        pool: _required_hosts(need, demand) for pool, need in needs.items()
    }
    balance = {
        pool: len(members.get(pool, ())) - required_hosts[pool]
        for pool in required_hosts
    }
    lending = _update_lending(lending, balance, now_ms)
    borrowed = _surplus_borrowed(lending, state, objects, members, balance, now_ms)
    lendable = borrowed + _lendable_spares(state, objects, members, balance, needs)
    moves: list[StartMove] = []
    for pool in sorted(balance, key=lambda name: (balance[name], name)):
        since_ms = lending.shortage_since_ms.get(pool)
        if since_ms is None or now_ms - since_ms < SHORTAGE_DELAY_MS:
            continue
        shortage = -balance[pool]
        moves.extend(_lend_to(pool, shortage, lendable, objects))
    if not moves:
        moves.extend(_return_borrowed(lending, borrowed, state, objects, now_ms))
    return lending, tuple(moves)


def _required_hosts(need: PoolNeed, demand: Mapping[str, float]) -> int:
    """Return the larger of the hosts that the budget requires and the demand."""
    return max(need.budget, math.ceil(demand.get(need.pool, 0.0) - 1e-9))


def _update_lending(
    lending: LendingState, balance: Mapping[str, int], now_ms: int
) -> LendingState:
    shortage = {
        pool: lending.shortage_since_ms.get(pool, now_ms)
        for pool, hosts in balance.items()
        if hosts < 0
    }
    surplus = {
        pool: lending.surplus_since_ms.get(pool, now_ms)
        for pool, hosts in balance.items()
        if hosts > 0
    }
    return LendingState(shortage, surplus)


def _surplus_borrowed(
    lending: LendingState,
    state: FleetState,
    objects: ObjectSet,
    members: Mapping[str, tuple[str, ...]],
    balance: Mapping[str, int],
    now_ms: int,
) -> list[str]:
    """Return the borrowed hosts that their current pool no longer needs.

    Pools whose peak has ended come before pools that need slightly less for a moment.
    Among them, the pool whose surplus began last comes first: when queues take turns,
    it is the last to need its hosts again.
    """
    offers: list[tuple[bool, int, str, list[str]]] = []
    for pool, since_ms in lending.surplus_since_ms.items():
        if objects.pools[pool].is_spare or now_ms - since_ms < SURPLUS_DELAY_MS:
            continue
        borrowed_hosts = [
            name
            for name in members.get(pool, ())
            if name not in state.disruptions
            and name in objects.hosts
            and objects.hosts[name].pool != pool
        ]
        is_peak_ongoing = balance[pool] < len(borrowed_hosts)
        hosts = _pick_across_zones(borrowed_hosts, objects, balance[pool])
        offers.append((is_peak_ongoing, -since_ms, pool, hosts))
    return [host for _, _, _, hosts in sorted(offers) for host in hosts]


def _lendable_spares(
    state: FleetState,
    objects: ObjectSet,
    members: Mapping[str, tuple[str, ...]],
    balance: Mapping[str, int],
    needs: Mapping[str, PoolNeed],
) -> list[str]:
    """Return the hosts that spare pools can lend beyond their own needs."""
    spare: list[str] = []
    for pool in sorted(balance):
        if not objects.pools[pool].is_spare:
            continue
        hosts = members.get(pool, ())
        count = min(len(hosts) - needs[pool].floor, balance[pool])
        free = [name for name in hosts if name not in state.disruptions]
        spare.extend(_pick_across_zones(free, objects, count))
    return spare


def _pick_across_zones(hosts: list[str], objects: ObjectSet, count: int) -> list[str]:
    """Return up to `count` declared hosts, from the zones with most of them first."""
    zones = Counter(objects.hosts[n].zone for n in hosts if n in objects.hosts)
    known = sorted(
        (name for name in hosts if name in objects.hosts),
        key=lambda name: (-zones[objects.hosts[name].zone], name),
    )
    return known[: max(count, 0)]


def _lend_to(
    pool: str, shortage: int, lendable: list[str], objects: ObjectSet
) -> list[StartMove]:
    """Move up to `shortage` hosts to `pool`, those declared for it first."""
    lendable.sort(key=lambda name: objects.hosts[name].pool != pool)
    lent, lendable[:shortage] = lendable[:shortage], []
    return [StartMove(host, pool) for host in lent]


def _return_borrowed(
    lending: LendingState,
    borrowed: list[str],
    state: FleetState,
    objects: ObjectSet,
    now_ms: int,
) -> list[StartMove]:
    """Return at most one borrowed host, which no pool needed, to its declared pool."""
    for host in borrowed:
        since_ms = lending.surplus_since_ms.get(state.placements[host], now_ms)
        declared_pool = objects.hosts[host].pool
        if now_ms - since_ms >= RETURN_DELAY_MS and declared_pool in objects.pools:
            return [StartMove(host, declared_pool)]
    return []
