"""Marks the jobs that an organisation submits beyond the rate of its share.

Answers the load pattern of one organisation that submits a multiple of its usual rate:
its further jobs come after those of organisations within their share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.organisations import Organisation

# Time over which jobs within the share may come at once, if no setting gives it.
DEFAULT_WINDOW_MS = 5_000

# Least depth of a bucket, so that an organisation with a small weight above 0 has jobs
# within its share too.
MIN_DEPTH = 1.0


@dataclass(frozen=True, slots=True)
class Bucket:
    """Jobs that count as within the share, as of a monotonic time in ms."""

    tokens: float
    at_ms: int


class OrganisationRate:
    """Token buckets by organisation; only the table of jobs changes them.

    A bucket fills at `weight` jobs per second up to `weight` times the window (section
    4.3 of docs/organisations-and-load.md). A term begins with full buckets.
    """

    def __init__(self, window_ms: int = DEFAULT_WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._buckets: dict[str, Bucket] = {}

    def is_excess(self, organisation: Organisation, now_ms: int) -> bool:
        """Return whether one more job is beyond the share at a monotonic time."""
        return self._refilled(organisation, now_ms).tokens < 1

    def take(self, organisation: Organisation, now_ms: int) -> None:
        """Count a job within the share."""
        bucket = self._refilled(organisation, now_ms)
        self._buckets[organisation.name] = Bucket(bucket.tokens - 1, now_ms)

    def _refilled(self, organisation: Organisation, now_ms: int) -> Bucket:
        weight = organisation.weight
        depth = max(weight * self._window_ms / 1_000, MIN_DEPTH) if weight > 0 else 0.0
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return Bucket(depth, now_ms)
        filled = bucket.tokens + weight * (now_ms - bucket.at_ms) / 1_000
        return Bucket(min(filled, depth), now_ms)
