"""Draws when the route of a run gets another service; pure.

It has random numbers of its own, so that it does not change the other plans.
"""

from __future__ import annotations

import random

# Time between two changes. Some follow each other while runs of the one before last go
# on, others leave time for a takeover between them.
INTERVAL_MS = (800, 6_000)


def plan_service_changes(seed: int, length_ms: int) -> tuple[int, ...]:
    """Return the times of the changes from the start of the faults."""
    rng = random.Random(f"{seed}.services")
    times_ms = []
    at_ms = rng.randint(0, INTERVAL_MS[0])
    while at_ms < length_ms:
        times_ms.append(at_ms)
        at_ms += rng.randint(*INTERVAL_MS)
    return tuple(times_ms)
