"""Simulates entry processes whose claim stores share one simulated platform."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import SendAnswer
from guavapin.claims.store import WakeAfter
from guavapin.kernel import ManualClock
from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import Watch
from guavapin_standins.platform_store import PlatformStore
from guavapin_standins.platform_store import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.claims.store import Actions
    from guavapin.claims.store import ClaimStore
    from guavapin.claims.store import Wake
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one run.

    A share `repeat_share` of the requests is repeated at any process, at most
    `repeat_after_ms` later. A call takes `call_ms` to the platform and back, plus or
    minus half. A rate of 0 means no limit; otherwise each process sends its share of
    the rate only, and a call that would wait longer than `queue_ms` is not sent, as in
    `PlatformTask`.
    """

    processes: int
    requests_per_second: float
    duration_ms: int = 10_000
    run_ms: int = 100
    answer_bytes: int = 2_048
    repeat_share: float = 0.05
    repeat_after_ms: int = 400
    call_ms: int = 4
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0
    queue_ms: int = 2_000


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run; waits are in milliseconds and sorted."""

    requests: int
    granted: int
    refused: dict[str, int]
    writes: int
    reads: int
    bytes_moved: int
    limited: int
    waits_ms: tuple[int, ...]

    def wait_ms(self, share: float) -> int:
        """Return a quantile of the time from claim to grant, or -1 without grants."""
        if not self.waits_ms:
            return -1
        return self.waits_ms[
            min(int(len(self.waits_ms) * share), len(self.waits_ms) - 1)
        ]


class ClaimsSimulation:
    """Runs one load in simulated time; the seed determines the run."""

    def __init__(
        self, create_store: Callable[[str], ClaimStore], load: Load, seed: int
    ) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._platform = PlatformStore(self._clock)
        self._writes = RateLimit(self._clock, load.writes_per_second, 50)
        self._reads = RateLimit(self._clock, load.reads_per_second, 200)
        self._stores = [create_store(f"p{index}") for index in range(load.processes)]
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._watches: list[tuple[int, Watch]] = []
        self._next_send_ms: dict[tuple[int, bool], float] = {}
        self._counts: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._claimed_ms: dict[int, int] = {}
        self._waits_ms: list[int] = []

    def run(self) -> Figures:
        """Run the load, and 5 s more in which the outcomes are recorded."""
        for index, store in enumerate(self._stores):
            self._apply(index, store.on_start(0))
        # The calls of the processes' start are not counted.
        self._advance_to(1_000)
        self._counts.clear()
        self._schedule_requests(1_000)
        self._advance_to(1_000 + self._load.duration_ms + 5_000)
        self._waits_ms.sort()
        counts = self._counts
        return Figures(
            requests=len(self._claimed_ms),
            granted=len(self._waits_ms),
            refused=dict(self._refused),
            writes=counts["write"],
            reads=counts["read"],
            bytes_moved=counts["bytes"],
            limited=counts["limited"],
            waits_ms=tuple(self._waits_ms),
        )

    def _schedule_requests(self, start_ms: int) -> None:
        load, rng = self._load, self._rng
        at_ms = float(start_ms)
        ids = itertools.count(1)
        for number in itertools.count():
            at_ms += rng.expovariate(load.requests_per_second / 1_000)
            if at_ms >= start_ms + load.duration_ms:
                return
            times = [int(at_ms)]
            if rng.random() < load.repeat_share:
                times.append(int(at_ms) + rng.randrange(load.repeat_after_ms))
            for time_ms in times:
                process = rng.randrange(load.processes)
                self._schedule_at(
                    time_ms, self._arrival(process, next(ids), f"key-{number}")
                )

    def _arrival(self, process: int, request_id: int, key: str) -> Callable[[], None]:
        def arrive() -> None:
            now_ms = self._clock.now_ms()
            self._claimed_ms[request_id] = now_ms
            claim = ClaimKey(request_id, "renewals", key, b"d" * 16, now_ms + 5_000)
            self._apply(process, self._stores[process].on_claim(claim, now_ms))

        return arrive

    def _advance_to(self, end_ms: int) -> None:
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, event = heapq.heappop(self._events)
            self._clock.advance(max(at_ms - self._clock.now_ms(), 0))
            event()
        self._clock.advance(end_ms - self._clock.now_ms())

    def _schedule_at(self, at_ms: int, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), event))

    def _schedule_after(self, delay_ms: int, event: Callable[[], None]) -> None:
        self._schedule_at(self._clock.now_ms() + delay_ms, event)

    def _apply(self, process: int, actions: Actions) -> None:
        for action in actions:
            match action:
                case CallPlatform(request):
                    self._call(process, request)
                case WakeAfter(delay_ms, wake):
                    self._schedule_after(delay_ms, partial(self._wake, process, wake))
                case SendAnswer(ClaimGranted(request_id)):
                    self._grant(process, request_id)
                case SendAnswer(ClaimRefused(_, outcome)):
                    self._refused[type(outcome).__name__] += 1

    def _wake(self, process: int, wake: Wake) -> None:
        now_ms = self._clock.now_ms()
        self._apply(process, self._stores[process].on_wake(wake, now_ms))

    def _grant(self, process: int, request_id: int) -> None:
        now_ms = self._clock.now_ms()
        self._waits_ms.append(now_ms - self._claimed_ms[request_id])
        body = bytes(self._load.answer_bytes)
        answer = RecordAnswer(request_id, 200, (), body)
        run_ms = int(self._rng.expovariate(1 / self._load.run_ms))

        def end() -> None:
            store = self._stores[process]
            self._apply(process, store.on_outcome(answer, self._clock.now_ms()))

        self._schedule_after(run_ms, end)

    def _call(self, process: int, req: PlatformRequest) -> None:
        half_ms = self._load.call_ms / 2
        request_ms = round(half_ms * self._rng.uniform(0.5, 1.5))
        delay_ms = self._send_delay_ms(
            process, is_write=isinstance(req, Put | LeaseGrant)
        )
        if delay_ms > self._load.queue_ms:
            self._counts["not_sent"] += 1
            self._answer(process, req.request_id, NotSent("queue"))
            return
        self._schedule_after(delay_ms + request_ms, lambda: self._arrive(process, req))

    def _send_delay_ms(self, process: int, *, is_write: bool) -> int:
        """Return the wait in ms of a call for the process's share of the rate."""
        load, now_ms = self._load, self._clock.now_ms()
        rate = load.writes_per_second if is_write else load.reads_per_second
        if not rate:
            return 0
        send_ms = max(self._next_send_ms.get((process, is_write), 0.0), now_ms - 100)
        if send_ms - now_ms <= load.queue_ms:
            next_ms = send_ms + 1_000 * load.processes / rate
            self._next_send_ms[process, is_write] = next_ms
        return max(round(send_ms - now_ms), 0)

    def _arrive(self, process: int, req: PlatformRequest) -> None:
        is_write = isinstance(req, Put | LeaseGrant)
        self._counts["write" if is_write else "read"] += 1
        bucket = self._writes if is_write else self._reads
        if bucket.rate and not bucket.allows():
            self._counts["limited"] += 1
            self._answer(process, req.request_id, RateLimited())
        elif isinstance(req, Watch):
            self._hold_watch(process, req)
        else:
            self._answer(process, req.request_id, self._execute(req))

    def _execute(self, req: PlatformRequest) -> PlatformOutcome:
        match req:
            case Get(key=key):
                found = self._platform.get(key)
                self._counts["bytes"] += len(getattr(found, "value", b""))
                return found
            case Put():
                self._counts["bytes"] += len(req.value)
                written = self._platform.put(
                    req.key, req.value, req.expected, req.lease_id
                )
                self._end_watches()
                return written
            case LeaseGrant(ttl_ms=ttl_ms):
                return self._platform.grant(ttl_ms)
        raise AssertionError(f"claims do not use {req!r}")

    def _hold_watch(self, process: int, req: Watch) -> None:
        self._watches.append((process, req))
        self._schedule_after(
            req.wait_ms, lambda: self._end_watch(process, req, is_due=True)
        )
        self._end_watch(process, req, is_due=False)

    def _end_watches(self) -> None:
        for process, req in list(self._watches):
            self._end_watch(process, req, is_due=False)

    def _end_watch(self, process: int, req: Watch, *, is_due: bool) -> None:
        if (process, req) not in self._watches:
            return
        keys = self._platform.changes(req.prefix, req.after_revision)
        if keys or is_due:
            self._watches.remove((process, req))
            changed = Changed(keys, self._platform.revision)
            self._answer(process, req.request_id, changed)

    def _answer(self, process: int, request_id: int, outcome: PlatformOutcome) -> None:
        half_ms = self._load.call_ms / 2
        reply_ms = round(half_ms * self._rng.uniform(0.5, 1.5))
        store = self._stores[process]

        def deliver() -> None:
            now_ms = self._clock.now_ms()
            self._apply(process, store.on_reply(request_id, outcome, now_ms))

        self._schedule_after(reply_ms, deliver)
