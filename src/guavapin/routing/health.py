"""Health of one upstream: circuit breaker, failure weight, slow start.

One frozen record per upstream. Every function is pure and costs O(1). Steps of every
attempt construct the record directly, since `dataclasses.replace` takes longer.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from guavapin.routing.verdict import Verdict


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Constants of the health rules.

    `failures_to_open` failures in a row open the breaker, and so does a failure
    share above `share_to_open` once `min_samples` attempts have ended. The cool-down
    doubles from `cool_down_ms` to `max_cool_down_ms` with each failed trial.
    `slow_start_min_share` is the share of slots with which slow start begins.
    """

    failures_to_open: int = 5
    share_to_open: float = 0.5
    min_samples: int = 10
    cool_down_ms: int = 1_000
    max_cool_down_ms: int = 30_000
    slow_start_ms: int = 10_000
    slow_start_min_share: float = 0.125
    smoothing: float = 0.1


@dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """What is known of one upstream.

    `slowness` is the learned answer time relative to what the kinds of its requests
    take elsewhere, so that work of different lengths can be compared; 1.0 is usual.
    `failure_share` is the smoothed share of failures. `slow_start_since_ms` is the
    start of slow start, -1 when there is none. `outstanding` counts attempts of this
    seat.
    """

    outstanding: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    samples: int = 0
    failures_in_row: int = 0
    breaker: BreakerState = BreakerState.CLOSED
    opened_ms: int = 0
    cool_down_ms: int = 0
    trial_running: bool = False
    slow_start_since_ms: int = -1
    is_leaving: bool = False


DEFAULT_SETTINGS = HealthSettings()

# Keeps a failing upstream at a finite score, so that it stays comparable when the
# floor forbids to eject it.
MIN_SUCCESS_SHARE = 0.05


def max_ejected(upstreams: int, max_ejected_share: float) -> int:
    """Return how many of `upstreams` may be out of use by their breakers at once.

    A zone often holds two hosts of a pool, where a share of 0.3 would round to none;
    one may then be ejected as long as another stays. A share of 0 forbids ejection.
    """
    if max_ejected_share <= 0 or upstreams < 2:
        return 0
    return max(int(upstreams * max_ejected_share), 1)


def start_attempt(health: UpstreamHealth) -> UpstreamHealth:
    """Count an attempt; on a half-open breaker it becomes the only trial."""
    is_trial = health.breaker is BreakerState.HALF_OPEN
    return _with_attempts(
        health, health.outstanding + 1, health.trial_running or is_trial
    )


def end_attempt(
    health: UpstreamHealth,
    verdict: Verdict,
    slowness: float,
    may_eject: bool,
    now_ms: int,
    settings: HealthSettings = DEFAULT_SETTINGS,
    is_trial: bool = False,
) -> UpstreamHealth:
    """Record the end of an attempt.

    `slowness` is the answer time over the expected one; it counts only for
    successes, since a fast failure says nothing about speed. `may_eject` is false
    when the pool's floor forbids to open another breaker. Only the trial decides
    about a half-open breaker, not an attempt that started before it opened.
    """
    if verdict is Verdict.NEUTRAL:
        return cancel_attempt(health, is_trial)
    health = _record_result(health, verdict, slowness, settings, is_trial)
    if is_trial and health.breaker is BreakerState.HALF_OPEN:
        return _end_trial(health, verdict, now_ms, settings)
    if (
        health.breaker is BreakerState.CLOSED
        and may_eject
        and _must_open(health, settings)
    ):
        return _open(health, _first_cool_down_ms(health, now_ms, settings), now_ms)
    return health


def cancel_attempt(health: UpstreamHealth, is_trial: bool = False) -> UpstreamHealth:
    """Forget an attempt that the caller gave up; it says nothing about the upstream."""
    return _with_attempts(
        health,
        max(health.outstanding - 1, 0),
        health.trial_running and not is_trial,
    )


def is_trial_due(health: UpstreamHealth, now_ms: int) -> bool:
    """Tell whether a trial may start: never before the cool-down has ended."""
    if health.is_leaving:
        return False
    if health.breaker is BreakerState.HALF_OPEN:
        return not health.trial_running
    return (
        health.breaker is BreakerState.OPEN
        and now_ms >= health.opened_ms + health.cool_down_ms
    )


