"""A complete site in one process: platform stand-in, upstreams, entry processes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeVar

from guavapin.composition import compose_control
from guavapin.composition import compose_entry
from guavapin.console.client import OperatorsClient
from guavapin.fleet.messages import QueryFleet
from guavapin.kernel import Kernel
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.settings.control import ControlLimits
from guavapin.settings.control import ControlSettings
from guavapin.settings.entry import EntryLimits
from guavapin.settings.entry import EntrySettings
from guavapin.settings.entry import PeersSettings
from guavapin.settings.entry import SeedPeer
from guavapin.settings.parts import ListenerSettings
from guavapin.settings.parts import NodeSettings
from guavapin.settings.parts import PlatformSettings
from guavapin_demo.sites import build_objects
from guavapin_demo.usage import UsageTask
from guavapin_standins.platform import RunningPlatform
from guavapin_standins.ports import free_ports
from guavapin_standins.upstream import UpstreamStandIn
from guavapin_standins.upstream_messages import GetRecord
from guavapin_standins.upstream_messages import SetBehaviour

if TYPE_CHECKING:
    from pathlib import Path
    from types import TracebackType

    from guavapin.composition import ControlProcess
    from guavapin.composition import EntryProcess
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin.peers.config import PeerFilter
    from guavapin_demo.sites import Site
    from guavapin_standins.upstream_messages import Behaviour
    from guavapin_standins.upstream_messages import Record

T = TypeVar("T")

OPERATOR_TOKEN = "demo-operator-token"
UPSTREAMS_PER_LOOP = 10
REPLY_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Name, zone, seat and listener addresses of one entry host."""

    name: str
    zone: str
    seat: int
    callers: str
    operators: str
    peers: str
    control: str


class EmbeddedSite:
    """Runs a site on loopback; use as a context manager.

    `objects` is the object set of the site with the addresses of the stand-ins.
    Nothing is published at the start.
    """

    def __init__(
        self,
        site: Site,
        folder: Path,
        peer_filter: PeerFilter | None = None,
        objects: ObjectSet | None = None,
        hosts_lag_ms: int = 2_000,
    ) -> None:
        self.site = site
        self.platform = RunningPlatform(hosts_lag_ms=hosts_lag_ms)
        self.entries: dict[str, EntryProcess] = {}
        self.controls: dict[str, ControlProcess] = {}
        self.addresses = _allocate_addresses(site)
        self.objects = objects or build_objects(site)
        self._peer_filter = peer_filter
        self._token_file = folder / "tokens"
        self._upstreams = Kernel(SystemClock())
        self._standins: dict[str, UpstreamStandIn] = {}

    def __enter__(self) -> EmbeddedSite:
        """Start all processes; publish nothing."""
        self._token_file.write_text(f"demo {OPERATOR_TOKEN}\n", encoding="utf-8")
        self.platform.__enter__()
        self._start_upstreams()
        for address in self.addresses:
            self.start_entry(address)
            self.start_control(address)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything in reverse order."""
        for control in self.controls.values():
            control.kernel.stop()
        for entry in self.entries.values():
            entry.kernel.stop()
        self._upstreams.stop()
        self.platform.__exit__(kind, exc, trace)

    def start_entry(self, address: EntryAddresses) -> None:
        """Start one entry process; raises RuntimeError if it cannot start."""
        outcome = compose_entry(
            self._entry_settings(address),
            peer_filter=self._peer_filter,
        )
        process = _unwrap(outcome)
        _unwrap(process.kernel.start())
        self.entries[address.name] = process

    def start_control(self, address: EntryAddresses) -> None:
        """Start the control process beside an entry process."""
        process = _unwrap(compose_control(self._control_settings(address)))
        _unwrap(process.kernel.start())
        self.controls[address.name] = process

    def client(self, index: int = 0) -> OperatorsClient:
        """Return a client of one entry process's operators' interface."""
        address = self.addresses[index].operators
        return OperatorsClient(f"http://{address}", token=OPERATOR_TOKEN)

    def is_placed(self) -> bool:
        """Return whether every entry process has every host in its view."""
        return all(
            len(
                entry.kernel.ask("fleet_view", QueryFleet())
                .result(REPLY_TIMEOUT_S)
                .hosts
            )
            == len(self.objects.hosts)
            for entry in self.entries.values()
        )

    def record(self, host: str) -> Record:
        """Return the record of the upstream on a host."""
        fut = self._upstreams.ask(self._standins[host].name, GetRecord())
        record: Record = fut.result(REPLY_TIMEOUT_S)
        return record

    def set_behaviour(self, host: str, behaviour: Behaviour) -> None:
        """Replace the behaviour of the upstream on a host."""
        message = SetBehaviour(behaviour)
        self._upstreams.ask(self._standins[host].name, message).result(REPLY_TIMEOUT_S)

    def _start_upstreams(self) -> None:
        for index, name in enumerate(self.objects.hosts):
            standin = UpstreamStandIn()
            standin.name = f"upstream-{name}"
            loop = f"upstreams-{index // UPSTREAMS_PER_LOOP}"
            self._upstreams.register(standin, loop)
            self._standins[name] = standin
        services = {name: standin.name for name, standin in self._standins.items()}
        self._upstreams.register(UsageTask(services, self.platform), "usage")
        _unwrap(self._upstreams.start())
        hosts = {
            name: replace(host, address=f"127.0.0.1:{self._standins[name].port}")
            for name, host in self.objects.hosts.items()
        }
        self.objects = replace(self.objects, hosts=hosts)
        for name in hosts:
            self.platform.set_host(name, "live")

    def _entry_settings(self, address: EntryAddresses) -> EntrySettings:
        seeds = tuple(
            SeedPeer(other.name, other.zone, other.peers)
            for other in self.addresses
            if other.name != address.name
        )
        return EntrySettings(
            node=NodeSettings(address.name, address.zone, address.seat, "warning"),
            callers_address=address.callers,
            operators=ListenerSettings(address.operators, str(self._token_file)),
            peers=PeersSettings(address.peers, seeds=seeds),
            platform=self._platform_settings(),
            limits=EntryLimits(),
        )

    def _control_settings(self, address: EntryAddresses) -> ControlSettings:
        return ControlSettings(
            node=NodeSettings(address.name, address.zone, address.seat, "warning"),
            operators=ListenerSettings(address.control, str(self._token_file)),
            platform=self._platform_settings(),
            limits=ControlLimits(),
        )

    def _platform_settings(self) -> PlatformSettings:
        return PlatformSettings(self.platform.url.removeprefix("http://"))


def _unwrap(outcome: Outcome[T]) -> T:
    if isinstance(outcome, Refused):
        raise RuntimeError(str(outcome))
    return outcome.value


def _allocate_addresses(site: Site) -> tuple[EntryAddresses, ...]:
    count = sum(site.seats)
    ports = iter(free_ports(4 * count))
    return tuple(
        EntryAddresses(
            f"{zone}-e{seat}",
            zone,
            seat,
            *(f"127.0.0.1:{next(ports)}" for _ in range(4)),
        )
        for zone, seats in zip(site.zones, site.seats, strict=True)
        for seat in range(seats)
    )
