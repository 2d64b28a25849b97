"""Benchmark case with and without hedging, on slots shared by all requests."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING

from guavapin.retries.hedge import HedgeSettings
from guavapin.retries.hedge import hedge_delay_ms

if TYPE_CHECKING:
    from guavapin_bench.policies_support import Scale

STALL_SHARE = 0.01
STALL_FACTOR = 20


class _Request:
    def __init__(
        self,
        at_ms: float,
        run_ms: tuple[float, float],
        is_done: bool = False,
        attempts: int = 0,
    ) -> None:
        self.at_ms = at_ms
        self.run_ms = run_ms
        self.is_done = is_done
        self.attempts = attempts
        self.slots: set[int] = set()


class HedgingLoop:
    """First-come, first-served queue on `slots`; the first answer cancels the other."""

    def __init__(self, slots: int, hedge_at_ms: int | None) -> None:
        self._hedge_at_ms = hedge_at_ms
        self._free = slots
        self._queue: deque[_Request] = deque()
        self._events: list[tuple[float, int, str, _Request, int]] = []
        self._sequence = itertools.count()
        self.answers_ms: list[float] = []
        self.attempts = 0

    def run(self, requests: list[_Request]) -> None:
        """Run all requests until they have ended."""
        for request in requests:
            self._schedule(request.at_ms, "arrive", request)
        while self._events:
            now_ms, _, kind, request, number = heapq.heappop(self._events)
            if kind == "arrive" or (kind == "hedge" and not request.is_done):
                self._queue.append(request)
            elif kind == "end" and number in request.slots:
                self._end(request, now_ms)
            while self._free and self._queue:
                self._start(self._queue.popleft(), now_ms)

    def _start(self, request: _Request, now_ms: float) -> None:
        if request.is_done:
            return
        self._free -= 1
        self.attempts += 1
        run_ms = request.run_ms[min(request.attempts, 1)]
        request.attempts += 1
        number = next(self._sequence)
        request.slots.add(number)
        self._schedule(now_ms + run_ms, "end", request, number)
        if self._hedge_at_ms is not None and request.attempts == 1:
            self._schedule(now_ms + self._hedge_at_ms, "hedge", request)

    def _end(self, request: _Request, now_ms: float) -> None:
        request.is_done = True
        self._free += len(request.slots)
        request.slots.clear()
        self.answers_ms.append(now_ms - request.at_ms)

    def _schedule(
        self, at_ms: float, kind: str, request: _Request, number: int = -1
    ) -> None:
        event = (at_ms, next(self._sequence), kind, request, number)
        heapq.heappush(self._events, event)


def hedging(seed: int, scale: Scale) -> list[str]:
    """Return p99 and attempts when 1% of the runs take 20 times as long."""
    lines = []
    for load in (0.3, 0.6, 0.9):
        base = 0.0
        for is_on in (False, True):
            delay_ms = hedge_delay_ms(145.0, True, False, HedgeSettings(is_on))
            loop = HedgingLoop(48, delay_ms)
            loop.run(
                _requests(random.Random(seed), load, max(int(60_000 * scale.factor), 1))
            )
            answers = sorted(loop.answers_ms)
            p99_ms = answers[int(len(answers) * 0.99)]
            base = base or p99_ms
            lines.append(
                f"load {load} hedging {'on ' if is_on else 'off'} p99 answer "
                f"{p99_ms:6.0f} ms ratio {p99_ms / base:5.2f}; attempts a request "
                f"{loop.attempts / len(answers):.3f}"
            )
    return lines


def _requests(rng: random.Random, load: float, count: int) -> list[_Request]:
    mean_ms = 100 * (1 + STALL_SHARE * (STALL_FACTOR - 1))
    requests, at_ms = [], 0.0
    for _ in range(count):
        at_ms += rng.expovariate(load * 48 / mean_ms)
        requests.append(_Request(at_ms, (_run_ms(rng), _run_ms(rng))))
    return requests


def _run_ms(rng: random.Random) -> float:
    is_stalled = rng.random() < STALL_SHARE
    return rng.uniform(50, 150) * (STALL_FACTOR if is_stalled else 1)
