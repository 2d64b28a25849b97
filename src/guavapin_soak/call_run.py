"""One run of calls to servers that misbehave: calls, faults, then the judge."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.http.client import HttpClientTask
from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin_soak.call_checks import describe_outcome
from guavapin_soak.call_checks import find_violations
from guavapin_soak.call_plan import ADDRESSES
from guavapin_soak.call_plan import CallFaultKind
from guavapin_soak.call_plan import plan_calls
from guavapin_soak.call_site import CallSite
from guavapin_soak.calling_task import BeginCalls
from guavapin_soak.calling_task import CallingTask
from guavapin_soak.calling_task import CollectRecords
from guavapin_soak.calling_task import PauseLoop
from guavapin_standins.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from guavapin_soak.call_checks import CallRecord
    from guavapin_soak.call_checks import ServerEvent
    from guavapin_soak.call_plan import CallPlan

# Time after the last fault in which servers read what is left in their sockets. The
# longest delay of a server is 1.5 s; a lost SYN is retransmitted after 1 s.
DRAIN_MS = 3_000

# Processes wait long for a processor on a busy machine.
STARTUP_TIMEOUT_MS = 60_000
STARTUP_POLL_S = 0.05
STOP_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a run; `outcomes` counts the calls, `reads` what servers have read."""

    seed: int
    plan: CallPlan
    outcomes: dict[str, int]
    reads: int
    servers: int
    violations: tuple[str, ...]


def run_calls(seed: int, length_ms: int, folder: Path) -> CallResult:
    """Run one seed; servers write to `folder`, on failure also the judge."""
    plan = plan_calls(seed, length_ms)
    caller = CallingTask()
    kernel = Kernel(SystemClock())
    kernel.register(HttpClientTask())
    kernel.register(caller, requires=("http",))
    ports = free_ports(ADDRESSES)
    sites = [CallSite(target, port, seed, folder) for target, port in enumerate(ports)]
    try:
        _wait_until_listening(sites)
        kernel.start()
        try:
            addresses = tuple(site.address for site in sites)
            kernel.deliver("caller", BeginCalls(plan.calls, addresses))
            _apply(plan, sites, lambda ms: kernel.deliver("caller", PauseLoop(ms)))
            threading.Event().wait(DRAIN_MS / 1_000)
            if kernel.failure is not None:
                raise kernel.failure
            records = kernel.ask("caller", CollectRecords()).result(STOP_TIMEOUT_S)
        finally:
            kernel.stop()
        for site in sites:
            site.finish(STOP_TIMEOUT_S)
        events = [event for site in sites for event in site.events()]
    finally:
        for site in sites:
            site.kill()
    violations = find_violations(records, events)
    if violations:
        _write_events(folder, plan, records, events, violations)
    names = (describe_outcome(row) for call in records for row in call.outcomes)
    reads = sum(event.kind == "read" for event in events)
    servers = len({event.server for event in events})
    return CallResult(seed, plan, Counter(names), reads, servers, violations)


def _wait_until_listening(sites: list[CallSite]) -> None:
    pause = threading.Event()
    until_ms = _now_ms() + STARTUP_TIMEOUT_MS
    while not all(site.is_listening for site in sites):
        if _now_ms() > until_ms:
            raise TimeoutError("a server did not start in time")
        pause.wait(STARTUP_POLL_S)


def _apply(
    plan: CallPlan, sites: list[CallSite], pause_client: Callable[[int], None]
) -> None:
    """Begin and end each fault at its time; return when all have ended."""
    began_ms = _now_ms()
    pause = threading.Event()
    begins = list(plan.faults)
    ends: list[tuple[int, Callable[[], None]]] = []
    last_call_ms = plan.calls[-1].at_ms if plan.calls else 0
    while begins or ends or _now_ms() < began_ms + last_call_ms:
        now_ms = _now_ms() - began_ms
        for at_ms, end in [row for row in ends if row[0] <= now_ms]:
            end()
            ends.remove((at_ms, end))
        while begins and begins[0].at_ms <= now_ms:
            fault = begins.pop(0)
            if fault.kind is CallFaultKind.CLIENT_PAUSED:
                pause_client(fault.for_ms)
            else:
                end = sites[fault.target].begin(fault.kind)
                ends.append((fault.at_ms + fault.for_ms, end))
        due_ms = [fault.at_ms for fault in begins[:1]] + [row[0] for row in ends]
        next_ms = min(due_ms, default=last_call_ms)
        pause.wait(max(began_ms + next_ms - _now_ms(), 1) / 1_000)


def _write_events(
    folder: Path,
    plan: CallPlan,
    records: tuple[CallRecord, ...],
    events: list[ServerEvent],
    violations: tuple[str, ...],
) -> None:
    rows: list[CallRecord | ServerEvent] = [*records, *events]
    rows.sort(key=lambda row: row.at_us)
    lines = [*violations, "", *map(str, plan.faults), "", *map(str, rows)]
    (folder / "events.txt").write_text("\n".join(lines))


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
