"""Learned run times by service and kind of request.

A kind is a method and a path prefix. Quantiles are tracked by stochastic
approximation: each observation moves an estimate up or down by a small factor, which
needs three numbers per kind and no stored samples.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace

MAX_KINDS = 64
MAX_KIND_SEGMENTS = 2
OTHER_KIND = "* *"

# Before this many observations the declared run time is used.
MIN_COUNT = 5
# A kind is long when its median is this many times the median of its service.
LONG_KIND_FACTOR = 10.0
# Halves the slowest run time seen over about 1,400 observations.
SLOWEST_DECAY = 0.9995
MIN_STEP = 0.05
MAX_STEP = 1.0
# A kind that is expected to take longer than its callers wait is refused, so nothing
# is learned of it any more. One request of it is let through this often.
RECHECK_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class RunTimeEstimate:
    """Quantile estimates of run time in milliseconds, after `count` observations.

    `slowest_ms` is the longest run time seen; it decays slowly.
    """

    count: int = 0
    median_ms: float = 0.0
    p95_ms: float = 0.0
    slowest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Expectation:
    """What to expect of a request; `p95_ms` bounds most requests of the kind.

    `is_known` is false until enough requests of the kind have been seen.
    """

    run_ms: float
    p95_ms: float
    is_long: bool
    is_known: bool = True
    slowest_ms: float = 0.0
    count: int = 0


def request_kind(method: str, target: str, service_prefix: str = "") -> str:
    """Return the kind of a request, for example ``GET /routes/*``.

    Segments that look like identifiers become ``*``, so that their number stays
    small; at most `MAX_KIND_SEGMENTS` segments after the service's prefix are kept.
    """
    path = target.split("?", 1)[0].removeprefix(service_prefix)
    segments = [segment for segment in path.split("/") if segment][:MAX_KIND_SEGMENTS]
    shown = ["*" if _is_identifier(segment) else segment for segment in segments]
    return f"{method} /{'/'.join(shown)}"


def observe(estimate: RunTimeEstimate, run_ms: float) -> RunTimeEstimate:
    """Return the estimate after a request that ran `run_ms`."""
    run_ms = max(run_ms, 0.1)
    if estimate.count == 0:
        return RunTimeEstimate(1, run_ms, run_ms, run_ms)
    # Large first steps find the order of magnitude, small later ones keep it.
    step = max(MAX_STEP / math.sqrt(estimate.count), MIN_STEP)
    return RunTimeEstimate(
        count=estimate.count + 1,
        median_ms=_step_towards(estimate.median_ms, run_ms, 0.5, step),
        p95_ms=max(
            _step_towards(estimate.p95_ms, run_ms, 0.95, step),
            estimate.median_ms,
        ),
        slowest_ms=max(estimate.slowest_ms * SLOWEST_DECAY, run_ms),
    )


def expect(
    kind: RunTimeEstimate | None, service: RunTimeEstimate | None, declared_ms: float
) -> Expectation:
    """Return what to expect, from the kind, else the service, else its declaration.

    A kind that is not known yet counts as short: it is only refused slots once it
    has shown to be long.
    """
    baseline_ms = declared_ms
    if service is not None and service.count >= MIN_COUNT:
        baseline_ms = service.median_ms
    if kind is None or kind.count < MIN_COUNT:
        return Expectation(baseline_ms, baseline_ms * 2, is_long=False, is_known=False)
    is_long = kind.median_ms > LONG_KIND_FACTOR * baseline_ms
    return Expectation(
        kind.median_ms,
        kind.p95_ms,
        is_long,
        slowest_ms=kind.slowest_ms,
        count=kind.count,
    )


class RunTimeEstimator:
    """Estimates of the kinds of one service, at most `MAX_KINDS` of them.

    Owned by one task. Kinds beyond the bound share one estimate. The service's own
    estimate learns every kind once per observation, so frequent kinds decide what
    is usual.
    """

    def __init__(self, declared_ms: float) -> None:
        self._declared_ms = declared_ms
        self._service = RunTimeEstimate()
        self._kinds: dict[str, RunTimeEstimate] = {}
        self._last_check_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._kinds)

    def observe(self, kind: str, run_ms: float, now_ms: int) -> None:
        """Learn from a request of `kind` that succeeded after `run_ms`."""
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS - 1:
            kind = OTHER_KIND
        self._last_check_ms[kind] = now_ms
        self._kinds[kind] = observe(self._kinds.get(kind, RunTimeEstimate()), run_ms)
        self._service = observe(self._service, run_ms)

    def expect(self, kind: str) -> Expectation:
        """Return what to expect of a request of `kind`."""
        known = self._kinds.get(kind) or self._kinds.get(OTHER_KIND)
        return expect(known, self._service, self._declared_ms)

    def expect_within(self, kind: str, left_ms: int, now_ms: int) -> Expectation:
        """Return what to expect of a request that has `left_ms` until its deadline.

        An expectation beyond `left_ms` has the request refused. If no request of the
        kind has succeeded for `RECHECK_INTERVAL_MS`, one that would be refused gets an
        expectation of half its time instead, so that its end can correct the estimate.
        """
        expected = self.expect(kind)
        if expected.run_ms <= left_ms:
            return expected
        kind = kind if kind in self._kinds else OTHER_KIND
        last_check_ms = self._last_check_ms.get(kind)
        if last_check_ms is not None and now_ms - last_check_ms < RECHECK_INTERVAL_MS:
            return expected
        self._last_check_ms[kind] = now_ms
        return replace(expected, run_ms=left_ms / 2, p95_ms=left_ms / 2)

    def set_declared(self, declared_ms: float) -> None:
        """Replace the declared run time after a change of the configuration."""
        self._declared_ms = declared_ms


def _step_towards(
    value_ms: float, run_ms: float, quantile: float, step: float
) -> float:
    direction = quantile if run_ms > value_ms else quantile - 1.0
    return value_ms * math.exp(step * direction)


def _is_identifier(segment: str) -> bool:
    digits = sum(map(str.isdigit, segment))
    return digits * 3 >= len(segment) or len(segment) > 32
