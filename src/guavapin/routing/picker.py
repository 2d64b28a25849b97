"""Choice of the upstream of one attempt, in O(1) in the number of upstreams."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.routing.health import score

if TYPE_CHECKING:
    import random
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from guavapin.routing.health import UpstreamHealth

# A retry excludes the upstreams it has tried; a few more samples find another one
# without a scan.
MAX_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class PickRequest:
    """What a picker needs to know of a request; `tried` upstreams are excluded."""

    is_long: bool = False
    tried: tuple[str, ...] = ()


class Picker(Protocol):
    """Picks one of the candidates, all of which are usable and have a free slot."""

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return the name of an upstream, or None when no candidate fits."""
        ...


class RandomPicker:
    """Picks any candidate, whatever its load."""

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return one random candidate."""
        return _sample(candidates, request.tried, rng)


class LeastOutstandingPicker:
    """Picks the candidate with the fewest outstanding attempts; costs O(n).

    For comparison only: a worker that fails fast always has the fewest.
    """

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return the least loaded candidate, by chance among equals."""
        fitting = [name for name in candidates if name not in request.tried]
        if not fitting:
            return None
        return min(fitting, key=lambda name: (health[name].outstanding, rng.random()))


class TwoChoicesPicker:
    """Samples two candidates and picks the one with fewer outstanding attempts."""

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return the better of two samples."""
        first = _sample(candidates, request.tried, rng)
        second = _sample(candidates, request.tried, rng)
        if first is None or second is None:
            return first or second
        if health[second].outstanding < health[first].outstanding:
            return second
        return first


class WeightedTwoChoicesPicker:
    """Samples two candidates and picks the one with the lower `health.score`.

    Long work goes to the sample that is busier already, so that it gathers on few
    upstreams and leaves the others to short work.
    """

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return the better of two samples."""
        first = _sample(candidates, request.tried, rng)
        second = _sample(candidates, request.tried, rng)
        if first is None or second is None:
            return first or second
        if request.is_long and _are_healthy(health[first], health[second]):
            busier = health[second].outstanding > health[first].outstanding
            return second if busier else first
        is_better = score(health[second], now_ms) < score(health[first], now_ms)
        return second if is_better else first


def long_work_upstreams(
    service: str, upstreams: Collection[str], share: float
) -> tuple[str, ...]:
    """Return the upstreams that may run the long work of `service`.

    The order is by hash, so that all seats choose the same ones and that services
    which share a pool use different ones. Computed once per configuration.
    """
    count = min(math.ceil(len(upstreams) * share), len(upstreams))
    ranked = sorted(upstreams, key=lambda name: _rank(service, name))
    return tuple(ranked[:count])


def _are_healthy(first: UpstreamHealth, second: UpstreamHealth) -> bool:
    return max(first.failure_share, second.failure_share) < 0.1


def _sample(
    candidates: Sequence[str], tried: tuple[str, ...], rng: random.Random
) -> str | None:
    count = len(candidates)
    if count == 0:
        return None
    for _ in range(MAX_SAMPLES):
        name = candidates[int(rng.random() * count)]
        if name not in tried:
            return name
    return _first_fitting(candidates, tried)


def _first_fitting(candidates: Sequence[str], tried: tuple[str, ...]) -> str | None:
    """Return a candidate that was not tried; looks at most one past the tried ones."""
    for name in candidates[: len(tried) + 1]:
        if name not in tried:
            return name
    return None


def _rank(service: str, name: str) -> bytes:
    return hashlib.blake2b(f"{service}\0{name}".encode(), digest_size=8).digest()
