"""Leases of executors whose clocks start again, stand still or run slow."""

from __future__ import annotations

import logging

import pytest

from guavapin.executors.model import Look
from guavapin.jobs.model import Step
from guavapin.scheduling.host_lease import SETTLED_LIFE_MS
from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.host_lease import LeaseTerms
from tests.scheduling.clocked_executor import ClockedSimulation
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import make_job


@pytest.fixture
def sim() -> ClockedSimulation:
    """Return a simulation whose work starts on e1, although e2 is there as well."""
    sim = ClockedSimulation()
    sim.list_machines()
    sim.advance(100)
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    return sim


def start_work(sim: ClockedSimulation) -> None:
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    assert [name for _, name in sim.running()] == ["e1"]


def fall_silent(sim: ClockedSimulation) -> None:
    """Cut e1 off, for longer than any lease, and let work start on e2."""
    sim.executors["e1"].is_reachable = False
    sim.scheduler.cordon(frozenset(), frozenset())
    sim.advance(14_000)


def test_the_log_names_what_the_end_of_a_lease_rests_on(
    sim: ClockedSimulation, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a second start whose log does not show what the executor was told.
    caplog.set_level(logging.INFO, "guavapin")
    start_work(sim)
    sim.advance(500)
    fall_silent(sim)
    (record,) = [row for row in caplog.records if row.message == "leases ended"]
    assert record.last_order_ms > 6_000
    assert record.told_ms < 0
    assert record.clock_age_ms <= 500


def test_the_log_leaves_out_an_order_that_was_not_sent() -> None:
    # Guards against a line that shows a lease which the executor was never told.
    lease = HostLease(LeaseTerms(6_000, 10_000), 0, 0)
    lease.read(500_000, sent_ms=0, now_ms=0)
    sent, unsent = Look(1, 0, 506_000), Look(1, 0, 507_000)
    lease.extend(sent, 0)
    lease.settle(sent, 500_000, 0)
    lease.extend(unsent, 1_000)
    lease.withdraw(unsent)
    assert lease.describe(7_000)["told_ms"] == -1_000


def test_an_estimate_ahead_of_the_clock_is_logged(
    sim: ClockedSimulation, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a clock that starts again or stands still without a trace.
    caplog.set_level(logging.INFO, "guavapin")
    start_work(sim)
    sim.advance(100)
    sim.executors["e1"].lag_ms = 1_500
    sim.advance(50)
    (record,) = [
        row for row in caplog.records if row.message == "clock estimate was ahead"
    ]
    assert record.executor == "e1" and record.ahead_ms == 1_500
    assert record.told_ms == 7_500


def test_a_clock_within_the_allowed_drift_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a line for each answer of a clock that runs 2% slow.
    caplog.set_level(logging.INFO, "guavapin")
    sim = ClockedSimulation()
    for executor in sim.executors.values():
        executor.drift = 0.02
    sim.list_machines()
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    sim.advance(20_000)
    assert not any(row.message == "clock estimate was ahead" for row in caplog.records)


def test_a_restart_does_not_shorten_the_lease_that_is_waited_for(
    sim: ClockedSimulation,
) -> None:
    # Guards against a second run beside one on an executor that has started again under
    # its id: the order's end, by the clock of its former life, gave the longest lease.
    executor = sim.executors["e1"]
    executor.restart_at(sim.now_ms)
    start_work(sim)
    sim.advance(100)
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(100)
    fall_silent(sim)
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e2"]


def test_an_idle_executor_is_read_before_its_first_order(
    sim: ClockedSimulation,
) -> None:
    # Guards against a second run if the executor falls silent before it has answered
    # the first order after its restart.
    sim.advance(4_000)
    sim.executors["e1"].restart_at(sim.now_ms)
    sim.lose_next_answer()
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    fall_silent(sim)
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e2"]


def test_a_clock_that_stood_still_lengthens_the_lease_that_is_waited_for(
    sim: ClockedSimulation,
) -> None:
    # Guards against a second run beside one whose lease ends later than was counted.
    sim.advance(3_000)
    sim.executors["e1"].lag_ms = 2_000
    start_work(sim)
    fall_silent(sim)
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e2"]


def test_a_successor_allows_for_a_restart_in_the_term_before(
    sim: ClockedSimulation,
) -> None:
    # Guards against a second run after a takeover: the successor reads the run in a
    # report, and cannot know which end the order of its predecessor had.
    sim.executors["e1"].restart_at(sim.now_ms)
    start_work(sim)
    sim.take_over(token=9)
    sim.list_machines()
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    sim.advance(50)
    fall_silent(sim)
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e2"]


def test_a_successor_does_not_delay_work_of_an_executor_in_a_settled_life(
    sim: ClockedSimulation,
) -> None:
    # Guards against work that waits for the longest lease after each takeover.
    start_work(sim)
    sim.advance(SETTLED_LIFE_MS)
    sim.take_over(token=9)
    sim.list_machines()
    sim.advance(50)
    sim.executors["e1"].is_reachable = False
    sim.advance(6_600)
    assert "e2" in [name for _, name in sim.running()]


@pytest.mark.parametrize("max_lease_ms", [6_000, 10_000])
def test_work_of_a_silent_host_starts_again_after_its_lease(max_lease_ms: int) -> None:
    # Guards against work that waits for the longest lease although the executor was
    # read at the time of the order.
    sim = ClockedSimulation(max_lease_ms=max_lease_ms)
    sim.list_machines()
    sim.advance(100)
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    start_work(sim)
    sim.advance(3_000)
    sim.executors["e1"].is_reachable = False
    sim.scheduler.cordon(frozenset(), frozenset())
    sim.advance(6_600)
    assert "e2" in [name for _, name in sim.running()]
