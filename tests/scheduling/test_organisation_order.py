"""Order of waiting steps of several organisations, decided without a network."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.organisations import Organisation
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

GPU = Resources(1, 1, 1)


def simulation(**weights: float) -> Simulation:
    sim = Simulation([FakeExecutor("e1")])
    rows = tuple(Organisation(name, weight) for name, weight in weights.items())
    sim.scheduler.term.table = replace(TABLE, organisations=rows)
    sim.list_machines()
    sim.advance(100)
    return sim


def submit(sim: Simulation, number: int, owner: str, step: Step, **fields) -> None:
    job: Job = replace(make_job(f"{number:016x}", step), organisation=owner, **fields)
    sim.jobs[job.job_id] = job
    sim.scheduler.jobs.open_stored(job)


def running(sim: Simulation) -> Counter[str]:
    jobs = sim.scheduler.jobs.by_id
    return Counter(jobs[row.job_id].job.organisation for row, _ in sim.running())


def contend(sim: Simulation) -> Counter[str]:
    """Let jobs of `a`, and after them of `b`, replace one another for a while."""
    for number in range(80):
        submit(sim, number, "a", Step(1, SMALL))
    for number in range(80, 160):
        submit(sim, number, "b", Step(1, SMALL))
    sim.run()
    for _ in range(24):
        subtask, holder = min(sim.running())
        sim.executors[holder].end(subtask, EndKind.DONE)
        sim.advance(50)
    return running(sim)


@pytest.mark.parametrize(
    ("weights", "expected"),
    [((1.0, 1.0), 8), ((3.0, 1.0), 12), ((1.0, 3.0), 4), ((1e308, 1e308), 8)],
)
def test_organisations_share_by_weight(
    weights: tuple[float, float], expected: int
) -> None:
    # Guards against the one that submits first and takes all executors.
    counts = contend(simulation(a=weights[0], b=weights[1]))
    assert abs(counts["a"] - expected) <= 1
    assert counts.total() == 16


@pytest.mark.parametrize("weights", [(0.0, 1.0), (1e-300, 1.0), (1.0, 1e308)])
def test_a_tiny_or_zero_weight_makes_way(weights: tuple[float, float]) -> None:
    # Guards against a division by a weight, and against an organisation that keeps
    # executors without a share.
    counts = contend(simulation(a=weights[0], b=weights[1]))
    assert counts["a"] <= 1
    assert counts.total() == 16


def test_organisations_without_weight_keep_the_order_of_objectives() -> None:
    # Guards against a division by the sum of weights, and against idle executors.
    assert contend(simulation(a=0.0, b=0.0)) == {"a": 16}


def test_an_organisation_alone_uses_all_executors() -> None:
    # Guards against executors that are kept for an organisation without work.
    sim = simulation(a=0.0, b=9.0)
    submit(sim, 1, "a", Step(40, SMALL))
    sim.run()
    assert running(sim) == {"a": 16}


def test_jobs_beyond_the_rate_come_after_those_within() -> None:
    # Guards against an organisation that gains by submitting more than its rate.
    sim = simulation(a=1.0, b=1.0)
    submit(sim, 1, "a", Step(16, SMALL), is_excess=True)
    for number in range(10, 26):
        submit(sim, number, "b", Step(1, SMALL))
        submit(sim, number + 100, "a", Step(1, SMALL))
    sim.run()
    assert running(sim) == {"a": 8, "b": 8}
    assert f"{1:016x}" not in {row.job_id for row, _ in sim.running()}


def test_the_share_is_of_the_scarcest_resource() -> None:
    # Guards against a share of processor time while accelerators are short.
    sim = Simulation([FakeExecutor("e1")])
    rows = (Organisation("a", 1.0), Organisation("b", 1.0))
    sim.scheduler.term.table = replace(TABLE, organisations=rows)
    capacity = Resources(16_000, 65_536, 4)
    registration = sim.executors["e1"].registration(capacity)
    sim.scheduler.hosts.register(registration)
    sim.list_machines()
    sim.advance(100)
    submit(sim, 1, "b", Step(4, SMALL))
    submit(sim, 2, "a", Step(8, GPU))
    submit(sim, 3, "b", Step(8, GPU))
    sim.run()
    counts = Counter(
        sim.scheduler.jobs.by_id[row.job_id].job.organisation
        for row, _ in sim.running()
        if row.job_id != f"{1:016x}"
    )
    assert counts == {"a": 4}
    for _ in range(2):
        row = next(r for r, _ in sim.running() if r.job_id == f"{2:016x}")
        sim.executors["e1"].end(row, EndKind.DONE)
        sim.advance(50)
    counts = Counter(row.job_id for row, _ in sim.running())
    assert counts[f"{2:016x}"] == counts[f"{3:016x}"] == 2
