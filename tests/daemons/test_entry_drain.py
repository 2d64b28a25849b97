"""The order and the times of a planned stop, on a manual clock."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any
from typing import cast

import pytest

from guavapin.claims.task import ReadCounters
from guavapin.daemons.entry import drain_entry
from guavapin.kernel import ManualClock
from guavapin.kernel import Ok
from guavapin.serving.messages import StopAccepting
from guavapin.serving.seat import ReleaseSeat
from guavapin.settings.entry import EntryLimits

# The interval at which libcurl removes closed connections from its cache.
CACHE_CHECK_MS = 1_000


class ReplyingKernel:
    """Answers each call at once, and moves its clock when the stop waits."""

    def __init__(self, seat_release_ms: int) -> None:
        self.clock = ManualClock()
        self.stopped_ms = -1
        self._seat_release_ms = seat_release_ms

    def deliver(self, service: str, message: object) -> None:
        """Drop a message without a reply."""

    def ask(self, service: str, message: object) -> Future[Any]:
        fut: Future[Any] = Future()
        if isinstance(message, StopAccepting):
            self.stopped_ms = self.clock.now_ms()
        if isinstance(message, ReleaseSeat):
            self.clock.advance(self._seat_release_ms)
        fut.set_result({} if isinstance(message, ReadCounters) else Ok(None))
        return fut

    def wait_for_failure(self, timeout_ms: int) -> None:
        assert timeout_ms >= 0
        self.clock.advance(timeout_ms)


class DrainedProcess:
    def __init__(self, kernel: ReplyingKernel) -> None:
        self.kernel = kernel


class DrainSettings:
    limits = EntryLimits()


@pytest.mark.parametrize("seat_release_ms", [0, 700, 3_000])
def test_callers_notice_the_closed_connections_before_the_process_ends(
    seat_release_ms: int,
) -> None:
    """Guards against requests lost on closed connections of the former process.

    The next process of the seat starts at the same address when this one has ended. A
    caller whose libcurl had not yet removed more than five closed connections to that
    address lost its request there.
    """
    kernel = ReplyingKernel(seat_release_ms)
    drain_entry(cast("Any", DrainedProcess(kernel)), cast("Any", DrainSettings()))
    waited_ms = kernel.clock.now_ms() - kernel.stopped_ms
    assert waited_ms > CACHE_CHECK_MS
    # A stop that has taken that long anyway is not prolonged.
    assert waited_ms <= max(2 * CACHE_CHECK_MS, seat_release_ms)
