"""The scheduler's task: begin and end of a term, and an unconfirmed lease."""

from __future__ import annotations

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import PostponeCompetition
from guavapin.duties.messages import ReleaseDuty
from guavapin.duties.messages import RetireFromDuty
from guavapin.jobs.calls import CountWaiting
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import Follow
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.ledger.messages import LedgerFenced
from guavapin.scheduling.duty_release import MAX_HANDOVER_MS
from guavapin.scheduling.handover import HANDOVER_KEY
from guavapin.scheduling.handover import HANDOVER_PREFIX
from guavapin.scheduling.loop_load import MIN_TERM_MS
from guavapin.scheduling.loop_load import WINDOW_MS
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.scheduling.messages import SchedulingEnded
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.task import FETCH_RETRY_MS
from guavapin.scheduling.task import FOLLOW_INBOX
from guavapin.scheduling.task import TICK_MS
from guavapin.scheduling.task import HandOver
from guavapin.scheduling.task import SchedulerTask
from guavapin.scheduling.term import MAX_UNCONFIRMED_MS
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import TIMES

MARKER = kv.Item(f"{INBOX_PREFIX}{'a' * 16}.submitted", b"1", 9)


class EmptyRegistry:
    """A registry without entries."""

    prefix = "registry/"

    def decode(self, key: str, value: bytes) -> None:
        return None


LISTED_PREFIXES = {
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    INBOX_PREFIX,
    HANDOVER_PREFIX,
    EmptyRegistry.prefix,
}


def begin() -> tuple[SchedulerTask, TaskHarness]:
    """Return a task that schedules with token 7, without jobs and hosts."""
    task = SchedulerTask(EmptyRegistry(), TIMES, "scheduler", "duty/scheduler")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(TABLE))
    task.handle(DutyHeld("scheduler", 7, 1_000))
    for prefix in LISTED_PREFIXES:
        task.handle(PrefixListed(prefix, ()))
    harness.take_sent()
    return task, harness


def fetches(harness: TaskHarness) -> list[kv.Get]:
    sent = [row.message for row in harness.take_sent()]
    return [message for message in sent if isinstance(message, kv.Get)]


def test_a_term_continues_when_its_lease_outlives_an_outage() -> None:
    # Guards against a takeover, which waits for the list of machines, after each short
    # outage of the store.
    task, harness = begin()
    task.handle(DutyLost("scheduler"))
    task.handle(DutyHeld("scheduler", 7, 5_000))
    task.handle(JobRequest("intake", 1, CountWaiting(QUEUE.key)))
    replies = [row.message for row in harness.take_sent()]
    (reply,) = [reply for reply in replies if isinstance(reply, JobReply)]
    assert reply.answer is not None


def test_markers_ignored_without_a_confirmed_lease_are_read_again() -> None:
    # Guards against a job that never starts because its marker arrived, and was
    # ignored, while the scheduler could not reach the store.
    task, harness = begin()
    task.handle(DutyLost("scheduler"))
    task.handle(PrefixChanged(INBOX_PREFIX, (MARKER,)))
    assert fetches(harness) == []
    task.handle(DutyHeld("scheduler", 7, 5_000))
    sent = [(row.service, row.message) for row in harness.take_sent()]
    assert (FOLLOW_INBOX, Follow()) in sent
    task.handle(PrefixListed(INBOX_PREFIX, (MARKER,)))
    assert len(fetches(harness)) == 1


def test_a_job_fetched_without_a_confirmed_lease_is_fetched_again() -> None:
    # Guards against a job that no scheduler starts because its read was answered during
    # an outage.
    task, harness = begin()
    task.handle(PrefixChanged(INBOX_PREFIX, (MARKER,)))
    (fetch,) = fetches(harness)
    task.handle(DutyLost("scheduler"))
    task.handle(kv.Reply(fetch.request_id, kv.Missing()))
    task.handle(DutyHeld("scheduler", 7, 5_000))
    harness.advance(FETCH_RETRY_MS)
    assert len(fetches(harness)) == 1


def test_an_ended_term_does_not_restart_with_the_same_token() -> None:
    # Guards against attempt numbers that are used twice.
    task, harness = begin()
    task.handle(LedgerFenced())
    harness.take_sent()
    task.handle(DutyHeld("scheduler", 7, 5_000))
    sent = [row.message for row in harness.take_sent()]
    assert sent == [ReleaseDuty(7)]


