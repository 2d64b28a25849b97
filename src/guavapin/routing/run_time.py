"""Estimated run times by service and kind of request.

A kind is a method and a path prefix. Quantiles are estimated by stochastic
approximation: each observation moves an estimate up or down by a small factor. This
needs three numbers per kind and no stored samples.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace

MAX_KINDS = 64
MAX_KIND_SEGMENTS = 2
OTHER_KIND = "* *"

# With fewer observations the declared run time is used.
MIN_COUNT = 5
# A kind is long when its median is this many times the median of its service.
LONG_KIND_FACTOR = 10.0
# Factor per observation; halves the slowest run time in about 1,400 observations.
SLOWEST_DECAY = 0.9995
MIN_STEP = 0.05
MAX_STEP = 1.0
# Requests of a kind that is expected to miss its deadlines are refused, so its estimate
# gets no new observations. One request of the kind is admitted at this interval.
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
    """Expected run time of a request.

    `run_ms` is the median of the kind and `p95_ms` its 95th percentile. `is_known` is
    false until the kind has `MIN_COUNT` observations.
    """

    run_ms: float
    p95_ms: float
    is_long: bool
    is_known: bool = True
    slowest_ms: float = 0.0
    count: int = 0


def request_kind(method: str, target: str, service_prefix: str = "") -> str:
    """Return the kind of a request, for example ``GET /routes/*``.

    To keep the number of kinds small, segments that look like identifiers become
    ``*``, and at most `MAX_KIND_SEGMENTS` segments after the service's prefix are kept.
    """
    path = target.split("?", 1)[0].removeprefix(service_prefix)
    segments = [segment for segment in path.split("/") if segment][:MAX_KIND_SEGMENTS]
    shown = ["*" if _is_identifier(segment) else segment for segment in segments]
    return f"{method} /{'/'.join(shown)}"


def observe(estimate: RunTimeEstimate, run_ms: float) -> RunTimeEstimate:
    """Return the estimate updated with a request that ran for `run_ms`."""
    run_ms = max(run_ms, 0.1)
    if estimate.count == 0:
        return RunTimeEstimate(1, run_ms, run_ms, run_ms)
    # Large first steps find the order of magnitude; small later steps refine it.
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
    """Return the expected run time from the kind, else the service, else `declared_ms`.

    A kind with fewer than `MIN_COUNT` observations counts as short. It is subject to
    the slot limit of long work only once its observations show that it is long.
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
    """Run time estimates of the kinds of one service, at most `MAX_KINDS` of them.

    Owned by one task. Kinds beyond the bound share one estimate. The estimate of the
    whole service is updated with every observation, so frequent kinds dominate it.
    """

    def __init__(self, declared_ms: float) -> None:
        self._declared_ms = declared_ms
        self._service = RunTimeEstimate()
        self._kinds: dict[str, RunTimeEstimate] = {}
        self._last_check_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._kinds)

    def observe(self, kind: str, run_ms: float, now_ms: int) -> None:
        """Update the estimates with a request of `kind` that succeeded in `run_ms`."""
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS - 1:
            kind = OTHER_KIND
        self._last_check_ms[kind] = now_ms
        self._kinds[kind] = observe(self._kinds.get(kind, RunTimeEstimate()), run_ms)
        self._service = observe(self._service, run_ms)

    def expect(self, kind: str) -> Expectation:
        """Return the expected run time of a request of `kind`."""
        known = self._kinds.get(kind) or self._kinds.get(OTHER_KIND)
        return expect(known, self._service, self._declared_ms)

    def expect_within(self, kind: str, remaining_ms: int, now_ms: int) -> Expectation:
        """Return the expected run time of a request with `remaining_ms` left.

        The caller refuses the request if the result exceeds `remaining_ms`. If that
        would be the case, and no request of the kind was observed or let through within
        `RECHECK_INTERVAL_MS`, the result is half of `remaining_ms` instead. The request
        then runs, and its end can correct the estimate.
        """
        expected = self.expect(kind)
        if expected.run_ms <= remaining_ms:
            return expected
        kind = kind if kind in self._kinds else OTHER_KIND
        last_check_ms = self._last_check_ms.get(kind)
        if last_check_ms is not None and now_ms - last_check_ms < RECHECK_INTERVAL_MS:
            return expected
        self._last_check_ms[kind] = now_ms
        return replace(expected, run_ms=remaining_ms / 2, p95_ms=remaining_ms / 2)

    def set_declared(self, declared_ms: float) -> None:
        """Set the declared run time of the service from a new configuration."""
        self._declared_ms = declared_ms


def _step_towards(
    value_ms: float, run_ms: float, quantile: float, step: float
) -> float:
    direction = quantile if run_ms > value_ms else quantile - 1.0
    return value_ms * math.exp(step * direction)


def _is_identifier(segment: str) -> bool:
    digits = sum(map(str.isdigit, segment))
    return digits * 3 >= len(segment) or len(segment) > 32
