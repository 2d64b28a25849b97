"""An address at which servers of a run listen, one after another."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from guavapin_soak.call_checks import ServerEvent
from guavapin_soak.call_plan import CallFaultKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


class _ServerProcess:
    def __init__(self, target: int, number: int, arguments: list[str], file: Path):
        self.server = f"s-{target}-{number}"
        self._target = target
        self._stops = 0
        self._own_events: list[ServerEvent] = []
        self._file = file
        program = [sys.executable, "-m", "guavapin_soak.call_server"]
        program += ["--server", self.server, "--file", str(file), *arguments]
        self._process = subprocess.Popen(program, stdin=subprocess.PIPE)

    def tell(self, command: dict[str, object]) -> None:
        """Send a command; a process that was killed gets none."""
        if self._process.poll() is None and self._process.stdin is not None:
            self._process.stdin.write(json.dumps(command).encode() + b"\n")
            self._process.stdin.flush()

    def suspend(self) -> None:
        """Suspend the process until as many calls of `wake`."""
        self._stops += 1
        if self._stops == 1 and self._process.poll() is None:
            self._process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Wake the process unless another fault keeps it suspended."""
        self._stops -= 1
        if not self._stops and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process; a suspended one as well."""
        if self._process.poll() is None:
            at_us = time.monotonic_ns() // 1_000
            event = ServerEvent(at_us, self.server, self._target, "killed")
            self._own_events.append(event)
            self._process.kill()
            self._process.wait()

    def finish(self, timeout_s: float) -> None:
        """End the standard input and wait for the process, which raises if it fails."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        was_killed = bool(self._own_events)
        code = self._process.wait(timeout_s)
        if code and not was_killed:
            raise RuntimeError(f"{self.server} ended with status {code}")

    def events(self) -> list[ServerEvent]:
        """Return what the process has written, and its kill."""
        text = self._file.read_text() if self._file.exists() else ""
        # A process that was killed may have written part of a line.
        rows = [json.loads(line) for line in text.splitlines() if line.endswith("}")]
        written = [
            ServerEvent(row["at"], self.server, self._target, row["kind"], row["call"])
            for row in rows
        ]
        return [*written, *self._own_events]


class CallSite:
    """Starts, signals and ends the servers at one address by their process ids."""

    def __init__(self, target: int, port: int, seed: int, folder: Path) -> None:
        self.address = f"127.0.0.1:{port}"
        self._target = target
        self._port = port
        self._seed = seed
        self._folder = folder
        self._processes: list[_ServerProcess] = []
        self._start()

    @property
    def is_listening(self) -> bool:
        """Whether the present server has begun to listen."""
        kinds = [event.kind for event in self._processes[-1].events()]
        return "listening" in kinds

    def begin(self, kind: CallFaultKind) -> Callable[[], None]:
        """Begin a fault; return the function that ends it.

        It ends on the process on which it began, which may have a successor by then.
        """
        process = self._processes[-1]
        if kind is CallFaultKind.SUSPEND:
            process.suspend()
            return process.wake
        if kind is CallFaultKind.KILL:
            process.kill()
            return self._start
        if kind is CallFaultKind.SUCCEED:
            # The successor listens as soon as the port is free.
            self._start()
            return lambda: process.tell({"close": True})
        process.tell({"trouble": kind.name, "on": True})
        return lambda: process.tell({"trouble": kind.name, "on": False})

    def events(self) -> list[ServerEvent]:
        """Return the events of all servers."""
        return [event for process in self._processes for event in process.events()]

    def finish(self, timeout_s: float) -> None:
        """End the servers in order."""
        for process in self._processes:
            process.finish(timeout_s)

    def kill(self) -> None:
        """Kill the servers that still run."""
        for process in self._processes:
            process.kill()

    def _start(self) -> None:
        number = len(self._processes)
        arguments = ["--port", str(self._port)]
        arguments += ["--seed", f"{self._seed}.{self._target}.{number}"]
        file = self._folder / f"server-{self._target}-{number}.events"
        process = _ServerProcess(self._target, number, arguments, file)
        self._processes.append(process)
