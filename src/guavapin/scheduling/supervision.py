"""Rules for running subtasks: stalls, copies beside silent runs, paces of fillers.

Each function decides from the state that it is given, and changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.scheduling.run import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.scheduling.host import Host
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.step_run import StepRun

# A run whose percentage does not change for this long has stalled. The time is longer
# for a run whose percentage is expected to change more slowly.
MIN_STALL_MS = 2_000

# Share of a run's expected time without progress that counts as a stall. A run on a
# host that is five times slower still gains one percent in a twentieth of that time.
STALL_SHARE = 0.15

# A serving subtask has a target for its tail latency. Fillers on its host are slowed
# down above the first share of the target and sped up below the second.
SLOW_DOWN_ABOVE = 0.85
SPEED_UP_BELOW = 0.6

# Minimum time between two changes of the pace of one run. The tail latency covers the
# last half second, so a change shows only after that; a subtask may exceed its target
# for four seconds.
MIN_SLOW_DOWN_INTERVAL_MS = 600
MIN_SPEED_UP_INTERVAL_MS = 1_500

# Paces in percent to which a filler is slowed down one after the other, and the
# percentage points by which it is sped up.
SLOW_DOWN_PERCENTS = (100, 40, 15, 0)
SPEED_UP_PERCENT = 20

# A serving subtask that has exceeded its target for this long, although the fillers
# beside it are paced to 0, has one of them moved. Pacing takes 1.8 s to reach 0, and
# the load shows it half a second later; a subtask may exceed its target for 4 s.
MOVE_AFTER_MS = 3_000

# Time for which a filler has been paced to 0 before it is moved, and time between two
# moves from one host. The load shows the effect of each after half a second.
MOVE_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class RunView:
    """A run with its step."""

    run: Run
    step_run: StepRun


def needs_supervision(host: Host, now_ms: int) -> bool:
    """Return whether a rule of this module may apply to a host.

    Answers the load pattern of a large fleet that works as it should: its runs are not
    looked up one by one. Nearly all runs of a busy fleet have moved lately.
    """
    if host.unanswered or host.has_fillers or host.registration.is_draining:
        return True
    stalled_before_ms = now_ms - MIN_STALL_MS
    return any(run.moved_ms < stalled_before_ms for run in host.runs.values())


def stalled_runs(
    host: Host, views: Iterable[RunView], expected_ms: int, now_ms: int
) -> list[Run]:
    """Return the runs of a host that make no progress although the host answers.

    `expected_ms` is the expected run time of their subtasks. Long-running steps, gangs
    and runs that work at a reduced pace are exempt.
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


def copies_needed(host: Host, views: Iterable[RunView]) -> list[RunView]:
    """Return the runs of a host beside which a copy of their subtask starts.

    Answers the load pattern of a partition, or of hosts that crash silently: their jobs
    would wait until the hosts answer or the leases end. Only steps that allow copies
    take part, and a subtask has two wanted runs at most.
    """
    if not host.unanswered:
        return []
    return [
        view
        for view in views
        if view.step_run.step.allows_copies
        and view.run.is_wanted
        and view.run.subtask.index not in view.step_run.done
        and len(view.step_run.wanted_runs(view.run.subtask.index)) == 1
    ]


def pace_changes(views: Iterable[RunView], now_ms: int) -> list[tuple[Run, int]]:
    """Return the fillers of one host whose pace changes, with the new pace in percent.

    The serving subtask with the highest load relative to its target decides.
    """
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
            and since_ms >= MIN_SLOW_DOWN_INTERVAL_MS
        ):
            lower = next(step for step in SLOW_DOWN_PERCENTS if step < run.pace)
            changes.append((run, lower))
        elif (
            load_share < SPEED_UP_BELOW
            and run.pace < 100
            and since_ms >= MIN_SPEED_UP_INTERVAL_MS
        ):
            changes.append((run, min(run.pace + SPEED_UP_PERCENT, 100)))
    return changes


def note_targets(views: Iterable[RunView], now_ms: int) -> None:
    """Record on each serving run since when its load exceeds its target."""
    for view in views:
        target_ms = view.step_run.step.target_ms
        if not target_ms or view.run.load <= target_ms:
            view.run.over_target_since_ms = 0
        elif not view.run.over_target_since_ms:
            view.run.over_target_since_ms = now_ms


def fillers_in_the_way(views: list[RunView], now_ms: int) -> list[RunView]:
    """Return the fillers of a host that may be moved, those paced longest first.

    A filler that has long been paced to 0 beside a serving subtask over its target
    neither works nor, as it seems, gets out of the way: it may still hold memory.
    """
    is_over = any(
        view.run.over_target_since_ms
        and now_ms - view.run.over_target_since_ms >= MOVE_AFTER_MS
        for view in views
        if view.run.is_wanted and view.run.phase is RunPhase.RUNNING
    )
    last_stop_ms = max((view.run.first_stop_ms for view in views), default=0)
    if not is_over or (last_stop_ms and now_ms - last_stop_ms < MOVE_INTERVAL_MS):
        return []
    fillers = [
        view
        for view in views
        if view.step_run.step.is_filler
        and not view.step_run.step.is_gang
        and view.run.is_wanted
        and view.run.phase is RunPhase.RUNNING
        and view.run.pace == 0
        and now_ms - view.run.paced_ms >= MOVE_INTERVAL_MS
    ]
    return sorted(fillers, key=lambda view: view.run.paced_ms)


def may_miss_one(step_run: StepRun) -> bool:
    """Return whether one more subtask of a step may be missing.

    A step without a bound may miss any number, a long-running one without a bound one.
    """
    allowed = step_run.step.may_be_absent
    if step_run.step.is_long_running:
        return step_run.absent_count() < (1 if allowed is None else allowed)
    return allowed is None or len(step_run.waiting - step_run.done) < allowed
