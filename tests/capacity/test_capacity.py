from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.capacity.growth import MOVE_MS
from guavapin.capacity.growth import growth_costs
from guavapin.capacity.lending import RETURN_DELAY_MS
from guavapin.capacity.lending import SHORTAGE_DELAY_MS
from guavapin.capacity.lending import SURPLUS_DELAY_MS
from guavapin.capacity.lending import LendingState
from guavapin.capacity.lending import plan_lending
from guavapin.capacity.need import pool_needs
from guavapin.capacity.report import CapacityReport
from guavapin.capacity.report import capacity_reports
from guavapin.capacity.spare import OverflowHistogram
from guavapin.capacity.spare import record_overflow
from guavapin.capacity.spare import spare_target
from guavapin.fleet import actions
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import GrowthPlan
from guavapin.objects.model import ObjectSet
from tests.fleet.builders import all_live
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run

BUDGET = AvailabilityBudget("x", min_available=3)
OBJECTS = objects(pools=("a", "b", "s"), budget=BUDGET)


class Lender:
    """Runs the lending planner and applies its moves at once."""

    def __init__(self, object_set: ObjectSet = OBJECTS) -> None:
        self.objects = object_set
        self.state = placed(object_set)
        self.lending = LendingState()
        self.now_ms = 0
        self.moves: list[actions.StartMove] = []

    def run(self, milliseconds: int, **demand: float) -> None:
        for _ in range(0, milliseconds, 500):
            self.now_ms += 500
            self.lending, moves = plan_lending(
                self.lending, self.state, self.objects, demand, self.now_ms
            )
            for move in moves:
                assert move.host not in self.state.disruptions
                self.state.placements[move.host] = move.target_pool
            self.moves.extend(moves)

    def count(self, pool: str) -> int:
        return list(self.state.placements.values()).count(pool)


def test_short_pool_borrows_what_it_needs_from_the_spare() -> None:
    lender = Lender()
    lender.run(SHORTAGE_DELAY_MS + 1_000, a=7.2)
    assert (lender.count("a"), lender.count("s")) == (7, 5)


def test_spare_never_lends_below_its_own_need() -> None:
    lender = Lender()
    lender.run(60_000, a=100.0, b=100.0)
    assert lender.count("s") >= pool_needs(lender.state, OBJECTS)["s"].floor


def test_one_high_reading_moves_nothing() -> None:
    lender = Lender()
    for _ in range(20):
        lender.run(SHORTAGE_DELAY_MS - 500, a=7.0)
        lender.run(500, a=1.0)
    assert lender.moves == []


def test_demand_around_the_threshold_does_not_move_hosts_back_and_forth() -> None:
    lender = Lender()
    for _ in range(50):
        lender.run(SURPLUS_DELAY_MS - 500, a=7.0)
        lender.run(SURPLUS_DELAY_MS - 500, a=6.0)
    assert len(lender.moves) == 1


def test_next_borrower_takes_hosts_in_one_move_each() -> None:
    """Guards against twice the moves, by returning hosts between two peaks."""
    lender = Lender()
    for _ in range(5):
        lender.run(30_000, a=7.0, b=0.1)
        lender.run(30_000, a=0.1, b=7.0)
    assert len(lender.moves) == 10


def test_unneeded_borrowed_hosts_return_to_their_pool() -> None:
    lender = Lender()
    lender.run(10_000, a=7.0)
    lender.run(RETURN_DELAY_MS + SURPLUS_DELAY_MS + 10_000, a=0.1)
    assert lender.state == placed(OBJECTS)


def test_moving_host_is_counted_where_it_goes() -> None:
    """Guards against moving a second host while the first is still moving."""
    state = must(run(placed(OBJECTS), actions.StartMove("s0", "a"), OBJECTS))
    lending, demand = LendingState({"a": 0}), {"a": 7.0}
    _, moves = plan_lending(lending, state, OBJECTS, demand, 60_000)
    assert moves == ()


def report(state: FleetState, pool: str) -> CapacityReport:
    reports = capacity_reports(state, OBJECTS, all_live(OBJECTS))
    return next(item for item in reports if item.pool == pool)


def test_need_is_budget_rack_maintenance_and_burst() -> None:
    pools = {**OBJECTS.pools, "a": replace(OBJECTS.pools["a"], burst_hosts=2)}
    state = must(run(placed(OBJECTS), actions.Drain("a0"), OBJECTS))
    need = pool_needs(state, replace(OBJECTS, pools=pools))["a"]
    assert (need.budget, need.rack, need.maintenance, need.burst) == (3, 2, 1, 2)
    assert need.total == 8


def test_spare_without_a_budget_can_lend_its_last_host() -> None:
    budgets = {"x": BUDGET, "none": AvailabilityBudget("none")}
    pools = {**OBJECTS.pools, "s": replace(OBJECTS.pools["s"], budget="none")}
    lender = Lender(replace(OBJECTS, budgets=budgets, pools=pools))
    lender.run(10_000, a=12.0)
    assert (lender.count("a"), lender.count("s")) == (12, 0)


def test_running_wave_reserves_one_host_of_each_pool() -> None:
    state = placed(OBJECTS)
    state.waves["w"] = WaveProgress("w", WaveStatus.RUNNING, 0)
    assert {need.maintenance for need in pool_needs(state, OBJECTS).values()} == {1}


@pytest.mark.parametrize(
    ("drained", "words"),
    [([], "nothing"), (["a0"], "during maintenance"), (["a0", "a1", "a2"], "3")],
)
def test_report_says_what_one_host_fewer_would_break(
    drained: list[str], words: str
) -> None:
    state = placed(OBJECTS)
    for host in drained:
        state = must(run(state, actions.Drain(host), OBJECTS))
    item = report(state, "a")
    assert words in item.one_fewer and item.promised == 3
    assert item.available == 6 - len(drained) and item.held == 6


def test_report_counts_borrowed_hosts() -> None:
    state = placed(OBJECTS)
    state.placements["s0"] = "a"
    item = report(state, "a")
    assert (item.held, item.borrowed) == (7, 1)


def test_spare_follows_the_common_peak_not_the_sum_of_peaks() -> None:
    size = OverflowHistogram()
    for step in range(100):
        size = record_overflow(size, {"a": 4 * (step % 2), "b": 4 * (1 - step % 2)})
    assert spare_target(size) == 4


def test_spare_shrinks_after_a_rare_peak() -> None:
    size = record_overflow(OverflowHistogram(), {"a": 50})
    for _ in range(100):
        size = record_overflow(size, {"a": 2})
    assert spare_target(size) == 2


@pytest.mark.parametrize(
    ("hosts", "notice_ms", "advice", "is_possible"),
    [
        (1, MOVE_MS, "borrow 1", True),
        (1, MOVE_MS - 1, "hold 1", False),
        (3, MOVE_MS, "hold 2 hosts and borrow 1", False),
    ],
)
def test_growth_plan_compares_holding_and_borrowing(
    hosts: int, notice_ms: int, advice: str, is_possible: bool
) -> None:
    plan = GrowthPlan("g", "a", hosts, notice_ms, until_ms=3_600_000)
    object_set = replace(OBJECTS, growth_plans={"g": plan})
    (cost,) = growth_costs(placed(OBJECTS), object_set, 0)
    assert cost.advice.startswith(advice)
    assert cost.is_borrowing_possible is is_possible
    assert cost.holding_cost == pytest.approx(hosts * 1.0)
