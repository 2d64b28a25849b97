from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.routing.health import BreakerState
from guavapin.routing.health import UpstreamHealth
from guavapin.routing.health import cancel_attempt
from guavapin.routing.health import end_attempt
from guavapin.routing.health import is_trial_due
from guavapin.routing.health import is_usable
from guavapin.routing.health import mark_leaving
from guavapin.routing.health import max_ejected
from guavapin.routing.health import score
from guavapin.routing.health import slow_start_share
from guavapin.routing.health import start_attempt
from guavapin.routing.health import start_trial
from guavapin.routing.verdict import Verdict


def run(
    health: UpstreamHealth,
    verdict: Verdict,
    times: int = 1,
    may_eject: bool = True,
    now_ms: int = 0,
) -> UpstreamHealth:
    for _ in range(times):
        is_trial = health.breaker is BreakerState.HALF_OPEN
        health = end_attempt(
            start_attempt(health), verdict, 1.0, may_eject, now_ms, is_trial=is_trial
        )
    return health


def open_breaker(now_ms: int = 0) -> UpstreamHealth:
    return run(UpstreamHealth(), Verdict.FAILURE, 5, now_ms=now_ms)


def test_failures_in_a_row_open_the_breaker() -> None:
    """Guards against requests to a worker that fails every request."""
    assert is_usable(run(UpstreamHealth(), Verdict.FAILURE, 4))
    assert not is_usable(open_breaker())


def test_alternating_failures_open_the_breaker() -> None:
    """Guards against a failing worker whose rare successes reset the failure count."""
    health = UpstreamHealth()
    for _ in range(40):
        health = run(health, Verdict.FAILURE, 3)
        health = run(health, Verdict.SUCCESS, 1)
    assert health.breaker is BreakerState.OPEN


def test_floor_keeps_a_failing_upstream_with_a_high_score() -> None:
    """Guards against ejecting the last upstreams of a pool when all of them fail."""
    health = run(UpstreamHealth(), Verdict.FAILURE, 50, may_eject=False)
    assert is_usable(health)
    assert score(health, 0) > 20 * score(UpstreamHealth(), 0)


def test_fast_failing_upstream_scores_worse_than_a_busy_one() -> None:
    """Guards against a worker that fails fast attracting the requests of its pool."""
    failing = run(UpstreamHealth(), Verdict.FAILURE, 4)
    busy = start_attempt(UpstreamHealth())
    assert score(failing, 0) > score(busy, 0)


def test_environment_errors_and_rate_limits_keep_the_breaker_closed() -> None:
    """Guards against ejecting upstreams for faults that are not theirs."""
    health = run(UpstreamHealth(), Verdict.NEUTRAL, 50)
    assert health.breaker is BreakerState.CLOSED
    assert health.outstanding == 0


def test_no_trial_before_the_cool_down_ends() -> None:
    """Guards against a trial on an upstream right after its breaker opened."""
    health = open_breaker(now_ms=500)
    assert not is_trial_due(health, 1_499)
    assert is_trial_due(health, 1_500)


def test_half_open_allows_one_trial_at_a_time() -> None:
    """Guards against a burst of requests on an upstream that may still be broken."""
    health = start_trial(open_breaker())
    assert is_trial_due(health, 2_000)
    assert not is_trial_due(start_attempt(health), 2_000)


def test_failed_trial_doubles_the_cool_down_up_to_a_bound() -> None:
    """Guards against trials on a broken upstream at a constant rate."""
    health = open_breaker()
    cool_downs = []
    for _ in range(8):
        health = run(start_trial(health), Verdict.FAILURE)
        cool_downs.append(health.cool_down_ms)
    assert cool_downs[:3] == [2_000, 4_000, 8_000]
    assert cool_downs[-1] == 30_000


def test_cancelled_trial_lets_another_one_start() -> None:
    """Guards against an upstream that stays out because its trial was cancelled."""
    health = cancel_attempt(start_attempt(start_trial(open_breaker())), is_trial=True)
    assert is_trial_due(health, 2_000)


def test_attempt_from_before_the_breaker_opened_does_not_end_the_trial() -> None:
    """Guards against a late answer that closes the breaker while the trial runs."""
    health = start_attempt(start_trial(open_breaker()))
    for verdict in (Verdict.SUCCESS, Verdict.FAILURE, Verdict.NEUTRAL):
        later = end_attempt(health, verdict, 1.0, True, 2_000)
        assert later.breaker is BreakerState.HALF_OPEN
        assert later.trial_running


def test_returning_upstream_starts_with_a_share_of_its_slots() -> None:
    """Guards against full load on an upstream whose caches are still cold."""
    health = run(start_trial(open_breaker()), Verdict.SUCCESS, now_ms=5_000)
    assert is_usable(health)
    assert slow_start_share(health, 5_000) == 0.125
    assert slow_start_share(health, 10_000) == 0.5
    assert slow_start_share(health, 15_000) == 1.0
    assert score(health, 5_000) > score(health, 15_000)


def test_failure_during_slow_start_doubles_the_cool_down() -> None:
    """Guards against a worker that passes its trials but fails ordinary requests."""
    health = run(start_trial(open_breaker()), Verdict.SUCCESS, now_ms=5_000)
    health = run(health, Verdict.FAILURE, 5, now_ms=6_000)
    assert health.cool_down_ms == 2_000


def test_leaving_upstream_gets_neither_requests_nor_a_trial() -> None:
    """Guards against new requests or a trial on an upstream that is leaving."""
    assert not is_usable(mark_leaving(UpstreamHealth()))
    assert not is_trial_due(mark_leaving(open_breaker()), 60_000)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 2_000), st.floats(0, 1))
def test_floor_leaves_upstreams_in_service(upstreams: int, share: float) -> None:
    """Guards against an ejection bound that empties a pool."""
    count = max_ejected(upstreams, share)
    assert count <= max(upstreams * share, 1)
    assert count < upstreams or share == 1.0 or upstreams == 0
    if share == 0:
        assert count == 0
