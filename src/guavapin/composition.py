"""The composition root: creates the services of each daemon and wires them by name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.audit.archiver import AuditArchiverTask
from guavapin.audit.reader import AuditReaderTask
from guavapin.capacity.load_report import LoadReportTask
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.task import ClaimsTask
from guavapin.duties.fleet_duty import FleetDutyTask
from guavapin.duties.host_actions import ServiceHostActions
from guavapin.duties.host_steps import HostActionsTask
from guavapin.duties.pool_demand import PoolDemandTask
from guavapin.duties.task import DutyTask
from guavapin.fleet.objects_relay import ObjectsRelayTask
from guavapin.fleet.relay import FleetRelayConfig
from guavapin.fleet.relay import FleetRelayTask
from guavapin.fleet.view import FleetViewTask
from guavapin.fleet.writer import FleetWriterTask
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.keyvalue.client import PlatformConfig
from guavapin.keyvalue.client import PlatformTask
from guavapin.metrics.collector import TasksCollector
from guavapin.metrics.metrics import Metrics
from guavapin.metrics.sources import CONTROL_SOURCES
from guavapin.metrics.sources import ENTRY_SOURCES
from guavapin.operators.access import AccessPolicy
from guavapin.operators.access import load_tokens
from guavapin.operators.app import OperatorsApp
from guavapin.operators.routes import build_routes
from guavapin.operators.server import OperatorsTask
from guavapin.peers.config import PeersConfig
from guavapin.peers.isolated import IsolatedPeersTask
from guavapin.peers.messages import PeerAddress
from guavapin.peers.registration import RegistrationTask
from guavapin.peers.task import PeersTask
from guavapin.publication.configuration import ConfigurationConfig
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.in_force import InForceTask
from guavapin.publication.publisher_task import PublisherTask
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.readiness import ReadinessTask
from guavapin.serving.routes import RoutesTask
from guavapin.serving.seat import SeatConfig
from guavapin.serving.seat import SeatTask
from guavapin.serving.upstreams import UpstreamsTask
from guavapin.serving.upstreams_config import UpstreamsConfig

if TYPE_CHECKING:
    from guavapin.kernel import Clock
    from guavapin.kernel import Outcome
    from guavapin.peers.config import PeerFilter
    from guavapin.settings.control import ControlSettings
    from guavapin.settings.entry import EntrySettings
    from guavapin.settings.parts import ListenerSettings
    from guavapin.settings.parts import NodeSettings
    from guavapin.settings.parts import PlatformSettings

SERVING = "serving"
CONTROL = "control"


@dataclass(frozen=True, slots=True)
class ControlProcess:
    """The services of one `guavapin-control`, registered but not started."""

    kernel: Kernel
    operators: OperatorsTask
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class EntryProcess:
    """The services of one `guavapin-entry`, registered but not started."""

    kernel: Kernel
    front: FrontTask
    operators: OperatorsTask
    metrics: Metrics


def compose_entry(
    cfg: EntrySettings,
    clock: Clock | None = None,
    peer_filter: PeerFilter | None = None,
) -> Outcome[EntryProcess]:
    """Return the services of an entry process; a bad token file is refused."""
    access = build_access_policy(cfg.operators)
    if isinstance(access, Refused):
        return access
    kernel = Kernel(clock or SystemClock())
    metrics = Metrics()
    readiness = ReadinessTask()
    front = FrontTask(_front_config(cfg))
    app = OperatorsApp(
        build_routes(kernel, cfg.node, kernel.clock),
        access.value,
        metrics,
        lambda: readiness.is_ready,
    )
    operators = OperatorsTask(cfg.operators, app)
    metrics.add_collector(TasksCollector(kernel, ENTRY_SOURCES))
    incarnation = kernel.clock.wall_ms()
    _register_serving(kernel, cfg, front, readiness, incarnation)
    _register_entry_control(kernel, cfg, peer_filter)
    seat = SeatConfig(cfg.node.name, cfg.node.zone, cfg.node.seat, incarnation)
    kernel.register(SeatTask(seat), CONTROL, ("platform", "exchanges"))
    load_report = LoadReportTask(cfg.node.name)
    kernel.register(load_report, CONTROL, ("platform", "exchanges"))
    kernel.register(InForceTask(cfg.node.name), CONTROL, ("configuration", "peers"))
    kernel.register(AuditReaderTask(), CONTROL, ("platform",))
    required = (
        "publisher",
        "in_force",
        "fleet_writer",
        "configuration",
        "audit_reader",
    )
    kernel.register(operators, CONTROL, required)
    return Ok(EntryProcess(kernel, front, operators, metrics))


def compose_control(
    cfg: ControlSettings, clock: Clock | None = None
) -> Outcome[ControlProcess]:
    """Return the services of a control process; a bad token file is refused."""
    access = build_access_policy(cfg.operators)
    if isinstance(access, Refused):
        return access
    kernel = Kernel(clock or SystemClock())
    metrics = Metrics()
    app = OperatorsApp((), access.value, metrics, lambda: True)
    operators = OperatorsTask(cfg.operators, app)
    metrics.add_collector(TasksCollector(kernel, CONTROL_SOURCES))
    node = cfg.node
    kernel.register(PlatformTask(platform_config(cfg.platform, node)), CONTROL)
    kernel.register(IsolatedPeersTask(), CONTROL)
    kernel.register(
        ConfigurationTask(ConfigurationConfig(node.name, node.zone, node.seat)),
        CONTROL,
        ("platform", "peers"),
    )
    kernel.register(FleetWriterTask(), CONTROL, ("platform",))
    kernel.register(HostActionsTask(), CONTROL, ("platform",))
    actor = f"control/{node.name}"
    kernel.register(
        FleetDutyTask(ServiceHostActions(), actor),
        CONTROL,
        ("platform", "fleet_writer", "host_actions"),
    )
    kernel.register(AuditArchiverTask(actor), CONTROL, ("platform", "fleet_writer"))
    kernel.register(
        ObjectsRelayTask(("fleet_writer", "fleet_duty", "pool_demand")),
        CONTROL,
        ("configuration", "fleet_writer", "fleet_duty", "pool_demand"),
    )
    kernel.register(PoolDemandTask(), CONTROL, ("platform", "fleet_duty"))
    workers = ("fleet_duty", "audit_archiver", "pool_demand")
    duty = DutyTask("fleet", f"{actor}/{kernel.clock.wall_ms()}", workers)
    kernel.register(duty, CONTROL, ("platform", *workers))
    kernel.register(operators, CONTROL)
    return Ok(ControlProcess(kernel, operators, metrics))


def build_access_policy(cfg: ListenerSettings) -> Outcome[AccessPolicy]:
    """Return the access policy of the operators' listener; a bad file is refused."""
    if not cfg.token_file:
        return Ok(AccessPolicy(requires_certificate=bool(cfg.tls_client_ca_file)))
    tokens = load_tokens(cfg.token_file)
    if isinstance(tokens, Refused):
        return tokens
    return Ok(AccessPolicy(tokens.value, bool(cfg.tls_client_ca_file)))


