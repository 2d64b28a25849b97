"""Adaptive limit of the concurrent attempts on one upstream.

The limit never exceeds the declared slots. If an upstream has fewer real slots than
declared, its answers slow down as more attempts run at once. The limit therefore
follows the ratio of the lowest mean answer time seen to the present mean. Each mean is
that of a window of attempts.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Constants of the limit.

    A window holds `window` attempts. A window mean of up to `tolerance` times the
    baseline counts as noise. Each window moves the baseline towards a higher mean by
    the share `baseline_drift`, so that a permanent slowdown of the work does not lower
    the limit for ever.
    """

    window: int = 32
    tolerance: float = 1.5
    smoothing: float = 0.5
    baseline_drift: float = 0.01
    min_limit: float = 1.0


@dataclass(frozen=True, slots=True)
class ConcurrencyLimit:
    """The limit and the window in progress; times are ratios to the expected time.

    `total` and `count` are the sum and number of the window's answer times, `peak` is
    the largest number of attempts that ran at once in it.
    """

    limit: float
    declared: int
    baseline: float = 0.0
    total: float = 0.0
    count: int = 0
    peak: int = 0


DEFAULT_SETTINGS = ConcurrencySettings()


def new_limit(declared: int) -> ConcurrencyLimit:
    """Return the limit of an upstream without observations: its declared slots."""
    return ConcurrencyLimit(limit=float(declared), declared=declared)


def allowed(state: ConcurrencyLimit) -> int:
    """Return how many attempts may run at once; at least 1."""
    return max(min(int(state.limit), state.declared), 1)


def observe_answer(
    state: ConcurrencyLimit,
    slowness: float,
    outstanding: int,
    settings: ConcurrencySettings = DEFAULT_SETTINGS,
) -> ConcurrencyLimit:
    """Add a successful answer to the window; the last one of a window sets the limit.

    `slowness` is the ratio of the answer time to the expected time. `outstanding`
    counts the attempts that ran at the same time.
    """
    state = ConcurrencyLimit(
        state.limit,
        state.declared,
        state.baseline,
        state.total + slowness,
        state.count + 1,
        max(state.peak, outstanding),
    )
    return _close_window(state, settings) if state.count >= settings.window else state


def _close_window(
    state: ConcurrencyLimit, settings: ConcurrencySettings
) -> ConcurrencyLimit:
    mean = state.total / state.count
    baseline = _next_baseline(state.baseline, mean, settings)
    gradient = min(max(settings.tolerance * baseline / max(mean, 1e-6), 0.5), 1.0)
    target = state.limit * gradient
    # The limit rises only if it was reached; below it the upstream was not tested.
    if gradient >= 1.0 and state.peak >= int(state.limit):
        target = state.limit + 1.0
    limit = state.limit + settings.smoothing * (target - state.limit)
    limit = min(max(limit, settings.min_limit), float(state.declared))
    return ConcurrencyLimit(limit, state.declared, baseline)


def _next_baseline(
    baseline: float, mean: float, settings: ConcurrencySettings
) -> float:
    if baseline <= 0.0 or mean < baseline:
        return mean
    return baseline + settings.baseline_drift * (mean - baseline)
