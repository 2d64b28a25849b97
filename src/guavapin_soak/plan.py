"""Draws the faults of a run from its seed; pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Time between the starts of two faults. Most faults last longer, so that they overlap.
MIN_FAULT_INTERVAL_MS = 100
MAX_FAULT_INTERVAL_MS = 1_400

# Duration of a fault. The lease of the duty is 1.5 s and that of executors 6 s, so that
# faults are shorter or longer than a lease.
MIN_FAULT_DURATION_MS = 200
MAX_FAULT_DURATION_MS = 4_000

# Time between the starts of two odd entries of the registry, and duration of one. Some
# last longer than a cancelling may take to end its runs, 3.4 s.
ENTRY_INTERVAL_MS = (400, 2_500)
ENTRY_DURATION_MS = (1_000, 8_000)

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
    ODD_ENTRY = "entry of another writer in the registry"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on the hosts `targets` that starts at `at_ms` and lasts `for_ms`.

    `entry` is the name of an odd entry; an `ODD_ENTRY` has no targets.
    """

    at_ms: int
    for_ms: int
    kind: FaultKind
    targets: tuple[int, ...]
    entry: str = ""


def plan_faults(seed: int, length_ms: int, hosts: int) -> tuple[Fault, ...]:
    """Return the faults of hosts, links and the store by their start.

    A seed gives the same faults.
    """
    rng = random.Random(seed)
    # A run draws from few kinds only, so that the same pairs of kinds overlap often.
    all_kinds = [kind for kind in FaultKind if kind is not FaultKind.ODD_ENTRY]
    kinds = rng.sample(all_kinds, rng.randint(2, 5))
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


def plan_entries(seed: int, length_ms: int, names: Sequence[str]) -> tuple[Fault, ...]:
    """Return the odd entries of a run by their start; no name twice before all are.

    They have their own random numbers, so that they do not change `plan_faults`.
    """
    rng = random.Random(f"{seed}.entries")
    order = rng.sample(names, len(names))
    faults: list[Fault] = []
    at_ms = rng.randint(*ENTRY_INTERVAL_MS)
    while at_ms < length_ms:
        for_ms = min(rng.randint(*ENTRY_DURATION_MS), length_ms - at_ms)
        name = order[len(faults) % len(order)]
        faults.append(Fault(at_ms, for_ms, FaultKind.ODD_ENTRY, (), name))
        at_ms += rng.randint(*ENTRY_INTERVAL_MS)
    return tuple(faults)
