"""Simulates two control processes with hosts, platform, an entry and operators."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.duties.fleet_duty import FleetDutyTask
from guavapin.duties.host_actions import ServiceHostActions
from guavapin.duties.messages import HOST_ACTIONS
from guavapin.duties.messages import HostStep
from guavapin.duties.task import DutyTask
from guavapin.fleet import actions
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.messages import WatchRole
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.view import FleetViewTask
from guavapin.fleet.writer import FleetWriterTask
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin_matrix.fleet_hosts import FleetHosts
from guavapin_matrix.platform import FakePlatform
from guavapin_matrix.simulation import Node
from guavapin_matrix.simulation import SimulatedLoop

if TYPE_CHECKING:
    from typing import Any

    from guavapin.fleet.actions import FleetAction
    from guavapin.fleet.effective import FleetChanged

MIN_AVAILABLE = 2
HOSTS_PER_POOL = 4
WAVE = "w"
WORK_MS = 3_000
WORK_INTERVAL_MS = 4_000
# Guarantee 6: a host gets no new work this long after its disruption is recorded.
LEAVING_LIMIT_MS = 3_000


def build_objects(has_wave: bool) -> ObjectSet:
    """Return two pools of four hosts in two racks, and a wave over the first rack."""
    hosts = {
        f"{pool}{i}": Host(f"{pool}{i}", "z", f"{pool}r{i // 2}", pool, f"{pool}{i}:80")
        for pool in ("a", "b")
        for i in range(HOSTS_PER_POOL)
    }
    wave = MaintenanceWave(
        WAVE,
        pools=("a",),
        racks=("ar0",),
        max_at_once=2,
        max_failed=1,
        drain_timeout_ms=15_000,
        reboot_timeout_ms=45_000,
    )
    return ObjectSet(
        zones={"z": AvailabilityZone("z", "r")},
        hosts=hosts,
        pools={"a": Pool("a", "b"), "b": Pool("b", "b")},
        budgets={"b": AvailabilityBudget("b", min_available=MIN_AVAILABLE)},
        waves={WAVE: wave} if has_wave else {},
    )


class FleetSimulation:
    """Connects the control processes to the fakes and records what they do.

    `states` holds every value that the fleet record had, `views` every view that the
    entry process got, `losses` every lost host, each with its time. `interruptions`
    describes the violations of guarantee 7.
    """

    def __init__(self, kind: str) -> None:
        self.loop = SimulatedLoop()
        self.platform = FakePlatform(self.loop)
        self.objects = build_objects(kind == "wave")
        self.hosts = FleetHosts(self.loop, list(self.objects.hosts))
        self.nodes: list[Node] = []
        self.duties: list[FleetDutyTask] = []
        self.futures: dict[str, Future[Any]] = {}
        self.interruptions: list[str] = []
        self.views: list[tuple[int, FleetChanged]] = []
        self.states: list[tuple[int, FleetState]] = []
        self.losses: list[tuple[int, str]] = []
        self.platform.on_write = self._on_write
        self.hosts.on_step_begun = self._on_step_begun
        self._commands = 0
        placements = {host.name: host.pool for host in self.objects.hosts.values()}
        first = encode_fleet(FleetState(placements=placements))
        self.platform.store.put(FLEET_KEY, first, 0)
        self._on_write(FLEET_KEY, first)
        for name in self.objects.hosts:
            self.platform.store.set_host(name, "live")
        self.loop.run(5_000)
        for _ in range(2):
            self.add_control()
        entry = Node(self.loop, "entry", self)
        entry.add(FleetViewTask(("routes",)))
        entry.deliver("fleet_view", WatchRole(is_holder=True))
        self._place_work()

    @property
    def state(self) -> FleetState:
        """Return the current fleet record."""
        return self.states[-1][1]

    def holder(self) -> int:
        """Return the index of the process with the duty, else of the first alive."""
        for index, duty in enumerate(self.duties):
            node = self.nodes[index]
            if node.is_alive and not node.is_paused and duty.is_active:
                return index
        alive = [index for index, node in enumerate(self.nodes) if node.is_alive]
        return alive[0]

    def on_external_message(
        self, node: Node, sender: str, service: str, message: Any
    ) -> None:
        """Pass a message of a process to the fake of its service."""
        if service == "platform":
            self.platform.handle_call(node, sender, message)
        elif service == HOST_ACTIONS:
            self.hosts.handle_order(node, message)
        elif service == "routes":
            self.views.append((self.loop.now_ms(), message))

    def add_control(self) -> None:
        """Start a control process."""
        name = f"control-{len(self.nodes)}"
        node = Node(self.loop, name, self)
        duty = FleetDutyTask(ServiceHostActions(), name)
        self.nodes.append(node)
        self.duties.append(duty)
        node.add(FleetWriterTask())
        node.add(duty)
        node.add(DutyTask("fleet", name, ("fleet_duty",), seed=len(self.nodes)))
        self._send_objects(node, self.objects, 1)

    def send_command(self, action: FleetAction, at: int = -1) -> None:
        """Send an operator's command; `at` is an index into the live processes."""
        alive = [node for node in self.nodes if node.is_alive]
        self._commands += 1
        command = FleetCommand(f"operator:{self._commands}", "operator", action)
        fut: Future[Any] = Future()
        self.futures[command.command_id] = fut
        alive[at].deliver("fleet_writer", Call(command, fut))

    def publish(self, objects: ObjectSet, generation: int) -> None:
        """Send a configuration to all processes."""
        self.objects = objects
        for node in self.nodes:
            self._send_objects(node, objects, generation)

    def take_down(self, names: list[str], duration_ms: int) -> None:
        """Take hosts down for `duration_ms`."""
        for name in names:
            self.losses.append((self.loop.now_ms(), name))
            self.hosts.hosts[name].is_up = False
            self.platform.store.set_host(name, "down")
            self.loop.after(duration_ms, lambda n=name: self._restore(n))  # type: ignore[misc]

    def start(self, kind: str) -> None:
        """Begin the disruption under test; a wave begins on its own by its window."""
        if kind == "move":
            self.send_command(actions.StartMove("a0", "b"))
        elif kind == "drain":
            self.send_command(actions.Drain("a0"))

    def _restore(self, name: str) -> None:
        self.hosts.hosts[name].is_up = True
        self.platform.store.set_host(name, "live")

    def _send_objects(self, node: Node, objects: ObjectSet, generation: int) -> None:
        for service in ("fleet_writer", "fleet_duty"):
            node.deliver(service, ObjectsUpdate(objects, generation))

    def _on_write(self, key: str, value: bytes) -> None:
        if key != FLEET_KEY:
            return
        decoded = decode_fleet(value)
        if not isinstance(decoded, Ok):
            raise RuntimeError(f"the record cannot be read: {decoded}")
        state = decoded.value
        if self.states:
            self._check_moves(self.state, state)
        self.states.append((self.loop.now_ms(), state))

    def _check_moves(self, old: FleetState, new: FleetState) -> None:
        for name, pool in old.placements.items():
            if new.placements.get(name, pool) != pool and self.hosts.has_work(name):
                self.interruptions.append(f"7: {name} changed its pool with work on it")

    def _on_step_begun(self, name: str, step: HostStep) -> None:
        if step is not HostStep.REBOOT:
            return
        item = self.state.disruptions.get(name)
        if item is None or item.phase is not HostPhase.REBOOTING:
            self.interruptions.append(f"7: {name} was rebooted while it served")
        if self.hosts.has_work(name):
            self.interruptions.append(f"7: the reboot of {name} cut off work")

    def _place_work(self) -> None:
        """Place work on every host that entries may still consider in service.

        Entries may use a host for `LEAVING_LIMIT_MS` after its disruption begins.
        """
        self.loop.after(WORK_INTERVAL_MS, self._place_work)
        now_ms = self.loop.now_ms()
        disrupted = set(self.state.disruptions)
        for at_ms, state in reversed(self.states):
            if at_ms <= now_ms - LEAVING_LIMIT_MS:
                disrupted &= set(state.disruptions)
                break
            disrupted &= set(state.disruptions)
        for name, host in self.hosts.hosts.items():
            if name not in disrupted and host.is_up and not host.is_rebooting:
                self.hosts.add_work(name, WORK_MS)


def without_host(objects: ObjectSet, name: str) -> ObjectSet:
    """Return the configuration without the declaration of a host."""
    hosts = {key: host for key, host in objects.hosts.items() if key != name}
    return replace(objects, hosts=hosts)


def with_pool(objects: ObjectSet, name: str, pool: str) -> ObjectSet:
    """Return the configuration with a host declared in another pool."""
    hosts = {**objects.hosts, name: replace(objects.hosts[name], pool=pool)}
    return replace(objects, hosts=hosts)
