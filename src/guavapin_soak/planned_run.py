"""One run of planned work beside callers on open connections, then the checks."""

from __future__ import annotations

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.answer_checks import Exchange
from guavapin_soak.answer_checks import ExchangeEnd
from guavapin_soak.answer_checks import answer_violations
from guavapin_soak.deployment import Deployment
from guavapin_soak.organisations import NAMES
from guavapin_soak.planned_caller import PlannedCaller
from guavapin_soak.planned_host import GRACE_MS
from guavapin_soak.planned_host import PlannedHost
from guavapin_soak.planned_work import MANIFEST_KINDS
from guavapin_soak.planned_work import WorkKind
from guavapin_soak.planned_work import plan_work
from guavapin_soak.run import STARTUP_S

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_soak.planned_work import WorkStep

BUSY_CALLERS = 10
PATIENT_CALLERS = 10
TICK_S = 0.02

# Longest time after the last step until all processes have started again: a process at
# whose start a stop is due stops twice.
SETTLE_MS = 3 * GRACE_MS


@dataclass(frozen=True, slots=True)
class PlannedResult:
    """Result of a run; `ends` counts the requests by their end.

    `excused` counts the requests that were given more time than usual, since their
    process got no processor.
    """

    seed: int
    steps: tuple[WorkStep, ...]
    stops: int
    ends: Counter[ExchangeEnd]
    violations: tuple[str, ...]
    excused: int


def run_planned_work(
    seed: int, length_ms: int, hosts: int, folder: Path
) -> PlannedResult:
    """Run one seed; write process logs, and requests on failure, to `folder`."""
    steps = plan_work(seed, length_ms, hosts)
    deployment = Deployment(folder, hosts)
    now_ms = deployment.clock.now_ms
    try:
        threading.Event().wait(STARTUP_S)
        callers = [
            PlannedCaller(
                number,
                seed,
                deployment.entries,
                now_ms,
                deployment.operator,
                number >= BUSY_CALLERS,
            )
            for number in range(BUSY_CALLERS + PATIENT_CALLERS)
        ]
        planned_hosts = [PlannedHost(row, now_ms()) for row in deployment.entries]
        stop = threading.Event()
        with ThreadPoolExecutor(len(callers)) as executor:
            futs = [executor.submit(caller.run, stop) for caller in callers]
            try:
                _apply(deployment, planned_hosts, steps, length_ms)
            finally:
                stop.set()
            for fut in futs:
                fut.result()
    finally:
        deployment.stop()
    exchanges = [row for caller in callers for row in caller.exchanges]
    found = (
        *answer_violations(exchanges),
        *(text for host in planned_hosts for text in host.violations),
    )
    if found:
        _write_events(folder, steps, exchanges, found)
    stops = sum(host.stop_count for host in planned_hosts)
    ends = Counter(row.end for row in exchanges)
    excused = sum(row.processor_wait_ms > 0 for row in exchanges)
    return PlannedResult(seed, steps, stops, ends, found, excused)


def _apply(
    deployment: Deployment,
    hosts: list[PlannedHost],
    steps: tuple[WorkStep, ...],
    length_ms: int,
) -> None:
    """Apply each step at its time, until all processes have started again."""
    now_ms = deployment.clock.now_ms
    began_ms = now_ms()
    waiting = list(steps)
    pause = threading.Event()
    manifest_count = 0
    while now_ms() < began_ms + length_ms + SETTLE_MS:
        while waiting and began_ms + waiting[0].at_ms <= now_ms():
            step = waiting.pop(0)
            if step.kind in MANIFEST_KINDS:
                manifest_count += 1
                _change_manifest(deployment, step.kind, manifest_count)
            for target in step.targets:
                hosts[target].apply(step, now_ms())
        for host in hosts:
            host.tick(now_ms())
        is_over = not waiting and now_ms() >= began_ms + length_ms
        if is_over and all(host.is_settled for host in hosts):
            return
        pause.wait(TICK_S)


def _change_manifest(deployment: Deployment, kind: WorkKind, count: int) -> None:
    match kind:
        case WorkKind.CHANGE_ROUTES:
            deployment.operator.change_routes(f"/extra-{count}/")
        case WorkKind.CHANGE_LIMITS:
            deployment.operator.change_limits(idle_timeout_ms=500 + 700 * (count % 4))
        case _:
            deployment.operator.replace_key(NAMES[count % len(NAMES)])


def _write_events(
    folder: Path,
    steps: tuple[WorkStep, ...],
    exchanges: list[Exchange],
    found: tuple[str, ...],
) -> None:
    rows = sorted(exchanges, key=lambda row: row.sent_ms)
    (folder / "events.txt").write_text("\n".join(map(str, (*found, *steps, *rows))))
