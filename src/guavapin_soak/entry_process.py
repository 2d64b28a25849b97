"""The process of an entry host on the loopback address, with its own settings."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.cancel_checks import STOP_TIMEOUT_MS
from guavapin_standins.ports import free_ports
from guavapin_standins.resident_executor import MAX_LEASE_MS

if TYPE_CHECKING:
    from collections.abc import Container
    from pathlib import Path


# A process is killed this long after SIGTERM, as the platform does.
STOP_GRACE_S = 6.0


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Ports of an entry host's listeners, and the port of its link to the platform."""

    front: int
    ready: int
    peer: int
    metrics: int
    platform: int


def entry_ports(platform: int) -> EntryPorts:
    """Return free ports for an entry host that calls the platform at `platform`."""
    front, ready, peer, metrics = free_ports(4)
    return EntryPorts(front, ready, peer, metrics, platform)


def settings_text(
    name: str, ports: EntryPorts, more: str = "", max_lease_ms: int = MAX_LEASE_MS
) -> str:
    """Return the text of the settings file of an entry host, and `more` lines."""
    return (
        f"node={name}\nip=127.0.0.1\nzone=z\n"
        f"listen.front=127.0.0.1:{ports.front}\n"
        f"listen.ready=127.0.0.1:{ports.ready}\n"
        f"port-range={ports.peer},{ports.peer}\n"
        f"platform.address=127.0.0.1:{ports.platform}\n"
        f"cloud.address=127.0.0.1:{ports.platform}\n"
        "platform.writes-per-s=400\nplatform.reads-per-s=2000\n"
        f"bounds.grace-s=6\nbounds.max-hold-ms={max_lease_ms}\n"
        f"bounds.stop-timeout-ms={STOP_TIMEOUT_MS}\n"
        "bounds.status_s=120\nbounds.migrate-s=0.3\nbounds.maintenance-s=0.3\n"
        f"{more}"
    )


def is_own_end(code: int | None, signals: Container[signal.Signals]) -> bool:
    """Whether a process ended with `code` for another reason than these signals.

    A process that handles SIGTERM exits with 0. A signal that arrives before its
    handler is installed ends the process as well.
    """
    if code is None or (code == 0 and signal.SIGTERM in signals):
        return False
    return code >= 0 or signal.Signals(-code) not in signals


class EntryProcess:
    """Starts, signals and ends the process of one entry host by its process id."""

    def __init__(
        self,
        folder: Path,
        name: str,
        ports: EntryPorts,
        more_settings: str = "",
        max_lease_ms: int = MAX_LEASE_MS,
    ) -> None:
        self.name = name
        self.ports = ports
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            settings_text(name, ports, more_settings, max_lease_ms)
        )
        self._signals: set[signal.Signals] = set()
        self._own_ends: list[str] = []
        self.process = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process has not ended."""
        if self.is_running:
            self._signals.add(number)
            self.process.send_signal(number)

    def recover(self) -> None:
        """Start the process again if it has ended or is stopping.

        A process that got SIGTERM serves until its grace ends; its end is awaited.
        """
        is_stopping = signal.SIGTERM in self._signals
        if is_stopping and self.is_running:
            with suppress(subprocess.TimeoutExpired):
                self.process.wait(STOP_GRACE_S)
        if is_stopping or not self.is_running:
            self.restart()

    def restart(self) -> None:
        """Kill the process if it runs, and start it again."""
        self.end()
        self._signals = set()
        self.process = self._start()

    def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        self._own_ends = self.own_ends()
        self.signal(signal.SIGKILL)
        self.process.wait()

    def own_ends(self) -> list[str]:
        """Return a sentence for each end of the process without a signal."""
        code = self.process.poll()
        if not is_own_end(code, self._signals):
            return self._own_ends
        return [*self._own_ends, f"{self.name}: ended by itself with code {code}"]

    def _start(self) -> subprocess.Popen[bytes]:
        arguments = ["-m", "guavapin.daemons.resident"]
        arguments += ["--metrics-port", str(self.ports.metrics)]
        with self.log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                env={**os.environ, "GUAVAPIN_SETTINGS": str(self._settings)},
                stdout=out,
                stderr=subprocess.STDOUT,
            )
