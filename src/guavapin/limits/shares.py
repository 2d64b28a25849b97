"""Static division of an upstream's slots and connections among the seats of a zone."""

from __future__ import annotations

import hashlib


def seat_share(total: int, seats: int, seat: int, name: str) -> int:
    """Return how many of the `total` slots of upstream `name` `seat` may use.

    Every seat gets the base share ``total // seats``. The remainder goes to the seats
    with the lowest hashes of upstream and seat, which spreads it over the seats. The
    shares of all seats add up to `total`. Seats count from 0; one out of range gets 0.
    """
    if not 0 <= seat < seats or total <= 0:
        return 0
    base, remainder = divmod(total, seats)
    if remainder == 0:
        return base
    ranked = sorted(range(seats), key=lambda number: _rank(name, number))
    return base + (seat in ranked[:remainder])


def _rank(name: str, seat: int) -> bytes:
    return hashlib.blake2b(f"{name}\0{seat}".encode(), digest_size=8).digest()
