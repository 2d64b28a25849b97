"""Without a scheduler, calls are answered from the store and never wrongly."""

from __future__ import annotations

from guavapin.intake import fallback as store_fallback
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import Undecided
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.keyvalue import messages as kv
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import Progress
from guavapin.scheduling.record import encode_progress

JOB = Job("a" * 16, "h/q/", "pool", "spec", (Step(1),))


def begin(call, may_have_effect=False):
    return store_fallback.begin(call, may_have_effect, "intake", 1)


def advance(fallback, outcome):
    return store_fallback.advance(fallback, outcome, "intake", 2)


def test_a_stored_job_leaves_a_marker_for_the_next_scheduler() -> None:
    # Guards against an accepted job that no scheduler ever finds.
    fallback, request = begin(SubmitJob(JOB))
    assert isinstance(request, kv.Transact)
    assert [put.key.partition("/")[0] for put in request.puts] == ["jobs", "inbox"]
    assert advance(fallback, kv.Written(3))[1] == Accepted()


def test_a_job_that_is_stored_already_is_accepted() -> None:
    # Guards against a repeated submission that is rejected although its job runs.
    fallback, _ = begin(SubmitJob(JOB))
    item = kv.Item("jobs/" + JOB.job_id, b"x", 3)
    assert advance(fallback, kv.Mismatch((item,)))[1] == Accepted()


def test_a_call_is_rejected_only_if_it_cannot_have_taken_effect() -> None:
    # Guards against a job that runs although its submission was rejected.
    fallback, _ = begin(SubmitJob(JOB))
    assert isinstance(advance(fallback, kv.NotSent("busy"))[1], Rejected)
    fallback, _ = advance(fallback, kv.Unknown("lost"))
    fallback, action = advance(fallback, kv.NotSent("busy"))
    assert isinstance(action, store_fallback.Retry)
    assert isinstance(store_fallback.timeout_answer(fallback), Undecided)
    forwarded, _ = begin(SubmitJob(JOB), may_have_effect=True)
    assert isinstance(advance(forwarded, kv.NotSent("busy"))[1], store_fallback.Retry)


def test_a_write_that_the_store_refuses_is_never_accepted() -> None:
    # Guards against a call that is repeated until its deadline although the store has
    # refused it for good, and against an acceptance of a job that is not stored.
    refusal = kv.PermanentlyRefused("too long")
    fallback, _ = begin(SubmitJob(JOB))
    assert isinstance(advance(fallback, refusal)[1], Rejected)
    fallback, _ = advance(fallback, kv.Unknown("lost"))
    assert isinstance(advance(fallback, refusal)[1], Undecided)
    forwarded, _ = begin(SubmitJob(JOB), may_have_effect=True)
    assert isinstance(advance(forwarded, refusal)[1], Undecided)


def test_the_state_is_read_from_the_progress_then_from_the_job() -> None:
    # Guards against "no such job" for a job that waits or has ended.
    fallback, _ = begin(QueryJob(JOB.job_id))
    done = encode_progress(Progress(JobState.SUCCEEDED))
    assert advance(fallback, kv.Found(done, 4))[1] == StateIs(JobState.SUCCEEDED)
    waiting, request = advance(fallback, kv.Missing())
    assert isinstance(request, kv.Get)
    assert advance(waiting, kv.Found(b"job", 2))[1] == StateIs(JobState.QUEUED)
    again, request = advance(waiting, kv.Missing())
    assert isinstance(request, kv.Get)
    assert advance(again, kv.Missing())[1] == NoSuchJob()


def test_a_job_that_ends_between_the_reads_is_found() -> None:
    # Guards against "no such job" when the job's key is removed after its final state
    # is stored, between the two reads.
    fallback, _ = begin(QueryJob(JOB.job_id))
    waiting, _ = advance(fallback, kv.Missing())
    again, request = advance(waiting, kv.Missing())
    assert isinstance(request, kv.Get) and request.key.startswith(PROGRESS_PREFIX)
    done = encode_progress(Progress(JobState.SUCCEEDED))
    assert advance(again, kv.Found(done, 4))[1] == StateIs(JobState.SUCCEEDED)


def test_a_job_that_has_ended_is_not_stored_again() -> None:
    # Guards against a late duplicate of a submission that restarts an ended job.
    _, request = begin(SubmitJob(JOB))
    assert isinstance(request, kv.Transact)
    expected = {row.key: row.revision for row in request.expected}
    assert expected[f"{PROGRESS_PREFIX}{JOB.job_id}"] == kv.NO_REVISION


def test_a_cancellation_of_a_known_job_is_stored() -> None:
    # Guards against a cancellation that is acknowledged and then lost.
    fallback, _ = begin(CancelJob(JOB.job_id))
    writing, request = advance(fallback, kv.Found(b"job", 2))
    assert isinstance(request, kv.Transact)
    assert request.puts[0].key == f"inbox/{JOB.job_id}.cancelled"
    assert advance(writing, kv.Written(5))[1] == Accepted()
    assert advance(fallback, kv.Missing())[1] == NoSuchJob()


def test_a_query_is_rejected_if_the_progress_cannot_be_read() -> None:
    # Guards against a state that is derived from unreadable bytes of another writer.
    fallback, _ = begin(QueryJob(JOB.job_id))
    assert isinstance(advance(fallback, kv.Found(b"\xff", 4))[1], Rejected)


def test_a_count_is_rejected_without_a_scheduler() -> None:
    # Guards against a count of zero while the number of waiting jobs is unknown.
    assert isinstance(begin(CountWaiting("h/q/"))[1], Rejected)


def test_a_timeout_during_a_write_leaves_the_call_undecided() -> None:
    # Guards against the fault of gagnon-jobs mix, seed 356245259654: submissions were
    # rejected while their write to a slow store was in flight.
    fallback, _ = begin(SubmitJob(JOB))
    assert isinstance(store_fallback.timeout_answer(fallback), Undecided)
    reading, _ = begin(QueryJob(JOB.job_id))
    assert isinstance(store_fallback.timeout_answer(reading), Rejected)
