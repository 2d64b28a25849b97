"""A duty that becomes free is taken at once and kept."""

from __future__ import annotations

import pytest

from guavapin.duties.lease import LeaseTerms
from guavapin.duties.messages import AcquireDuty
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import RetireFromDuty
from guavapin.duties.task import DutyTask
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv

TERMS = LeaseTerms(lease_ms=1_500, renew_ms=400, margin_ms=150, poll_ms=1_500)


def answer(harness: TaskHarness, task: DutyTask) -> None:
    """Answer the calls of the store as a free and healthy one does."""
    while sent := [row.message for row in harness.take_sent() if row.service]:
        for request in sent:
            outcome = None
            if isinstance(request, kv.Get):
                outcome = kv.Missing()
            elif isinstance(request, kv.LeaseGrant | kv.LeaseRenew):
                outcome = kv.Leased("7", 1_500)
            elif isinstance(request, kv.Put):
                outcome = kv.Written(9)
            elif isinstance(request, DutyLost):
                raise AssertionError("the duty was lost")
            if outcome is not None:
                task.handle(kv.Reply(request.request_id, outcome))


@pytest.mark.parametrize("seed", range(12))
def test_a_duty_taken_between_two_polls_is_renewed_in_time(seed: int) -> None:
    # Guards against the fault of smn-guavapin trouble-1: the first renewal waited for
    # the poll that was due, which came after the end of the lease, so that the duty
    # went from one process to the next every 1.4 s.
    task = DutyTask("scheduler", "a", ("scheduler",), seed, TERMS)
    harness = TaskHarness(task)
    harness.start()
    for request in harness.take_sent():
        task.handle(kv.Reply(request.message.request_id, kv.Found(b"other", 3)))
    task.handle(AcquireDuty())
    answer(harness, task)
    for _ in range(100):
        harness.advance(50)
        answer(harness, task)


def test_renewals_count_although_the_next_one_was_sent_before_the_answer() -> None:
    # Guards against the fault of gagnon-jobs-grown trouble-2: with a store slower than
    # the pause between two renewals, each answer was dropped as outdated and the duty
    # was lost although every renewal had succeeded.
    answer_ms = 500
    task = DutyTask("scheduler", "a", ("scheduler",), 0, TERMS)
    harness = TaskHarness(task)
    harness.start()
    acquire_duty(harness, task)
    in_flight: list[tuple[int, int]] = []
    for now_ms in range(0, 10_000, 50):
        harness.advance(50)
        for row in harness.take_sent():
            assert not isinstance(row.message, DutyLost)
            if isinstance(row.message, kv.LeaseRenew):
                in_flight.append((now_ms + answer_ms, row.message.request_id))
        while in_flight and in_flight[0][0] <= now_ms:
            _, number = in_flight.pop(0)
            task.handle(kv.Reply(number, kv.Leased("7", 1_500)))


def test_a_retired_process_does_not_take_the_duty_again() -> None:
    # Guards against the fault of gagnon-jobs trouble-2, seed 505945372669: a process
    # that was stopping took the duty back that it had just handed over, and nobody
    # scheduled until its lease ended.
    task = DutyTask("scheduler", "a", ("scheduler",), 0, TERMS)
    harness = TaskHarness(task)
    harness.start()
    acquire_duty(harness, task)
    task.handle(RetireFromDuty())
    harness.take_sent()
    task.handle(AcquireDuty())
    harness.advance(5_000)
    sent = [row.message for row in harness.take_sent()]
    assert not any(isinstance(m, kv.Get | kv.LeaseGrant | kv.Put) for m in sent)


def acquire_duty(harness: TaskHarness, task: DutyTask) -> None:
    """Let the task take the free duty."""
    for _ in range(4):
        for row in harness.take_sent():
            outcomes = {
                kv.Get: kv.Missing(),
                kv.LeaseGrant: kv.Leased("7", 1_500),
                kv.Put: kv.Written(9),
            }
            outcome = outcomes.get(type(row.message))
            if outcome is not None:
                task.handle(kv.Reply(row.message.request_id, outcome))
