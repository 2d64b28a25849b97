"""An entry host that can only refuse takes no callers."""

from __future__ import annotations

from guavapin.intake.reach import MAX_FAILURES
from guavapin.intake.reach import ReachTask
from guavapin.jobs.queues import QueueTable
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.reach import ReachNoted
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady


def test_ready_needs_a_table_and_an_answer_now_and_then() -> None:
    # Guards against callers that are sent to an entry host which is cut off, and
    # against one that stays out after it is reached again.
    task = ReachTask("ready_front")
    harness = TaskHarness(task)
    harness.start()
    task.handle(ReachNoted(True))
    assert harness.take_sent() == []
    task.handle(QueueTableChanged(QueueTable(1)))
    assert [row.message for row in harness.take_sent()] == [SetReady(True)]
    for _ in range(MAX_FAILURES):
        task.handle(ReachNoted(False))
    assert [row.message for row in harness.take_sent()] == [SetReady(False)]
    task.handle(ReachNoted(True))
    assert [row.message for row in harness.take_sent()] == [SetReady(True)]


def test_single_failures_change_nothing() -> None:
    # Guards against an entry host that leaves rotation for one lost answer.
    task = ReachTask("ready_front")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1)))
    harness.take_sent()
    for _ in range(10):
        task.handle(ReachNoted(False))
        task.handle(ReachNoted(True))
    assert harness.take_sent() == []
