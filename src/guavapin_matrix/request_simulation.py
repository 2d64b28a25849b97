"""Simulates two entry processes that serve requests, with callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.task import ClaimsTask
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.retries.budget import RetryBudgetSettings
from guavapin.serving.exchange import Phase
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.messages import CallerGone
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from guavapin_matrix.callers import TIMEOUT_MS
from guavapin_matrix.callers import Callers
from guavapin_matrix.faults import Fault
from guavapin_matrix.platform import FakePlatform
from guavapin_matrix.simulation import Node
from guavapin_matrix.simulation import SimulatedLoop
from guavapin_matrix.upstreams import LONG_FACTOR
from guavapin_matrix.upstreams import FakeHost
from guavapin_matrix.upstreams import FakeUpstreams

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = 4
SLOTS = 2
SUBJECT = "subject"
PAUSE_MS = 6_000
OUTAGE_MS = 2_000


def build_objects() -> ObjectSet:
    """Return one zone with two entry seats and one pool of four hosts in two racks."""
    hosts = {
        f"h{index}": Host(f"h{index}", "a", f"r{index // 2}", "p", f"h{index}:80")
        for index in range(HOSTS)
    }
    return ObjectSet(
        zones={"a": AvailabilityZone("a", "r", 2)},
        hosts=hosts,
        pools={"p": Pool("p", "b", slots=SLOTS, max_ejected_share=0.5)},
        services={"s": Service("s", "p", path_prefix="/s", timeout_ms=TIMEOUT_MS)},
    )


class RequestSimulation:
    """Connects the entry processes to the fakes and injects the faults.

    `subject_id` is the id of the request that the faults aim at. `pauses` holds the
    name of each paused process and the end of its pause.
    """

    def __init__(self, seed: int) -> None:
        self.loop = SimulatedLoop()
        self.platform = FakePlatform(self.loop)
        self.upstreams = FakeUpstreams(self.loop)
        self.objects = build_objects()
        for host in self.objects.hosts.values():
            self.upstreams.hosts[host.address] = FakeHost()
        self.nodes: list[Node] = []
        self.exchanges: list[ExchangesTask] = []
        self.callers = Callers(self.loop, self.nodes)
        self.subject_id = 0
        self.pauses: list[tuple[str, int]] = []
        self._is_seen = False
        self._races = 0
        for seat in range(2):
            self._add_entry(seat, seed)
        self._send_routes(frozenset())

    def on_external_message(
        self, node: Node, sender: str, service: str, message: object
    ) -> None:
        """Pass a message of a process to the fake of its service."""
        if service == "platform":
            self.platform.handle_call(node, sender, message)  # type: ignore[arg-type]
        elif service == "front":
            self.callers.on_message(message)
        elif service == "upstreams":
            self.upstreams.on_message(node, message)

    def subject_phase(self) -> Phase | None:
        """Return the phase of the subject: None before its exchange, `DONE` after."""
        if not self.subject_id:
            return None
        exchange = self.exchanges[0]._flow.get(self.subject_id)
        if exchange is not None:
            self._is_seen = True
            return exchange.phase
        return Phase.DONE if self._is_seen else None

    def inject(self, fault: Fault) -> None:
        """Inject a fault now."""
        self._actions()[fault]()

    def heal(self) -> None:
        """Reset the faults of the platform, its connections, the hosts and the runs."""
        self.platform.is_down = self.platform.is_slow = False
        self.platform.lost_answers = 0
        self.upstreams.run_factor = 1
        self.upstreams.never_ending.clear()
        for node in self.nodes:
            self.platform.link(node).is_cut = False
        for host in self.upstreams.hosts.values():
            host.is_up, host.fails = True, False

    def _actions(self) -> dict[Fault, Callable[[], None]]:
        return {
            Fault.HOSTS_LOST: self._lose_hosts,
            Fault.RACE: self._race,
            Fault.RUN_TIME_OFF: self._slow_down,
            Fault.NEVER_RUNS: lambda: self.upstreams.never_ending.add(SUBJECT),
            Fault.CANCELLATIONS: lambda: self.loop.after(0, self._cancel_all),
            Fault.BAD_WORKER: self._break_worker,
            Fault.PLATFORM_DOWN: lambda: self._set_during_outage("is_down"),
            Fault.PLATFORM_SLOW: lambda: self._set_during_outage("is_slow"),
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.LEASE_LAPSES: self._pause,
            Fault.SAME_OBJECT: self._edit,
            Fault.SILENT_CONNECTION: self.upstreams.silence,
            Fault.CUT_OFF: self._cut_connection,
            Fault.PROCESS_DIES: self._crash_process,
        }

    def _add_entry(self, seat: int, seed: int) -> None:
        node = Node(self.loop, f"entry-{seat}", self)
        settings = ExchangeSettings(
            zone="a",
            seat=seat,
            seed=seed + seat,
            is_first_start=True,
            claims_service="claims",
            # An exhausted retry budget would hide a second run.
            budget=RetryBudgetSettings(share=1.0),
        )
        task = ExchangesTask(settings)
        self.nodes.append(node)
        self.exchanges.append(task)
        node.add(ClaimsTask(ClaimsConfig(), RecordStore(ClaimsConfig(), f"p{seat}")))
        node.add(task)

    def _send_routes(self, leaving: frozenset[str]) -> None:
        pools = {name: host.pool for name, host in self.objects.hosts.items()}
        table = build_route_table(self.objects, 1, pools, leaving)
        for node in self.nodes:
            node.deliver("exchanges", RouteTableChanged(table))

    def _lose_hosts(self) -> None:
        addresses = [self.objects.hosts[name].address for name in self._subject_rack()]
        self.loop.after(0, lambda: self.upstreams.take_down(addresses))

    def _subject_rack(self) -> list[str]:
        """Return the hosts of the subject's rack, or of the first rack without one."""
        exchange = self.exchanges[0]._flow.get(self.subject_id)
        host = self.objects.hosts.get(exchange.host if exchange else "")
        rack = host.rack if host else "r0"
        return [h.name for h in self.objects.hosts.values() if h.rack == rack]

    def _race(self) -> None:
        self._races += 1
        tag = f"race{self._races}"
        subject = self.callers.requests[self.subject_id - 1]

        def ask() -> None:
            self.callers.ask(self.nodes[1], tag, subject.method, subject.key)

        self.loop.after(0, ask)

    def _slow_down(self) -> None:
        self.upstreams.run_factor = LONG_FACTOR

    def _cancel_all(self) -> None:
        node = self.nodes[0]
        for request_id, request in enumerate(self.callers.requests, 1):
            if request.node is node and not request.ends and not request.is_gone:
                request.is_gone = True
                node.deliver("exchanges", CallerGone(request_id))

    def _break_worker(self) -> None:
        exchange = self.exchanges[0]._flow.get(self.subject_id)
        name = exchange.host if exchange and exchange.host else "h0"
        self.upstreams.hosts[self.objects.hosts[name].address].fails = True

    def _set_during_outage(self, name: str) -> None:
        setattr(self.platform, name, True)
        self.loop.after(OUTAGE_MS, lambda: setattr(self.platform, name, False))

    def _lose_answer(self) -> None:
        self.platform.lost_answers += 1

    def _pause(self) -> None:
        node = self.nodes[0]
        self.pauses.append((node.name, self.loop.now_ms() + PAUSE_MS))
        node.pause(PAUSE_MS)

    def _edit(self) -> None:
        """Send two changes in a row: a host leaves, then its whole rack."""
        rack = self._subject_rack()

        def leave() -> None:
            self._send_routes(frozenset(rack[:1]))
            self._send_routes(frozenset(rack))
            for host in self.objects.hosts.values():
                left_ms = self.loop.now_ms() if host.name in rack else None
                self.upstreams.hosts[host.address].left_ms = left_ms

        self.loop.after(0, leave)

    def _cut_connection(self) -> None:
        link = self.platform.link(self.nodes[0])
        link.is_cut = True
        self.loop.after(OUTAGE_MS, lambda: setattr(link, "is_cut", False))

    def _crash_process(self) -> None:
        node = self.nodes[0]
        node.crash()
        self.loop.after(0, lambda: self.callers.on_process_crashed(node))
