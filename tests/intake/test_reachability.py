"""An entry host that can only refuse calls reports that it is not ready."""

from __future__ import annotations

from guavapin.intake.reachability import MAX_FAILURES
from guavapin.intake.reachability import ReachabilityTask
from guavapin.jobs.queues import QueueTable
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady


def test_readiness_needs_a_table_and_recent_answers() -> None:
    # Guards against callers that are sent to a partitioned entry host, and against an
    # entry host that stays out of rotation after the partition has healed.
    task = ReachabilityTask("ready_front")
    harness = TaskHarness(task)
    harness.start()
    task.handle(ReachabilityReport(True))
    assert harness.take_sent() == []
    task.handle(QueueTableChanged(QueueTable(1)))
    assert [row.message for row in harness.take_sent()] == [SetReady(True)]
    for _ in range(MAX_FAILURES):
        task.handle(ReachabilityReport(False))
    assert [row.message for row in harness.take_sent()] == [SetReady(False)]
    task.handle(ReachabilityReport(True))
    assert [row.message for row in harness.take_sent()] == [SetReady(True)]


def test_single_failures_do_not_change_readiness() -> None:
    # Guards against an entry host that leaves rotation after a single lost answer.
    task = ReachabilityTask("ready_front")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1)))
    harness.take_sent()
    for _ in range(10):
        task.handle(ReachabilityReport(False))
        task.handle(ReachabilityReport(True))
    assert harness.take_sent() == []
