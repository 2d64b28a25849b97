"""One run of the soak with executors as processes: work, faults, then the judge."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.executor_deployment import ExecutorDeployment
from guavapin_soak.executor_host import count_kinds
from guavapin_soak.executor_plan import ExecutorFaultKind
from guavapin_soak.executor_plan import plan_executors
from guavapin_soak.idle_restart import IdleRestart
from guavapin_soak.idle_restart import choose_idle
from guavapin_soak.long_work import LongWorkCaller
from guavapin_soak.run_overlaps import events_around
from guavapin_soak.run_overlaps import find_overlaps
from guavapin_standins.executor_process import monotonic_ms

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_soak.executor_plan import ExecutorPlan
    from guavapin_soak.run_overlaps import LifeEvent
    from guavapin_soak.run_overlaps import Overlap

# Enough executors for the work while a few are cut off, so that a lost run can start
# again at once. The others are full.
EXECUTORS = 10

# Time in which the processes start and the work is submitted, before the faults.
STARTUP_MS = 6_000

# Time after the last new fault in which runs are still watched: a lease and more.
WATCHED_MS = 8_000

TICK_S = 0.02

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


def run_executors(
    seed: int, length_ms: int, hosts: int, folder: Path
) -> ExecutorResult:
    """Run one seed; write process logs, and events on failure, to `folder`."""
    plan = plan_executors(seed, length_ms, EXECUTORS, hosts)
    deployment = ExecutorDeployment(folder, hosts, plan)
    try:
        ports = [entry.ports.front for entry in deployment.entries]
        caller, bursts = (LongWorkCaller(seed, number, ports) for number in (1, 2))
        stop = threading.Event()
        with ThreadPoolExecutor(2) as executor:
            futs = [
                executor.submit(caller.run, stop),
                executor.submit(bursts.run_bursts, stop),
            ]
            try:
                _apply(deployment, plan, length_ms, bursts)
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
    found = (*(_sentence(row, still) for row in overlaps), *own_ends)
    if found:
        _write_events(folder, plan, events, overlaps)
    return ExecutorResult(
        seed,
        plan,
        caller.accepted + bursts.accepted,
        dict(count_kinds(events)),
        tuple(found),
    )


def _apply(
    deployment: ExecutorDeployment,
    plan: ExecutorPlan,
    length_ms: int,
    bursts: LongWorkCaller,
) -> None:
    """Apply each step at its time, and renew the entries of executors meanwhile."""
    idle_kind = ExecutorFaultKind.RESTART_IDLE
    at_idle = [fault for fault in plan.faults if fault.kind is idle_kind]
    # Steps of one fault that are due at the same time keep their order.
    waiting = sorted(
        (
            step
            for fault in plan.faults
            if fault.kind is not idle_kind
            for step in deployment.steps(fault)
        ),
        key=lambda step: step.at_ms,
    )
    restarts: list[IdleRestart] = []
    began_ms = monotonic_ms() + STARTUP_MS
    pause = threading.Event()
    while (now_ms := monotonic_ms()) < began_ms + length_ms + WATCHED_MS:
        while waiting and began_ms + waiting[0].at_ms <= now_ms:
            waiting.pop(0).apply()
        while at_idle and began_ms + at_idle[0].at_ms <= now_ms:
            fault = at_idle.pop(0)
            hosts = deployment.executors
            restarts += [
                IdleRestart(host, fault, bursts.request_burst, now_ms)
                for host in choose_idle(hosts, fault.targets, fault.count, now_ms)
            ]
        for restart in restarts:
            restart.tick(now_ms)
        restarts = [restart for restart in restarts if not restart.is_over]
        deployment.renew_entries()
        pause.wait(TICK_S)


def _sentence(overlap: Overlap, still_clocks: set[str]) -> str:
    """Return the sentence of an overlap; it names clocks that have stood still."""
    hosts = {overlap.first.executor, overlap.second.executor} & still_clocks
    names = ", ".join(sorted(hosts))
    note = f"; the clock of {names} stands still while suspended" if names else ""
    return overlap.describe() + note


def _write_events(
    folder: Path, plan: ExecutorPlan, events: list[LifeEvent], overlaps: list[Overlap]
) -> None:
    lines = [str(row) for row in (*plan.clocks, *plan.faults)]
    for overlap in overlaps:
        lines += ["", overlap.describe()]
        lines += map(str, events_around(overlap, events, REPORTED_MS))
    lines += ["", "all events"]
    lines += map(str, sorted(events, key=lambda event: event.at_ms))
    (folder / "events.txt").write_text("\n".join(lines))
