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

from guavapin_soak.former_life import FormerLife
from guavapin_soak.proxy import LinkMode
from guavapin_soak.run_overlaps import LifeEvent
from guavapin_standins.executor_process import STOP_LINE
from guavapin_standins.executor_process import monotonic_ms
from guavapin_standins.ports import free_ports
from guavapin_standins.process_platform import ListedMachine
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
    """What a host is: first id and port, folder, longest lease, clock and service."""

    executor_id: str
    port: int
    folder: Path
    max_lease_ms: int
    traits: ClockTraits
    service: str = SERVICE


@dataclass(frozen=True, slots=True)
class Registry:
    """Writes and removes entries of the registry."""

    put: Callable[[str, bytes], object]
    remove: Callable[[str], object]


@dataclass(frozen=True, slots=True)
class HostControls:
    """Changes a host's link and the list of machines, and counts delayed starts."""

    set_link: Callable[[LinkMode], object]
    set_target: Callable[[int], object]
    count_starts: Callable[[], int]
    list_machine: Callable[[ListedMachine], object]


class ExecutorHost:
    """Starts, signals and ends the executors of one machine by their process ids.

    The machine has one executor at a time, at whose `address`, that of the link,
    schedulers connect. Only the thread that injects faults calls the methods.
    """

    def __init__(
        self,
        setup: HostSetup,
        address: str,
        controls: HostControls,
        registry: Registry,
    ) -> None:
        self.executor_id = setup.executor_id
        self.machine = f"m-{setup.executor_id}"
        self.own_events: list[LifeEvent] = []
        self._setup = setup
        self._address = address
        self._controls = controls
        self._registry = registry
        self._ids = [setup.executor_id]
        self._port = setup.port
        self._formers: list[FormerLife] = []
        # Time until which the registry keeps the entry of a former life.
        self._former_entries: dict[str, int] = {}
        self._link_modes: list[LinkMode] = []
        self._store_cuts = 0
        self._stops = 0
        self._last_entry = ""
        self._renewed_ms = 0
        self._register_from_ms = 0
        self._is_registered = False
        self.process = self._start(setup.traits.first_ms)

    @property
    def is_up(self) -> bool:
        """Whether the process is up and not suspended."""
        return self.process.poll() is None and not self._stops

    @property
    def is_reachable(self) -> bool:
        """Whether the process is up and no fault of a link or a suspension is on."""
        return self.is_up and not self._link_modes

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

    def begin_stop(self) -> bool:
        """Let the executor stop; return False if it is not up."""
        if not self.is_up or self.process.stdin is None:
            return False
        self.process.stdin.write(f"{STOP_LINE}\n".encode())
        self.process.stdin.flush()
        self._note("told to stop")
        return True

    def start_successor(self, lag_ms: int, is_entry_kept: bool) -> FormerLife:
        """Start the next life, which has another id, at the same address.

        It registers after `lag_ms`; the entry of the former one is removed now, or when
        it has not been renewed in time. New connections lead to the next life.
        """
        former = FormerLife(self.executor_id, self.process)
        self._formers.append(former)
        if self._is_registered:
            until_ms = self._renewed_ms + ENTRY_TIMEOUT_MS if is_entry_kept else 0
            self._former_entries[self.executor_id] = until_ms
        self._is_registered = False
        self._last_entry = ""
        self._stops = 0
        self.executor_id = f"{self._ids[0]}-{len(self._ids)}"
        self._ids.append(self.executor_id)
        (self._port,) = free_ports(1)
        self._controls.set_target(self._port)
        self._note("succeeds", former.executor_id)
        self.process = self._start(0)
        self._register_from_ms = monotonic_ms() + lag_ms
        return former

    def end_former(self, former: FormerLife) -> None:
        """End the process of a former life."""
        self._formers.remove(former)
        former.end()
        self._note("killed", executor_id=former.executor_id)
        self._note("former life ended", former.executor_id)

    def end_all(self) -> None:
        """End the processes of all lives."""
        self.kill()
        for former in [*self._formers]:
            self.end_former(former)

    def signal_former(self, former: FormerLife, number: signal.Signals) -> None:
        """Suspend or wake the process of a former life."""
        former.signal(number)
        self._note("former life signalled", f"{former.executor_id} {number.name}")

    def count_delayed_starts(self) -> int:
        """Return how many starts the link has delayed so far."""
        return self._controls.count_starts()

    def list_as(self, state: str, executor_id: str, is_left_out: bool = False) -> None:
        """Change what the list of machines shows of this machine."""
        row = ListedMachine(
            self.machine, state, executor_id, is_left_out, self._setup.service
        )
        self._controls.list_machine(row)
        shown = "left out" if is_left_out else f"{state} {executor_id}"
        self._note("listed", shown.strip())

    def drop_entry(self, for_ms: int) -> None:
        """Remove the entry, which is written again after `for_ms`."""
        self._register_from_ms = max(self._register_from_ms, monotonic_ms() + for_ms)
        if self._is_registered:
            self._is_registered = False
            self._registry.remove(f"servers/{self.executor_id}")
            self._note("entry removed", f"for {for_ms} ms")

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
        for former_id, until_ms in [*self._former_entries.items()]:
            if now_ms > until_ms:
                del self._former_entries[former_id]
                self._registry.remove(f"servers/{former_id}")
        key = f"servers/{self.executor_id}"
        path = self._setup.folder / f"{self.executor_id}.entry"
        text = last_line(path.read_text()) if path.exists() else ""
        is_due = now_ms >= self._register_from_ms and not self._store_cuts
        if self.is_up and is_due and text != self._last_entry:
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
        lives = [row for executor_id in self._ids for row in self._read(executor_id)]
        return [*lives, *self.own_events]

    def count_written(self, kind: str) -> int:
        """Return how many events of a kind the present executor has written."""
        path = self._setup.folder / f"{self.executor_id}.life"
        text = path.read_text() if path.exists() else ""
        return text.count(f'"kind": "{kind}"')

    def _read(self, executor_id: str) -> list[LifeEvent]:
        path = self._setup.folder / f"{executor_id}.life"
        rows = [] if not path.exists() else path.read_text().splitlines()
        return [_read_event(executor_id, row) for row in rows if row.endswith("}")]

    def _complete_entry(self, written: dict[str, Any]) -> bytes:
        entry = {
            "service": self._setup.service,
            "address": self._address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": MACHINE_CAPACITY,
            "labels": ["a", f"r-{self._setup.executor_id}"],
            **written,
        }
        return json.dumps(entry).encode()

    def _apply_link(self) -> None:
        mode = self._link_modes[-1] if self._link_modes else LinkMode.OPEN
        self._controls.set_link(mode)
        self._note("link", mode.value)

    def _note(self, kind: str, detail: str = "", executor_id: str = "") -> None:
        name = executor_id or self.executor_id
        self.own_events.append(LifeEvent(monotonic_ms(), name, kind, "", detail))

    def _start(self, first_clock_ms: int) -> subprocess.Popen[bytes]:
        setup = self._setup
        arguments = ["--id", self.executor_id, "--service", setup.service]
        arguments += ["--port", str(self._port), "--folder", str(setup.folder)]
        arguments += ["--max-lease-ms", str(setup.max_lease_ms)]
        arguments += ["--first-clock-ms", str(first_clock_ms)]
        arguments += ["--slow-share", str(setup.traits.slow_share)]
        if setup.traits.stands_still:
            arguments.append("--stands-still")
        with (setup.folder / f"{self.executor_id}.log").open("ab") as out:
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
    attempt = row.pop("attempt", 0)
    return LifeEvent(at_ms, executor_id, kind, task, json.dumps(row), attempt)
