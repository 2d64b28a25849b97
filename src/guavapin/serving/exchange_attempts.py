"""The attempts in progress, and the statistics updated when they end."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from guavapin.routing.run_time import Expectation
from guavapin.routing.verdict import Verdict
from guavapin.serving.exchange_attempt import Attempt
from guavapin.serving.exchange_attempt import build_probe
from guavapin.serving.exchange_attempt import build_start
from guavapin.serving.exchange_attempt import slowness_of

if TYPE_CHECKING:
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange_router import ExchangeRouter
    from guavapin.serving.exchange_upstream import Placement
    from guavapin.serving.messages import StartAttempt

PROBE_TIMEOUT_MS = 2_000
# Answers from this status on are errors, whose run time is not representative.
FIRST_ERROR_STATUS = 400


class AttemptTable:
    """Attempts of the task `exchanges` by id; ids are never reused."""

    def __init__(self, router: ExchangeRouter) -> None:
        self._router = router
        self._attempts: dict[int, Attempt] = {}
        # Cancelled attempts that may still run at their upstream.
        self._closing: dict[int, Attempt] = {}
        self._statuses: dict[int, int] = {}
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def closing(self) -> int:
        """Number of cancelled attempts whose slots are still in use."""
        return len(self._closing)

    def get(self, attempt_id: int) -> Attempt | None:
        """Return the attempt, None if it has ended or the id is unknown."""
        return self._attempts.get(attempt_id)

    def start(
        self,
        exchange: Exchange,
        placement: Placement | None,
        address: str,
        body: tuple[bytes, bool],
        now_ms: int,
    ) -> StartAttempt:
        """Register an attempt and return the message that starts it."""
        attempt = Attempt(
            next(self._ids),
            exchange.request.request_id,
            exchange.request.service.pool,
            placement,
            now_ms,
            exchange.request.expectation,
        )
        self._attempts[attempt.attempt_id] = attempt
        return build_start(exchange, attempt, address, body, now_ms)

    def start_probe(self, pool_name: str, now_ms: int) -> StartAttempt | None:
        """Register an active probe and return the message that starts it.

        Returns None if no upstream of the pool has a trial due and a free slot.
        """
        pool = self._router.pools[pool_name]
        placement = pool.place_probe(now_ms + PROBE_TIMEOUT_MS, now_ms)
        if placement is None:
            return None
        expectation = Expectation(1.0, PROBE_TIMEOUT_MS, is_long=False)
        attempt = Attempt(next(self._ids), 0, pool_name, placement, now_ms, expectation)
        self._attempts[attempt.attempt_id] = attempt
        return build_probe(attempt.attempt_id, placement.address, PROBE_TIMEOUT_MS)

    def set_status(self, attempt_id: int, status: int) -> None:
        """Record the status of the attempt's answer."""
        self._statuses[attempt_id] = status

    def status_of(self, attempt_id: int) -> int:
        """Return the status of the answer, 0 before its head has arrived."""
        return self._statuses.get(attempt_id, 0)

    def end(
        self,
        attempt_id: int,
        exchange: Exchange | None,
        verdict: Verdict | None,
        now_ms: int,
        keeps_slot: bool = False,
    ) -> None:
        """Remove an attempt, release its slot and record its run time and verdict.

        With `keeps_slot` the slot is released by `release_slot`.
        """
        attempt = self._attempts.pop(attempt_id)
        status = self._statuses.pop(attempt_id, 0)
        placement = attempt.placement
        if placement is None:
            return
        is_probe = exchange is None
        slowness = 1.0 if is_probe else slowness_of(attempt, now_ms)
        pool = self._router.pools[attempt.pool]
        pool.end(placement, verdict, slowness, now_ms, keeps_slot)
        if keeps_slot:
            self._closing[attempt_id] = attempt
        # A deadline cancels its attempt. An answer that arrives after the deadline was
        # delayed by a pause of this process, so its run time is not recorded.
        if exchange is None or (
            verdict is Verdict.SUCCESS and now_ms > exchange.request.deadline_ms
        ):
            return
        run_ms = now_ms - attempt.sent_ms
        self._router.queues[attempt.pool].observe_run_time(placement.is_long, run_ms)
        if verdict is Verdict.SUCCESS and status < FIRST_ERROR_STATUS:
            service = self._router.services[exchange.request.service.name]
            service.run_times.observe(exchange.request.kind, run_ms, now_ms)

    def release_slot(self, attempt_id: int, now_ms: int) -> str:
        """Release the slot of a cancelled attempt and return the name of its pool.

        Returns an empty string if the attempt holds no slot.
        """
        attempt = self._closing.pop(attempt_id, None)
        if attempt is None or attempt.placement is None:
            return ""
        self._router.pools[attempt.pool].release(attempt.placement, now_ms)
        return attempt.pool
