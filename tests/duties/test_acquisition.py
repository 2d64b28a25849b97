"""A free duty is acquired at once and kept by renewals."""

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
    """Answer calls as a healthy store in which the duty is free; fail on `DutyLost`."""
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
def test_a_duty_acquired_between_two_polls_is_renewed_in_time(seed: int) -> None:
    # Guards against a first renewal that waits for the next poll, which is due after
    # the lease has ended: the duty changed its holder every 1.4 s (smn-guavapin
    # trouble-1).
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
    # Guards against dropping answers to earlier renewals as outdated: with a store
    # slower than the renewal interval, the duty was lost although every renewal had
    # succeeded (gagnon-jobs-grown trouble-2).
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


def test_a_retired_process_does_not_acquire_the_duty_again() -> None:
    # Guards against a stopping process that acquires the duty it has just released: no
    # process scheduled until its lease ended (gagnon-jobs trouble-2, seed
    # 505945372669).
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
    """Answer calls until the task has acquired the free duty."""
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
