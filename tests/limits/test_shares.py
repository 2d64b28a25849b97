from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.limits.shares import seat_share


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 200), st.integers(1, 16), st.text(max_size=8))
def test_shares_add_up_to_the_total(total: int, seats: int, name: str) -> None:
    """Guards against a zone that together exceeds an upstream's limit."""
    shares = [seat_share(total, seats, seat, name) for seat in range(seats)]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


def test_remainders_are_spread_over_the_seats() -> None:
    """Guards against larger shares of every upstream for the first seats."""
    totals: Counter[int] = Counter()
    for index in range(300):
        for seat in range(3):
            totals[seat] += seat_share(8, 3, seat, f"h{index}")
    assert max(totals.values()) - min(totals.values()) < 60


def test_seat_out_of_range_has_no_share() -> None:
    """Guards against slots for a seat that the configuration has removed."""
    assert seat_share(8, 2, 2, "h") == 0
