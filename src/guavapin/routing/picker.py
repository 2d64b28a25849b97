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

# Random samples that are drawn before the scan in `_first_fitting`. A sample is
# rejected if the request has tried that upstream already.
MAX_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class PickRequest:
    """Properties of a request that a picker uses; `tried` upstreams are excluded."""

    is_long: bool = False
    tried: tuple[str, ...] = ()


class Picker(Protocol):
    """Picks one of the candidates; all of them are usable and have a free slot."""

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
    """Picks a random candidate regardless of its load."""

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return a random candidate that was not tried."""
        return _sample(candidates, request.tried, rng)


class LeastOutstandingPicker:
    """Picks the candidate with the fewest outstanding attempts; costs O(n).

    It exists for comparison only: a worker that fails fast always has the fewest
    outstanding attempts and would attract the most work.
    """

    def pick(
        self,
        candidates: Sequence[str],
        health: Mapping[str, UpstreamHealth],
        request: PickRequest,
        now_ms: int,
        rng: random.Random,
    ) -> str | None:
        """Return the least loaded candidate; ties are broken at random."""
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

    A long request goes to the busier of two healthy samples. Long work thus gathers
    on few upstreams and leaves the others to short work.
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
    """Return the `share` of `upstreams` that may run the long work of `service`.

    The upstreams are ranked by a hash of service and name. All seats therefore choose
    the same ones, and services that share a pool choose different ones. The result is
    computed once per configuration.
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
    """Return the first candidate that was not tried, or None.

    Candidates are unique, so the first `len(tried) + 1` of them suffice.
    """
    for name in candidates[: len(tried) + 1]:
        if name not in tried:
            return name
    return None


def _rank(service: str, name: str) -> bytes:
    return hashlib.blake2b(f"{service}\0{name}".encode(), digest_size=8).digest()
