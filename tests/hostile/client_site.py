"""Processes under test with lowered limits, and the platform that they call."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin_soak.entry_process import EntryProcess
from guavapin_soak.entry_process import entry_ports
from guavapin_standins.ports import free_ports
from guavapin_standins.resident_platform import PutItem
from guavapin_standins.resident_platform import ResidentPlatformTask
from guavapin_standins.resident_platform import StandInPool

if TYPE_CHECKING:
    from pathlib import Path

# A process without load has 39 to 43 MB.
MEMORY_MB = 64
MAX_FDS = 128
# A process of guavapin-entry without load has at most 64 MB; its budget for callers is
# added to this.
ENTRY_BODIES_BYTES = 16 * 1024 * 1024
ENTRY_MEMORY_MB = 80
ENTRY_CALLERS = 64

MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "prefix": "/q/",
            "service": "pool",
            "attempts": 3,
            "stretch": 1.6,
            "latency-slo-ms": 600,
        }
    ],
    "services": [{"name": "pool"}],
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 262_144,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
}

# A wait that lasts longer fails its test; no test checks a time.
WAIT_S = 30.0

ENTRY_SETTINGS = """
[node]
name = "e0"
zone = "east"
seat = 0
log_level = "error"
[operators]
address = "127.0.0.1:{operators}"
token_file = "{tokens}"
[platform]
address = "127.0.0.1:{platform}"
[callers]
address = "127.0.0.1:{callers}"
[peers]
address = "127.0.0.1:{peers}"
[limits]
callers = {limit}
buffered_bytes = {bodies}
"""


def status_of(port: int, path: str) -> int:
    """Return the status of the answer to one ordinary request, 0 without one."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        conn.request("GET", path, headers={"Host": "jobs.example"})
        answer = conn.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()
    return answer.status


def await_answer(port: int, path: str) -> bool:
    """Repeat an ordinary request until it is served; returns whether it was."""
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        if status_of(port, path) == 200:
            return True
        time.sleep(0.05)
    return False


class ClientSite:
    """Stand-in of the platform; starts one process under test at a time."""

    def __init__(self) -> None:
        (self._port,) = free_ports(1)
        self._kernel = Kernel(SystemClock())
        platform = ResidentPlatformTask(
            (StandInPool("pool", 4, 300),), (f"127.0.0.1:{self._port}",)
        )
        cfg = FrontConfig(port=self._port, health_path="", ready_path="")
        self._kernel.register(platform)
        self._kernel.register(FrontTask(cfg, "platform_front", platform.name))
        assert str(self._kernel.start()).startswith("Ok")
        item = PutItem("op/config", json.dumps(MANIFEST).encode())
        self._kernel.ask("resident_platform", item).result(5)

    def start(self, folder: Path) -> LimitedResident:
        """Start an entry host and wait until it answers callers."""
        resident = LimitedResident(folder, "e0", entry_ports(self._port))
        if not await_answer(resident.ports.front, "/q/"):
            resident.end()
            raise AssertionError("the entry host does not answer")
        return resident

    def stop(self) -> None:
        """Stop the stand-in."""
        self._kernel.stop()


class LimitedResident(EntryProcess):
    """Process of an entry host whose settings have lowered limits."""

    @property
    def pid(self) -> int:
        return self.process.pid

    def _start(self) -> subprocess.Popen[bytes]:
        with self._settings.open("a") as settings:
            settings.write(f"limits.memory-mb={MEMORY_MB}\n")
            settings.write(f"limits.max-fds={MAX_FDS}\n")
        return super()._start()


class LimitedEntry:
    """Process of `guavapin-entry` with lowered limits, without a publication."""

    def __init__(self, folder: Path) -> None:
        names = ("operators", "platform", "callers", "peers")
        ports = dict(zip(names, free_ports(4), strict=True))
        tokens = folder / "tokens"
        tokens.write_text("ana test-operator-token\n")
        settings = folder / "entry.toml"
        settings.write_text(
            ENTRY_SETTINGS.format(
                **ports, tokens=tokens, limit=ENTRY_CALLERS, bodies=ENTRY_BODIES_BYTES
            )
        )
        self.callers = ports["callers"]
        arguments = ["-m", "guavapin.daemons.entry", "--settings", str(settings)]
        self.process = subprocess.Popen([sys.executable, *arguments])
        if not await_answer(self.callers, "/healthz"):
            self.end()
            raise AssertionError("the process does not answer")

    @property
    def pid(self) -> int:
        return self.process.pid

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()
