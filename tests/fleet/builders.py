"""Small object sets, records and commands for tests of the fleet."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from guavapin.fleet.budget import Liveness
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.commands import apply
from guavapin.fleet.state import FleetState
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool

if TYPE_CHECKING:
    from guavapin.fleet import actions

ZONES = ("z0", "z1", "z2")
command_ids = itertools.count(1)


def objects(
    per_pool: int = 6,
    pools: tuple[str, ...] = ("a", "b"),
    budget: AvailabilityBudget | None = None,
    wave: MaintenanceWave | None = None,
) -> ObjectSet:
    """Return pools with `per_pool` hosts POOL0, POOL1, ...; the last is the spare."""
    budget = budget or AvailabilityBudget("budget", min_available=per_pool - 2)
    wave = wave or MaintenanceWave("w")
    hosts = {
        f"{pool}{index}": Host(
            f"{pool}{index}",
            zone=ZONES[index % len(ZONES)],
            rack=f"r{index % len(ZONES)}-{index // len(ZONES) // 2}",
            pool=pool,
            address=f"127.0.0.1:{20_000 + index}",
        )
        for pool in pools
        for index in range(per_pool)
    }
    return ObjectSet(
        zones={zone: AvailabilityZone(zone, "region") for zone in ZONES},
        hosts=hosts,
        pools={
            pool: Pool(pool, budget.name, is_spare=pool == pools[-1]) for pool in pools
        },
        budgets={budget.name: budget},
        waves={wave.name: wave},
    )


def placed(object_set: ObjectSet) -> FleetState:
    """Return a record in which every host is in its declared pool."""
    return FleetState(
        placements={host.name: host.pool for host in object_set.hosts.values()}
    )


def all_live(object_set: ObjectSet) -> Liveness:
    return Liveness(frozenset(object_set.hosts))


def command(action: actions.FleetAction, token: int | None = None) -> FleetCommand:
    return FleetCommand(f"c{next(command_ids)}", "tester", action, token)


def run(
    state: FleetState,
    action: actions.FleetAction,
    object_set: ObjectSet,
    liveness: Liveness | None = None,
    token: int | None = None,
    wall_ms: int = 1_000,
) -> Outcome[FleetState]:
    live = all_live(object_set) if liveness is None else liveness
    return apply(state, command(action, token), object_set, live, wall_ms, 1)


def must(outcome: Outcome[FleetState]) -> FleetState:
    assert isinstance(outcome, Ok), outcome
    return outcome.value
