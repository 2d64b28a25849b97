"""The release of a duty by the process that held it."""

from __future__ import annotations

import pytest

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import RetireFromDuty
from guavapin.duties.task import MAX_RELEASE_MS
from guavapin.duties.task import RELEASE_RETRY_MS
from guavapin.duties.task import DutyTask
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv


def holder() -> tuple[DutyTask, TaskHarness]:
    """Return a task that holds the duty under the lease "7"."""
    task = DutyTask("scheduler", "e1@10.0.0.1:1#1", ("worker",))
    harness = TaskHarness(task)
    harness.start()
    answers = {
        kv.Get: kv.Missing(),
        kv.LeaseGrant: kv.Leased("7", 1_500),
        kv.Put: kv.Written(5),
    }
    for _ in answers:
        for request in requests(harness):
            task.handle(kv.Reply(request.request_id, answers[type(request)]))
    assert any(isinstance(row.message, DutyHeld) for row in harness.sent)
    harness.take_sent()
    return task, harness


def requests(harness: TaskHarness) -> list:
    """Take the requests to the store, and keep the other messages."""
    sent = harness.take_sent()
    harness.sent = [row for row in sent if row.service != "platform"]
    return [row.message for row in sent if row.service == "platform"]


@pytest.mark.parametrize(
    "outcome", [kv.NotSent("503"), kv.Unknown("cut"), kv.RateLimited()]
)
def test_a_release_that_the_store_did_not_carry_out_is_repeated(outcome) -> None:
    # Guards against a duty that nobody holds after an outage of the store, until the
    # lease of a process that has stopped during it lapses.
    task, harness = holder()
    task.handle(RetireFromDuty())
    for _ in range(3):
        (request,) = requests(harness)
        assert isinstance(request, kv.LeaseRevoke) and request.lease_id == "7"
        task.handle(kv.Reply(request.request_id, outcome))
        assert requests(harness) == []
        harness.advance(RELEASE_RETRY_MS)
    (request,) = requests(harness)
    task.handle(kv.Reply(request.request_id, kv.Written(9)))
    harness.advance(RELEASE_RETRY_MS)
    assert requests(harness) == []


def test_a_release_is_not_repeated_for_ever() -> None:
    # Guards against calls to a store that stays away.
    task, harness = holder()
    task.handle(RetireFromDuty())
    (request,) = requests(harness)
    harness.advance(MAX_RELEASE_MS)
    task.handle(kv.Reply(request.request_id, kv.Unknown("cut")))
    harness.advance(RELEASE_RETRY_MS)
    assert requests(harness) == []
