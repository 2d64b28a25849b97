"""Work that has no host but avoided ones is tried on one of these."""

from __future__ import annotations

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling.held_work import HELD_MS
from guavapin.scheduling.host_health import FAILING_MS
from guavapin.scheduling.host_health import MAX_SET_ASIDE_MS
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

HOSTS = 3


def simulation() -> Simulation:
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(HOSTS)])
    sim.list_machines()
    sim.advance(13_000)
    return sim


def avoid(sim: Simulation, executor_id: str) -> None:
    """Let a host be avoided for the longest time, after a series of failed trials."""
    host = sim.scheduler.hosts.by_id[executor_id]
    for past_ms in (12_000, 8_000, 0):
        host._set_health(host.health.avoided(sim.now_ms - past_ms, FAILING_MS))
    assert host.set_aside_until_ms - sim.now_ms >= MAX_SET_ASIDE_MS
    sim.run()


@pytest.mark.parametrize("is_long_running", [True, False])
def test_work_is_tried_on_an_avoided_host_if_there_is_no_other(
    is_long_running: bool,
) -> None:
    # Guards against work that waits for more than 3 s while each host of its pool is
    # avoided because of past failures.
    sim = simulation()
    for name in sim.executors:
        avoid(sim, name)
    step = Step(1, SMALL, 600, is_long_running=is_long_running)
    sim.submit(make_job("a" * 16, step))
    sim.advance(1_000)
    assert not sim.running()
    sim.advance(HELD_MS - 1_000)
    assert len(sim.running()) == 1


def test_a_long_running_subtask_is_tried_although_the_pool_is_full() -> None:
    # Guards against a long-running subtask without a run while the only hosts with room
    # are avoided, and against jobs of a full pool that are lost on hosts that fail.
    sim = simulation()
    full = Resources(16_000, 1_000, 0)
    sim.submit(make_job("a" * 16, Step(2, full, 60_000)))
    (free,) = set(sim.executors) - {name for _, name in sim.running()}
    avoid(sim, free)
    sim.submit(make_job("b" * 16, Step(1, SMALL, 600)))
    sim.advance(HELD_MS)
    assert len(sim.running()) == 2
    sim.submit(make_job("c" * 16, Step(1, SMALL, 600, is_long_running=True)))
    sim.advance(HELD_MS)
    assert [name for row, name in sim.running() if row.job_id == "c" * 16] == [free]


def test_an_avoided_host_gets_one_subtask_at_a_time() -> None:
    # Guards against a full load for a host that fails, and against the loss of what was
    # learned about it.
    sim = simulation()
    for name in sim.executors:
        avoid(sim, name)
    sim.submit(make_job("a" * 16, Step(30, SMALL, 600)))
    sim.advance(HELD_MS)
    ((subtask, holder),) = sim.running()
    sim.executors[holder].end(subtask, EndKind.FAILED)
    sim.advance(100)
    host = sim.scheduler.hosts.by_id[holder]
    assert host.set_aside_until_ms - sim.now_ms > MAX_SET_ASIDE_MS - 200
    assert len(sim.running()) <= 1


def test_an_avoided_host_gets_no_trial_beside_a_running_one() -> None:
    # Guards against a full load for a host whose trial subtask hangs, while other
    # avoided hosts get none: each trial was permitted on the same host.
    sim = simulation()
    for name in sim.executors:
        avoid(sim, name)
    step = Step(30, SMALL, 600, is_long_running=True)
    sim.submit(make_job("a" * 16, step))
    sim.advance(HELD_MS)
    holders = [name for _, name in sim.running()]
    assert holders
    assert max(map(holders.count, holders)) == 1
