"""A stored job that this build cannot read stays in the store with its markers."""

from __future__ import annotations

import pytest

from guavapin.jobs.calls import SubmitJob
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.ledger.messages import EntriesExisted
from guavapin.ledger.messages import RecordEntry
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import SUBMITTED_SUFFIX
from tests.scheduling.simulation import make_job
from tests.scheduling.test_task import begin

JOB = make_job("a" * 16)
UNREADABLE = kv.Found(b'{"a field of another build": 1}', 3)


@pytest.mark.parametrize("suffix", [CANCELLED_SUFFIX, SUBMITTED_SUFFIX])
def test_the_marker_of_an_unreadable_job_stays(suffix: str) -> None:
    # Guards against an acknowledged cancellation that is lost: a scheduler that could
    # not read the job removed the marker, and a successor of another build ran the job.
    task, harness = begin()
    marker = kv.Item(f"{INBOX_PREFIX}{JOB.job_id}{suffix}", b"1", 4)
    task.handle(PrefixChanged(INBOX_PREFIX, (marker,)))
    sent = [row.message for row in harness.take_sent()]
    (read,) = [row for row in sent if isinstance(row, kv.Get)]
    task.handle(kv.Reply(read.request_id, UNREADABLE))
    sent = [row.message for row in harness.take_sent()]
    assert [row for row in sent if isinstance(row, RecordEntry)] == []


def test_a_submission_of_an_unreadable_job_is_not_rejected() -> None:
    # Guards against a rejection of a job that is stored, and that a successor of
    # another build may run.
    task, harness = begin()
    task.handle(JobRequest("intake", 1, SubmitJob(JOB)))
    sent = [row.message for row in harness.take_sent()]
    (entry,) = [row.entry for row in sent if isinstance(row, RecordEntry)]
    task.handle(EntriesExisted((entry,)))
    sent = [row.message for row in harness.take_sent()]
    (read,) = [row for row in sent if isinstance(row, kv.Get)]
    task.handle(kv.Reply(read.request_id, UNREADABLE))
    sent = [row.message for row in harness.take_sent()]
    (reply,) = [row for row in sent if isinstance(row, JobReply)]
    # The intake then reads from the store that the job was accepted.
    assert reply.answer is None
    assert reply.may_have_effect
