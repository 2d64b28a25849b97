"""Draws the faults of executors and of entry hosts beside them; pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from guavapin_standins.executor_clock import ClockTraits

FAULT_INTERVAL_MS = (200, 2_500)

# Share of the faults that hit a group of executors at once.
GROUP_SHARE = 0.4
ENTRY_SHARE = 0.3

# Share of the runs in which some clocks stand still while their process is suspended.
STILL_CLOCKS_SHARE = 0.25

# Share of the deployments whose longest lease is the length that the scheduler gives.
SHORT_LEASE_SHARE = 0.25
LONGEST_LEASE_MS = 10_000
SHORT_LEASE_MS = 6_000

# Largest time by which the clocks of executors differ at the start.
CLOCK_OFFSET_MS = (20_000, 90_000)
SLOW_SHARES = (0.0, 0.0, 0.01, 0.02)

# Largest time by which a new life's entry of the registry lags behind its start.
ENTRY_LAG_MS = 4_000


class ExecutorFaultKind(Enum):
    """A fault of executors or of their links, or of an entry host."""

    RESTART = "killed and started again"
    RESTART_AND_CUT = "killed, started again at once and cut off soon after"
    RESTART_IDLE = "idle ones killed, started again, given work and cut off"
    SUSPEND = "suspended and woken"
    CUT = "cut off"
    ONE_WAY = "answers lost"
    DELAYED = "link delayed"
    HELD_BACK = "data held back and delivered late"
    ENTRY_KILL = "entry host killed and started again"
    ENTRY_PAUSE = "entry host paused and woken"
    ENTRY_TERMINATE = "entry host stopped and started again"


ENTRY_KINDS = (
    ExecutorFaultKind.ENTRY_KILL,
    ExecutorFaultKind.ENTRY_PAUSE,
    ExecutorFaultKind.ENTRY_TERMINATE,
)
EXECUTOR_KINDS = tuple(kind for kind in ExecutorFaultKind if kind not in ENTRY_KINDS)

# Range of the duration of each kind. Cuts are shorter and longer than a lease. Data is
# held back for less than the 12 s in which an order is carried out.
_DURATIONS_MS = {
    ExecutorFaultKind.RESTART: (0, 4_000),
    ExecutorFaultKind.RESTART_AND_CUT: (3_000, 12_000),
    ExecutorFaultKind.RESTART_IDLE: (7_000, 12_000),
    ExecutorFaultKind.SUSPEND: (300, 9_000),
    ExecutorFaultKind.CUT: (300, 12_000),
    ExecutorFaultKind.ONE_WAY: (300, 12_000),
    ExecutorFaultKind.DELAYED: (1_000, 12_000),
    ExecutorFaultKind.HELD_BACK: (300, 9_000),
    ExecutorFaultKind.ENTRY_KILL: (100, 4_000),
    ExecutorFaultKind.ENTRY_PAUSE: (200, 5_000),
    ExecutorFaultKind.ENTRY_TERMINATE: (2_000, 4_000),
}
# Time from the start of an executor to its cut. Its first orders arrive in it.
CUT_DELAY_MS = (100, 1_800)


# Time from the kill of idle executors to the submission of work. Their next life begins
# within a second.
WORK_DELAY_MS = (0, 800)


@dataclass(frozen=True, slots=True)
class ExecutorFault:
    """A fault on `targets` at `at_ms` that lasts `for_ms`.

    For `RESTART_IDLE`, `targets` has all executors, in the order in which the first
    `count` idle ones are taken, and `work_delay_ms` is the time to their new work.
    `delay_ms` is the time from an executor's start to its cut, and `lag_ms` that from
    its start to its entry in the registry. With `reaches_store` an executor that is cut
    off renews its entry.
    """

    at_ms: int
    for_ms: int
    kind: ExecutorFaultKind
    targets: tuple[int, ...]
    delay_ms: int = 0
    lag_ms: int = 0
    reaches_store: bool = False
    count: int = 1
    work_delay_ms: int = 0


@dataclass(frozen=True, slots=True)
class ExecutorPlan:
    """Longest lease, clock of each executor at first, and the faults of a run."""

    max_lease_ms: int
    clocks: tuple[ClockTraits, ...]
    faults: tuple[ExecutorFault, ...]


def plan_executors(
    seed: int, length_ms: int, executors: int, hosts: int
) -> ExecutorPlan:
    """Return the plan of a run; a seed gives the same plan."""
    rng = random.Random(f"{seed}.executors")
    is_short = rng.random() < SHORT_LEASE_SHARE
    has_still_clocks = rng.random() < STILL_CLOCKS_SHARE
    clocks = tuple(
        ClockTraits(
            rng.randint(*CLOCK_OFFSET_MS),
            rng.choice(SLOW_SHARES),
            has_still_clocks and rng.random() < 0.5,
        )
        for _ in range(executors)
    )
    # A run draws from few kinds only, so that the same pairs of kinds overlap often.
    kinds = rng.sample(EXECUTOR_KINDS, rng.randint(2, 4))
    if ExecutorFaultKind.RESTART_IDLE not in kinds and rng.random() < 0.5:
        kinds.append(ExecutorFaultKind.RESTART_IDLE)
    faults: list[ExecutorFault] = []
    at_ms = rng.randint(*FAULT_INTERVAL_MS)
    while at_ms < length_ms:
        is_entry = rng.random() < ENTRY_SHARE
        kind = rng.choice(ENTRY_KINDS if is_entry else kinds)
        faults.append(_draw_fault(rng, at_ms, kind, hosts if is_entry else executors))
        at_ms += rng.randint(*FAULT_INTERVAL_MS)
    lease_ms = SHORT_LEASE_MS if is_short else LONGEST_LEASE_MS
    return ExecutorPlan(lease_ms, clocks, tuple(faults))


def _draw_fault(
    rng: random.Random, at_ms: int, kind: ExecutorFaultKind, count: int
) -> ExecutorFault:
    size = rng.randint(2, max(count // 2, 2)) if rng.random() < GROUP_SHARE else 1
    if kind in ENTRY_KINDS:
        size = 1
    drawn = count if kind is ExecutorFaultKind.RESTART_IDLE else size
    return ExecutorFault(
        at_ms,
        rng.randint(*_DURATIONS_MS[kind]),
        kind,
        tuple(rng.sample(range(count), drawn)),
        rng.randint(*CUT_DELAY_MS),
        rng.randint(0, ENTRY_LAG_MS),
        rng.random() < 0.5,
        size,
        rng.randint(*WORK_DELAY_MS),
    )
