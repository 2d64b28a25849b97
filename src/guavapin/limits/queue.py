"""The bounded queue of requests that wait for a slot of a pool."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from dataclasses import dataclass

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    The request must end by `deadline_ms`; `run_ms` is its expected run time. Services
    that share a pool share its queue; `limit` is the number of requests of `service`
    that may wait in it.
    """

    request_id: int
    deadline_ms: int
    run_ms: float = 0.0
    service: str = ""
    limit: int = 256
    is_urgent: bool = False
    is_long: bool = False
    team: str = ""


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a queue.

    While ordinary requests wait, at most `urgent_in_row` urgent requests start in a
    row, so ordinary requests keep a share of the starts under any urgent load.
    Up to `urgent_reserve` urgent requests may wait beyond the limit. An urgent request
    that would wait longer than `urgent_wait_ms` is refused, because an accepted
    one has to start within 1.5 s and the estimated wait is off by up to a fifth.
    """

    urgent_in_row: int = 8
    urgent_reserve: int = 16
    urgent_wait_ms: int = 1_200


DEFAULT_SETTINGS = QueueSettings()


def expected_wait_ms(ahead: int, slots: int, run_ms: float) -> float:
    """Return the wait behind `ahead` requests of `run_ms` each on `slots` slots."""
    if slots <= 0:
        return 0.0 if ahead == 0 else float("inf")
    return ahead * run_ms / slots


class WaitQueue:
    """Queue with lanes by urgency and expected length; every operation costs O(1).

    Owned by one task. Long requests have their own lanes, so that a long request that
    may not start yet does not delay the short ones behind it. Requests of a team that
    has reached its `max_slots` are parked until one of its requests ends. The lanes are
    attributes, because the lookup of an `Enum` member in a dict runs Python code.
    """

    def __init__(self, settings: QueueSettings = DEFAULT_SETTINGS) -> None:
        self._settings = settings
        self._urgent_short: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._urgent_long: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._short: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._long: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._parked: dict[tuple[str, str], OrderedDict[int, QueuedRequest]] = {}
        self._lanes_by_id: dict[int, OrderedDict[int, QueuedRequest]] = {}
        self._by_service: Counter[str] = Counter()
        self._urgent_in_row = 0

    def __len__(self) -> int:
        return len(self._lanes_by_id)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._lanes_by_id

    def ahead_of(self, request: QueuedRequest) -> int:
        """Return how many requests would start before `request` if queued now."""
        urgent = self._urgent_long if request.is_long else self._urgent_short
        if request.is_urgent:
            return len(urgent)
        return len(urgent) + len(self._long if request.is_long else self._short)

    def push(
        self,
        request: QueuedRequest,
        wait_ms: float,
        now_ms: int,
        is_parked: bool = False,
    ) -> Outcome[None]:
        """Queue a request, or refuse it at once as not run.

        `wait_ms` is the expected wait. A request is refused when the queue is full,
        when it is urgent and would wait too long, or when it would miss its deadline.
        """
        refused = self.check(request, wait_ms, now_ms)
        if refused is not None:
            return refused
        self._by_service[request.service] += 1
        self._enqueue(request, is_parked)
        return Ok(None)

    def check(
        self, request: QueuedRequest, wait_ms: float, now_ms: int
    ) -> Refused | None:
        """Return why `push` would refuse a request, None if it would queue it."""
        count = self._by_service[request.service]
        reserve = self._settings.urgent_reserve if request.is_urgent else 0
        if count >= request.limit + reserve:
            return Refused(Reason.OVERLOADED, f"queue holds {count} requests")
        if request.is_urgent and wait_ms > self._settings.urgent_wait_ms:
            return Refused(Reason.OVERLOADED, f"urgent work waits {wait_ms:.0f} ms")
        if now_ms + wait_ms + request.run_ms > request.deadline_ms:
            return Refused(
                Reason.DEADLINE,
                f"expected wait {wait_ms:.0f} ms and run {request.run_ms:.0f} ms, "
                f"deadline in {request.deadline_ms - now_ms} ms",
            )
        return None

    def cancel(self, request_id: int) -> QueuedRequest | None:
        """Remove and return a request; return None if it is not queued."""
        lane = self._lanes_by_id.pop(request_id, None)
        return None if lane is None else self._remove(lane, request_id)

    def pop(self, allow_long: bool = True) -> QueuedRequest | None:
        """Remove and return the next request to start, or None.

        `allow_long` is false while long work uses all slots that it may use. Deadlines
        are not checked here: the owner's timers refuse requests past their deadline and
        cancel them.
        """
        lane = self._next_lane(allow_long)
        if lane is None:
            return None
        request = lane.popitem(last=False)[1]
        del self._lanes_by_id[request.request_id]
        self._by_service[request.service] -= 1
        self._urgent_in_row = self._urgent_in_row + 1 if request.is_urgent else 0
        return request

    def requeue(self, request: QueuedRequest) -> None:
        """Put a request that was popped but not started at the head of its lane.

        It is never refused, because it has been admitted already.
        """
        self._by_service[request.service] += 1
        self._enqueue(request, is_parked=False)
        self._lane_of(request).move_to_end(request.request_id, last=False)

    def unpark(self, service: str, team: str) -> QueuedRequest | None:
        """Move the oldest parked request of a team to its lane and return it."""
        parked = self._parked.get((service, team))
        if not parked:
            return None
        request = parked.popitem(last=False)[1]
        if not parked:
            del self._parked[service, team]
        self._enqueue(request, is_parked=False)
        return request

    def _enqueue(self, request: QueuedRequest, is_parked: bool) -> None:
        lane = self._lane_of(request)
        if is_parked:
            lane = self._parked.setdefault(_parking_key(request), OrderedDict())
        lane[request.request_id] = request
        self._lanes_by_id[request.request_id] = lane

    def _remove(
        self, lane: OrderedDict[int, QueuedRequest], request_id: int
    ) -> QueuedRequest:
        request = lane.pop(request_id)
        self._by_service[request.service] -= 1
        if not lane and self._parked.get(_parking_key(request)) is lane:
            del self._parked[_parking_key(request)]
        return request

    def _next_lane(self, allow_long: bool) -> OrderedDict[int, QueuedRequest] | None:
        urgent = _earlier_lane(self._urgent_short, self._urgent_long, allow_long)
        ordinary = _earlier_lane(self._short, self._long, allow_long)
        if urgent is None or ordinary is None:
            return urgent or ordinary
        is_ordinary_due = self._urgent_in_row >= self._settings.urgent_in_row
        return ordinary if is_ordinary_due else urgent

    def _lane_of(self, request: QueuedRequest) -> OrderedDict[int, QueuedRequest]:
        if request.is_urgent:
            return self._urgent_long if request.is_long else self._urgent_short
        return self._long if request.is_long else self._short


def _earlier_lane(
    short: OrderedDict[int, QueuedRequest],
    long: OrderedDict[int, QueuedRequest],
    allow_long: bool,
) -> OrderedDict[int, QueuedRequest] | None:
    """Return the lane whose first request has the lower id and thus arrived first.

    The long lane is left out unless `allow_long` is true.
    """
    if not long or not allow_long:
        return short or None
    if not short:
        return long
    return short if next(iter(short)) < next(iter(long)) else long


def _parking_key(request: QueuedRequest) -> tuple[str, str]:
    return request.service, request.team
