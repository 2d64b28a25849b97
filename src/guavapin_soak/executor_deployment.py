"""A deployment whose executors are processes: stand-ins, links, hosts and faults."""

from __future__ import annotations

import json
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.kernel.outcome import InvariantError
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin_soak.caller import HOST
from guavapin_soak.caller import PREFIX
from guavapin_soak.entry_process import EntryProcess
from guavapin_soak.entry_process import entry_ports
from guavapin_soak.executor_host import SERVICE
from guavapin_soak.executor_host import ExecutorHost
from guavapin_soak.executor_host import HostControls
from guavapin_soak.executor_host import HostSetup
from guavapin_soak.executor_host import Registry
from guavapin_soak.executor_plan import ExecutorFaultKind
from guavapin_soak.proxy import CountStarts
from guavapin_soak.proxy import LinkMode
from guavapin_soak.proxy import ProxyTask
from guavapin_soak.proxy import SetLink
from guavapin_soak.proxy import SetTarget
from guavapin_standins.ports import free_ports
from guavapin_standins.process_platform import ListMachine
from guavapin_standins.process_platform import ProcessPlatformTask
from guavapin_standins.resident_platform import PutItem
from guavapin_standins.resident_platform import RemoveItem

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from pathlib import Path

    from guavapin_soak.executor_plan import ExecutorFault
    from guavapin_soak.executor_plan import ExecutorPlan
    from guavapin_soak.run_overlaps import LifeEvent

ASK_TIMEOUT_S = 5.0

# Service of every second executor in a run whose route changes its service.
OTHER_SERVICE = "other"


def configuration(
    version: int, service: str, services: Iterable[str]
) -> dict[str, Any]:
    """Return a manifest with these services, one of which is that of the route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": HOST,
                "prefix": PREFIX,
                "service": service,
                "attempts": 1_000,
                "stretch": 1.6,
                "latency-slo-ms": 600,
            }
        ],
        "services": [{"name": name} for name in services],
    }


_LINK_MODES = {
    ExecutorFaultKind.CUT: LinkMode.CUT,
    ExecutorFaultKind.RESTART_AND_CUT: LinkMode.CUT,
    ExecutorFaultKind.ONE_WAY: LinkMode.ONE_WAY,
    ExecutorFaultKind.DELAYED: LinkMode.DELAYED,
    ExecutorFaultKind.HELD_BACK: LinkMode.HELD_BACK,
}

_ENTRY_SIGNALS = {
    ExecutorFaultKind.ENTRY_KILL: signal.SIGKILL,
    ExecutorFaultKind.ENTRY_PAUSE: signal.SIGSTOP,
    ExecutorFaultKind.ENTRY_TERMINATE: signal.SIGTERM,
}


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a fault that is due at `at_ms`."""

    at_ms: int
    apply: Callable[[], None]


