"""Leases of executors whose clocks start again, stand still or run slow."""

from __future__ import annotations

import logging

import pytest

from guavapin.jobs.model import Step
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
    caplog.set_level(logging.INFO)
    start_work(sim)
    sim.advance(500)
    fall_silent(sim)
    (record,) = [row for row in caplog.records if row.message == "leases ended"]
    assert record.last_order_ms > 6_000
    assert record.told_ms < 0
    assert record.clock_age_ms <= 500


def test_an_estimate_ahead_of_the_clock_is_logged(
    sim: ClockedSimulation, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a clock that starts again or stands still without a trace.
    caplog.set_level(logging.INFO)
    sim.advance(2_000)
    sim.executors["e1"].lag_ms = 1_500
    start_work(sim)
    (record,) = [
        row for row in caplog.records if row.message == "clock estimate was ahead"
    ]
    assert record.executor == "e1" and record.ahead_ms == 1_500
    assert record.told_ms == 7_500


def test_a_clock_within_the_allowed_drift_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a line for each answer of a clock that runs 2% slow.
    caplog.set_level(logging.INFO)
    sim = ClockedSimulation()
    for executor in sim.executors.values():
        executor.drift = 0.02
    sim.list_machines()
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    sim.advance(20_000)
    assert not any(row.message == "clock estimate was ahead" for row in caplog.records)