def _register_serving(
    kernel: Kernel,
    cfg: EntrySettings,
    front: FrontTask,
    readiness: ReadinessTask,
    incarnation: int,
) -> None:
    kernel.register(UpstreamsTask(UpstreamsConfig()), SERVING)
    kernel.register(
        ExchangesTask(exchange_settings(cfg, incarnation)),
        SERVING,
        ("upstreams", "claims", "peers"),
    )
    kernel.register(front, SERVING, ("exchanges",))
    kernel.register(readiness, SERVING, ("front",))


def _register_entry_control(
    kernel: Kernel, cfg: EntrySettings, peer_filter: PeerFilter | None
) -> None:
    node = cfg.node
    kernel.register(PlatformTask(platform_config(cfg.platform, node)), CONTROL)
    kernel.register(ClaimsTask(ClaimsConfig()), CONTROL, ("platform",))
    kernel.register(PeersTask(_peers_config(cfg), peer_filter), CONTROL)
    kernel.register(
        ConfigurationTask(ConfigurationConfig(node.name, node.zone, node.seat)),
        CONTROL,
        ("platform", "peers"),
    )
    kernel.register(
        RoutesTask(("exchanges", "readiness"), ("fleet_writer",)),
        CONTROL,
        ("configuration", "exchanges", "readiness", "fleet_writer"),
    )
    kernel.register(
        FleetViewTask(("routes",), relay_to="fleet_relay"),
        CONTROL,
        ("platform", "routes"),
    )
    kernel.register(
        FleetRelayTask(FleetRelayConfig(node.name, node.zone, node.seat)),
        CONTROL,
        ("peers", "fleet_view"),
    )
    kernel.register(FleetWriterTask(), CONTROL, ("platform",))
    kernel.register(PublisherTask(), CONTROL, ("platform",))
    kernel.register(RegistrationTask(_own_address(cfg)), CONTROL, ("platform", "peers"))


def platform_config(cfg: PlatformSettings, node: NodeSettings) -> PlatformConfig:
    """Return the client's settings; writes get a fifth of the calls.

    The platform takes about four reads for each write. At the default of 300 calls a
    second, 8 entry processes write 480 times a second at the most.
    """
    return PlatformConfig(
        url=f"http://{cfg.address}",
        zone=node.zone,
        deadline_ms=cfg.timeout_ms,
        max_in_flight=cfg.calls_in_flight,
        writes_per_second=cfg.calls_per_second / 5,
        reads_per_second=cfg.calls_per_second * 4 / 5,
    )


def _front_config(cfg: EntrySettings) -> FrontConfig:
    host, _, port = cfg.callers_address.rpartition(":")
    return FrontConfig(
        address=host.strip("[]"),
        port=int(port),
        max_connections=cfg.limits.callers,
        max_head_bytes=cfg.limits.header_bytes,
        held_bytes=cfg.limits.held_bytes or cfg.limits.buffered_bytes,
        idle_timeout_ms=cfg.limits.idle_timeout_ms,
        certificate_file=cfg.callers_tls.tls_certificate_file,
        key_file=cfg.callers_tls.tls_key_file,
    )


def exchange_settings(cfg: EntrySettings, incarnation: int) -> ExchangeSettings:
    """Return the settings of `exchanges`.

    Entry hosts of other zones send plain HTTP. A listener with TLS would abort such a
    request with an unknown outcome, so its address is not offered to them.
    """
    has_tls = bool(cfg.callers_tls.tls_certificate_file)
    return ExchangeSettings(
        zone=cfg.node.zone,
        seat=cfg.node.seat,
        incarnation=incarnation,
        seed=incarnation,
        peers_service="peers",
        claims_service="claims",
        callers_address="" if has_tls else cfg.callers_address,
    )


def _peers_config(cfg: EntrySettings) -> PeersConfig:
    seeds = tuple(
        PeerAddress(seed.name, seed.zone, seed.address) for seed in cfg.peers.seeds
    )
    return PeersConfig(
        name=cfg.node.name,
        zone=cfg.node.zone,
        seat=cfg.node.seat,
        address=cfg.peers.address,
        advertised_address=cfg.peers.advertised_address,
        seeds=seeds,
    )


def _own_address(cfg: EntrySettings) -> PeerAddress:
    address = cfg.peers.advertised_address or cfg.peers.address
    return PeerAddress(cfg.node.name, cfg.node.zone, address)