def start_trial(health: UpstreamHealth) -> UpstreamHealth:
    """Move a breaker whose probe is due to half-open; the next attempt is the trial."""
    return replace(health, breaker=BreakerState.HALF_OPEN, trial_running=False)


def mark_leaving(health: UpstreamHealth, is_leaving: bool = True) -> UpstreamHealth:
    """Record that the upstream takes no new work, or that it does again."""
    return replace(health, is_leaving=is_leaving)


def is_usable(health: UpstreamHealth) -> bool:
    """Tell whether ordinary requests may be sent to the upstream."""
    return health.breaker is BreakerState.CLOSED and not health.is_leaving


def slow_start_share(
    health: UpstreamHealth, now_ms: int, settings: HealthSettings = DEFAULT_SETTINGS
) -> float:
    """Return the share of the slots in use during slow start, 1.0 after it."""
    if health.slow_start_since_ms < 0:
        return 1.0
    progress = (now_ms - health.slow_start_since_ms) / max(settings.slow_start_ms, 1)
    return min(max(progress, settings.slow_start_min_share), 1.0)


def score(health: UpstreamHealth, now_ms: int) -> float:
    """Return the cost of sending one more request; the lower one is preferred.

    Outstanding work times learned answer time, over the square of the share of
    successes: linear weighting still sent a failing upstream as much work as a busy
    healthy one.
    """
    success = max(1.0 - health.failure_share, MIN_SUCCESS_SHARE)
    work = (health.outstanding + 1) * health.slowness
    return work / (success * success * slow_start_share(health, now_ms))


def _with_attempts(
    health: UpstreamHealth, outstanding: int, trial_running: bool
) -> UpstreamHealth:
    return UpstreamHealth(
        outstanding,
        health.slowness,
        health.failure_share,
        health.samples,
        health.failures_in_row,
        health.breaker,
        health.opened_ms,
        health.cool_down_ms,
        trial_running,
        health.slow_start_since_ms,
        health.is_leaving,
    )


def _record_result(
    health: UpstreamHealth,
    verdict: Verdict,
    slowness: float,
    settings: HealthSettings,
    is_trial: bool,
) -> UpstreamHealth:
    """Forget the attempt and learn from its end in one step."""
    failed = verdict is Verdict.FAILURE
    weight = settings.smoothing
    learned = health.slowness
    if not failed:
        learned += weight * (slowness - learned)
    share = health.failure_share + weight * (float(failed) - health.failure_share)
    return UpstreamHealth(
        max(health.outstanding - 1, 0),
        learned,
        share,
        health.samples + 1,
        health.failures_in_row + 1 if failed else 0,
        health.breaker,
        health.opened_ms,
        health.cool_down_ms,
        health.trial_running and not is_trial,
        health.slow_start_since_ms,
        health.is_leaving,
    )


def _must_open(health: UpstreamHealth, settings: HealthSettings) -> bool:
    if health.failures_in_row >= settings.failures_to_open:
        return True
    is_known = health.samples >= settings.min_samples
    return is_known and health.failure_share > settings.share_to_open


def _first_cool_down_ms(
    health: UpstreamHealth, now_ms: int, settings: HealthSettings
) -> int:
    """Return the cool-down of a breaker that opens after it was closed.

    A worker may pass a trial and yet fail its work; one that fails again during slow
    start stays out twice as long, or it would come back every second.
    """
    if slow_start_share(health, now_ms, settings) < 1.0:
        return min(health.cool_down_ms * 2, settings.max_cool_down_ms)
    return settings.cool_down_ms


def _open(health: UpstreamHealth, cool_down_ms: int, now_ms: int) -> UpstreamHealth:
    return replace(
        health,
        breaker=BreakerState.OPEN,
        opened_ms=now_ms,
        cool_down_ms=cool_down_ms,
        trial_running=False,
    )


def _end_trial(
    health: UpstreamHealth, verdict: Verdict, now_ms: int, settings: HealthSettings
) -> UpstreamHealth:
    if verdict is Verdict.FAILURE:
        cool_down_ms = min(health.cool_down_ms * 2, settings.max_cool_down_ms)
        return _open(health, cool_down_ms, now_ms)
    return replace(
        health,
        breaker=BreakerState.CLOSED,
        trial_running=False,
        failure_share=0.0,
        failures_in_row=0,
        samples=0,
        slow_start_since_ms=now_ms,
    )
