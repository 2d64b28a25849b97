"""Composition root of ``guavapin-resident``: the process on each entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.duties.election_delay import election_delay_ms
from guavapin.duties.holder_tracker import HolderTrackerTask
from guavapin.duties.holder_tracker import holder_name
from guavapin.duties.lease import LeaseTerms
from guavapin.duties.task import DutyTask
from guavapin.executors.advice import AdviceTask
from guavapin.executors.task import ExecutorsTask
from guavapin.http.client import HttpClientTask
from guavapin.intake.peer_calls import PeerCallsTask
from guavapin.intake.reachability import ReachabilityTask
from guavapin.intake.task import IntakeTask
from guavapin.intake.where import WhereTask
from guavapin.jobs.caller_limits_task import CallerLimitsTask
from guavapin.jobs.table_view import watch_wait_ms
from guavapin.jobs.tables import TablesTask
from guavapin.kernel import Kernel
from guavapin.keyvalue.client import PlatformConfig
from guavapin.keyvalue.client import PlatformTask
from guavapin.keyvalue.follower import PrefixFollower
from guavapin.ledger.task import LedgerTask
from guavapin.machines.task import FOLLOW_MAINTAINED
from guavapin.machines.task import FOLLOW_WAVES
from guavapin.machines.task import MAINTAINED_PREFIX
from guavapin.machines.task import MachinesTask
from guavapin.platform.executors import PlatformAdviceCodec
from guavapin.platform.executors import PlatformExecutorCodec
from guavapin.platform.machines import PlatformMachineCodec
from guavapin.platform.store import PlatformStoreCodec
from guavapin.platform.wire_codecs import CALL_HEADERS
from guavapin.platform.wire_codecs import READY_PATH
from guavapin.platform.wire_codecs import PlatformJobCallCodec
from guavapin.platform.wire_codecs import PlatformRegistryCodec
from guavapin.platform.wire_codecs import PlatformTableCodec
from guavapin.platform.wire_codecs import PlatformWaveCodec
from guavapin.scheduling.handover import HANDOVER_PREFIX
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.task import FOLLOW_HANDOVER
from guavapin.scheduling.task import FOLLOW_INBOX
from guavapin.scheduling.task import FOLLOW_JOBS
from guavapin.scheduling.task import FOLLOW_PROGRESS
from guavapin.scheduling.task import FOLLOW_REGISTRY
from guavapin.scheduling.task import SchedulerTask
from guavapin.scheduling.term import MAX_UNCONFIRMED_MS
from guavapin.serving.client_budget import divide
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.ops_pages import OpsPagesTask
from guavapin.serving.request_handler import MAX_BODY_BYTES

if TYPE_CHECKING:
    from guavapin.kernel import Clock
    from guavapin.metrics.resident import ResidentMetrics
    from guavapin.serving.client_budget import ListenerBudget
    from guavapin.serving.client_budget import ProcessBudget
    from guavapin.serving.refusal_report import ClientObserver
    from guavapin.settings.resident import Address
    from guavapin.settings.resident import ResidentSettings

DUTY = "scheduler"
DUTY_KEY = f"duty/{DUTY}"
METRICS_PATH = "/metrics"

# A killed scheduler is replaced within its lease of 1.5 s. Three renewals fit into a
# lease, so a single lost answer does not end a term. The duty is not polled: the roster
# signals when to compete for it.
DUTY_TERMS = LeaseTerms(
    lease_ms=1_500,
    renew_ms=400,
    margin_ms=150,
    poll_ms=0,
    resume_ms=MAX_UNCONFIRMED_MS,
)

# Timeout of a call to the store, which takes 4 ms if the store is healthy and up to 80
# times as long if it is slow. A call with a long body has more time.
STORE_TIMEOUT_MS = 900

# Timeout of a list call. A page has up to 1 MB, which the slowest links carry in two
# seconds.
STORE_LIST_TIMEOUT_MS = 6_000

# Time for which the store holds a watch open. A dead connection is detected after this
# plus `STORE_TIMEOUT_MS`, within the three seconds for which its silence is excused.
# The next watch of the table does not wait: a second lost one would exceed them.
WATCH_WAIT_MS = 2_000

# Minimum interval between reads of registry changes, since executors renew their
# entries all the time.
REGISTRY_READ_INTERVAL_MS = 150

# Delay before the inbox is read again after a change.
INBOX_READ_DELAY_MS = 50

# What the kernel holds unread for a connection. It counts as memory of the process.
RECEIVE_BUFFER_BYTES = 65_536


def compose_resident(
    cfg: ResidentSettings, metrics: ResidentMetrics, metrics_port: int, clock: Clock
) -> Kernel:
    """Return the kernel with all services registered but not started.

    Metrics are served at `metrics_port` of the peer address, 0 for any free port.
    """
    kernel = Kernel(clock)
    budget = divide(cfg.memory_mb, cfg.max_fds, cfg.clients_mb)
    holder = holder_name(cfg.node, cfg.peer, clock.wall_ms())
    table_codec, registry_codec = PlatformTableCodec(), PlatformRegistryCodec()
    wave_codec = PlatformWaveCodec()
    store = PlatformConfig(
        url=f"http://{cfg.store}",
        deadline_ms=STORE_TIMEOUT_MS,
        list_deadline_ms=STORE_LIST_TIMEOUT_MS,
        writes_per_second=cfg.store_writes_per_second,
        reads_per_second=cfg.store_reads_per_second,
        answer_bytes=budget.answer_bytes // 2,
    )
    kernel.register(PlatformTask(store, PlatformStoreCodec()))
    kernel.register(HttpClientTask(budget.answer_bytes // 2))
    kernel.register(ExecutorsTask(PlatformExecutorCodec()))
    kernel.register(AdviceTask(PlatformAdviceCodec(), cfg.advice))
    kernel.register(LedgerTask("scheduler"))
    revoke_ms = _strict_revoke_ms(cfg)
    machine_codec = PlatformMachineCodec(cfg.machines)
    kernel.register(
        MachinesTask(machine_codec, wave_codec, cfg.times, cfg.node, DUTY_KEY)
    )
    kernel.register(
        SchedulerTask(registry_codec, cfg.times, DUTY, DUTY_KEY, cfg.quota_window_ms)
    )
    kernel.register(
        IntakeTask(
            PlatformJobCallCodec(), holder, metrics, cfg.requires_keys, revoke_ms
        )
    )
    kernel.register(PeerCallsTask())
    kernel.register(WhereTask(PlatformJobCallCodec()))
    kernel.register(OpsPagesTask("ready_desk", "ready_front", {}))
    pages = {METRICS_PATH: metrics.render}
    kernel.register(OpsPagesTask("metrics_desk", "metrics_front", pages))
    kernel.register(ReachabilityTask("ready_front", "intake", DUTY_KEY))
    listeners = ("intake", "scheduler", "machines", "reach", "caller_limits")
    kernel.register(TablesTask(table_codec, listeners, revoke_ms, holder))
    kernel.register(DutyTask(DUTY, holder, ("machines", "scheduler"), terms=DUTY_TERMS))
    kernel.register(
        HolderTrackerTask(
            DUTY_KEY,
            f"duty_{DUTY}",
            ("intake", "scheduler", "tables"),
            election_delay_ms(cfg.cores, cfg.link_mbps),
        ),
    )
    for follower in _followers(table_codec, registry_codec, wave_codec, revoke_ms):
        kernel.register(follower)
    kernel.register(CallerLimitsTask("front"))
    for front in _fronts(cfg, metrics_port, budget, metrics):
        kernel.register(front)
    return kernel


def _strict_revoke_ms(cfg: ResidentSettings) -> int:
    """Return the time within which each host refuses a removed key, 0 for no limit."""
    is_strict = cfg.requires_keys and cfg.key_terms.is_strict
    return cfg.key_terms.revoke_ms if is_strict else 0


def _followers(
    table_codec: PlatformTableCodec,
    registry_codec: PlatformRegistryCodec,
    wave_codec: PlatformWaveCodec,
    revoke_ms: int,
) -> tuple[PrefixFollower, ...]:
    scheduler = ("scheduler",)
    registry = registry_codec.prefix
    return (
        PrefixFollower(
            "follow_table",
            table_codec.key,
            ("tables",),
            watch_wait_ms(revoke_ms, WATCH_WAIT_MS),
            is_eager=True,
            observer="reach",
            is_confirming=True,
            is_prompt=True,
        ),
        PrefixFollower(
            "follow_duty", DUTY_KEY, ("roster",), WATCH_WAIT_MS, is_eager=True
        ),
        PrefixFollower(FOLLOW_JOBS, JOBS_PREFIX, scheduler, WATCH_WAIT_MS),
        PrefixFollower(FOLLOW_PROGRESS, PROGRESS_PREFIX, scheduler, WATCH_WAIT_MS),
        PrefixFollower(
            FOLLOW_INBOX, INBOX_PREFIX, scheduler, WATCH_WAIT_MS, INBOX_READ_DELAY_MS
        ),
        PrefixFollower(
            FOLLOW_REGISTRY,
            registry,
            scheduler,
            WATCH_WAIT_MS,
            REGISTRY_READ_INTERVAL_MS,
        ),
        PrefixFollower(FOLLOW_HANDOVER, HANDOVER_PREFIX, scheduler, WATCH_WAIT_MS),
        PrefixFollower(FOLLOW_WAVES, wave_codec.prefix, ("machines",), WATCH_WAIT_MS),
        PrefixFollower(
            FOLLOW_MAINTAINED, MAINTAINED_PREFIX, ("machines",), WATCH_WAIT_MS
        ),
    )


def _fronts(
    cfg: ResidentSettings,
    metrics_port: int,
    budget: ProcessBudget,
    observer: ClientObserver,
) -> tuple[FrontTask, ...]:
    callers = _front_config(
        cfg.front,
        budget.callers,
        kept_headers=CALL_HEADERS,
        min_body_rate=cfg.min_body_bytes_per_s,
    )
    ready = _front_config(cfg.ready, budget.probes, ready_path=READY_PATH)
    metrics = _front_config((cfg.peer[0], metrics_port), budget.metrics)
    peers = _front_config(cfg.peer, budget.peers)
    return (
        FrontTask(callers, "front", "intake", observer),
        FrontTask(ready, "ready_front", "ready_desk", observer),
        FrontTask(peers, "peer_front", "peer_desk", observer),
        FrontTask(metrics, "metrics_front", "metrics_desk", observer),
    )


def _front_config(
    address: Address,
    budget: ListenerBudget,
    ready_path: str = "",
    kept_headers: frozenset[bytes] = frozenset(),
    min_body_rate: int = 0,
) -> FrontConfig:
    host, port = address
    return FrontConfig(
        address=host,
        port=port,
        health_path="",
        ready_path=ready_path,
        max_connections=budget.max_connections,
        held_bytes=budget.held_bytes,
        max_body_bytes=MAX_BODY_BYTES,
        min_body_bytes_per_s=min_body_rate,
        holds_bodies=True,
        kept_headers=kept_headers,
        receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
    )
