from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.fleet import actions
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_status
from guavapin.fleet.budget import required_available
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Ok
from guavapin.objects.model import DAY_MS
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.waves.planner import PlanInput
from guavapin.waves.planner import plan_starts
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import MANDALI
from guavapin_demo.sites import build_fleet
from guavapin_demo.sites import build_objects
from tests.fleet.builders import all_live
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run

TOKEN = 1


def running(object_set: ObjectSet, *waves: str) -> FleetState:
    progress = {
        name: WaveProgress(name, WaveStatus.RUNNING, index)
        for index, name in enumerate(waves or ("w",))
    }
    return replace(placed(object_set), waves=progress)


def starts(
    state: FleetState,
    object_set: ObjectSet,
    live: Liveness | None = None,
    wall_ms: int = 10,
    long_work: frozenset[str] = frozenset(),
) -> list[str]:
    live = all_live(object_set) if live is None else live
    plan = PlanInput(state, object_set, live, wall_ms, long_work)
    return [start.host for start in plan_starts(plan)]


def test_plan_fills_the_budgets_and_no_more() -> None:
    object_set = objects()
    planned = starts(running(object_set), object_set)
    assert sorted(host[0] for host in planned) == ["a", "a", "b", "b"]


def test_every_planned_start_is_accepted() -> None:
    """Guards against a planner and a writer that check the budget differently."""
    for object_set in (build_objects(GAGNON), build_objects(MANDALI), build_fleet()):
        wave = MaintenanceWave("w", max_at_once=50)
        object_set = replace(object_set, waves={"w": wave})
        state = running(object_set)
        planned = starts(state, object_set)
        assert planned
        for host in planned:
            action = actions.StartWaveHost("w", host)
            state = must(run(state, action, object_set, token=TOKEN, wall_ms=10))


def test_hosts_down_on_their_own_reduce_the_planned_starts() -> None:
    object_set = objects()
    live = Liveness(all_live(object_set).live - {"a0"})
    planned = starts(running(object_set), object_set, live)
    assert sorted(host[0] for host in planned) == ["a", "b", "b"]


def test_nothing_is_planned_without_a_host_list() -> None:
    object_set = objects()
    assert starts(running(object_set), object_set, Liveness()) == []


def test_long_work_comes_last() -> None:
    object_set = objects()
    long_work = frozenset({"a0", "a1", "a2", "a3"})
    planned = starts(running(object_set), object_set, long_work=long_work)
    assert {"a4", "a5"} <= set(planned)


@pytest.mark.parametrize(
    ("wave", "wall_ms"),
    [
        (MaintenanceWave("w", window_start_ms=DAY_MS), 10),
        (MaintenanceWave("w", window_start_ms=DAY_MS), 23 * DAY_MS),
        (MaintenanceWave("w", after="missing"), 10),
    ],
)
def test_nothing_begins_outside_the_window_or_before_its_turn(
    wave: MaintenanceWave, wall_ms: int
) -> None:
    object_set = objects(wave=wave)
    assert starts(running(object_set), object_set, wall_ms=wall_ms) == []


def test_waves_that_share_a_budget_follow_each_other() -> None:
    object_set = objects()
    second = MaintenanceWave("v", pools=("a",))
    object_set = replace(object_set, waves={**object_set.waves, "v": second})
    state = running(object_set, "w", "v")
    plan = PlanInput(state, object_set, all_live(object_set), 10)
    planned = plan_starts(plan)
    assert {start.wave for start in planned} == {"w"}
    assert len({start.host for start in planned}) == len(planned)


def test_failed_host_does_not_block_the_next_host_of_its_wave() -> None:
    wave = MaintenanceWave("w", max_at_once=1, max_failed=5)
    object_set = objects(wave=wave)
    state = running(object_set)
    (first,) = starts(state, object_set)
    action = actions.StartWaveHost("w", first)
    state = must(run(state, action, object_set, token=TOKEN, wall_ms=10))
    assert starts(state, object_set) == []
    failed = actions.FinishWaveHost(first, is_healthy=False)
    state = must(run(state, failed, object_set, token=TOKEN, wall_ms=10))
    assert len(starts(state, object_set)) == 1


def test_one_zone_at_a_time_where_the_budget_leaves_the_choice() -> None:
    object_set = objects(per_pool=9)
    planned = starts(running(object_set), object_set)
    zones = {object_set.hosts[host].zone for host in planned}
    assert len(zones) == 1


def roll_out(object_set: ObjectSet, seed: int, lose: int) -> int:
    """Run a wave with planner and commands, lose up to `lose` hosts; return rounds."""
    rng = random.Random(seed)
    state, live = running(object_set), set(object_set.hosts)
    budget = object_set.budgets["x"]
    rounds = 0
    while rounds < 200:
        rounds += 1
        known = Liveness(frozenset(live))
        for host in starts(state, object_set, known):
            action = actions.StartWaveHost("w", host)
            outcome = run(state, action, object_set, known, TOKEN, wall_ms=10)
            assert isinstance(outcome, Ok), outcome
            state = outcome.value
            status = pool_status(state, object_set, known, state.placements[host])
            assert status.available >= required_available(budget, status.size)
        if not state.disruptions:
            break
        if lose and rng.random() < 0.3:
            live.discard(rng.choice(sorted(live - set(state.disruptions))))
            lose -= 1
        for host in list(state.disruptions):
            for phase in (HostPhase.DRAINING, HostPhase.REBOOTING, HostPhase.CHECKING):
                action = actions.AdvanceWaveHost(host, phase)
                state = must(run(state, action, object_set, known, TOKEN))
            done = actions.FinishWaveHost(host, is_healthy=True)
            state = must(run(state, done, object_set, known, TOKEN))
    is_complete = set(state.waves["w"].done) == set(object_set.hosts)
    assert is_complete or len(live) < len(object_set.hosts)
    return rounds


@given(st.integers(0, 10_000), st.integers(0, 2), st.integers(0, 2), st.integers(0, 2))
@settings(derandomize=True, max_examples=40, deadline=None)
def test_wave_ends_within_its_budgets_whatever_is_lost(
    seed: int, lose: int, per_zone: int, per_rack: int
) -> None:
    budget = AvailabilityBudget(
        "x", 2, 0.5, max_down_per_zone=per_zone, max_down_per_rack=per_rack
    )
    object_set = objects(budget=budget, wave=MaintenanceWave("w", max_at_once=9))
    assert roll_out(object_set, seed, lose) < 100
