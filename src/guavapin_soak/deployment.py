"""A deployment under test: platform stand-in, proxies, entry processes and faults."""

from __future__ import annotations

import signal
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
from guavapin_soak.odd_entries import ODD_ENTRIES
from guavapin_soak.organisations import REVOKE_MS
from guavapin_soak.organisations import Operator
from guavapin_soak.plan import FaultKind
from guavapin_soak.proxy import LinkMode
from guavapin_soak.proxy import ProxyTask
from guavapin_soak.proxy import ResetConnections
from guavapin_soak.proxy import SetLink
from guavapin_soak.proxy import SilenceConnections
from guavapin_standins.ports import free_ports
from guavapin_standins.resident_platform import PutItem
from guavapin_standins.resident_platform import QueryPlatform
from guavapin_standins.resident_platform import RemoveItem
from guavapin_standins.resident_platform import ResidentPlatformTask
from guavapin_standins.resident_platform import SetAnswersLost
from guavapin_standins.resident_platform import SetStoreDown
from guavapin_standins.resident_platform import StandInPool

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_soak.plan import Fault
    from guavapin_standins.resident_platform import PlatformView

MACHINES = 4
RUN_MS = 250
ASK_TIMEOUT_S = 5.0

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "prefix": PREFIX,
            "service": "pool",
            "attempts": 3,
            "stretch": 1.6,
            "latency-slo-ms": 600,
        }
    ],
    "services": [{"name": "pool"}, {"name": "off", "standby": True}],
}

KEY_SETTINGS = (
    f"contracts=base,tenants\nbounds.strict-revoke=true\nbounds.revoke-ms={REVOKE_MS}\n"
)

_LINK_MODES = {
    FaultKind.LINK_DELAYED: LinkMode.DELAYED,
    FaultKind.LINK_ONE_WAY: LinkMode.ONE_WAY,
    FaultKind.LINK_REFUSED: LinkMode.REFUSED,
}


class Deployment:
    """One deployment of `hosts` entry hosts, whose files go to `folder`.

    Registrations of executors name the last proxy, so that calls to executors pass it.
    """

    def __init__(self, folder: Path, hosts: int) -> None:
        self.clock = SystemClock()
        self._kernel = Kernel(self.clock)
        (port,) = free_ports(1)
        names = [f"link_{number}" for number in range(hosts + 1)]
        proxies = [ProxyTask(name, port) for name in names]
        # The address of executors is known once their proxy listens.
        platform = ResidentPlatformTask((StandInPool("pool", MACHINES, RUN_MS),), ("",))
        front = FrontConfig(port=port, health_path="", ready_path="")
        for proxy in proxies:
            self._kernel.register(proxy)
        self._kernel.register(platform)
        self._kernel.register(FrontTask(front, "platform_front", platform.name))
        self._platform = platform.name
        self._links = names
        outcome = self._kernel.start()
        if not isinstance(outcome, Ok):
            raise InvariantError(f"the stand-ins did not start: {outcome}")
        platform.addresses = (f"127.0.0.1:{proxies[-1].port}",)
        self.operator = Operator(
            CONFIGURATION,
            lambda value: self._ask(self._platform, PutItem("op/config", value)),
            self.clock.now_ms,
        )
        self.entries = [
            EntryProcess(
                folder,
                f"e{number}",
                entry_ports(proxies[number].port),
                KEY_SETTINGS,
            )
            for number in range(hosts)
        ]

    def begin(self, fault: Fault) -> None:
        """Inject a fault into all its targets, or write its odd entry."""
        if fault.entry:
            entry_id, value = ODD_ENTRIES[fault.entry]
            self._ask(self._platform, PutItem(f"servers/{entry_id}", value))
        for target in fault.targets:
            self._inject_fault(fault.kind, target)

    def end(self, fault: Fault) -> None:
        """Undo a fault on all its targets, or remove its odd entry."""
        if fault.entry:
            entry_id, _ = ODD_ENTRIES[fault.entry]
            self._ask(self._platform, RemoveItem(f"servers/{entry_id}"))
        for target in fault.targets:
            self._undo_fault(fault.kind, target)

    def heal(self) -> None:
        """Undo all faults and start the processes that have ended or are stopping."""
        self._ask(self._platform, SetStoreDown(False))
        self._ask(self._platform, SetAnswersLost(False))
        for link in self._links:
            self._ask(link, SetLink(LinkMode.OPEN))
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
        for entry in self.entries:
            entry.recover()

    def view(self) -> PlatformView:
        """Return the events, statuses and orders that the platform has recorded."""
        view: PlatformView = self._ask(self._platform, QueryPlatform())
        return view

    def own_ends(self) -> list[str]:
        """Return a sentence for each process that has ended without a signal."""
        return [text for entry in self.entries for text in entry.own_ends()]

    def stop(self) -> None:
        """Kill the processes that this deployment started, and stop the stand-ins."""
        for entry in self.entries:
            entry.end()
        self._kernel.stop()

    def _inject_fault(self, kind: FaultKind, target: int) -> None:
        link, entry = self._links[target], self.entries[target]
        match kind:
            case FaultKind.KILL:
                entry.signal(signal.SIGKILL)
            case FaultKind.PAUSE:
                entry.signal(signal.SIGSTOP)
            case FaultKind.TERMINATE:
                entry.signal(signal.SIGTERM)
            case FaultKind.HANG_UP:
                entry.signal(signal.SIGHUP)
            case FaultKind.STORE_DOWN:
                self._ask(self._platform, SetStoreDown(True))
            case FaultKind.ANSWERS_LOST:
                self._ask(self._platform, SetAnswersLost(True))
            case FaultKind.LINK_SILENT:
                self._ask(link, SilenceConnections())
                # All entry hosts share the proxy to the executors.
                self._ask(self._links[-1], SilenceConnections())
            case FaultKind.LINK_RESET:
                self._ask(link, ResetConnections())
                self._ask(self._links[-1], ResetConnections())
            case _:
                self._ask(link, SetLink(_LINK_MODES[kind]))

    def _undo_fault(self, kind: FaultKind, target: int) -> None:
        entry = self.entries[target]
        match kind:
            case FaultKind.KILL | FaultKind.TERMINATE:
                entry.signal(signal.SIGCONT)
                if not entry.is_running:
                    entry.restart()
            case FaultKind.PAUSE:
                entry.signal(signal.SIGCONT)
            case FaultKind.STORE_DOWN:
                self._ask(self._platform, SetStoreDown(False))
            case FaultKind.ANSWERS_LOST:
                self._ask(self._platform, SetAnswersLost(False))
            case kind if kind in _LINK_MODES:
                self._ask(self._links[target], SetLink(LinkMode.OPEN))

    def _ask(self, service: str, body: object) -> Any:
        return self._kernel.ask(service, body).result(ASK_TIMEOUT_S)
