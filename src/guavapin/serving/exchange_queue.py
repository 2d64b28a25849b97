"""The queue of one pool and the expected wait in it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits.queue import WaitQueue
from guavapin.limits.queue import expected_wait_ms

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import Refused
    from guavapin.limits.queue import QueuedRequest
    from guavapin.serving.exchange_pool import ExchangePool
    from guavapin.serving.exchange_settings import ExchangeSettings

RUN_TIME_SMOOTHING = 0.05


class PoolQueue:
    """Requests that wait for a slot of `pool`, owned by the task `exchanges`."""

    def __init__(self, pool: ExchangePool, settings: ExchangeSettings) -> None:
        self.pool = pool
        self.waiting = WaitQueue(settings.queue)
        self._refuses_early = settings.refuses_early
        self._mean_run_ms = {False: 0.0, True: 0.0}

    def observe_run_time(self, is_long: bool, run_ms: float) -> None:
        """Update the mean time for which short or long work occupies a slot."""
        mean = self._mean_run_ms[is_long]
        change = RUN_TIME_SMOOTHING * (run_ms - mean) if mean else run_ms
        self._mean_run_ms[is_long] = mean + change

    def expected_wait_ms(self, waiting: QueuedRequest) -> float:
        """Return the expected wait of a request that is queued now."""
        ahead = self.waiting.ahead_of(waiting)
        pool = self.pool
        if ahead == 0 and pool.free_upstreams and self._is_allowed(waiting):
            return 0.0
        long_slots = int(pool.total_slots * pool.long_share)
        slots = long_slots if waiting.is_long else pool.total_slots - pool.long_running
        mean_ms = self._mean_run_ms[waiting.is_long] or waiting.run_ms
        return expected_wait_ms(ahead + 1, max(slots, 1), mean_ms)

    def push(
        self, waiting: QueuedRequest, p95_ms: float, now_ms: int, is_parked: bool
    ) -> Outcome[None]:
        """Queue a request, or refuse it at once as not run.

        A request that has to wait must fit its deadline with the 95th percentile of
        its kind's run times: under overload, a request that is started but ends after
        its deadline is wasted work.
        """
        waiting, wait_ms = self._bounded(waiting, p95_ms)
        return self.waiting.push(waiting, wait_ms, now_ms, is_parked)

    def check(
        self, waiting: QueuedRequest, p95_ms: float, now_ms: int
    ) -> Refused | None:
        """Return why `push` would refuse a request, None if it would queue it."""
        return self.waiting.check(*self._bounded(waiting, p95_ms), now_ms)

    def _bounded(
        self, waiting: QueuedRequest, p95_ms: float
    ) -> tuple[QueuedRequest, float]:
        """Return a request with the run time to reckon with, and its expected wait."""
        wait_ms = self.expected_wait_ms(waiting)
        if not self._refuses_early:
            return replace(waiting, run_ms=0), 0
        if wait_ms > 0:
            waiting = replace(waiting, run_ms=max(p95_ms, waiting.run_ms))
        return waiting, wait_ms

    def _is_allowed(self, waiting: QueuedRequest) -> bool:
        return not waiting.is_long or self.pool.allows_long()
