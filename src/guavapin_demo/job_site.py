"""The platform's stand-in with pools of a site, and entry hosts as processes."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING
from typing import Any

from guavapin.http.client import HttpClientTask
from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Refused
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin_demo.job_callers import JobCallersTask
from guavapin_demo.job_callers import SubmitJobs
from guavapin_demo.job_demand import build_manifest
from guavapin_soak.entry_process import EntryProcess
from guavapin_soak.entry_process import entry_ports
from guavapin_standins.ports import free_ports
from guavapin_standins.resident_platform import STANDBY_POOL
from guavapin_standins.resident_platform import PutItem
from guavapin_standins.resident_platform import QueryPlatform
from guavapin_standins.resident_platform import ResidentPlatformTask
from guavapin_standins.resident_platform import StandInPool
from guavapin_standins.resident_relay import ExecutorRelayTask

if TYPE_CHECKING:
    from concurrent.futures import Future
    from pathlib import Path
    from types import TracebackType

    from guavapin_demo.job_demand import JobQueue
    from guavapin_demo.job_demand import PlannedJob
    from guavapin_soak.checks import CallerEvent
    from guavapin_standins.resident_platform import PlatformView

ASK_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 2.0
READY_PATH = "/guavapin/ready"


class JobSite:
    """Runs the processes of `entry_hosts` on loopback; use as a context manager.

    Each queue has a pool of `machines_per_pool` machines. Logs go to `folder`.
    """

    def __init__(
        self,
        queues: tuple[JobQueue, ...],
        machines_per_pool: int,
        entry_hosts: int,
        folder: Path,
    ) -> None:
        self.clock = SystemClock()
        self.entries: list[EntryProcess] = []
        self._entry_hosts = entry_hosts
        self.folder = folder
        self._manifest = build_manifest(queues, STANDBY_POOL)
        self._kernel = Kernel(self.clock)
        machines = len(queues) * machines_per_pool
        self._port, *ports = free_ports(1 + machines)
        pools = tuple(
            StandInPool(queue.name, machines_per_pool, queue.run_ms) for queue in queues
        )
        platform = ResidentPlatformTask(
            pools, tuple(f"127.0.0.1:{port}" for port in ports)
        )
        self._kernel.register(platform, loop="platform")
        self._register_front(self._port, "platform_front", platform.name)
        for number, port in enumerate(ports):
            relay = ExecutorRelayTask(number, platform.name)
            self._kernel.register(relay, loop="platform")
            self._register_front(port, relay.front, relay.name)
        self._kernel.register(HttpClientTask(), loop="callers")
        self._kernel.register(JobCallersTask(), loop="callers")

    def __enter__(self) -> JobSite:
        """Start the stand-in, write the manifest, and start the entry hosts."""
        outcome = self._kernel.start()
        if isinstance(outcome, Refused):
            raise InvariantError(f"the stand-ins did not start: {outcome}")
        self.put("op/config", self._manifest)
        self.entries = [
            EntryProcess(self.folder, f"e{number}", entry_ports(self._port))
            for number in range(self._entry_hosts)
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the processes that were started here, then the stand-in."""
        for entry in self.entries:
            entry.end()
        self._kernel.stop()

    def _register_front(self, port: int, name: str, handler: str) -> None:
        cfg = FrontConfig(port=port, health_path="", ready_path="")
        self._kernel.register(FrontTask(cfg, name, handler), loop="platform")

    def put(self, key: str, value: bytes) -> None:
        """Write an item to the store as the operator."""
        item = PutItem(key, value)
        self._kernel.ask(ResidentPlatformTask.name, item).result(ASK_TIMEOUT_S)

    def view(self) -> PlatformView:
        """Return what the platform has recorded."""
        fut: Future[Any] = self._kernel.ask(ResidentPlatformTask.name, QueryPlatform())
        view: PlatformView = fut.result(ASK_TIMEOUT_S)
        return view

    def submit(self, jobs: tuple[PlannedJob, ...]) -> Future[tuple[CallerEvent, ...]]:
        """Start to submit jobs; the result is what their callers saw."""
        addresses = tuple(f"127.0.0.1:{entry.ports.front}" for entry in self.entries)
        return self._kernel.ask(JobCallersTask.name, SubmitJobs(jobs, addresses))

    def scheduler(self) -> EntryProcess | None:
        """Return the entry host that holds the duty, or None if none does."""
        holder = self.view().duty_holder.partition("@")[0]
        return next((entry for entry in self.entries if entry.name == holder), None)

    def is_ready(self) -> bool:
        """Return whether every entry host is ready and one of them schedules."""
        return self.scheduler() is not None and all(
            _is_ready(entry.ports.ready) for entry in self.entries
        )


def _is_ready(port: int) -> bool:
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=READY_TIMEOUT_S)
    try:
        conn.request("GET", READY_PATH)
        return conn.getresponse().status == 200
    except OSError:
        return False
    finally:
        conn.close()
