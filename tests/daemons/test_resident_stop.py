"""The phases of a stop of a resident, and requests that outlast them."""

from __future__ import annotations

import http.client
import signal
import time
from concurrent.futures import Future
from typing import Any
from typing import cast

import pytest

from guavapin.daemons.resident_process import ANSWER_RESERVE_MS
from guavapin.daemons.resident_process import STOP_RESERVE_MS
from guavapin.daemons.resident_process import UNREADY_NOTICE_MS
from guavapin.daemons.resident_process import StopPlan
from guavapin.daemons.resident_process import drain_resident
from guavapin.daemons.resident_process import plan_stop
from guavapin.kernel import Ok
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import StopAccepting
from guavapin_standins.resident_platform import SetAnswersLost
from tests.daemons.test_resident import Site

# A bound of the platform's own, in which a process that stops is killed.
GRACE_MS = 6_000


class RecordingKernel:
    """Records messages in order; the front stops at once, or never."""

    def __init__(self, stops: bool) -> None:
        self.received: list[tuple[str, type]] = []
        self._stops = stops

    def deliver(self, service: str, message: object) -> None:
        self.received.append((service, type(message)))

    def ask(self, service: str, message: object) -> Future[Any]:
        self.deliver(service, message)
        fut: Future[Any] = Future()
        if self._stops:
            fut.set_result(Ok(None))
        return fut

    def wait_for_failure(self, timeout_ms: int) -> None:
        assert timeout_ms >= 0


@pytest.mark.parametrize("grace_ms", [0, 1_000, 2_000, 4_000, GRACE_MS, 30_000])
def test_the_services_stop_in_the_grace_period(grace_ms: int) -> None:
    # Guards against a process that is killed before it has answered its requests: the
    # notice of 2.5 s did not depend on the grace period.
    plan = plan_stop(grace_ms)
    total_ms = plan.serve_ms + plan.finish_ms + plan.answer_ms
    assert total_ms <= max(grace_ms - STOP_RESERVE_MS, ANSWER_RESERVE_MS)
    assert 0 <= plan.serve_ms <= UNREADY_NOTICE_MS and plan.finish_ms >= 0


def test_requests_that_outlast_the_stop_are_answered_before_the_services_end() -> None:
    # Guards against requests that were read and are dropped when the services stop.
    kernel = RecordingKernel(stops=False)
    drain_resident(cast("Any", kernel), StopPlan(0, 0, 0))
    assert kernel.received[-3:] == [
        ("front", StopAccepting),
        ("intake", AnswerPending),
        ("front", AnswerPending),
    ]


def test_requests_that_end_in_time_are_not_cut_short() -> None:
    # Guards against an undecided answer to a request that has its outcome in time.
    kernel = RecordingKernel(stops=True)
    drain_resident(cast("Any", kernel), StopPlan(0, 0, 0))
    assert kernel.received[-1] == ("front", StopAccepting)


def test_a_request_whose_deadline_outlasts_the_process_is_answered(tmp_path) -> None:
    # Guards against a connection that ends without an answer: the store did not answer
    # and the process ended 5 s after its SIGTERM, before the caller's deadline.
    site = Site(tmp_path)
    try:
        entry = site.scheduler()
        lost = SetAnswersLost(True)
        site.kernel.ask("resident_platform", lost).result(5)
        entry.process.send_signal(signal.SIGTERM)
        time.sleep(1.0)
        conn = http.client.HTTPConnection("127.0.0.1", entry.front, timeout=20)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": "9000"}
        body = '{"spec": "x", "steps": [{"count": 1}]}'
        conn.request("POST", f"/q/{1:016x}", body, headers)
        assert conn.getresponse().status == 504
        conn.close()
        assert entry.process.wait(20) == 0
    finally:
        site.stop()
