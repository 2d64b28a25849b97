"""Team quotas as token buckets and slot limits, divided among the seats."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.limits.shares import seat_share

if TYPE_CHECKING:
    from guavapin.objects.model import TeamQuota


@dataclass(frozen=True, slots=True)
class SeatQuota:
    """The part of a `TeamQuota` that one seat enforces.

    `per_second` is the rate in requests per second. A `max_slots` of 0 means no bound.
    """

    per_second: float
    burst: float
    max_slots: int


@dataclass(frozen=True, slots=True)
class Bucket:
    """Token bucket that held `tokens` at `updated_ms`."""

    tokens: float
    updated_ms: int


def divide_quota(quota: TeamQuota, seats: int, seat: int) -> SeatQuota:
    """Return the part of `quota` for `seat` of the `seats` that serve the service.

    Callers may reach any seat, so each seat gets the same rate. Each seat must allow at
    least one request. A burst or slot limit below the number of seats is therefore
    rounded up to one per seat.
    """
    seats = max(seats, 1)
    max_slots = 0
    if quota.max_slots > 0:
        share = seat_share(quota.max_slots, seats, seat, quota.name)
        max_slots = max(share, 1)
    return SeatQuota(
        per_second=quota.requests_per_second / seats,
        burst=max(quota.burst / seats, 1.0),
        max_slots=max_slots,
    )


def full_bucket(quota: SeatQuota, now_ms: int) -> Bucket:
    """Return the full bucket of a team without requests so far."""
    return Bucket(quota.burst, now_ms)


def take_token(bucket: Bucket, quota: SeatQuota, now_ms: int) -> tuple[Bucket, int]:
    """Take one token; return the bucket and the wait in ms, which is 0 on success.

    If no token is left, the bucket is only refilled. The caller's request is then
    refused with the wait as ``Retry-After``.
    """
    elapsed_ms = max(now_ms - bucket.updated_ms, 0)
    tokens = min(bucket.tokens + elapsed_ms * quota.per_second / 1_000, quota.burst)
    if tokens >= 1.0:
        return Bucket(tokens - 1.0, now_ms), 0
    if quota.per_second <= 0:
        return Bucket(tokens, now_ms), 60_000
    wait_ms = int((1.0 - tokens) * 1_000 / quota.per_second) + 1
    return Bucket(tokens, now_ms), wait_ms
