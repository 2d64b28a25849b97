"""Work that waits although there is room is found, and named with its reason."""

from __future__ import annotations

import logging

import pytest

from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling.held_work import HELD_MS
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


def small_simulation() -> Simulation:
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(3)])
    sim.list_machines()
    sim.advance(100)
    return sim


def held_lines(caplog: pytest.LogCaptureFixture) -> list[logging.LogRecord]:
    return [row for row in caplog.records if row.message == "work held up"]


@pytest.fixture
def lines(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    caplog.set_level(logging.INFO, logger="guavapin")
    return caplog


@pytest.mark.parametrize("is_long_running", [True, False])
def test_work_beside_cordoned_hosts_is_found(lines, is_long_running: bool) -> None:
    # Guards against work that is kept from hosts with room without a trace in the log.
    sim = small_simulation()
    sim.scheduler.cordon(frozenset(sim.executors), frozenset())
    step = Step(1, SMALL, 600, is_long_running=is_long_running)
    sim.submit(make_job("a" * 16, step))
    sim.advance(HELD_MS)
    assert not held_lines(lines)
    sim.advance(1_000)
    (line,) = held_lines(lines)
    assert line.hosts == {"room, cordoned": 3}
    sim.scheduler.cordon(frozenset(), frozenset())
    sim.run()
    sim.advance(1_000)
    assert [row.state for row in held_lines(lines)] == ["begins", "ends"]


def test_work_that_no_host_has_room_for_twice_is_not_held(lines) -> None:
    # Guards against a line for each job of a pool that is full.
    sim = small_simulation()
    half = Step(3, sim_need(9_000), 600, is_long_running=True)
    sim.submit(make_job("a" * 16, half))
    sim.submit(make_job("b" * 16, half))
    sim.advance(2 * HELD_MS)
    assert not held_lines(lines)


def test_hosts_without_room_are_told_from_those_with_room(lines) -> None:
    # Guards against a line that shows full hosts as hosts which nobody chooses.
    sim = small_simulation()
    sim.scheduler.cordon(frozenset({"e1", "e2"}), frozenset())
    sim.submit(make_job("a" * 16, Step(1, sim_need(16_000), 60_000)))
    sim.submit(make_job("b" * 16, Step(1, SMALL, 600)))
    sim.advance(HELD_MS + 1_000)
    (line,) = held_lines(lines)
    assert line.hosts == {"no room, in use": 1, "room, cordoned": 2}


def sim_need(cpu_millis: int) -> Resources:
    return Resources(cpu_millis, 1_000, 0)


def test_a_job_that_runs_is_not_held(lines) -> None:
    # Guards against a line for the subtasks of a job of which others run.
    sim = small_simulation()
    sim.submit(make_job("a" * 16, Step(20, sim_need(4_000), 60_000)))
    assert sim.running()
    sim.scheduler.cordon(frozenset(sim.executors), frozenset())
    sim.advance(2 * HELD_MS)
    assert not held_lines(lines)
