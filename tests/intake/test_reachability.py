"""An entry host that can only refuse calls reports that it is not ready."""

from __future__ import annotations

from guavapin.intake.reachability import MAX_FAILURES
from guavapin.intake.reachability import MAX_SILENCE_MS
from guavapin.intake.reachability import PROBE_INTERVAL_MS
from guavapin.intake.reachability import CutOff
from guavapin.intake.reachability import ReachabilityTask
from guavapin.jobs.queues import QueueTable
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady


def ready_states(harness: TaskHarness) -> list[object]:
    """Return the readiness reports that were sent."""
    return [row.message for row in harness.take_sent() if row.service == "ready_front"]


def test_readiness_needs_a_table_and_recent_answers() -> None:
    # Guards against callers that are sent to a partitioned entry host, and against an
    # entry host that stays out of rotation after the partition has healed.
    task = ReachabilityTask("ready_front", "intake", "duty")
    harness = TaskHarness(task)
    harness.start()
    task.handle(ReachabilityReport(True))
    assert harness.take_sent() == []
    task.handle(QueueTableChanged(QueueTable(1)))
    assert ready_states(harness) == [SetReady(True)]
    for _ in range(MAX_FAILURES):
        task.handle(ReachabilityReport(False))
    assert ready_states(harness) == [SetReady(False)]
    task.handle(ReachabilityReport(True))
    assert ready_states(harness) == [SetReady(True)]


def test_single_failures_do_not_change_readiness() -> None:
    # Guards against an entry host that leaves rotation after a single lost answer.
    task = ReachabilityTask("ready_front", "intake", "duty")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1)))
    harness.take_sent()
    for _ in range(10):
        task.handle(ReachabilityReport(False))
        task.handle(ReachabilityReport(True))
    assert harness.take_sent() == []


def advance(task: ReachabilityTask, harness: TaskHarness, duration_ms: int) -> None:
    """Let checks come due, one by one."""
    for _ in range(duration_ms // PROBE_INTERVAL_MS):
        harness.advance(PROBE_INTERVAL_MS)


def rig() -> tuple[ReachabilityTask, TaskHarness]:
    task = ReachabilityTask("ready_front", "intake", "duty")
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1)))
    harness.take_sent()
    return task, harness


def test_a_host_without_any_answer_is_cut_off() -> None:
    # Guards against a partition that shows only when a call of a caller has timed out,
    # after two seconds in which all calls are lost.
    task, harness = rig()
    advance(task, harness, MAX_SILENCE_MS + PROBE_INTERVAL_MS)
    sent = [row.message for row in harness.take_sent()]
    assert CutOff(True) in sent and SetReady(False) in sent
    task.handle(ReachabilityReport(True))
    assert [row.message for row in harness.take_sent()] == [
        CutOff(False),
        SetReady(True),
    ]


def test_a_host_without_calls_is_not_cut_off_while_probes_are_answered() -> None:
    # Guards against an idle host that leaves rotation.
    task, harness = rig()
    for _ in range(20):
        harness.advance(PROBE_INTERVAL_MS)
        for row in harness.take_sent():
            assert isinstance(row.message, kv.Get) and row.message.may_be_stale
            task.handle(kv.Reply(row.message.request_id, kv.Missing()))


def test_a_host_with_answered_calls_sends_no_probes() -> None:
    # Guards against probes that add to the load of the store.
    task, harness = rig()
    for _ in range(40):
        harness.advance(PROBE_INTERVAL_MS // 2)
        task.handle(ReachabilityReport(True))
    assert harness.take_sent() == []


def test_a_process_that_was_suspended_is_not_cut_off() -> None:
    # Guards against calls that are rejected after a suspension, since answers of the
    # time before it are handled only after the check.
    _, harness = rig()
    harness.clock.advance(5_000)
    harness.advance(1)
    assert CutOff(True) not in [row.message for row in harness.take_sent()]
