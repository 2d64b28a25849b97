"""Looks after what runs: stalled runs, leaving hosts, work that disturbs other work.

Each function decides from the state of the scheduler's hosts and returns what to do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.scheduling.run import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import StepRun
    from guavapin.scheduling.run import Run

# A run whose percentage does not move for this long has stalled, or longer if its
# percentage is expected to move more slowly.
MIN_STALL_MS = 2_000

# Share of a run's expected time without progress that counts as a stall: a host that
# works five times as slow moves by one percent in a twentieth of it.
STALL_SHARE = 0.15

# Share of its target above which a serving subtask's tail is too near to it, and below
# which what fills beside it may work more.
SLOW_DOWN_ABOVE = 0.85
SPEED_UP_BELOW = 0.6

# Pauses between two changes of the pace of one run. The tail is a figure of the last
# half second; a subtask may be over its target for four seconds.
SLOW_DOWN_PAUSE_MS = 600
SPEED_UP_PAUSE_MS = 1_500

# Percent to which a filler is slowed in turn, and by how much it is sped up.
SLOW_DOWN_PERCENTS = (100, 40, 15, 0)
SPEED_UP_PERCENT = 20


@dataclass(frozen=True, slots=True)
class RunView:
    """A run with the step it belongs to."""

    run: Run
    step_run: StepRun


def stalled_runs(
    host: Host, views: Iterable[RunView], expected_ms: int, now_ms: int
) -> list[Run]:
    """Return the runs of a host that make no progress although it answers.

    `expected_ms` is the usual run time of the subtasks.
    """
    limit_ms = max(MIN_STALL_MS, round(expected_ms * STALL_SHARE))
    if host.unanswered or now_ms - host.clock_read_ms > MIN_STALL_MS:
        return []
    return [
        view.run
        for view in views
        if view.run.phase is RunPhase.RUNNING
        and view.run.is_wanted
        and view.run.pace == 100
        and not view.step_run.step.is_long_running
        and not view.step_run.step.is_gang
        and now_ms - view.run.moved_ms > limit_ms
    ]


def pace_changes(views: Iterable[RunView], now_ms: int) -> list[tuple[Run, int]]:
    """Return fillers of one host with the pace they should have from now on."""
    serving, fillers = [], []
    for view in views:
        if view.run.phase is not RunPhase.RUNNING or not view.run.is_wanted:
            continue
        if view.step_run.step.target_ms:
            serving.append(view)
        elif view.step_run.step.is_filler:
            fillers.append(view.run)
    if not fillers:
        return []
    load_share = max(
        (view.run.load / view.step_run.step.target_ms for view in serving), default=0.0
    )
    changes = []
    for run in fillers:
        since_ms = now_ms - run.paced_ms
        if (
            load_share > SLOW_DOWN_ABOVE
            and run.pace > 0
            and since_ms >= SLOW_DOWN_PAUSE_MS
        ):
            lower = next(step for step in SLOW_DOWN_PERCENTS if step < run.pace)
            changes.append((run, lower))
        elif (
            load_share < SPEED_UP_BELOW
            and run.pace < 100
            and since_ms >= SPEED_UP_PAUSE_MS
        ):
            changes.append((run, min(run.pace + SPEED_UP_PERCENT, 100)))
    return changes
