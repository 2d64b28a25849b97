"""Computes how many hosts each pool needs and why; pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.budget import required_available
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """A pool's need in hosts, by cause.

    `budget` must stay available. `rack` covers the loss of the rack with most of the
    pool's hosts, `maintenance` the hosts in planned disruptions, `burst` a peak. `rack`
    is 0 if the budget requires no host, since the loss of a rack cannot break it.
    """

    pool: str
    budget: int
    rack: int
    maintenance: int
    burst: int

    @property
    def total(self) -> int:
        """Sum of the need over all causes, in hosts."""
        return self.budget + self.rack + self.maintenance + self.burst

    @property
    def floor(self) -> int:
        """Hosts that the pool keeps when it lends; a peak is met by borrowing."""
        return self.budget + self.rack + self.maintenance


def members_by_pool(state: FleetState) -> dict[str, tuple[str, ...]]:
    """Return the hosts of each pool, as they will be after all moves have ended."""
    members: dict[str, list[str]] = {}
    for host, pool in state.placements.items():
        item = state.disruptions.get(host)
        if item is not None and item.kind is DisruptionKind.MOVE:
            pool = item.target_pool
        members.setdefault(pool, []).append(host)
    return {pool: tuple(hosts) for pool, hosts in members.items()}


def pool_needs(state: FleetState, objects: ObjectSet) -> dict[str, PoolNeed]:
    """Return the need of every declared pool."""
    members = members_by_pool(state)
    declared = Counter(host.pool for host in objects.hosts.values())
    maintenance = _maintenance(state, objects)
    needs = {}
    for pool in objects.pools.values():
        budget = objects.budgets.get(pool.budget)
        required = required_available(budget, declared[pool.name]) if budget else 0
        hosts = members.get(pool.name, ())
        needs[pool.name] = PoolNeed(
            pool.name,
            required,
            _largest_rack(objects, hosts) if required else 0,
            maintenance[pool.name],
            pool.burst_hosts,
        )
    return needs


def _largest_rack(objects: ObjectSet, hosts: tuple[str, ...]) -> int:
    racks = Counter(
        (objects.hosts[name].zone, objects.hosts[name].rack)
        for name in hosts
        if name in objects.hosts
    )
    return max(racks.values(), default=0)


def _maintenance(state: FleetState, objects: ObjectSet) -> Counter[str]:
    """Count hosts in planned disruptions, at least 1 for pools in a running wave."""
    disrupted = Counter(
        item.pool
        for item in state.disruptions.values()
        if item.kind is not DisruptionKind.MOVE or item.phase is HostPhase.FAILED
    )
    for progress in state.waves.values():
        wave = objects.waves.get(progress.wave)
        if wave is not None and progress.status is WaveStatus.RUNNING:
            for pool in wave.pools or objects.pools:
                disrupted[pool] = max(disrupted[pool], 1)
    return disrupted
