"""Counts what became of jobs and machines, from events; pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.checks import EventKind
from guavapin_standins.resident_platform import MAINTENANCE_ORDER
from guavapin_standins.resident_platform import STANDBY_POOL

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from guavapin_soak.checks import CallerEvent
    from guavapin_standins.resident_executor import RunEvent
    from guavapin_standins.resident_platform import MachineEvent

# Kinds of events that end a run.
_RUN_ENDS = ("done", "stopped", "lapsed", "gone")


@dataclass(frozen=True, slots=True)
class JobCounts:
    """Jobs by what their callers saw; an accepted job without success is lost.

    `rejected` counts jobs that no entry host accepted, each attempt with an answer that
    says so, and `undecided` those with an attempt that was not answered.
    """

    accepted: int
    succeeded: int
    rejected: int
    undecided: int
    lost: int


def count_jobs(caller_events: Iterable[CallerEvent]) -> JobCounts:
    """Return the jobs by what their callers saw until the end."""
    kinds_by_job: dict[str, set[EventKind]] = {}
    for event in caller_events:
        kinds_by_job.setdefault(event.job_id, set()).add(event.kind)
    counts: Counter[str] = Counter()
    for kinds in kinds_by_job.values():
        if EventKind.ACCEPTED in kinds:
            counts["accepted"] += 1
            is_served = EventKind.SUCCEEDED in kinds
            counts["succeeded" if is_served else "lost"] += 1
        elif EventKind.UNANSWERED in kinds:
            counts["undecided"] += 1
        else:
            counts["rejected"] += EventKind.REFUSED in kinds
    return JobCounts(
        accepted=counts["accepted"],
        succeeded=counts["succeeded"],
        rejected=counts["rejected"],
        undecided=counts["undecided"],
        lost=counts["lost"],
    )


def sum_machine_seconds(
    events: Iterable[MachineEvent], end_ms: int
) -> dict[str, float]:
    """Return for each pool the time that its machines spent in it until `end_ms`.

    A machine belongs to its new pool from the order on, and the standby pool is left
    out, since its machines cost nothing.
    """
    milliseconds: Counter[str] = Counter()
    since: dict[str, tuple[str, int]] = {}
    for event in events:
        pool, at_ms = since.get(event.machine, (event.pool, event.at_ms))
        milliseconds[pool] += event.at_ms - at_ms
        since[event.machine] = event.pool, event.at_ms
    for pool, at_ms in since.values():
        milliseconds[pool] += end_ms - at_ms
    return {
        pool: total / 1_000
        for pool, total in sorted(milliseconds.items())
        if pool != STANDBY_POOL
    }


def count_moves(events: Iterable[MachineEvent]) -> int:
    """Return how often a machine came to another pool than it served before.

    A move to the standby pool and back to the same pool is none.
    """
    served: dict[str, str] = {}
    moves = 0
    for event in events:
        if event.pool != STANDBY_POOL:
            moves += served.get(event.machine, event.pool) != event.pool
            served[event.machine] = event.pool
    return moves


def most_in_maintenance(events: Iterable[MachineEvent]) -> int:
    """Return the largest number of machines in maintenance at a time."""
    periods = [
        (event.at_ms, event.up_ms)
        for event in events
        if event.kind == MAINTENANCE_ORDER
    ]
    return max(
        (
            sum(begin_ms <= at_ms < end_ms for begin_ms, end_ms in periods)
            for at_ms, _ in periods
        ),
        default=0,
    )


def longest_standstill_ms(
    caller_events: Iterable[CallerEvent], runs: Sequence[RunEvent], since_ms: int
) -> int:
    """Return the longest time from `since_ms` on without a run of an open job.

    It counts jobs that were accepted before `since_ms`, until their callers learn that
    they succeeded, or until the last event of all if they do not.
    """
    accepted: set[str] = set()
    succeeded_ms: dict[str, int] = {}
    last_ms = since_ms
    for event in caller_events:
        last_ms = max(last_ms, event.at_ms)
        if event.kind is EventKind.ACCEPTED and event.at_ms < since_ms:
            accepted.add(event.job_id)
        if event.kind is EventKind.SUCCEEDED:
            succeeded_ms.setdefault(event.job_id, event.at_ms)
    by_job: dict[str, list[RunEvent]] = {job_id: [] for job_id in accepted}
    for run in runs:
        if (job_runs := by_job.get(run.task.partition(".")[0])) is not None:
            job_runs.append(run)
    return max(
        (
            _longest_gap_ms(job_runs, since_ms, succeeded_ms.get(job, last_ms))
            for job, job_runs in by_job.items()
        ),
        default=0,
    )


def _longest_gap_ms(runs: Sequence[RunEvent], since_ms: int, until_ms: int) -> int:
    """Return the longest time after `since_ms` in which none of `runs` is under way.

    The time after the last run counts if it lasts until `until_ms`.
    """
    running = longest_ms = 0
    idle_since_ms = since_ms
    for run in runs:
        if run.kind == "start":
            if not running:
                longest_ms = max(longest_ms, run.at_ms - idle_since_ms)
            running += 1
        elif run.kind in _RUN_ENDS:
            running -= 1
            idle_since_ms = max(run.at_ms, since_ms)
    return longest_ms if running else max(longest_ms, until_ms - idle_since_ms)
