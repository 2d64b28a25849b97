"""Jobs whose records the store refuses: none is lost without a trace."""

from __future__ import annotations

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.ledger.messages import EntriesRefused
from guavapin.ledger.messages import RecordEntry
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_progress
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job
from tests.scheduling.test_task import begin

JOB = make_job("a" * 16, Step(1, SMALL), Step(1, SMALL, after=(0,)))


@pytest.mark.parametrize("may_be_stored", [False, True])
def test_a_submission_whose_job_cannot_be_stored_is_not_accepted(
    may_be_stored: bool,
) -> None:
    # Guards against a caller that gets no answer because the store refuses its job, and
    # against a rejection although an earlier write of the job may take effect.
    task, harness = begin()
    task.handle(JobRequest("intake", 1, SubmitJob(JOB)))
    sent = [row.message for row in harness.take_sent()]
    (entry,) = [row.entry for row in sent if isinstance(row, RecordEntry)]
    task.handle(EntriesRefused((entry,), may_be_stored))
    sent = [row.message for row in harness.take_sent()]
    (reply,) = [row for row in sent if isinstance(row, JobReply)]
    assert reply.request_id == 1 and reply.may_have_effect is may_be_stored
    if may_be_stored:
        assert reply.answer is None
    else:
        assert isinstance(reply.answer, Rejected)
    task.handle(JobRequest("intake", 2, SubmitJob(JOB)))
    sent = [row.message for row in harness.take_sent()]
    assert [row.entry for row in sent if isinstance(row, RecordEntry)] == [entry]


def test_ends_that_cannot_be_stored_are_confirmed_with_the_final_state() -> None:
    # Guards against a list of ends that grows for ever because one of them was dropped
    # with the progress that the store refused, and against an end that is confirmed
    # although no record of it exists.
    executor = FakeExecutor("e1")
    sim = Simulation([executor])
    sim.list_machines()
    sim.advance(100)

    def is_open_progress(entry) -> bool:
        if not entry.key.startswith(PROGRESS_PREFIX) or entry.value is None:
            return False
        return not decode_progress(entry.value).state.is_final

    sim.is_refused = is_open_progress
    sim.submit(JOB)
    for step in (0, 1):
        ((subtask, _),) = sim.running()
        assert subtask.step == step
        assert len(executor.ended) == step
        executor.end(subtask, EndKind.DONE)
        sim.advance(300)
    assert sim.scheduler.jobs.by_id[JOB.job_id].visible_state is JobState.SUCCEEDED
    assert executor.ended == []
