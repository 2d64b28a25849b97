"""Draws executors' next lives under other ids, and false or late evidence; pure.

It has random numbers of its own, so that it does not change the faults of
`plan_executors`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from guavapin_soak.executor_plan import plan_executors

if TYPE_CHECKING:
    from guavapin_soak.executor_plan import ExecutorPlan


class SuccessionKind(Enum):
    """A next life under another id, false evidence about an executor, or a roll."""

    SUCCEED = "stops; the next life has another id at the same address"
    CRASH = "killed; the next life has another id at the same address"
    LIST_STATE = "listed in another state although up"
    LIST_WITHOUT = "left out of the list of machines"
    ENTRY_REMOVED = "entry removed for a moment"
    STARTS_DELAYED = "starts delayed on the link"
    LIST_AT_START = "listed in another state while a start is under way"


# Time between the starts of two faults in a run with many and in one with few. Few
# leave executors undisturbed, on which lost runs start again at once.
INTERVALS_MS = ((300, 1_800), (1_500, 4_000))

# Share of the runs whose list of machines is right. Otherwise a wrong list would hide
# what the answers of former lives cause.
RIGHT_LIST_SHARE = 0.4
LIST_KINDS = (
    SuccessionKind.LIST_STATE,
    SuccessionKind.LIST_WITHOUT,
    SuccessionKind.LIST_AT_START,
)

# Share of the runs that have the faults of `plan_executors` as well.
OTHER_FAULTS_SHARE = 0.4

# Time from the end of one roll of the entry hosts to the next one.
ROLL_PAUSE_MS = (2_000, 12_000)

# Time for which a former life goes on answering over its connections.
LINGER_MS = (200, 6_000)

# Time by which the list of machines lags behind.
LIST_LAG_MS = (0, 3_000)

# The entry of the next life lags; three heartbeats is the time after which that of a
# former one is removed.
ENTRY_LAG_MS = (0, 1_500)

# Time from the next life's first line to new work, which goes to the least loaded.
WORK_DELAY_MS = (0, 1_500)

# Time from the submission of work to a list that shows the former state again; its
# delayed starts are under way then.
WORK_LEAD_MS = (0, 400)


# Weight of each kind among those that a run draws.
_WEIGHTS = {
    SuccessionKind.SUCCEED: 5,
    SuccessionKind.CRASH: 2,
    SuccessionKind.LIST_STATE: 2,
    SuccessionKind.LIST_WITHOUT: 1,
    SuccessionKind.ENTRY_REMOVED: 1,
    SuccessionKind.STARTS_DELAYED: 2,
    SuccessionKind.LIST_AT_START: 3,
}

_DURATIONS_MS = {
    SuccessionKind.SUCCEED: (1_000, 5_000),
    SuccessionKind.CRASH: (1_000, 5_000),
    SuccessionKind.LIST_STATE: (700, 3_000),
    SuccessionKind.LIST_WITHOUT: (700, 3_000),
    SuccessionKind.ENTRY_REMOVED: (50, 1_500),
    SuccessionKind.STARTS_DELAYED: (1_000, 5_000),
    SuccessionKind.LIST_AT_START: (2_000, 5_000),
}


@dataclass(frozen=True, slots=True)
class SuccessionFault:
    """A fault on `targets` at `at_ms` that lasts `for_ms`.

    `LIST_AT_START` awaits a start for `for_ms`. For a next life, this is the time for
    which starts on it are delayed, if `delays_starts` is set. The former one answers
    for `linger_ms` and is suspended for the middle half of it if `suspends_former` is
    set. `list_lag_ms` and `entry_lag_ms` are the times by which the list of machines
    and the next life's entry lag. `repeats_list_ms` is the time for which the list then
    shows the former state again, beside new work that was submitted `work_lead_ms`
    before. `listed_state` is the state that the list shows meanwhile.
    """

    at_ms: int
    for_ms: int
    kind: SuccessionKind
    targets: tuple[int, ...]
    listed_state: str
    linger_ms: int
    list_lag_ms: int
    entry_lag_ms: int
    work_delay_ms: int
    repeats_list_ms: int = 0
    work_lead_ms: int = 0
    delays_starts: bool = False
    suspends_former: bool = False
    keeps_entry: bool = False
    names_executor: bool = False


@dataclass(frozen=True, slots=True)
class SuccessionPlan:
    """Faults of a run by their start, and the pauses between rolls of entry hosts."""

    faults: tuple[SuccessionFault, ...] = ()
    roll_pauses_ms: tuple[int, ...] = ()


def plan_successions(seed: int, length_ms: int, executors: int) -> SuccessionPlan:
    """Return the plan of a run; a seed gives the same plan."""
    rng = random.Random(f"{seed}.successions")
    is_list_right = rng.random() < RIGHT_LIST_SHARE
    faults = []
    interval_ms = rng.choice(INTERVALS_MS)
    at_ms = rng.randint(*interval_ms)
    while at_ms < length_ms:
        fault = _draw(rng, at_ms, executors)
        if not is_list_right:
            faults.append(fault)
        elif fault.kind not in LIST_KINDS:
            faults.append(replace(fault, list_lag_ms=0, repeats_list_ms=0))
        at_ms += rng.randint(*interval_ms)
    # A pause before each roll; more are not needed, as a roll takes seconds.
    pauses = tuple(rng.randint(*ROLL_PAUSE_MS) for _ in range(length_ms // 2_000))
    return SuccessionPlan(tuple(faults), pauses)


def plan_other_faults(
    seed: int, length_ms: int, executors: int, hosts: int
) -> ExecutorPlan:
    """Return the faults of `plan_executors` beside successions: all of them or none."""
    plan = plan_executors(seed, length_ms, executors, hosts)
    if random.Random(f"{seed}.other").random() < OTHER_FAULTS_SHARE:
        return plan
    return replace(plan, faults=())


def _draw(rng: random.Random, at_ms: int, executors: int) -> SuccessionFault:
    (kind,) = rng.choices([*_WEIGHTS], [*_WEIGHTS.values()])
    size = rng.choice((1, 1, 2, 3))
    if kind is SuccessionKind.LIST_AT_START:
        # The next attempt needs an executor whose link is open.
        size = 1
    return SuccessionFault(
        at_ms,
        rng.randint(*_DURATIONS_MS[kind]),
        kind,
        tuple(rng.sample(range(executors), size)),
        rng.choice(("moving", "down")),
        rng.randint(*LINGER_MS),
        rng.randint(*LIST_LAG_MS),
        rng.randint(*ENTRY_LAG_MS),
        rng.randint(*WORK_DELAY_MS),
        rng.choice((0, 800, 1_500)),
        rng.randint(*WORK_LEAD_MS),
        rng.random() < 0.6,
        rng.random() < 0.3,
        rng.random() < 0.6,
        rng.random() < 0.5,
    )