class ExecutorDeployment:
    """Entry hosts and executors of a run; only one thread injects faults.

    With `has_two_services`, every second executor is one of `OTHER_SERVICE`.
    """

    def __init__(
        self,
        folder: Path,
        hosts: int,
        plan: ExecutorPlan,
        has_two_services: bool = False,
    ) -> None:
        self._services = (SERVICE, OTHER_SERVICE) if has_two_services else (SERVICE,)
        self._version = 0
        self.clock = SystemClock()
        self._kernel = Kernel(self.clock)
        ids = tuple(f"i-{number}" for number in range(len(plan.clocks)))
        store_port, *executor_ports = free_ports(1 + len(ids))
        names = [f"link_{executor_id}" for executor_id in ids]
        links = [
            ProxyTask(name, port)
            for name, port in zip(names, executor_ports, strict=True)
        ]
        platform = ProcessPlatformTask(SERVICE, ids)
        front = FrontConfig(port=store_port, health_path="", ready_path="")
        for link in links:
            self._kernel.register(link)
        self._kernel.register(platform)
        self._kernel.register(FrontTask(front, "platform_front", platform.name))
        self._platform = platform.name
        outcome = self._kernel.start()
        if not isinstance(outcome, Ok):
            raise InvariantError(f"the stand-ins did not start: {outcome}")
        self.change_service()
        registry = Registry(self._put, self._remove)
        self.executors = [
            ExecutorHost(
                HostSetup(
                    executor_id,
                    port,
                    folder,
                    plan.max_lease_ms,
                    traits,
                    self._services[number % len(self._services)],
                ),
                f"127.0.0.1:{link.port}",
                self._controls(link.name),
                registry,
            )
            for number, (executor_id, port, traits, link) in enumerate(
                zip(ids, executor_ports, plan.clocks, links, strict=True)
            )
        ]
        if has_two_services:
            for executor in self.executors:
                executor.list_as("up", executor.executor_id)
        self.entries = [
            EntryProcess(
                folder,
                f"e{number}",
                entry_ports(store_port),
                "contracts=base\n",
                plan.max_lease_ms,
            )
            for number in range(hosts)
        ]

    def steps(self, fault: ExecutorFault) -> list[Step]:
        """Return the steps of a fault; times count from the start of the faults."""
        if fault.kind in _ENTRY_SIGNALS:
            return self._entry_steps(fault)
        return [
            step for target in fault.targets for step in self._host_steps(fault, target)
        ]

    def change_service(self) -> None:
        """Give the route the next service, or the first one at the start."""
        service = self._services[self._version % len(self._services)]
        self._version += 1
        manifest = configuration(self._version, service, self._services)
        self._put("op/config", json.dumps(manifest).encode())

    def renew_entries(self) -> None:
        """Bring the entries of all executors to the registry."""
        for executor in self.executors:
            executor.renew_entry()

    def events(self) -> list[LifeEvent]:
        """Return the events of all executors."""
        return [event for executor in self.executors for event in executor.events()]

    def own_ends(self) -> list[str]:
        """Return a sentence for each entry process that has ended without a signal."""
        return [text for entry in self.entries for text in entry.own_ends()]

    def stop(self) -> None:
        """End the processes that this deployment started, and stop the stand-ins."""
        for entry in self.entries:
            entry.end()
        for executor in self.executors:
            executor.end_all()
        self._kernel.stop()

    def _host_steps(self, fault: ExecutorFault, target: int) -> list[Step]:
        host = self.executors[target]
        end_ms = fault.at_ms + fault.for_ms
        match fault.kind:
            case ExecutorFaultKind.SUSPEND:
                return [Step(fault.at_ms, host.suspend), Step(end_ms, host.wake)]
            case ExecutorFaultKind.RESTART:
                return [
                    Step(fault.at_ms, host.kill),
                    Step(end_ms, lambda: host.start_again(fault.lag_ms)),
                ]
        mode, reaches_store = _LINK_MODES[fault.kind], fault.reaches_store
        start_ms, more = fault.at_ms, []
        if fault.kind is ExecutorFaultKind.RESTART_AND_CUT:
            start_ms += fault.delay_ms
            end_ms += fault.delay_ms
            more = [
                Step(fault.at_ms, host.kill),
                Step(fault.at_ms, lambda: host.start_again(fault.lag_ms)),
            ]
        return [
            *more,
            Step(start_ms, lambda: host.begin_link(mode, reaches_store)),
            Step(end_ms, lambda: host.end_link(mode, reaches_store)),
        ]

    def _entry_steps(self, fault: ExecutorFault) -> list[Step]:
        (target,) = fault.targets
        entry, number = self.entries[target], _ENTRY_SIGNALS[fault.kind]

        def recover() -> None:
            entry.signal(signal.SIGCONT)
            if not entry.is_running:
                entry.restart()

        return [
            Step(fault.at_ms, lambda: entry.signal(number)),
            Step(fault.at_ms + fault.for_ms, recover),
        ]

    def _controls(self, link: str) -> HostControls:
        return HostControls(
            lambda mode: self._ask(link, SetLink(mode)),
            lambda port: self._ask(link, SetTarget(port)),
            lambda: self._ask(link, CountStarts()),
            lambda row: self._ask(self._platform, ListMachine(row)),
        )

    def _put(self, key: str, value: bytes) -> None:
        self._ask(self._platform, PutItem(key, value))

    def _remove(self, key: str) -> None:
        self._ask(self._platform, RemoveItem(key))

    def _ask(self, service: str, body: object) -> Any:
        return self._kernel.ask(service, body).result(ASK_TIMEOUT_S)
