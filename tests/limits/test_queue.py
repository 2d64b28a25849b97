from __future__ import annotations

import random

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.limits.queue import QueuedRequest
from guavapin.limits.queue import QueueSettings
from guavapin.limits.queue import WaitQueue
from guavapin.limits.queue import expected_wait_ms


def waiting(request_id: int, **fields: object) -> QueuedRequest:
    return QueuedRequest(request_id, deadline_ms=1_000, **fields)  # type: ignore[arg-type]


def filled(*items: QueuedRequest, settings: QueueSettings | None = None) -> WaitQueue:
    queue = WaitQueue(settings or QueueSettings())
    for item in items:
        assert queue.push(item, 0, 0) == Ok(None)
    return queue


def order(queue: WaitQueue, allow_long: bool = True) -> list[int]:
    popped = []
    while (item := queue.pop(allow_long)) is not None:
        popped.append(item.request_id)
    return popped


def test_urgent_request_starts_first() -> None:
    """Guards against urgent work that waits behind ordinary work."""
    queue = filled(waiting(1), waiting(2), waiting(3, is_urgent=True))
    assert order(queue) == [3, 1, 2]


def test_ordinary_requests_keep_a_share_of_the_starts() -> None:
    """Guards against ordinary work that never starts under urgent load."""
    urgent = [waiting(index, is_urgent=True) for index in range(20)]
    queue = filled(*urgent, waiting(50), waiting(51))
    started = order(queue)
    assert started.index(50) == 8
    assert started.index(51) == 17


def test_long_work_does_not_hold_up_short_work() -> None:
    """Guards against head-of-line blocking by long work that may not start yet."""
    queue = filled(waiting(1, is_long=True), waiting(2), waiting(3))
    assert order(queue, allow_long=False) == [2, 3]
    assert order(queue) == [1]


def test_equal_requests_start_in_order_of_arrival() -> None:
    """Guards against long work overtaking short work that came first."""
    queue = filled(waiting(1), waiting(2, is_long=True), waiting(3))
    assert order(queue) == [1, 2, 3]


def test_full_queue_refuses_at_once_beyond_the_reserve_for_urgent() -> None:
    """Guards against an unbounded queue and one without a reserve for urgent work."""
    settings = QueueSettings(urgent_reserve=1)
    queue = filled(waiting(1, limit=2), waiting(2, limit=2), settings=settings)
    refused = queue.push(waiting(3, limit=2), 0, 0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.OVERLOADED
    assert queue.push(waiting(4, limit=2, is_urgent=True), 0, 0) == Ok(None)
    assert isinstance(queue.push(waiting(5, limit=2, is_urgent=True), 0, 0), Refused)


def test_request_that_cannot_meet_its_deadline_is_refused() -> None:
    """Guards against requests that end after the deadline of their caller."""
    refused = WaitQueue().push(waiting(1, run_ms=300.0), wait_ms=701, now_ms=0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.DEADLINE
    assert WaitQueue().push(waiting(1, run_ms=300.0), 700, 0) == Ok(None)


def test_urgent_request_that_would_start_late_is_refused() -> None:
    """Guards against accepted urgent work that starts after more than 1.5 s."""
    late = QueuedRequest(1, deadline_ms=60_000, is_urgent=True)
    refused = WaitQueue().push(late, wait_ms=1_500, now_ms=0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.OVERLOADED
    assert WaitQueue().push(late, wait_ms=1_000, now_ms=0) == Ok(None)


def test_cancelled_request_never_starts() -> None:
    """Guards against a slot used for a caller that has disconnected."""
    rng = random.Random(5)
    items = [
        waiting(index, is_urgent=rng.random() < 0.3, is_long=rng.random() < 0.3)
        for index in range(200)
    ]
    queue = filled(*items)
    gone = set(rng.sample(range(200), 80))
    for request_id in gone:
        assert queue.cancel(request_id) is not None
        assert queue.cancel(request_id) is None
    assert len(queue) == 120
    assert set(order(queue)) == set(range(200)) - gone


def test_parked_request_starts_only_after_it_is_unparked() -> None:
    """Guards against one team above its quota that delays other teams."""
    queue = WaitQueue()
    queue.push(waiting(1, team="a"), 0, 0, is_parked=True)
    queue.push(waiting(2, team="a"), 0, 0, is_parked=True)
    queue.push(waiting(3, team="b"), 0, 0)
    assert order(queue) == [3]
    assert queue.unpark("", "b") is None
    assert queue.cancel(1) is not None
    assert queue.unpark("", "a") == waiting(2, team="a")
    assert order(queue) == [2]
    assert queue.unpark("", "a") is None
    assert len(queue) == 0


def test_expected_wait_is_infinite_without_slots() -> None:
    """Guards against admission of requests when there is no slot to run them."""
    assert expected_wait_ms(10, 5, 100) == 200
    assert expected_wait_ms(0, 0, 100) == 0
    assert expected_wait_ms(1, 0, 100) == float("inf")