def test_a_marker_is_handled_while_the_lease_is_confirmed() -> None:
    # Guards against jobs that never start because they were stored while no scheduler
    # was reached.
    task, harness = begin()
    task.handle(PrefixChanged(INBOX_PREFIX, (MARKER,)))
    assert [fetch.key for fetch in fetches(harness)] == [f"{JOBS_PREFIX}{'a' * 16}"]


def test_a_marker_is_ignored_without_a_confirmed_lease() -> None:
    # Guards against a job that is started twice: by a scheduler without a lease and by
    # its successor, which both read the inbox.
    task, harness = begin()
    task.handle(DutyLost("scheduler"))
    task.handle(PrefixChanged(INBOX_PREFIX, (MARKER,)))
    task.handle(PrefixListed(INBOX_PREFIX, (MARKER,)))
    assert fetches(harness) == []


def test_a_marker_that_arrives_before_all_lists_are_read_is_handled() -> None:
    # Guards against an accepted job that no scheduler starts: the inbox had been listed
    # and the other lists not yet, so its marker was dropped (found by the model of
    # takeovers, seed 6).
    task = SchedulerTask(EmptyRegistry(), TIMES, "scheduler", "duty/scheduler")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(TABLE))
    task.handle(DutyHeld("scheduler", 7, 1_000))
    task.handle(PrefixListed(INBOX_PREFIX, ()))
    task.handle(PrefixChanged(INBOX_PREFIX, (MARKER,)))
    for prefix in LISTED_PREFIXES - {INBOX_PREFIX}:
        task.handle(PrefixListed(prefix, ()))
    assert [fetch.key for fetch in fetches(harness)] == [f"{JOBS_PREFIX}{'a' * 16}"]


def test_callers_are_redirected_without_a_confirmed_lease() -> None:
    # Guards against answers with states and counts that are out of date.
    task, harness = begin()
    task.handle(JobRequest("intake", 1, CountWaiting(QUEUE.key)))
    task.handle(DutyLost("scheduler"))
    task.handle(JobRequest("intake", 2, CountWaiting(QUEUE.key)))
    replies = [row.message for row in harness.take_sent()]
    answers = [reply.answer for reply in replies if isinstance(reply, JobReply)]
    assert answers[0] is not None and answers[1] is None


def test_a_scheduler_steps_down_after_a_long_outage_or_for_a_newer_one() -> None:
    # Guards against a scheduler that continues while its successor schedules.
    for end in ("time", "known"):
        task, harness = begin()
        task.handle(DutyLost("scheduler"))
        if end == "time":
            harness.advance(MAX_UNCONFIRMED_MS + 100)
        else:
            task.handle(KnownScheduler("h:1", "other", 8))
        sent = [row.message for row in harness.take_sent()]
        assert any(isinstance(message, SchedulingEnded) for message in sent)


def test_a_scheduler_on_a_slow_host_releases_the_duty_and_does_not_retake_it() -> None:
    # Guards against a slow host that keeps the duty through a turn of demand.
    _, harness = begin()
    harness.advance(MIN_TERM_MS)
    harness.take_sent()
    for _ in range(WINDOW_MS // TICK_MS):
        harness.busy_ms += TICK_MS
        harness.advance(TICK_MS)
    harness.advance(MAX_HANDOVER_MS)
    sent = [(row.service, row.message) for row in harness.take_sent()]
    assert ("duty_scheduler", ReleaseDuty(7)) in sent
    assert any(isinstance(message, PostponeCompetition) for _, message in sent)


def test_a_stopping_scheduler_stores_its_runs_before_it_releases_the_duty() -> None:
    # Guards against a successor that reads the record before it is written, and against
    # a process that keeps the duty while the store does not answer.
    for is_answered in (True, False):
        task, harness = begin()
        task.handle(HandOver())
        sent = [row.message for row in harness.take_sent()]
        (write,) = [row for row in sent if isinstance(row, kv.Transact)]
        assert write.puts[0].key == HANDOVER_KEY
        assert write.expected == (kv.KeyRevision("duty/scheduler", 7),)
        assert RetireFromDuty() not in sent
        if is_answered:
            task.handle(kv.Reply(write.request_id, kv.Written(9)))
        else:
            harness.advance(MAX_HANDOVER_MS)
        assert RetireFromDuty() in [row.message for row in harness.take_sent()]


def test_an_unconfirmed_scheduler_hands_over_no_runs() -> None:
    # Guards against a record of a scheduler that may have a successor already.
    task, harness = begin()
    task.handle(DutyLost("scheduler"))
    harness.take_sent()
    task.handle(HandOver())
    sent = [row.message for row in harness.take_sent()]
    assert not any(isinstance(message, kv.Transact) for message in sent)
    assert RetireFromDuty() in sent
