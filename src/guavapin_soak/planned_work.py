"""Draws the planned work of a run from its seed; pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

# Time between two steps. A stop takes up to the grace of 6 s, so that most steps
# overlap a stop or a start.
STEP_INTERVAL_MS = (60, 1_200)

# Time between the end of a stopped process and its next start.
RESTART_DELAY_MS = (0, 600)

# Delay of a signal to a process whose interpreter has begun to run the product.
START_SIGNAL_MS = (0, 1_500)

# Share of the stops that hit several entry hosts at once.
SEVERAL_HOSTS_SHARE = 0.3


class WorkKind(Enum):
    """A step of planned work."""

    STOP = "SIGTERM, and a start after the end"
    HANG_UP = "SIGHUP"
    HANG_UP_AT_START = "SIGHUP to a process that starts"
    STOP_AT_START = "SIGTERM to a process that starts"
    STOP_AGAIN = "SIGTERM to a process that stops"
    HANG_UP_AT_STOP = "SIGHUP to a process that stops"
    CHANGE_ROUTES = "manifest with other routes"
    CHANGE_LIMITS = "manifest with other limits"
    REPLACE_KEY = "manifest with another key"


MANIFEST_KINDS = frozenset(
    (WorkKind.CHANGE_ROUTES, WorkKind.CHANGE_LIMITS, WorkKind.REPLACE_KEY)
)
# Kinds that follow a stop of their host, and take the place of other kinds for it.
AT_STOP_KINDS = (WorkKind.STOP_AGAIN, WorkKind.HANG_UP_AT_STOP)
AT_START_KINDS = (WorkKind.HANG_UP_AT_START, WorkKind.STOP_AT_START)


@dataclass(frozen=True, slots=True)
class WorkStep:
    """A step at `at_ms` on the hosts `targets`; a manifest has no targets.

    `delay_ms` is the time from the end of a stopped process to its next start, and for
    the kinds at a start the time from the begin of the product to the signal.
    """

    at_ms: int
    kind: WorkKind
    targets: tuple[int, ...] = ()
    delay_ms: int = 0


def plan_work(seed: int, length_ms: int, hosts: int) -> tuple[WorkStep, ...]:
    """Return the steps of a run by their time; a seed gives the same steps."""
    rng = random.Random(f"{seed}.planned")
    # Stops come in each run, and few other kinds, so that the same pairs overlap often.
    others = [kind for kind in WorkKind if kind is not WorkKind.STOP]
    kinds = rng.sample(others, rng.randint(2, 5))
    steps = []
    at_ms = rng.randint(*STEP_INTERVAL_MS)
    while at_ms < length_ms:
        kind = WorkKind.STOP if rng.random() < 0.35 else rng.choice(kinds)
        steps.append(_draw_step(rng, at_ms, kind, hosts))
        at_ms += rng.randint(*STEP_INTERVAL_MS)
    return tuple(steps)


def _draw_step(rng: random.Random, at_ms: int, kind: WorkKind, hosts: int) -> WorkStep:
    if kind in MANIFEST_KINDS:
        return WorkStep(at_ms, kind)
    count = rng.randint(2, hosts) if rng.random() < SEVERAL_HOSTS_SHARE else 1
    targets = tuple(rng.sample(range(hosts), min(count, hosts)))
    delays = START_SIGNAL_MS if kind in AT_START_KINDS else RESTART_DELAY_MS
    return WorkStep(at_ms, kind, targets, rng.randint(*delays))
