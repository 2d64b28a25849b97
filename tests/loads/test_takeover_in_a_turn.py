"""Replays of a takeover while the demand of a pool begins."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.machines import task as machines_task
from guavapin.scheduling.task import LOAD_INTERVAL_MS
from tests.loads.callers import Callers
from tests.loads.patterns import Load
from tests.model.world import LATENCY_MS
from tests.model.world import World

if TYPE_CHECKING:
    from tests.model.world import Node

LOAD = Load(seed=1, duration_ms=3_000, interval_ms=100, count=4, cpu_millis=4_000)

# Time of the calm before a turn, in which all machines move to the standby pool and
# leave the record of orders.
CALM_MS = 12_000

# Time from the start of a term to its first order: two load reports, and the reads of
# the record and of the list of machines.
MAX_FIRST_ORDER_MS = 2 * LOAD_INTERVAL_MS + 6 * max(LATENCY_MS)


# Share of the jobs whose end is compared. The last ones end when single subtasks with
# the longest run times do, whatever the policy.
ENDED_SHARE = 0.9
SAMPLE_MS = 50


def replay(load: Load) -> tuple[World, int, int]:
    """Kill the scheduler as a turn begins.

    Return the world, and the times from the start of the successor's term to its first
    order for a machine and to the end of `ENDED_SHARE` of the jobs.
    """
    world = World(load.seed, machines=12)
    world.has_faults = False
    world.run(CALM_MS)
    world.restart(scheduler(world))
    Callers(world, load, lambda: world.rng.choice(world.nodes))
    while not any(node.scheduler._scheduler for node in world.nodes):
        world.run(1)
    begin_ms = world.clock.now_ms()
    ordered = len(world.fleet.machine_orders)
    world.run(load.duration_ms)
    first_ms = world.fleet.machine_orders[ordered][0]
    while world.count_ended() < ENDED_SHARE * len(world.submissions):
        world.run(SAMPLE_MS)
    end_ms = world.clock.now_ms()
    world.run_until_ended()
    return world, first_ms - begin_ms, end_ms - begin_ms


def scheduler(world: World) -> Node:
    return next(node for node in world.nodes if node.scheduler._scheduler)


@pytest.mark.parametrize("seed", range(5))
def test_machines_are_ordered_at_once_after_a_takeover(seed: int) -> None:
    # Guards against a successor that orders no machine for 1.8 s while jobs wait, as
    # after a power loss of all processes of qlsc-tubeworks.
    world, first_ms, _ = replay(replace(LOAD, seed=seed))
    assert first_ms <= MAX_FIRST_ORDER_MS
    assert world.violations == []


def test_jobs_end_no_later_than_with_the_separation_for_all_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against orders that come earlier and help no job. The earlier policy knew
    # nothing of its predecessor's orders.
    loads = [replace(LOAD, seed=seed) for seed in range(5)]
    ends_ms = [replay(load)[2] for load in loads]
    monkeypatch.setattr(machines_task, "decode_ordered", lambda value: None)
    earlier_ms = [replay(load)[2] for load in loads]
    assert all(end < earlier for end, earlier in zip(ends_ms, earlier_ms, strict=True))
