"""Draws the faults of a run from its seed; pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

# Time between the starts of two faults. Most faults last longer, so that they overlap.
MIN_FAULT_INTERVAL_MS = 100
MAX_FAULT_INTERVAL_MS = 1_400

# Duration of a fault. The lease of the duty is 1.5 s and that of executors 6 s, so that
# faults are shorter or longer than a lease.
MIN_FAULT_DURATION_MS = 200
MAX_FAULT_DURATION_MS = 4_000

# Share of the faults that hit all entry hosts at once.
ALL_HOSTS_SHARE = 0.12


class FaultKind(Enum):
    """A fault of an entry host, of its link to the platform, or of the store."""

    KILL = "killed and started again"
    PAUSE = "paused and woken"
    TERMINATE = "stopped and started again"
    HANG_UP = "told to read its settings again"
    LINK_DELAYED = "link delayed"
    LINK_SILENT = "open connections silenced for good"
    LINK_ONE_WAY = "answers on the link held back"
    LINK_RESET = "connections reset"
    LINK_REFUSED = "new connections refused"
    STORE_DOWN = "store refuses all calls"
    ANSWERS_LOST = "store carries out calls and does not answer"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on the hosts `targets` that starts at `at_ms` and lasts `for_ms`."""

    at_ms: int
    for_ms: int
    kind: FaultKind
    targets: tuple[int, ...]


def plan_faults(seed: int, length_ms: int, hosts: int) -> tuple[Fault, ...]:
    """Return the faults of a run by their start; a seed gives the same faults."""
    rng = random.Random(seed)
    # A run draws from few kinds only, so that the same pairs of kinds overlap often.
    kinds = rng.sample(list(FaultKind), rng.randint(2, 5))
    faults = []
    at_ms = rng.randint(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS)
    while at_ms < length_ms:
        targets = tuple(rng.sample(range(hosts), rng.randint(1, 2)))
        if rng.random() < ALL_HOSTS_SHARE:
            targets = tuple(range(hosts))
        for_ms = rng.randint(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS)
        for_ms = min(for_ms, length_ms - at_ms)
        faults.append(Fault(at_ms, for_ms, rng.choice(kinds), targets))
        at_ms += rng.randint(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS)
    return tuple(faults)
