"""The demand that is summed up by differences is that of a plain sum."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.jobs.model import Step
from tests.scheduling.plain_demand import plain_demands
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job
from tests.scheduling.test_dispatcher import perform
from tests.scheduling.test_dispatcher import simulation


def assert_equal_demands(sim: Simulation) -> None:
    """Compare all fields; the work may differ by one for each waiting step.

    The plain sum rounds down the work of each step, the other that of each estimate.
    """
    demands = {row.pool: row for row in sim.scheduler.pool_demands()}
    plain = {row.pool: row for row in plain_demands(sim.scheduler)}
    assert demands.keys() == plain.keys()
    for pool, row in plain.items():
        work = demands[pool].waiting_core_ms
        assert 0 <= work - row.waiting_core_ms <= len(sim.scheduler.steps)
        assert demands[pool] == replace(row, waiting_core_ms=work)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_the_demand_by_differences_is_the_plain_sum(seed: int) -> None:
    # Guards against a change of a step or a job that the running sums miss, so that
    # machines move to a pool without work or stay away from one that waits.
    sim = simulation(is_plain=False)
    rng = random.Random(seed)
    for number in range(120):
        perform(sim, rng, number)
        if rng.random() < 0.7:
            assert_equal_demands(sim)


def test_inherited_jobs_of_an_unresolved_pool_are_left_out() -> None:
    # Guards against machines that move to a pool whose jobs may not start yet.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(60, SMALL)))
    sim.advance(100)
    assert_equal_demands(sim)
    sim.executors["e2"].is_reachable = False
    sim.take_over(9)
    sim.list_machines()
    sim.advance(200)
    sim.submit(make_job("b" * 16, Step(2, SMALL)))
    assert_equal_demands(sim)
    (demand,) = sim.scheduler.pool_demands()
    assert demand.waiting_cpu + demand.held_cpu == 2 * SMALL.cpu_millis
