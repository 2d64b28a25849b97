"""The service `machines`: moves and maintenance while this process schedules."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.http.messages import PeerReply
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import Follow
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.keyvalue.follower import Unfollow
from guavapin.machines.model import ListMachines
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderDone
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import OrderRefused
from guavapin.machines.planner import Planner
from guavapin.scheduling.messages import CordonHosts
from guavapin.scheduling.messages import FleetLoad
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.scheduling.messages import SchedulingEnded

if TYPE_CHECKING:
    from guavapin.http.messages import CallOutcome
    from guavapin.http.messages import PeerCall
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.machines.model import Machine
    from guavapin.machines.model import MachineOrder
    from guavapin.machines.model import MachineOutcome
    from guavapin.machines.model import MaintenanceWave
    from guavapin.settings.resident import Times

FOLLOW_WAVES = "follow_waves"
FOLLOW_MAINTAINED = "follow_maintained"

# Machines whose maintenance has begun, so that a successor does not empty them again.
MAINTAINED_PREFIX = "maintained/"

# The list is read this often; it shows what the platform has done with the orders.
LIST_MS = 700

# Bounds a call; the platform answers in a few milliseconds when it is well.
CALL_TIMEOUT_MS = 1_500

log = logging.getLogger("guavapin.machines")


class MachineWire(Protocol):
    """Translates orders for machines to calls; never raises."""

    def encode(
        self, reply_to: str, request_id: int, order: MachineOrder, timeout_ms: int
    ) -> PeerCall:
        """Return the call of an order."""
        ...

    def decode(self, order: MachineOrder, outcome: CallOutcome) -> MachineOutcome:
        """Return the outcome of a call."""
        ...


class WaveWire(Protocol):
    """Translates the operator's waves and what is said of them; never raises."""

    @property
    def prefix(self) -> str:
        """Return the prefix of the waves' keys."""
        ...

    def decode(self, value: bytes) -> MaintenanceWave | None:
        """Return a wave, None if it cannot be read."""
        ...

    def status_key(self, wave: int) -> str:
        """Return the key of a wave's status."""
        ...

    def encode_status(self, is_done: bool) -> bytes:
        """Return the status of a wave."""
        ...


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer of one term."""

    token: int


class MachinesTask:
    """Service ``machines``; the planner decides, this task carries out.

    No order is given until `order_turn_ms` after the term began, since the holder
    before may have ordered the same machine.
    """

    name = "machines"

    def __init__(
        self, wire: MachineWire, waves: WaveWire, times: Times, holder: str
    ) -> None:
        self._wire = wire
        self._waves = waves
        self._times = times
        self._holder = holder
        self._table: QueueTable | None = None
        self._planner: Planner | None = None
        self._token = 0
        self._number = 0
        self._calls: dict[int, MachineOrder] = {}
        self._pages: list[Machine] = []
        self._known: dict[str, Machine] = {}
        self._is_listing = False
        self._listed_ms = 0
        self._cordoned: CordonHosts = CordonHosts(frozenset())
        self._status_calls: dict[int, tuple[int, bool]] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for a term."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Forget the term."""
        self._planner = None

    def handle(self, message: object) -> None:
        """Take a message of any of the services around."""
        match message:
            case FleetLoad():
                self._take_load(message)
            case SchedulingEnded():
                self._end()
            case QueueTableChanged(table=table):
                self._table = table
            case PeerReply(request_id=number, outcome=outcome):
                order = self._calls.pop(number, None)
                if order is not None:
                    self._take_outcome(order, self._wire.decode(order, outcome))
            case (
                PrefixListed(prefix=prefix, items=items)
                | PrefixChanged(prefix=prefix, items=items)
            ):
                if prefix == MAINTAINED_PREFIX:
                    self._take_maintained(items)
                else:
                    self._take_waves(items)
            case kv.Reply(request_id=number, outcome=outcome):
                self._take_status_written(number, outcome)
            case _:
                raise InvariantError(f"machines: unexpected message {message!r}")

    def _take_load(self, load: FleetLoad) -> None:
        now_ms = self._context.clock.now_ms()
        if self._planner is None or load.token != self._token:
            self._end()
            self._token = load.token
            self._planner = Planner(self._times, now_ms)
            self._context.send(FOLLOW_WAVES, Follow())
            self._context.send(FOLLOW_MAINTAINED, Follow())
        if self._table is None:
            return
        if not self._is_listing and now_ms - self._listed_ms >= LIST_MS:
            self._is_listing = True
            self._pages = []
            self._call(ListMachines())
        plan = self._planner.plan(load, self._table, now_ms)
        if plan.cordon != self._cordoned:
            self._cordoned = plan.cordon
            self._context.send("scheduler", plan.cordon)
        elif plan.cordon.executor_ids:
            # Repeated, so that the scheduler goes on emptying these hosts.
            self._context.send("scheduler", plan.cordon)
        for machine, pool in plan.moves:
            extra = {"machine": machine, "pool": pool, "token": self._token}
            log.info("machine ordered to move", extra=extra)
            self._call(MoveMachine(machine, pool, self._holder, self._token))
        for machine, wave in plan.maintenance:
            extra = {"machine": machine, "wave": wave, "token": self._token}
            log.info("machine ordered to maintenance", extra=extra)
            self._call(MaintainMachine(machine, wave, self._holder, self._token))
        for wave, is_done in plan.statuses:
            self._write_status(wave, is_done)

    def _end(self) -> None:
        if self._planner is not None:
            self._context.send(FOLLOW_WAVES, Unfollow())
            self._context.send(FOLLOW_MAINTAINED, Unfollow())
        self._planner = None
        self._calls.clear()
        self._status_calls.clear()
        self._is_listing = False
        self._listed_ms = 0
        self._cordoned = CordonHosts(frozenset())

    def _take_outcome(self, order: MachineOrder, outcome: MachineOutcome) -> None:
        if self._planner is None:
            return
        now_ms = self._context.clock.now_ms()
        if isinstance(order, ListMachines):
            self._take_page(outcome, now_ms)
            return
        extra = {"machine": order.machine, "outcome": repr(outcome)}
        log.info("machine order answered", extra=extra)
        if isinstance(outcome, OrderDone):
            self._planner.take_done(order, now_ms)
            if isinstance(order, MaintainMachine):
                self._record_maintained(order)
            # The list shows whether the order ended the executor or had been carried
            # out before.
            self._listed_ms = 0
        else:
            is_fenced = outcome == OrderRefused(OrderRefusal.FENCED)
            self._planner.take_refused(order, is_fenced, now_ms)

    def _take_page(self, outcome: MachineOutcome, now_ms: int) -> None:
        assert self._planner is not None
        if not isinstance(outcome, MachinePage):
            log.info("machines not listed", extra={"outcome": repr(outcome)})
            self._is_listing = False
            self._listed_ms = now_ms
            return
        self._pages.extend(outcome.machines)
        if outcome.next_page:
            self._call(ListMachines(outcome.next_page))
            return
        self._is_listing = False
        self._listed_ms = now_ms
        self._log_changes()
        ended = self._planner.take_machines(tuple(self._pages), now_ms)
        pools = tuple(
            (machine.executor_id, machine.pool)
            for machine in self._pages
            if machine.state is MachineState.UP and machine.executor_id
        )
        self._context.send("scheduler", MachinesListed(pools, ended))

    def _log_changes(self) -> None:
        listed = {machine.name: machine for machine in self._pages}
        for name, machine in listed.items():
            known = self._known.get(name)
            if known is not None and known != machine:
                extra = {
                    "machine": name,
                    "state": machine.state.value,
                    "pool": machine.pool,
                    "executor": machine.executor_id,
                    "former_executor": known.executor_id,
                }
                log.info("machine changed", extra=extra)
        self._known = listed

    def _take_waves(self, items: tuple[kv.Item, ...]) -> None:
        if self._planner is None:
            return
        now_ms = self._context.clock.now_ms()
        for item in items:
            wave = self._waves.decode(item.value) if item.value is not None else None
            if wave is not None:
                self._planner.take_wave(wave, now_ms)
            elif item.value is not None:
                log.error("wave cannot be read", extra={"key": item.key})

    def _take_maintained(self, items: tuple[kv.Item, ...]) -> None:
        # The list is needed once; changes are this process's own.
        self._context.send(FOLLOW_MAINTAINED, Unfollow())
        if self._planner is None:
            return
        for item in items:
            wave, _, machine = item.key.removeprefix(MAINTAINED_PREFIX).partition("/")
            if wave.isdigit():
                self._planner.waves.take_maintained(int(wave), machine)

    def _record_maintained(self, order: MaintainMachine) -> None:
        self._number += 1
        key = f"{MAINTAINED_PREFIX}{order.wave}/{order.machine}"
        puts = (kv.KeyValue(key, b"1"),)
        # Without an answer a successor repeats the order, which has no effect then.
        self._context.send("platform", kv.Transact(self.name, self._number, (), puts))

    def _write_status(self, wave: int, is_done: bool) -> None:
        log.info("wave status", extra={"wave": wave, "done": is_done})
        self._number += 1
        self._status_calls[self._number] = (wave, is_done)
        key = self._waves.status_key(wave)
        value = self._waves.encode_status(is_done)
        request = kv.Transact(self.name, self._number, (), (kv.KeyValue(key, value),))
        self._context.send("platform", request)

    def _take_status_written(self, number: int, outcome: kv.PlatformOutcome) -> None:
        wave, is_done = self._status_calls.pop(number, (0, False))
        if self._planner is not None and wave:
            is_written = isinstance(outcome, kv.Written)
            self._planner.take_status(wave, is_done, is_written)

    def _call(self, order: MachineOrder) -> None:
        self._number += 1
        self._calls[self._number] = order
        call = self._wire.encode(self.name, self._number, order, CALL_TIMEOUT_MS)
        self._context.send("http", call)
