"""One run of the soak: callers and faults side by side, then the checks."""

from __future__ import annotations

import heapq
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.caller import Caller
from guavapin_soak.checks import JobShape
from guavapin_soak.checks import Word
from guavapin_soak.checks import violations
from guavapin_soak.plan import plan_faults
from guavapin_soak.world import World

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_soak.checks import Heard
    from guavapin_soak.plan import Fault
    from guavapin_standins.resident_executor import RunEvent

SHAPE = JobShape((2, 1))
CALLERS = 4

# Time for the entry processes to start before callers and faults begin.
SETTLE_S = 2.0

# Time after the last fault in which every accepted job has to end: a lease of what runs
# on an executor, 6 s, and a takeover twice over.
PATIENCE_S = 30.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """What a run showed; `violations` is empty if every promise was kept."""

    seed: int
    faults: tuple[Fault, ...]
    accepted: int
    refused: int
    unanswered: int
    violations: tuple[str, ...]


def run_soak(seed: int, length_ms: int, hosts: int, folder: Path) -> RunResult:
    """Play one run; logs of the processes go to `folder`, and its events on failure."""
    faults = plan_faults(seed, length_ms, hosts)
    world = World(folder, hosts)
    try:
        pause = threading.Event()
        pause.wait(SETTLE_S)
        ports = [entry.ports.front for entry in world.entries]
        callers = [
            Caller(number, seed, ports, SHAPE, world.clock.now_ms)
            for number in range(CALLERS)
        ]
        stop = threading.Event()
        with ThreadPoolExecutor(CALLERS) as executor:
            futs = [executor.submit(caller.run, stop) for caller in callers]
            _inject(world, faults, length_ms)
            world.heal()
            stop.set()
            for fut in futs:
                fut.result()
            for fut in [executor.submit(c.finish, PATIENCE_S) for c in callers]:
                fut.result()
        log = world.view().log
    finally:
        world.stop()
    heard = [row for caller in callers for row in caller.heard]
    found = tuple(violations(heard, log, SHAPE))
    if found:
        events: list[Heard | RunEvent] = [*heard, *log]
        lines = [str(row) for row in sorted(events, key=lambda row: row.at_ms)]
        (folder / "events.txt").write_text("\n".join([*map(str, faults), *lines]))
    counts = {word: sum(row.word is word for row in heard) for word in Word}
    return RunResult(
        seed,
        faults,
        counts[Word.ACCEPTED],
        counts[Word.REFUSED],
        counts[Word.UNANSWERED],
        found,
    )


def _inject(world: World, faults: tuple[Fault, ...], length_ms: int) -> None:
    """Begin and end each fault at its time, counted from now."""
    began_ms = world.clock.now_ms()
    # The position keeps the order of what is due at once.
    due = [(fault.at_ms, number, True) for number, fault in enumerate(faults)]
    heapq.heapify(due)
    pause = threading.Event()
    while due:
        at_ms, number, is_begin = heapq.heappop(due)
        fault = faults[number]
        pause.wait(max(began_ms + at_ms - world.clock.now_ms(), 0) / 1_000)
        if is_begin:
            world.begin(fault)
            heapq.heappush(due, (at_ms + fault.for_ms, number, False))
        else:
            world.end(fault)
    pause.wait(max(began_ms + length_ms - world.clock.now_ms(), 0) / 1_000)
