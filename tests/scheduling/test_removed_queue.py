"""Jobs whose queue is removed keep its terms."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.jobs.terms import UNRECORDED_TERMS
from guavapin.jobs.terms import AdviceTerms
from guavapin.jobs.terms import QueueTerms
from guavapin.scheduling.messages import AdviceReply
from guavapin.scheduling.messages import AdviceRequest
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import encode_job
from tests.scheduling import simulation as defaults
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

WITHOUT_QUEUES = replace(defaults.TABLE, version=2, queues=())


@pytest.fixture
def sim() -> Simulation:
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    return sim


def job_with(terms: QueueTerms) -> Job:
    return replace(make_job("a" * 16, Step(1, SMALL)), terms=terms)


@pytest.mark.parametrize("has_successor", [False, True])
def test_a_job_of_a_removed_queue_fails_after_its_attempts(
    sim: Simulation, has_successor: bool
) -> None:
    # Guards against a job that fails and is started again for ever, and that no caller
    # can cancel, since its queue is gone.
    job = job_with(QUEUE.terms)
    sim.submit(job)
    sim.scheduler.term.table = WITHOUT_QUEUES
    if has_successor:
        sim.take_over(9)
        sim.scheduler.term.table = WITHOUT_QUEUES
        sim.list_machines()
        sim.advance(100)
    for _ in range(QUEUE.attempts + 2):
        for executor in sim.executors.values():
            for subtask in [*executor.running]:
                executor.end(subtask, EndKind.FAILED)
        sim.advance(2_000)
    assert len(sim.starts) == QUEUE.attempts
    job_run = sim.scheduler.jobs.by_id[job.job_id]
    assert job_run.visible_state is JobState.FAILED


def test_a_job_of_a_removed_queue_still_needs_a_ticket(sim: Simulation) -> None:
    # Guards against starts without a ticket, which executors refuse for ever.
    advice = AdviceTerms(decide_ms=5, per_host_ms=1, validity_ms=3_000)
    actions: list = []
    sim.on_action = actions.append
    sim.scheduler.term.table = WITHOUT_QUEUES
    sim.submit(job_with(replace(QUEUE.terms, advice=advice)))
    assert sim.running() == []
    (request,) = [action for action in actions if isinstance(action, AdviceRequest)]
    sim.scheduler.apply_advice(AdviceReply(request, {"e1": "t"}))
    sim.run()
    assert [name for _, name in sim.running()] == ["e1"]


def test_a_job_of_a_removed_queue_keeps_its_place(sim: Simulation) -> None:
    # Guards against jobs of a removed queue that go before all others or count as late.
    terms = QueueTerms(priority=2, attempts=3, stretch=2.0, latency_objective_ms=500)
    job = replace(make_job("a" * 16, Step(1, SMALL, estimate_ms=1_000)), terms=terms)
    sim.scheduler.term.table = WITHOUT_QUEUES
    sim.submit(job)
    job_run = sim.scheduler.jobs.by_id[job.job_id]
    rules = sim.scheduler._rules
    assert rules.position(job_run.steps[0, 0]).priority == 2
    assert rules.objective_ms(job_run) == job_run.accepted_ms + 2_500


def test_a_record_of_a_job_holds_its_terms() -> None:
    # Guards against terms that are lost when another process takes over, and against
    # records of earlier builds that cannot be read.
    job = job_with(replace(QUEUE.terms, advice=AdviceTerms(5, 1, 3_000)))
    assert decode_job(encode_job(job)) == job
    earlier = encode_job(job).replace(b'"terms":', b'"unknown":')
    assert decode_job(earlier) == replace(job, terms=UNRECORDED_TERMS)
