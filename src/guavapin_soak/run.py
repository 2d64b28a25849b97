"""One run of the soak: callers and faults at the same time, then the checks."""

from __future__ import annotations

import heapq
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.caller import LONG_JOBS
from guavapin_soak.caller import SHORT_JOBS
from guavapin_soak.caller import Caller
from guavapin_soak.cancel_checks import CANCEL_MS
from guavapin_soak.cancel_checks import STOP_TIMEOUT_MS
from guavapin_soak.cancel_checks import cancelling_violations
from guavapin_soak.checks import EventKind
from guavapin_soak.checks import JobShape
from guavapin_soak.checks import violations
from guavapin_soak.deployment import Deployment
from guavapin_soak.key_checks import cap_violations
from guavapin_soak.key_checks import key_violations
from guavapin_soak.odd_entries import ODD_ENTRIES
from guavapin_soak.organisations import organisation_of
from guavapin_soak.organisations import plan_key_changes
from guavapin_soak.plan import plan_entries
from guavapin_soak.plan import plan_faults
from guavapin_soak.query_checks import query_violations

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_soak.checks import CallerEvent
    from guavapin_soak.organisations import KeyChange
    from guavapin_soak.plan import Fault
    from guavapin_standins.resident_executor import RunEvent

JOB_SHAPE = JobShape((2, 1))
SHORT_JOB_CALLERS = 4
PROFILES = (SHORT_JOBS,) * SHORT_JOB_CALLERS + (LONG_JOBS,)

# Time after the other faults in which callers go on beside odd entries. The checks of
# cancellings excuse what is near a fault, and faults leave no long gaps between them.
CALM_MS = 9_000

# Time in which the entry processes start, before callers and faults begin.
STARTUP_S = 2.0

# Every accepted job has to end in this time after the last fault. It covers two times
# the lease of a run on an executor, 6 s, and a takeover of the duty.
COMPLETION_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run; `violations` is empty if every promise was kept.

    `stopped` counts the runs at work that a cancelling stopped.
    """

    seed: int
    faults: tuple[Fault, ...]
    accepted: int
    refused: int
    unanswered: int
    stopped: int
    violations: tuple[str, ...]


def run_soak(seed: int, length_ms: int, hosts: int, folder: Path) -> RunResult:
    """Run one seed; write process logs, and events on failure, to `folder`."""
    faults = plan_faults(seed, length_ms, hosts)
    key_changes = plan_key_changes(seed, length_ms + CALM_MS)
    entries = plan_entries(seed, length_ms + CALM_MS, tuple(ODD_ENTRIES))
    deployment = Deployment(folder, hosts)
    try:
        pause = threading.Event()
        pause.wait(STARTUP_S)
        ports = [entry.ports.front for entry in deployment.entries]
        callers = [
            Caller(
                number,
                seed,
                ports,
                JOB_SHAPE,
                deployment.clock.now_ms,
                deployment.operator,
                profile,
            )
            for number, profile in enumerate(PROFILES)
        ]
        stop = threading.Event()
        with ThreadPoolExecutor(len(callers) + 2) as executor:
            futs = [executor.submit(caller.run, stop) for caller in callers]
            entries_fut = executor.submit(
                _inject, deployment, entries, length_ms + CALM_MS
            )
            keys_fut = executor.submit(_change_keys, deployment, key_changes)
            _inject(deployment, faults, length_ms)
            deployment.heal()
            calm_ms = deployment.clock.now_ms()
            entries_fut.result()
            keys_fut.result()
            stop.set()
            for fut in futs:
                fut.result()
            for fut in [
                executor.submit(c.finish, COMPLETION_TIMEOUT_S) for c in callers
            ]:
                fut.result()
        # The last cancellings are judged as well.
        pause.wait((CANCEL_MS + STOP_TIMEOUT_MS) / 1_000)
        end_ms = deployment.clock.now_ms()
        log = deployment.view().log
        own_ends = deployment.own_ends()
    finally:
        deployment.stop()
    caller_events = [row for caller in callers for row in caller.caller_events]
    found = (
        *violations(caller_events, log, JOB_SHAPE),
        *cancelling_violations(caller_events, log, calm_ms, end_ms),
        *query_violations(caller_events, calm_ms),
        *key_violations(
            (call for caller in callers for call in caller.served_calls),
            deployment.operator.removed_ms,
        ),
        *cap_violations(log, _organisation_of_task),
        *own_ends,
    )
    if found:
        events: list[CallerEvent | RunEvent] = [*caller_events, *log]
        lines = [str(row) for row in sorted(events, key=lambda row: row.at_ms)]
        calm = f"only odd entries from {calm_ms} ms, all events until {end_ms} ms"
        rows = [*map(str, (*faults, *entries, *key_changes)), calm, *lines]
        (folder / "events.txt").write_text("\n".join(rows))
    counts = {
        kind: sum(row.kind is kind for row in caller_events) for kind in EventKind
    }
    return RunResult(
        seed,
        faults + entries,
        counts[EventKind.ACCEPTED],
        counts[EventKind.REFUSED],
        counts[EventKind.UNANSWERED],
        sum(event.kind == "stopped" for event in log),
        found,
    )


def _organisation_of_task(task: str) -> str:
    """Return the organisation of a subtask by the number of its caller."""
    return organisation_of(int(task[:4], 16))


def _change_keys(deployment: Deployment, changes: tuple[KeyChange, ...]) -> None:
    """Replace keys at their times, counted from the call."""
    began_ms = deployment.clock.now_ms()
    pause = threading.Event()
    for change in changes:
        pause.wait(max(began_ms + change.at_ms - deployment.clock.now_ms(), 0) / 1_000)
        deployment.operator.replace_key(change.organisation)


def _inject(deployment: Deployment, faults: tuple[Fault, ...], length_ms: int) -> None:
    """Inject and undo each fault at its time, counted from the call."""
    began_ms = deployment.clock.now_ms()
    # The fault's number keeps the order of events that are due at the same time.
    due = [(fault.at_ms, number, True) for number, fault in enumerate(faults)]
    heapq.heapify(due)
    pause = threading.Event()
    while due:
        at_ms, number, is_begin = heapq.heappop(due)
        fault = faults[number]
        pause.wait(max(began_ms + at_ms - deployment.clock.now_ms(), 0) / 1_000)
        if is_begin:
            deployment.begin(fault)
            heapq.heappush(due, (at_ms + fault.for_ms, number, False))
        else:
            deployment.end(fault)
    pause.wait(max(began_ms + length_ms - deployment.clock.now_ms(), 0) / 1_000)
