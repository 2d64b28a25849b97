"""Checks planned disruptions against availability budgets; pure.

A host counts as available only if the platform lists it as live and it has no planned
disruption. Hosts that are down on their own, leaving or unknown count as down, so a
missing or old list of hosts blocks new disruptions instead of allowing them. A host
that is joining a pool counts neither as a member of the pool nor as down until it
serves.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import AvailabilityBudget
    from guavapin.objects.model import Host
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class Liveness:
    """The hosts known to be live; all others count as down."""

    live: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """Members of one pool, and those that are down, planned or not.

    `size` is the larger of the declared and the current number of hosts, so that
    lending hosts does not lower the number that a share requires.
    """

    pool: str
    size: int
    members: frozenset[str] = frozenset()
    down: frozenset[str] = frozenset()
    down_per_zone: Mapping[str, int] = field(default_factory=dict)
    down_per_rack: Mapping[tuple[str, str], int] = field(default_factory=dict)

    @property
    def available(self) -> int:
        """Number of members in service."""
        return len(self.members) - len(self.down)


def required_available(budget: AvailabilityBudget, size: int) -> int:
    """Return how many of `size` hosts must be available, by count or by share.

    The larger of both requirements applies.
    """
    share = math.ceil(budget.min_available_share * size - 1e-9)
    return max(budget.min_available, share)


def pool_statuses(
    state: FleetState, objects: ObjectSet, liveness: Liveness
) -> dict[str, PoolStatus]:
    """Return the status of every pool that is declared or holds a host."""
    declared = dict.fromkeys(objects.pools, 0)
    for host in objects.hosts.values():
        declared[host.pool] = declared.get(host.pool, 0) + 1
    members: dict[str, set[str]] = {pool: set() for pool in declared}
    for name, pool in state.placements.items():
        if not _is_joining(state, name):
            members.setdefault(pool, set()).add(name)
    return {
        pool: _status(pool, names, declared.get(pool, 0), state, objects, liveness)
        for pool, names in members.items()
    }


def pool_status(
    state: FleetState, objects: ObjectSet, liveness: Liveness, pool: str
) -> PoolStatus:
    """Return the status of one pool."""
    declared = sum(host.pool == pool for host in objects.hosts.values())
    names = {
        name
        for name, placed in state.placements.items()
        if placed == pool and not _is_joining(state, name)
    }
    return _status(pool, names, declared, state, objects, liveness)


def check_disruption(
    status: PoolStatus, budget: AvailabilityBudget, host: Host
) -> Outcome[PoolStatus]:
    """Return the status with `host` down, or refuse with the limit that it would break.

    A host that is already down is checked too. The list of hosts lags, so the host may
    serve again, and a planned disruption would keep it from returning to service.
    """
    new_status = mark_down(status, host)
    required = required_available(budget, new_status.size)
    if new_status.available < required:
        return _refused(
            status,
            budget,
            f"{new_status.available} of {new_status.size} hosts would be available",
            f"at least {required}",
        )
    in_zone = new_status.down_per_zone.get(host.zone, 0)
    if 0 < budget.max_down_per_zone < in_zone:
        found = f"{in_zone} hosts would be down in zone {host.zone!r}"
        return _refused(status, budget, found, f"at most {budget.max_down_per_zone}")
    in_rack = new_status.down_per_rack.get((host.zone, host.rack), 0)
    if 0 < budget.max_down_per_rack < in_rack:
        found = f"{in_rack} hosts would be down in rack {host.rack!r}"
        return _refused(status, budget, found, f"at most {budget.max_down_per_rack}")
    return Ok(new_status)


def mark_down(status: PoolStatus, host: Host) -> PoolStatus:
    """Return `status` with one more host down."""
    if host.name in status.down:
        return status
    rack = (host.zone, host.rack)
    zones = {**status.down_per_zone}
    racks = {**status.down_per_rack}
    zones[host.zone] = zones.get(host.zone, 0) + 1
    racks[rack] = racks.get(rack, 0) + 1
    return replace(
        status,
        down=status.down | {host.name},
        down_per_zone=zones,
        down_per_rack=racks,
    )


def _status(
    pool: str,
    names: set[str],
    declared: int,
    state: FleetState,
    objects: ObjectSet,
    liveness: Liveness,
) -> PoolStatus:
    down = frozenset(
        name for name in names if name not in liveness.live or name in state.disruptions
    )
    zones: dict[str, int] = {}
    racks: dict[tuple[str, str], int] = {}
    for name in down:
        host = objects.hosts.get(name)
        if host is not None:
            zones[host.zone] = zones.get(host.zone, 0) + 1
            rack = (host.zone, host.rack)
            racks[rack] = racks.get(rack, 0) + 1
    size = max(declared, len(names))
    return PoolStatus(pool, size, frozenset(names), down, zones, racks)


def _is_joining(state: FleetState, host: str) -> bool:
    item = state.disruptions.get(host)
    return (
        item is not None
        and item.kind is DisruptionKind.MOVE
        and item.phase is HostPhase.JOINING
    )


def _refused(
    status: PoolStatus, budget: AvailabilityBudget, found: str, expected: str
) -> Refused:
    detail = (
        f"pool {status.pool!r}, budget {budget.name!r}: {found}; expected {expected}"
    )
    return Refused(Reason.BUDGET, detail)
