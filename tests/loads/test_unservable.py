"""Replays of callers whose jobs ask for more than any machine has."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling.backlog import BacklogRule
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.unservable import UNKNOWN_MACHINE
from guavapin.scheduling.unservable import MachineShape
from guavapin.scheduling.unservable import UnservableRule
from guavapin.scheduling.unservable import unservable_step
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


@pytest.fixture(autouse=True)
def without_backlog_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave the rule under test alone: the jobs that fit nowhere are a backlog too."""
    monkeypatch.setattr(BacklogRule, "rejection", lambda rule, job, now_ms: None)


HUGE = Resources(40_000, 1_000, 0)
MACHINE = MachineShape(HOST_CAPACITY, ("a",))
OFF = MachineShape(HOST_CAPACITY, None)


def listed(sim: Simulation, *off: Resources) -> Simulation:
    pools = tuple((name, "pool") for name in sim.executors)
    sim.scheduler.apply_machines(MachinesListed(pools, off=off))
    sim.advance(100)
    return sim


def submit_all(sim: Simulation) -> tuple[list, int]:
    """Submit 20 jobs of which every second fits nowhere.

    Return the answers and the number of jobs that wait after two seconds.
    """
    answers = []
    for number in range(20):
        need = SMALL if number % 2 else HUGE
        job = make_job(f"{number:016x}", Step(1, need, 500))
        sim.answers.clear()
        sim.scheduler.jobs.handle_request(JobRequest("intake", number, SubmitJob(job)))
        sim.run()
        answers.append(sim.answers[-1])
    sim.advance(2_000)
    return answers, sum(bool(step_run.waiting) for step_run in sim.scheduler.steps)


def test_callers_are_told_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against jobs that wait for ever for a machine that does not exist. Under
    # the earlier policy, all were accepted.
    answers, waiting = submit_all(listed(Simulation([FakeExecutor("e")])))
    assert [isinstance(row, Rejected) for row in answers] == [True, False] * 10
    assert waiting == 0
    monkeypatch.setattr(UnservableRule, "rejection", lambda rule, job, now_ms: None)
    answers, waiting = submit_all(listed(Simulation([FakeExecutor("e")])))
    assert all(isinstance(row, Accepted) for row in answers)
    assert waiting == 10


def test_a_rejected_job_never_runs() -> None:
    # Guards against a rejection after the job was stored.
    sim = listed(Simulation([FakeExecutor("e")]))
    submit_all(sim)
    assert all(int(subtask.job_id, 16) % 2 for subtask, _ in sim.starts)
    assert len(sim.scheduler.jobs.by_id) == 10


def test_machines_that_are_off_count() -> None:
    # Guards against a rejection because the machines that fit are in standby.
    answers, _ = submit_all(listed(Simulation([FakeExecutor("e")]), HUGE))
    assert all(isinstance(row, Accepted) for row in answers)


def test_unknown_machines_are_no_reason() -> None:
    # Guards against a new scheduler that rejects jobs before it knows the fleet.
    sim = Simulation([FakeExecutor("e")])
    assert all(isinstance(row, Accepted) for row in submit_all(sim)[0])
    sim = Simulation([FakeExecutor("e")])
    unregistered = (("e", "pool"), ("other", "pool"))
    sim.scheduler.apply_machines(MachinesListed(unregistered, off=()))
    assert all(isinstance(row, Accepted) for row in submit_all(sim)[0])


GANG = Step(4, Resources(8_000, 1_000, 0), is_gang=True)


@pytest.mark.parametrize(
    ("step", "shapes", "is_servable"),
    [
        (Step(9, HOST_CAPACITY), [MACHINE], True),
        (Step(1, Resources(1_000, 1_000, 1)), [MACHINE], False),
        (Step(1, SMALL, required_label="b"), [MACHINE], False),
        (Step(1, SMALL, required_label="b"), [MACHINE, OFF], True),
        (Step(1, HUGE, required_label="b"), [MACHINE, OFF], False),
        (Step(1, HUGE), [MACHINE, UNKNOWN_MACHINE], True),
        (Step(1, HUGE), [MachineShape(Resources(), None)], True),
        (Step(1, HUGE, is_filler=True), [MACHINE], True),
        (GANG, [MACHINE], False),
        (GANG, [MACHINE, OFF], True),
        (replace(GANG, max_per_host=1), [MACHINE] * 3, False),
        (replace(GANG, max_per_host=1), [MACHINE] * 4, True),
        (replace(GANG, is_gang=False, max_per_host=1), [MACHINE], True),
    ],
)
def test_only_certain_cases_are_rejected(step, shapes, is_servable: bool) -> None:
    # Guards against a rejection of a job that some machine could hold.
    job = make_job("0" * 16, Step(1, SMALL), step)
    number = unservable_step(job, lambda: shapes)
    assert number == (None if is_servable else 1)
