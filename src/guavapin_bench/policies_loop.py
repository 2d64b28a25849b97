"""A queueing loop around the task `exchanges`, with a clock that the loop advances.

The loop simulates arrivals, slots and completions, without network, hosts or threads.
The task decides exactly as in a running process.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import ManualClock
from guavapin.kernel import TimerHandle
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterator

    from guavapin.objects.model import ObjectSet
    from guavapin.serving.exchange_settings import ExchangeSettings


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request; `run_ms` is its run time on an ordinary upstream."""

    at_ms: int
    run_ms: int
    is_long: bool = False
    method: str = "GET"
    path: str = "/s/short"
    is_urgent: bool = False


class RequestOutcome:
    """Result of a request; `start_ms` is its first attempt's start, -1 for none."""

    def __init__(
        self,
        arrival: Arrival,
        start_ms: int = -1,
        end_ms: int = -1,
        status: int = 0,
        is_whole: bool = False,
        attempts: int = 0,
        refusal: str = "",
    ) -> None:
        self.arrival = arrival
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.status = status
        self.is_whole = is_whole
        self.attempts = attempts
        self.refusal = refusal

    @property
    def wait_ms(self) -> int:
        """Return the time from the arrival to the first attempt."""
        return self.start_ms - self.arrival.at_ms

    @property
    def answer_ms(self) -> int:
        """Return the time from the arrival to the end of the answer or the refusal."""
        return self.end_ms - self.arrival.at_ms


@dataclass(frozen=True, slots=True)
class Reply:
    """How an upstream answers an attempt, `after_ms` after its start."""

    after_ms: int
    status: int = 200
    body: bytes = b"x"
    result: AttemptResult = AttemptResult.COMPLETE
    detail: str = ""


