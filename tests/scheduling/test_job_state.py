"""The state of a job, and the count of waiting jobs, that callers are given."""

from __future__ import annotations

from guavapin.jobs.access import Access
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.model import JobState
from guavapin.scheduling.messages import JobRequest
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

JOB_ID = "a" * 16


def ask(sim: Simulation, call: object) -> object:
    sim.scheduler.jobs.handle_request(JobRequest("intake", 1, call))
    sim.run()
    return sim.answers.pop()


def test_a_job_whose_start_was_not_answered_counts_as_waiting() -> None:
    # Guards against jobs that were given as running while, and after, their starts were
    # sent to an executor that did not receive them.
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    job = make_job(JOB_ID)
    sim.executors["e1"].is_reachable = False
    sim.submit(job)
    count, state = CountWaiting(job.queue), QueryJob(JOB_ID, Access("", job.queue))
    assert ask(sim, count) == WaitingIs(1)
    assert ask(sim, state) == StateIs(JobState.QUEUED)
    sim.advance(15_000)
    assert ask(sim, count) == WaitingIs(1)
    sim.executors["e1"].is_reachable = True
    sim.advance(1_000)
    assert len(sim.running()) == 1
    assert ask(sim, count) == WaitingIs(0)
    assert ask(sim, state) == StateIs(JobState.RUNNING)
