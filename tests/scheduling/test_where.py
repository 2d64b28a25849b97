"""Explanations agree with the starts that follow, and change nothing."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling import admission
from guavapin.scheduling.where import explain_job
from guavapin.scheduling.where import explain_waiting
from tests.loads.test_burst import submit
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job
from tests.scheduling.test_dispatcher import random_job
from tests.scheduling.test_dispatcher import simulation
from tests.scheduling.test_neighbours import NOISY
from tests.scheduling.test_neighbours import WEB
from tests.scheduling.test_neighbours import pair


def small_simulation(hosts: int = 3) -> Simulation:
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(hosts)])
    sim.list_machines()
    sim.advance(100)
    return sim


@pytest.mark.parametrize("seed", range(20))
def test_an_explanation_names_the_host_of_the_real_start(seed: int) -> None:
    # Guards against an explanation that differs from what the scheduler does.
    rng = random.Random(seed)
    sim = simulation(is_plain=False)
    for number in range(30):
        job = replace(random_job(rng, number), repeats=0)
        view = explain_job(sim.scheduler, job)
        sim.starts.clear()
        sim.submit(job)
        own = [
            (task, name)
            for task, name in sim.starts
            if task.job_id == job.job_id and task.index == 0
        ]
        expected = [
            ((step.occurrence, step.step), step.hosts[0])
            for step in view.steps
            if step.hosts
        ]
        started = [((task.occurrence, task.step), name) for task, name in own]
        assert started[:1] == expected[:1]


def test_an_explanation_changes_nothing(monkeypatch) -> None:
    # Guards against a query that delays callers, takes a place or starts a subtask.
    monkeypatch.setattr(admission, "MAX_OPEN_JOBS", 4)
    sim = small_simulation()
    for number in range(5):
        submit(sim, number)
    places = sim.scheduler.jobs._admission
    rejected = [*places._rejected._times_ms]
    opened, starts = dict(places._open_by_queue), len(sim.starts)
    view = explain_job(sim.scheduler, make_job("a" * 16))
    assert [*places._rejected._times_ms] == rejected
    assert dict(places._open_by_queue) == opened and len(sim.starts) == starts
    assert "a" * 16 not in sim.scheduler.jobs.by_id
    assert not sim.scheduler.term.drain_actions()
    answer = submit(sim, int("a" * 16, 16))
    assert (answer.detail, answer.retry_after_ms) == (
        view.rejection,
        view.retry_after_ms,
    )


def test_a_waiting_job_says_what_is_ahead_and_why_hosts_are_left_out() -> None:
    # Guards against operators who cannot see what a job waits for.
    sim = small_simulation()
    large = Step(1, Resources(12_000, 1_000), 1_000)
    sim.submit(make_job("a" * 16, replace(large, count=2)))
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    sim.submit(make_job("b" * 16, replace(large, count=3)))
    sim.submit(make_job("c" * 16, large))
    view = explain_waiting(sim.scheduler, "c" * 16)
    (step,) = view.steps
    assert (step.hosts, step.ahead, step.ahead_cpu) == ((), 1, 36_000)
    assert step.ahead_jobs == ("b" * 16,)
    assert step.excluded == {"cordoned": 1, "room": 2} and step.pool_hosts == 3
    assert explain_waiting(sim.scheduler, "d" * 16) is None
    labelled = replace(large, need=SMALL, required_label="none")
    (step,) = explain_job(sim.scheduler, make_job("d" * 16, labelled)).steps
    assert step.excluded == {"cordoned": 1, "label": 2}


def test_spread_neighbours_and_the_cap_are_named() -> None:
    # Guards against a host that is left out without a reason.
    sim = small_simulation()
    sim.submit(make_job("a" * 16, NOISY))
    pair(sim)
    (step,) = explain_job(sim.scheduler, make_job("b" * 16, WEB)).steps
    assert step.hosts == ("e1",) and step.excluded == {"neighbour": 1}
    spread = replace(WEB, count=4, max_per_host=1, image="")
    sim.submit(make_job("c" * 16, spread))
    (step,) = explain_waiting(sim.scheduler, "c" * 16).steps
    assert step.excluded == {"spread": 3}

    class Cap:
        def is_held(self, step_run) -> bool:
            return True

    sim.scheduler.cap_rule = Cap()
    (step,) = explain_job(sim.scheduler, make_job("d" * 16)).steps
    assert step.excluded == {"cap": 3} and "cap" in step.reason
