"""One run of the soak with executors as processes: work, faults, then the judge."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.executor_deployment import ExecutorDeployment
from guavapin_soak.executor_host import count_kinds
from guavapin_soak.executor_plan import plan_executors
from guavapin_soak.fault_schedule import FaultSchedule
from guavapin_soak.long_work import OPEN_JOBS
from guavapin_soak.long_work import LongWorkCaller
from guavapin_soak.run_overlaps import actions_before
from guavapin_soak.run_overlaps import events_around
from guavapin_soak.run_overlaps import find_overlaps
from guavapin_soak.service_plan import plan_service_changes
from guavapin_soak.succession_plan import SuccessionPlan
from guavapin_soak.succession_plan import plan_other_faults
from guavapin_soak.succession_plan import plan_successions
from guavapin_standins.executor_process import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from guavapin_soak.executor_plan import ExecutorPlan
    from guavapin_soak.run_overlaps import LifeEvent
    from guavapin_soak.run_overlaps import Overlap
    from guavapin_soak.succession_plan import SuccessionFault

# Enough executors for the work while a few are cut off, so that a lost run can start
# again at once. The others are full.
EXECUTORS = 10

# Time in which the processes start and the work is submitted, before the faults.
STARTUP_MS = 6_000

# Time after the last new fault in which runs are still watched: a lease and more.
WATCHED_MS = 8_000

TICK_S = 0.02

# Time before a second run for which the sentence about it names what was done.
ACTIONS_MS = 6_000

# Open jobs beside next lives under other ids. They leave three executors' room, for the
# runs that are lost with those.
SUCCESSION_JOBS = 5

# Open jobs beside changes of the service, so that each service has room for what is
# lost on the other one.
SERVICE_JOBS = 1

# Time before an overlap from which its report has the events of both executors.
REPORTED_MS = 25_000


@dataclass(frozen=True, slots=True)
class ExecutorResult:
    """Result of a run; `violations` is empty if no subtask ran twice at once.

    `kinds` counts the events of executors by kind.
    """

    seed: int
    plan: ExecutorPlan
    accepted: int
    kinds: dict[str, int]
    violations: tuple[str, ...]
    successions: tuple[SuccessionFault, ...] = ()
    service_changes: int = 0


def run_executors(
    seed: int,
    length_ms: int,
    hosts: int,
    folder: Path,
    has_successions: bool = False,
    has_service_changes: bool = False,
) -> ExecutorResult:
    """Run one seed; write process logs, and events on failure, to `folder`.

    With `has_successions`, executors also come back under other ids. With
    `has_service_changes`, the route changes between two services.
    """
    if has_successions:
        plan = plan_other_faults(seed, length_ms, EXECUTORS, hosts)
        successions = plan_successions(seed, length_ms, EXECUTORS)
    else:
        plan = plan_executors(seed, length_ms, EXECUTORS, hosts)
        successions = SuccessionPlan()
    changes_ms: tuple[int, ...] = ()
    if has_service_changes:
        changes_ms = plan_service_changes(seed, length_ms)
    deployment = ExecutorDeployment(folder, hosts, plan, has_service_changes)
    try:
        ports = [entry.ports.front for entry in deployment.entries]
        open_jobs = SUCCESSION_JOBS if has_successions else OPEN_JOBS
        if has_service_changes:
            open_jobs = SERVICE_JOBS
        caller = LongWorkCaller(seed, 1, ports, open_jobs)
        bursts = LongWorkCaller(seed, 2, ports)
        stop = threading.Event()
        with ThreadPoolExecutor(2) as executor:
            futs = [
                executor.submit(caller.run, stop),
                executor.submit(bursts.run_bursts, stop),
            ]
            try:
                schedule = FaultSchedule(
                    deployment, plan, successions, bursts, changes_ms
                )
                _play(deployment, schedule, length_ms)
            finally:
                stop.set()
            for fut in futs:
                fut.result()
        end_ms = monotonic_ms()
        events = [event for event in deployment.events() if event.at_ms <= end_ms]
        own_ends = deployment.own_ends()
    finally:
        deployment.stop()
    overlaps = find_overlaps(events, end_ms)
    suspended = {event.executor for event in events if event.kind == "suspended"}
    still = {
        executor_id
        for number, row in enumerate(plan.clocks)
        if row.stands_still and (executor_id := f"i-{number}") in suspended
    }
    found = (*(_sentence(row, events, still) for row in overlaps), *own_ends)
    if found:
        faults = (*plan.clocks, *plan.faults, *successions.faults)
        _write_events(folder, faults, events, overlaps)
    return ExecutorResult(
        seed,
        plan,
        caller.accepted + bursts.accepted,
        dict(count_kinds(events)),
        tuple(found),
        successions.faults,
        len(changes_ms),
    )


def _play(
    deployment: ExecutorDeployment, schedule: FaultSchedule, length_ms: int
) -> None:
    """Apply each fault at its time, and renew the entries of executors meanwhile."""
    began_ms = monotonic_ms() + STARTUP_MS
    pause = threading.Event()
    while (now_ms := monotonic_ms()) < began_ms + length_ms + WATCHED_MS:
        schedule.tick(began_ms, now_ms)
        deployment.renew_entries()
        pause.wait(TICK_S)


def _sentence(overlap: Overlap, events: list[LifeEvent], still_clocks: set[str]) -> str:
    """Return the sentence of an overlap, what was done before, and still clocks."""
    hosts = {overlap.first.executor, overlap.second.executor} & still_clocks
    names = ", ".join(sorted(hosts))
    note = f"; the clock of {names} stands still while suspended" if names else ""
    before = actions_before(overlap, events, ACTIONS_MS)
    return f"{overlap.describe()}{note}; before: {before}"


def _write_events(
    folder: Path,
    plan: Iterable[object],
    events: list[LifeEvent],
    overlaps: list[Overlap],
) -> None:
    lines = [str(row) for row in plan]
    for overlap in overlaps:
        lines += ["", overlap.describe()]
        lines += map(str, events_around(overlap, events, REPORTED_MS))
    lines += ["", "all events"]
    lines += map(str, sorted(events, key=lambda event: event.at_ms))
    (folder / "events.txt").write_text("\n".join(lines))
