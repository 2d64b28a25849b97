"""The bounded queue of the requests that wait for a slot of one service."""

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
    """A request that waits; `deadline_ms` bounds its end, `run_ms` is expected.

    Several services may share a pool and thus a queue; `limit` is the number of
    requests of `service` that may wait in it.
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

    While ordinary requests wait, at most `urgent_in_row` urgent ones start before
    one of them does, so they keep a share of the starts under any urgent load.
    `urgent_reserve` places are kept for urgent requests when the queue is full. Urgent
    work that would wait longer than `urgent_wait_ms` is refused: what is accepted has
    to start within 1.5 s, and the estimate of the wait is off by up to a fifth.
    """

    urgent_in_row: int = 8
    urgent_reserve: int = 16
    urgent_wait_ms: int = 1_200


DEFAULT_SETTINGS = QueueSettings()


def expected_wait_ms(ahead: int, slots: int, run_ms: float) -> float:
    """Return the wait behind `ahead` requests on `slots` slots of `run_ms` each."""
    if slots <= 0:
        return 0.0 if ahead == 0 else float("inf")
    return ahead * run_ms / slots


class WaitQueue:
    """Lanes by urgency and expected length; every operation costs O(1).

    Owned by one task. Long requests have lanes of their own, so that one that may
    not start yet does not hold up the short ones behind it. Requests of a team that
    has reached its `max_slots` are parked until one of its requests ends. The lanes are
    attributes, since looking a member of an `Enum` up in a dict runs Python code.
    """

    def __init__(self, settings: QueueSettings = DEFAULT_SETTINGS) -> None:
        self._settings = settings
        self._urgent_short: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._urgent_long: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._short: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._long: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._parked: dict[tuple[str, str], OrderedDict[int, QueuedRequest]] = {}
        self._places: dict[int, OrderedDict[int, QueuedRequest]] = {}
        self._by_service: Counter[str] = Counter()
        self._urgent_in_row = 0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._places

    def ahead_of(self, waiting: QueuedRequest) -> int:
        """Return how many requests would start before `waiting` if it came now."""
        urgent = self._urgent_long if waiting.is_long else self._urgent_short
        if waiting.is_urgent:
            return len(urgent)
        return len(urgent) + len(self._long if waiting.is_long else self._short)

    def push(
        self,
        waiting: QueuedRequest,
        wait_ms: float,
        now_ms: int,
        is_parked: bool = False,
    ) -> Outcome[None]:
        """Queue a request, or refuse it at once as not run.

        `wait_ms` is the expected wait. It is refused when the queue is full or when
        it could not be answered by its deadline.
        """
        count = self._by_service[waiting.service]
        reserve = self._settings.urgent_reserve if waiting.is_urgent else 0
        if count >= waiting.limit + reserve:
            return Refused(Reason.OVERLOADED, f"queue holds {count} requests")
        if waiting.is_urgent and wait_ms > self._settings.urgent_wait_ms:
            return Refused(Reason.OVERLOADED, f"urgent work waits {wait_ms:.0f} ms")
        if now_ms + wait_ms + waiting.run_ms > waiting.deadline_ms:
            return Refused(
                Reason.DEADLINE,
                f"expected wait {wait_ms:.0f} ms and run {waiting.run_ms:.0f} ms, "
                f"deadline in {waiting.deadline_ms - now_ms} ms",
            )
        self._by_service[waiting.service] += 1
        self._place(waiting, is_parked)
        return Ok(None)

    def cancel(self, request_id: int) -> QueuedRequest | None:
        """Remove a request; returns None when it does not wait."""
        place = self._places.pop(request_id, None)
        return None if place is None else self._take(place, request_id)

    def pop(self, allow_long: bool = True) -> QueuedRequest | None:
        """Return the next request to start.

        `allow_long` is false while long work uses all the slots it may. Requests past
        their deadline are refused by the owner's timers, which cancel them.
        """
        lane = self._next_lane(allow_long)
        if lane is None:
            return None
        waiting = lane.popitem(last=False)[1]
        del self._places[waiting.request_id]
        self._by_service[waiting.service] -= 1
        self._urgent_in_row = self._urgent_in_row + 1 if waiting.is_urgent else 0
        return waiting

    def requeue(self, waiting: QueuedRequest) -> None:
        """Queue a request again at the head of its lane; it was popped but not started.

        It is not refused, since it has been admitted already.
        """
        self._by_service[waiting.service] += 1
        self._place(waiting, is_parked=False)
        self._lane_of(waiting).move_to_end(waiting.request_id, last=False)

    def unpark(self, service: str, team: str) -> QueuedRequest | None:
        """Move the oldest parked request of a team into its lane, and return it."""
        parked = self._parked.get((service, team))
        if not parked:
            return None
        waiting = parked.popitem(last=False)[1]
        if not parked:
            del self._parked[service, team]
        self._place(waiting, is_parked=False)
        return waiting

    def _place(self, waiting: QueuedRequest, is_parked: bool) -> None:
        place = self._lane_of(waiting)
        if is_parked:
            place = self._parked.setdefault(_parking_of(waiting), OrderedDict())
        place[waiting.request_id] = waiting
        self._places[waiting.request_id] = place

    def _take(
        self, place: OrderedDict[int, QueuedRequest], request_id: int
    ) -> QueuedRequest:
        waiting = place.pop(request_id)
        self._by_service[waiting.service] -= 1
        if not place and self._parked.get(_parking_of(waiting)) is place:
            del self._parked[_parking_of(waiting)]
        return waiting

    def _next_lane(self, allow_long: bool) -> OrderedDict[int, QueuedRequest] | None:
        urgent = _first(self._urgent_short, self._urgent_long, allow_long)
        rest = _first(self._short, self._long, allow_long)
        if urgent is None or rest is None:
            return urgent or rest
        is_starving = self._urgent_in_row >= self._settings.urgent_in_row
        return rest if is_starving else urgent

    def _lane_of(self, waiting: QueuedRequest) -> OrderedDict[int, QueuedRequest]:
        if waiting.is_urgent:
            return self._urgent_long if waiting.is_long else self._urgent_short
        return self._long if waiting.is_long else self._short


def _first(
    short: OrderedDict[int, QueuedRequest],
    long: OrderedDict[int, QueuedRequest],
    allow_long: bool,
) -> OrderedDict[int, QueuedRequest] | None:
    """Return the lane of the two whose head came first, by request id."""
    if not long or not allow_long:
        return short or None
    if not short:
        return long
    return short if next(iter(short)) < next(iter(long)) else long


def _parking_of(waiting: QueuedRequest) -> tuple[str, str]:
    return waiting.service, waiting.team
