"""An executor's process, its link, and its entry in the registry."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin_soak.proxy import LinkMode
from guavapin_soak.run_overlaps import LifeEvent
from guavapin_standins.executor_process import monotonic_ms
from guavapin_standins.resident_platform import MACHINE_CAPACITY

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from guavapin_standins.executor_clock import ClockTraits

SERVICE = "pool"

# The registry drops an entry that has not been renewed for three intervals of 500 ms.
ENTRY_TIMEOUT_MS = 1_500


@dataclass(frozen=True, slots=True)
class HostSetup:
    """What a host is: its id, its port, its folder, its longest lease, its clock."""

    executor_id: str
    port: int
    folder: Path
    max_lease_ms: int
    traits: ClockTraits


@dataclass(frozen=True, slots=True)
class Registry:
    """Writes and removes entries of the registry."""

    put: Callable[[str, bytes], object]
    remove: Callable[[str], object]


class ExecutorHost:
    """Starts, signals and ends one executor by its process id.

    `set_link` changes the mode of its link, to whose `address` schedulers connect.
    Only the thread that injects faults calls the methods.
    """

    def __init__(
        self,
        setup: HostSetup,
        address: str,
        set_link: Callable[[LinkMode], object],
        registry: Registry,
    ) -> None:
        self.executor_id = setup.executor_id
        self.own_events: list[LifeEvent] = []
        self._setup = setup
        self._address = address
        self._set_link = set_link
        self._registry = registry
        self._link_modes: list[LinkMode] = []
        self._store_cuts = 0
        self._stops = 0
        self._last_entry = ""
        self._renewed_ms = 0
        self._register_from_ms = 0
        self._is_registered = False
        self.process = self._start(setup.traits.first_ms)

    @property
    def is_reachable(self) -> bool:
        """Whether the process is up and no fault of a link or a suspension is on."""
        is_up = self.process.poll() is None
        return is_up and not self._stops and not self._link_modes

    def kill(self) -> None:
        """Kill the process; a suspended one as well."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            # Only now, as a run may have started until the process has ended.
            self._note("killed")
        if self.process.stdin is not None:
            self.process.stdin.close()
        self._stops = 0

    def start_again(self, lag_ms: int) -> None:
        """Start a new life under the same id, which registers after `lag_ms`."""
        if self.process.poll() is not None:
            self.process = self._start(0)
            self._register_from_ms = monotonic_ms() + lag_ms

    def suspend(self) -> None:
        """Suspend the process until as many calls of `wake`."""
        if self.process.poll() is None:
            self._stops += 1
            if self._stops == 1:
                self._note("suspended")
                self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Wake the process unless another fault keeps it suspended."""
        if self.process.poll() is None and self._stops:
            self._stops -= 1
            if not self._stops:
                self.process.send_signal(signal.SIGCONT)
                self._note("woken")

    def begin_link(self, mode: LinkMode, reaches_store: bool) -> None:
        """Put the link into a mode; the last one that began applies."""
        self._link_modes.append(mode)
        self._store_cuts += not reaches_store
        self._apply_link()

    def end_link(self, mode: LinkMode, reaches_store: bool) -> None:
        """End a mode of the link."""
        self._link_modes.remove(mode)
        self._store_cuts -= not reaches_store
        self._apply_link()

    def renew_entry(self) -> None:
        """Bring the entry that the executor has last written to the registry.

        An entry that is not renewed in time is removed.
        """
        now_ms = monotonic_ms()
        key = f"servers/{self.executor_id}"
        path = self._setup.folder / f"{self.executor_id}.entry"
        is_up = self.process.poll() is None and not self._stops
        text = last_line(path.read_text()) if path.exists() else ""
        is_due = now_ms >= self._register_from_ms and not self._store_cuts
        if is_up and is_due and text != self._last_entry:
            self._last_entry = text
            self._renewed_ms = now_ms
            self._is_registered = True
            self._registry.put(key, self._complete_entry(json.loads(text)))
        elif self._is_registered and now_ms > self._renewed_ms + ENTRY_TIMEOUT_MS:
            self._is_registered = False
            self._registry.remove(key)
            self._note("entry removed")

    def events(self) -> list[LifeEvent]:
        """Return what the executor has written and what was done to it."""
        path = self._setup.folder / f"{self.executor_id}.life"
        rows = [] if not path.exists() else path.read_text().splitlines()
        own = [_read_event(self.executor_id, row) for row in rows if row.endswith("}")]
        return [*own, *self.own_events]

    def _complete_entry(self, written: dict[str, Any]) -> bytes:
        entry = {
            "service": SERVICE,
            "address": self._address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": MACHINE_CAPACITY,
            "labels": ["a", f"r-{self.executor_id}"],
            **written,
        }
        return json.dumps(entry).encode()

    def _apply_link(self) -> None:
        mode = self._link_modes[-1] if self._link_modes else LinkMode.OPEN
        self._set_link(mode)
        self._note("link", mode.value)

    def _note(self, kind: str, detail: str = "") -> None:
        row = LifeEvent(monotonic_ms(), self.executor_id, kind, "", detail)
        self.own_events.append(row)

    def _start(self, first_clock_ms: int) -> subprocess.Popen[bytes]:
        setup = self._setup
        arguments = ["--id", setup.executor_id, "--service", SERVICE]
        arguments += ["--port", str(setup.port), "--folder", str(setup.folder)]
        arguments += ["--max-lease-ms", str(setup.max_lease_ms)]
        arguments += ["--first-clock-ms", str(first_clock_ms)]
        arguments += ["--slow-share", str(setup.traits.slow_share)]
        if setup.traits.stands_still:
            arguments.append("--stands-still")
        with (setup.folder / f"{setup.executor_id}.log").open("ab") as out:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "guavapin_standins.executor_process",
                    *arguments,
                ],
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=subprocess.STDOUT,
            )


def last_line(text: str) -> str:
    """Return the last complete line of a text, "" without one."""
    return text.rpartition("\n")[0].rpartition("\n")[2]


def count_kinds(events: list[LifeEvent]) -> Counter[str]:
    """Return how many events of each kind the executors have had."""
    return Counter(event.kind for event in events)


def _read_event(executor_id: str, text: str) -> LifeEvent:
    row = json.loads(text)
    at_ms, kind, task = row.pop("at"), row.pop("kind"), row.pop("task", "")
    return LifeEvent(at_ms, executor_id, kind, task, json.dumps(row))
