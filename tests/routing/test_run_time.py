from __future__ import annotations

import random

from guavapin.routing.run_time import MAX_KINDS
from guavapin.routing.run_time import MIN_COUNT
from guavapin.routing.run_time import RECHECK_INTERVAL_MS
from guavapin.routing.run_time import RunTimeEstimator
from guavapin.routing.run_time import request_kind


def test_kind_drops_identifiers_and_queries() -> None:
    """Guards against one kind per order number, none of which gets observations."""
    assert request_kind("GET", "/routes/orders/12345?x=1", "/routes") == "GET /orders/*"
    assert request_kind("POST", "/routes/build", "/routes") == "POST /build"
    assert request_kind("GET", "/") == "GET /"


def test_number_of_kinds_is_bounded() -> None:
    """Guards against memory that grows with the number of paths that callers send."""
    times = RunTimeEstimator(100)
    for index in range(10_000):
        times.observe(f"GET /{index:x}", 10, 0)
    assert len(times) == MAX_KINDS
    assert times.expect("GET /never-seen").run_ms > 0


def test_long_kind_is_recognised() -> None:
    """Guards against work that runs 100 times longer being treated as short."""
    rng = random.Random(1)
    times = RunTimeEstimator(100)
    for _ in range(2_000):
        times.observe("GET /short", rng.expovariate(1 / 10), 0)
        if rng.random() < 0.05:
            times.observe("POST /long", rng.expovariate(1 / 1_000), 0)
    assert times.expect("POST /long").is_long
    assert not times.expect("GET /short").is_long
    assert not times.expect("GET /new").is_long


def test_quantiles_are_near_the_true_ones() -> None:
    """Guards against first byte timeouts based on wrong quantiles."""
    rng = random.Random(2)
    times = RunTimeEstimator(100)
    for _ in range(5_000):
        times.observe("GET /a", rng.uniform(50, 150), 0)
    expectation = times.expect("GET /a")
    assert 85 <= expectation.run_ms <= 115
    assert 125 <= expectation.p95_ms <= 175


def test_estimate_follows_a_change() -> None:
    """Guards against run times that stay wrong after a new release."""
    times = RunTimeEstimator(100)
    for _ in range(1_000):
        times.observe("GET /a", 10, 0)
    for _ in range(300):
        times.observe("GET /a", 200, 0)
    assert 150 <= times.expect("GET /a").run_ms <= 250


def test_declared_time_is_used_first() -> None:
    """Guards against decisions that rest on one or two observations."""
    times = RunTimeEstimator(100)
    times.observe("GET /a", 5_000, 0)
    assert times.expect("GET /a").run_ms == 100


def test_estimate_above_the_deadline_is_checked_again() -> None:
    """Guards against a kind that is refused for ever after a pause of the process.

    The run times observed during the pause exceed every deadline, and refused requests
    add no observations that would correct the estimate.
    """
    times = RunTimeEstimator(100)
    for _ in range(MIN_COUNT):
        times.observe("GET /x", 6_000, 0)
    assert times.expect_within("GET /x", 3_000, 500).run_ms > 3_000
    assert times.expect_within("GET /x", 3_000, RECHECK_INTERVAL_MS).run_ms == 1_500
    assert (
        times.expect_within("GET /x", 3_000, RECHECK_INTERVAL_MS + 500).run_ms > 3_000
    )
    now_ms = RECHECK_INTERVAL_MS
    while times.expect("GET /x").run_ms > 3_000:
        now_ms += RECHECK_INTERVAL_MS
        assert times.expect_within("GET /x", 3_000, now_ms).run_ms == 1_500
        times.observe("GET /x", 50, now_ms)
    assert now_ms <= 10 * RECHECK_INTERVAL_MS


def test_kinds_that_never_succeeded_share_one_check() -> None:
    """Guards against one hopeless attempt for each unknown path that callers send."""
    times = RunTimeEstimator(5_000)
    passed = [
        times.expect_within(f"GET /{index}", 3_000, 0).run_ms < 3_000
        for index in range(10)
    ]
    assert passed.count(True) == 1
