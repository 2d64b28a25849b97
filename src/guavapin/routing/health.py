"""Health of one upstream: circuit breaker, failure weight, slow start.

Each upstream has one frozen record. Every function is pure and costs O(1). The
functions that run for every attempt construct the record directly, because
`dataclasses.replace` is slower.
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

    The breaker opens after `failures_to_open` failures in a row. It also opens when
    the failure share exceeds `share_to_open` after at least `min_samples` attempts.
    Each failed trial doubles the cool-down, from `cool_down_ms` up to
    `max_cool_down_ms`. During slow start, which lasts `slow_start_ms`, the share of
    slots in use rises from `slow_start_min_share` to 1. `smoothing` is the weight of a
    new sample in the moving averages.
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
    """Health record of one upstream.

    `slowness` is the smoothed ratio of the upstream's answer time to the time that
    requests of the same kinds take elsewhere; 1.0 is usual. The ratio makes work of
    different lengths comparable. `failure_share` is the smoothed share of failures.
    `slow_start_since_ms` is the start of slow start, or -1 when there is none.
    `outstanding` counts the attempts of this seat only.
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

# Keeps the score of a failing upstream finite, so that it can still be compared when
# the pool's floor forbids its ejection.
MIN_SUCCESS_SHARE = 0.05


def max_ejected(upstreams: int, max_ejected_share: float) -> int:
    """Return how many of `upstreams` may have an open breaker at the same time.

    A zone often has only two hosts of a pool, for which a share of 0.3 would round
    down to none. A positive share therefore allows at least one ejection if the pool
    has two upstreams or more. A share of 0 forbids ejection.
    """
    if max_ejected_share <= 0 or upstreams < 2:
        return 0
    return max(int(upstreams * max_ejected_share), 1)


def start_attempt(health: UpstreamHealth) -> UpstreamHealth:
    """Count a started attempt; on a half-open breaker it becomes the only trial."""
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

    `slowness` is the ratio of the answer time to the expected time. It is used for
    successes only, because an upstream that fails fast is not a fast one. `may_eject`
    is false when the pool's floor forbids to open another breaker. A half-open breaker
    closes or reopens by the result of its trial only; attempts that started before the
    breaker opened do not change it.
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
    """End an attempt that does not count for health, as when its caller cancels it."""
    return _with_attempts(
        health,
        max(health.outstanding - 1, 0),
        health.trial_running and not is_trial,
    )


def is_trial_due(health: UpstreamHealth, now_ms: int) -> bool:
    """Return whether a trial may start.

    The cool-down must be over, no other trial may run, and the upstream must not be
    leaving.
    """
    if health.is_leaving:
        return False
    if health.breaker is BreakerState.HALF_OPEN:
        return not health.trial_running
    return (
        health.breaker is BreakerState.OPEN
        and now_ms >= health.opened_ms + health.cool_down_ms
    )


def start_trial(health: UpstreamHealth) -> UpstreamHealth:
    """Move a breaker whose trial is due to half-open; the next attempt is the trial."""
    return replace(health, breaker=BreakerState.HALF_OPEN, trial_running=False)


def mark_leaving(health: UpstreamHealth, is_leaving: bool = True) -> UpstreamHealth:
    """Set whether the upstream is leaving and therefore takes no new requests."""
    return replace(health, is_leaving=is_leaving)


def is_usable(health: UpstreamHealth) -> bool:
    """Return whether ordinary requests may be sent to the upstream."""
    return health.breaker is BreakerState.CLOSED and not health.is_leaving


def slow_start_share(
    health: UpstreamHealth, now_ms: int, settings: HealthSettings = DEFAULT_SETTINGS
) -> float:
    """Return the share of the slots that may be used; 1.0 outside slow start."""
    if health.slow_start_since_ms < 0:
        return 1.0
    progress = (now_ms - health.slow_start_since_ms) / max(settings.slow_start_ms, 1)
    return min(max(progress, settings.slow_start_min_share), 1.0)


def score(health: UpstreamHealth, now_ms: int) -> float:
    """Return the cost of sending one more request; a lower score is preferred.

    The score is the outstanding work times the smoothed slowness, divided by the
    square of the success share and by the slow-start share. With the plain success
    share, a failing upstream still got as much work as a busy healthy one.
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
    """Decrement the outstanding attempts and update the averages in one step."""
    failed = verdict is Verdict.FAILURE
    weight = settings.smoothing
    mean_slowness = health.slowness
    if not failed:
        mean_slowness += weight * (slowness - mean_slowness)
    share = health.failure_share + weight * (float(failed) - health.failure_share)
    return UpstreamHealth(
        max(health.outstanding - 1, 0),
        mean_slowness,
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
    """Return the cool-down of a breaker that opens from the closed state.

    A worker can pass its trial and still fail ordinary work. If it fails again during
    slow start, its last cool-down is doubled; otherwise it would return every second.
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
