"""Adaptive limit of the slots used of one upstream, never above the declared ones.

Where an upstream has fewer real slots than declared, answers slow down as more run
at once. The limit follows the ratio of the lowest mean answer time seen to the
present one, over windows of attempts.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Constants of the limit.

    A window mean up to `tolerance` times the baseline is taken as noise. The
    baseline moves towards a higher mean by `baseline_drift` a window, so that work
    that has become slower for good does not lower the limit for ever.
    """

    window: int = 32
    tolerance: float = 1.5
    smoothing: float = 0.5
    baseline_drift: float = 0.01
    min_limit: float = 1.0


@dataclass(frozen=True, slots=True)
class ConcurrencyLimit:
    """The limit and the window being filled; times are ratios to the expected ones."""

    limit: float
    declared: int
    baseline: float = 0.0
    total: float = 0.0
    count: int = 0
    peak: int = 0


DEFAULT_SETTINGS = ConcurrencySettings()


def new_limit(declared: int) -> ConcurrencyLimit:
    """Return the limit of an upstream of which nothing is known."""
    return ConcurrencyLimit(limit=float(declared), declared=declared)


def allowed(state: ConcurrencyLimit) -> int:
    """Return how many attempts may run at once."""
    return max(min(int(state.limit), state.declared), 1)


def observe_answer(
    state: ConcurrencyLimit,
    slowness: float,
    outstanding: int,
    settings: ConcurrencySettings = DEFAULT_SETTINGS,
) -> ConcurrencyLimit:
    """Learn from a success; `outstanding` counts the attempts that ran with it."""
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
    # The limit rises only while it binds; otherwise nothing shows that more fits.
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
