"""Order in which waiting jobs start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Step
from guavapin.scheduling.job_run import JobRun
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

ESTIMATE_MS = 1_000


@pytest.fixture
def sim() -> Simulation:
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    return sim


def one_step(name: str):
    return make_job(name * 16, Step(1, HOST_CAPACITY, estimate_ms=ESTIMATE_MS))


def started(sim: Simulation) -> list[str]:
    return [subtask.job_id[0] for subtask, _ in sim.starts]


def end_running(sim: Simulation) -> None:
    for executor in sim.executors.values():
        for subtask in [*executor.running]:
            executor.end(subtask, EndKind.DONE)
    sim.advance(100)


def test_the_job_with_the_earliest_objective_starts_first(sim: Simulation) -> None:
    # Guards against short jobs that wait behind long ones.
    sim.submit(one_step("a"))
    slow = make_job("b" * 16, Step(1, HOST_CAPACITY, estimate_ms=5_000))
    sim.submit(slow)
    sim.submit(one_step("c"))
    end_running(sim)
    assert started(sim) == ["a", "c"]


def test_a_job_that_misses_its_objective_starts_last(sim: Simulation) -> None:
    # Guards against a burst that makes nearly every job late: in gagnon-jobs-grown
    # trouble-2, a burst exceeded the pool's capacity, and each job waited for all
    # earlier ones.
    sim.submit(one_step("a"))
    sim.submit(one_step("b"))
    allowed_ms = QUEUE.stretch * ESTIMATE_MS + QUEUE.latency_objective_ms
    sim.advance(round(allowed_ms))
    sim.submit(one_step("c"))
    end_running(sim)
    end_running(sim)
    assert started(sim) == ["a", "c", "b"]


def test_a_late_long_running_step_keeps_its_priority(sim: Simulation) -> None:
    # Guards against a long-running subtask that does not start while short jobs arrive.
    sim.submit(one_step("a"))
    lasting = Step(1, HOST_CAPACITY, estimate_ms=10, is_long_running=True)
    sim.submit(make_job("b" * 16, lasting))
    sim.advance(1_500)
    sim.submit(one_step("c"))
    end_running(sim)
    assert started(sim) == ["a", "b"]


def test_a_successor_restores_the_age_of_a_job(sim: Simulation) -> None:
    # Guards against a successor that counts late jobs of an earlier term as new and
    # starts them before jobs that can still meet their objective.
    sim.submit(one_step("a"))
    sim.submit(replace(one_step("b"), accepted_ms=sim.now_ms))
    sim.advance(5_000)
    sim.take_over(9)
    sim.list_machines()
    job_run = sim.scheduler.jobs.by_id["b" * 16]
    assert job_run.accepted_ms == sim.now_ms - 5_000


def test_the_remaining_time_of_a_job_follows_its_longest_chain() -> None:
    # Guards against a job that counts as late although only its last step remains.
    job = make_job(
        "a" * 16,
        Step(1, HOST_CAPACITY, estimate_ms=100),
        Step(1, HOST_CAPACITY, estimate_ms=1_000, after=(0,)),
        Step(1, HOST_CAPACITY, estimate_ms=10, after=(0,)),
        Step(1, HOST_CAPACITY, estimate_ms=5, after=(1, 2)),
    )
    job_run = JobRun(job, 0, is_inherited=False)
    assert [job_run.remaining_ms(step) for step in range(4)] == [1_105, 1_005, 15, 5]
    assert job_run.critical_path_ms == 1_105
