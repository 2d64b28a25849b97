"""The log line of an answered cancellation."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import TYPE_CHECKING

from guavapin.intake.task import IntakeTask
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.queues import QueueTable
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.request_handler import WholeRequest
from tests.scheduling.simulation import QUEUE

if TYPE_CHECKING:
    import pytest

NOBODY = KnownScheduler("", "", 0)
JOB_ID = "a" * 16


class Codec:
    """Codec that decodes each request as the same cancellation."""

    deadline_header = b"x-deadline-ms"
    key_header = b"authorization"

    def read_key(self, value: str) -> str:
        return value

    def decode(self, *_: object) -> CancelJob:
        return CancelJob(JOB_ID)

    def encode(self, _: object) -> tuple:
        return 200, (), b""


def test_a_cancellation_that_the_store_alone_answered_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against an acknowledged cancellation that leaves no line on the host that
    # answered it, so that nobody can tell that it waits for a scheduler.
    caplog.set_level(logging.INFO, "guavapin")
    observer = SimpleNamespace(observe_call=lambda *_: None)
    task = IntakeTask(Codec(), "me@10.0.0.9:1#1", observer)
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1, (QUEUE,), ())))
    task.handle(NOBODY)
    headers = ((b"host", QUEUE.host.encode()),)
    target = f"{QUEUE.prefix}{JOB_ID}"
    task.handle_request(WholeRequest(1, "DELETE", target, headers, b"", 0))
    for outcome in (kv.Found(b"job", 2), kv.Written(3)):
        requests = [row.message for row in harness.take_sent()]
        (request,) = [row for row in requests if isinstance(row, kv.PlatformRequest)]
        task.handle(kv.Reply(request.request_id, outcome))
    (line,) = [r for r in caplog.records if r.message == "cancellation answered"]
    assert (line.job, line.answer) == (JOB_ID, "Accepted")
    assert getattr(line, "from") == "store"