class QueueingLoop:
    """Sends arrivals and completions to the task; also serves as its `TaskContext`.

    `reply` returns the answer of an upstream, given the host, the run time of the
    request and the current time, both in ms.
    """

    def __init__(
        self,
        objects: ObjectSet,
        settings: ExchangeSettings,
        reply: Callable[[str, int, int], Reply],
    ) -> None:
        self.clock = ManualClock()
        self.outcomes: list[RequestOutcome] = []
        self.task = ExchangesTask(settings)
        self._reply = reply
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._timer_ids = itertools.count(1)
        self._live_timers: set[int] = set()
        self._attempts: dict[int, Reply] = {}
        self._hosts = {host.address: name for name, host in objects.hosts.items()}
        self.task.start(self)
        pools = {name: host.pool for name, host in objects.hosts.items()}
        self.task.handle(RouteTableChanged(build_route_table(objects, 1, pools)))

    def run(
        self, arrivals: Iterator[Arrival], drain_ms: int = 60_000
    ) -> list[RequestOutcome]:
        """Run all arrivals, and `drain_ms` more for the requests in progress."""
        last_ms = 0
        for arrival in arrivals:
            self._advance_to(arrival.at_ms)
            last_ms = arrival.at_ms
            self._arrive(arrival)
        self._advance_to(last_ms + drain_ms)
        return self.outcomes

    def now_ms(self) -> int:
        """Return the time of the loop."""
        return self.clock.now_ms()

    def send(self, service: str, message: object) -> None:
        """Handle a message that the task sends."""
        match message:
            case StartAttempt():
                self._start(message)
            case CancelAttempt(attempt_id):
                self._attempts.pop(attempt_id, None)
                closed = AttemptClosed(attempt_id)
                self._schedule_at(self.now_ms(), lambda: self.task.handle(closed))
            case AnswerHead(request_id, status, headers):
                outcome = self.outcomes[request_id - 1]
                outcome.status = status
                refusal = dict(headers).get(b"guavapin-reason", b"")
                outcome.refusal = refusal.decode()
            case AnswerEnd(request_id):
                self._end(request_id, is_whole=True)
            case AnswerBroken(request_id):
                self._end(request_id, is_whole=False)

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        """Deliver `message` to the task after `delay_ms`."""
        timer_id = next(self._timer_ids)
        self._live_timers.add(timer_id)
        self._schedule_at(
            self.now_ms() + delay_ms, lambda: self._fire(timer_id, message)
        )
        return TimerHandle(timer_id)

    def cancel_timer(self, handle: TimerHandle) -> None:
        """Cancel a timer."""
        self._live_timers.discard(handle.timer_id)

    def idle_ms(self) -> int:
        """Return the simulated time, since work takes none."""
        return self.now_ms()

    def watch(self, fd: int, events: int, callback: Callable[[int], None]) -> None:
        """Do nothing: there are no sockets."""

    def unwatch(self, fd: int) -> None:
        """Do nothing: there are no sockets."""

    def _arrive(self, arrival: Arrival) -> None:
        # Request ids start at 1, since 0 denotes an active probe.
        self.outcomes.append(RequestOutcome(arrival))
        request_id = len(self.outcomes)
        target = f"{arrival.path}?id={request_id}"
        headers = ((b"guavapin-priority", b"urgent"),) if arrival.is_urgent else ()
        self.task.handle(
            RequestReceived(
                request_id, arrival.method, target, headers, self.now_ms(), False
            )
        )

    def _start(self, start: StartAttempt) -> None:
        run_ms = 1
        _, is_request, number = start.target.partition("?id=")
        if is_request:
            outcome = self.outcomes[int(number) - 1]
            outcome.attempts += 1
            run_ms = outcome.arrival.run_ms
            if outcome.start_ms < 0:
                outcome.start_ms = self.now_ms()
        reply = self._reply(self._hosts[start.address], run_ms, self.now_ms())
        if start.first_byte_ms and reply.after_ms > start.first_byte_ms:
            reply = Reply(start.first_byte_ms, result=AttemptResult.FIRST_BYTE_TIMEOUT)
        self._attempts[start.attempt_id] = reply
        end_ms = self.now_ms() + max(reply.after_ms, 1)
        self._schedule_at(end_ms, lambda: self._complete(start.attempt_id))

    def _complete(self, attempt_id: int) -> None:
        reply = self._attempts.get(attempt_id)
        if reply is None:
            return
        if reply.result is AttemptResult.COMPLETE:
            self.task.handle(AttemptHead(attempt_id, reply.status, ()))
            if attempt_id not in self._attempts:
                return
            if reply.body:
                self.task.handle(AttemptBody(attempt_id, reply.body))
        self._attempts.pop(attempt_id, None)
        self.task.handle(AttemptEnded(attempt_id, reply.result, reply.detail))

    def _end(self, request_id: int, is_whole: bool) -> None:
        outcome = self.outcomes[request_id - 1]
        outcome.end_ms = self.now_ms()
        outcome.is_whole = is_whole

    def _fire(self, timer_id: int, message: object) -> None:
        if timer_id in self._live_timers:
            self._live_timers.discard(timer_id)
            self.task.handle(message)

    def _schedule_at(self, due_ms: int, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due_ms, next(self._sequence), event))

    def _advance_to(self, to_ms: int) -> None:
        while self._events and self._events[0][0] <= to_ms:
            due_ms, _, event = heapq.heappop(self._events)
            self.clock.advance(max(due_ms - self.now_ms(), 0))
            event()
        self.clock.advance(max(to_ms - self.now_ms(), 0))


def poisson_arrivals(
    rng: random.Random,
    per_second: float,
    duration_ms: int,
    long_share: float = 0.0,
    method: str = "GET",
    is_told_apart: bool = True,
    urgent_share: float = 0.0,
) -> Iterator[Arrival]:
    """Yield arrivals of short work, 50 to 150 ms, and of long work, 100 times that.

    Without `is_told_apart` long and short work have the same path.
    """
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(per_second) * 1_000
        if at_ms > duration_ms:
            return
        run_ms = rng.uniform(50, 150)
        is_long = rng.random() < long_share
        path = "/s/long" if is_long and is_told_apart else "/s/short"
        if is_long:
            run_ms *= 100
        is_urgent = urgent_share > 0 and rng.random() < urgent_share
        yield Arrival(int(at_ms), int(run_ms), is_long, method, path, is_urgent)
