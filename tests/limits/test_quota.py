from __future__ import annotations

from guavapin.limits.quota import divide_quota
from guavapin.limits.quota import full_bucket
from guavapin.limits.quota import take_token
from guavapin.objects.model import TeamQuota

QUOTA = TeamQuota("q", "crews", "routes", 50.0, burst=20, max_slots=10)


def test_parts_of_all_seats_add_up() -> None:
    """Guards against a team that gets its whole quota on each seat."""
    parts = [divide_quota(QUOTA, 4, seat) for seat in range(4)]
    assert sum(part.per_second for part in parts) == 50.0
    assert sum(part.burst for part in parts) == 20
    assert sum(part.max_slots for part in parts) == 10


def test_small_quota_allows_one_request_on_every_seat() -> None:
    """Guards against a team that some seats always refuse."""
    quota = TeamQuota("q", "crews", "routes", 1.0, burst=1, max_slots=2)
    parts = [divide_quota(quota, 8, seat) for seat in range(8)]
    assert all(part.burst >= 1 and part.max_slots == 1 for part in parts)


def test_quota_without_slot_limit_has_none_per_seat() -> None:
    """Guards against a team without a slot limit being limited to one slot."""
    quota = TeamQuota("q", "crews", "routes", 1.0)
    assert divide_quota(quota, 8, 0).max_slots == 0


def test_rate_is_enforced() -> None:
    """Guards against a team that exceeds its rate over time."""
    part = divide_quota(QUOTA, 2, 0)
    bucket = full_bucket(part, 0)
    taken = 0
    for now_ms in range(0, 10_000, 5):
        bucket, wait_ms = take_token(bucket, part, now_ms)
        taken += wait_ms == 0
    assert 250 <= taken <= 260


def test_wait_lasts_until_the_next_token() -> None:
    """Guards against a Retry-After that sends the caller back too early."""
    part = divide_quota(QUOTA, 2, 0)
    bucket = full_bucket(part, 0)
    wait_ms = 0
    while wait_ms == 0:
        bucket, wait_ms = take_token(bucket, part, 0)
    assert take_token(bucket, part, wait_ms)[1] == 0
    none = divide_quota(TeamQuota("q", "t", "s", 0.0), 1, 0)
    assert take_token(full_bucket(none, 0), none, 0)[1] == 0
