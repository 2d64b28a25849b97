"""The service `machines`: orders moves and maintenance while this process schedules."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import PeerReply
from guavapin.kernel.decimal import parse_decimal
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
from guavapin.machines.model import OrderRefused
from guavapin.machines.model import Validity
from guavapin.machines.order_record import ORDERED_KEY
from guavapin.machines.order_record import OrderRecord
from guavapin.machines.order_record import RecordedOrders
from guavapin.machines.planner import Planner
from guavapin.machines.record_codec import decode_due
from guavapin.machines.record_codec import decode_ordered
from guavapin.machines.record_codec import encode_due
from guavapin.machines.record_codec import encode_ordered
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

# Records of started maintenance, so that a successor does not drain a machine again, as
# WAVE/MACHINE. The record WAVE holds the time at which the wave is due.
MAINTAINED_PREFIX = "maintained/"

# Interval between reads of the list, which shows the effect of the orders.
LIST_INTERVAL_MS = 700

# Timeout of a call. A healthy platform answers in a few milliseconds.
CALL_TIMEOUT_MS = 1_500

# Remaining time of the lease below which no order is sent. It is less than what is left
# of a lease of 1.5 s just before its renewal, and covers an answer of a slow platform.
MIN_ORDER_VALIDITY_MS = 500

# Delay before the record of orders is read again after a failure.
RECORD_RETRY_MS = 200

log = logging.getLogger("guavapin.machines")


class MachineCodec(Protocol):
    """Translates machine orders to HTTP calls and their answers; never raises."""

    def encode(
        self, reply_to: str, request_id: int, order: MachineOrder, validity: Validity
    ) -> PeerCall:
        """Return the HTTP call that carries an order."""
        ...

    def decode(self, order: MachineOrder, outcome: CallOutcome) -> MachineOutcome:
        """Return the outcome of an order; an unreadable answer is `OrderUnanswered`."""
        ...


class WaveCodec(Protocol):
    """Translates the operator's waves and their stored statuses; never raises."""

    @property
    def prefix(self) -> str:
        """Return the key prefix under which the operator stores waves."""
        ...

    def decode(self, value: bytes) -> MaintenanceWave | None:
        """Return the wave, or None if the value cannot be read."""
        ...

    def status_key(self, wave: int) -> str:
        """Return the key under which a wave's status is stored."""
        ...

    def encode_status(self, is_done: bool) -> bytes:
        """Return the value to store as the status of a wave, done or running."""
        ...


@dataclass(frozen=True, slots=True)
class _ReadRecord:
    """Timer: read the record of orders for the term with this token again."""

    token: int


class MachinesTask:
    """Service ``machines``; carries out the decisions of the planner.

    A machine gets no order until `order_separation_ms` after the last one that the
    previous holder of the duty may have sent for it. Every machine is recorded under
    `ORDERED_KEY` before it is ordered, so a successor has to wait only for those that
    are recorded. Platforms may carry out an order with a lower token than an earlier
    one, so orders are sent only under a confirmed lease, and none of them may be under
    way when it ends. `fence_key` is the key of the duty.
    """

    name = "machines"

    def __init__(
        self,
        codec: MachineCodec,
        wave_codec: WaveCodec,
        times: Times,
        holder: str,
        fence_key: str,
    ) -> None:
        self._fence_key = fence_key
        self._codec = codec
        self._wave_codec = wave_codec
        self._times = times
        self._holder = holder
        self._table: QueueTable | None = None
        self._planner: Planner | None = None
        self._record: OrderRecord | None = None
        self._record_request_id = 0
        # Orders for machines that are not recorded yet.
        self._unrecorded: list[MoveMachine | MaintainMachine] = []
        self._token = 0
        self._lease = DutyHeld("", 0, 0)
        self._request_id = 0
        self._sent_orders: dict[int, MachineOrder] = {}
        self._pages: list[Machine] = []
        self._listed_machines: dict[str, Machine] = {}
        self._is_listing = False
        self._listed_ms = 0
        self._list_requested_ms = 0
        self._cordoned: CordonHosts = CordonHosts(frozenset())
        self._status_writes: dict[int, tuple[int, bool]] = {}
        # Key and revision of each wave that the planner knows.
        self._wave_items: dict[int, kv.KeyRevision] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for a term."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop the planning state of the term."""
        self._planner = None

    def handle(self, message: object) -> None:
        """Handle a load report, a table, or a reply of the platform or the store."""
        match message:
            case FleetLoad():
                self._handle_load(message)
            case SchedulingEnded():
                self._end_term()
            case DutyHeld():
                self._lease = message
            case DutyLost():
                self._lease = DutyHeld("", 0, 0)
                self._abort_calls()
            case QueueTableChanged(table=table):
                self._table = table
            case PeerReply(request_id=request_id, outcome=outcome):
                order = self._sent_orders.pop(request_id, None)
                if order is not None:
                    self._handle_order_reply(order, self._codec.decode(order, outcome))
            case (
                PrefixListed(prefix=prefix, items=items)
                | PrefixChanged(prefix=prefix, items=items)
            ):
                if prefix == MAINTAINED_PREFIX:
                    self._handle_maintained(items)
                else:
                    self._handle_waves(items, isinstance(message, PrefixListed))
            case kv.Reply(request_id=request_id, outcome=outcome):
                if request_id == self._record_request_id:
                    self._handle_record_reply(outcome)
                else:
                    self._handle_status_reply(request_id, outcome)
            case _ReadRecord(token=token):
                if token == self._token and self._record is not None:
                    self._read_record()
            case _:
                raise InvariantError(f"machines: unexpected message {message!r}")

    def _handle_load(self, load: FleetLoad) -> None:
        now_ms = self._context.clock.now_ms()
        if self._record is None or load.token != self._token:
            self._begin_term(load.token)
        if self._planner is None or self._table is None:
            return
        if not self._is_listing and now_ms - self._listed_ms >= LIST_INTERVAL_MS:
            self._list_machines()
        if self._lease_left_ms(now_ms) < MIN_ORDER_VALIDITY_MS:
            self._drop_unrecorded(now_ms)
            return
        plan = self._planner.plan(load, self._table, now_ms)
        if plan.cordon != self._cordoned:
            self._cordoned = plan.cordon
            self._context.send("scheduler", plan.cordon)
        elif plan.cordon.executor_ids:
            # The message is repeated so that the scheduler goes on draining the hosts.
            self._context.send("scheduler", plan.cordon)
        for machine, pool in plan.moves:
            extra = {"machine": machine, "pool": pool, "token": self._token}
            log.info("machine ordered to move", extra=extra)
            self._queue_order(MoveMachine(machine, pool, self._holder, self._token))
        for machine, wave in plan.maintenance:
            extra = {"machine": machine, "wave": wave, "token": self._token}
            log.info("machine ordered to maintenance", extra=extra)
            self._queue_order(MaintainMachine(machine, wave, self._holder, self._token))
        self._send_recorded()
        for wave, is_done in plan.statuses:
            self._write_status(wave, is_done)

    def _list_machines(self) -> None:
        self._is_listing = True
        self._list_requested_ms = self._context.clock.now_ms()
        if self._record is not None:
            self._record.begin_list()
        self._pages = []
        self._send_order(ListMachines())

    def _begin_term(self, token: int) -> None:
        """Read the record of the previous holder; the planner begins after that."""
        self._end_term()
        self._token = token
        fence = kv.KeyRevision(self._fence_key, token)
        self._record = OrderRecord(fence, self._times.order_separation_ms)
        self._read_record()

    def _read_record(self) -> None:
        self._request_id += 1
        self._record_request_id = self._request_id
        self._context.send("platform", kv.Get(self.name, self._request_id, ORDERED_KEY))

    def _handle_record_reply(self, outcome: kv.PlatformOutcome) -> None:
        if self._record is None:
            return
        if self._record.is_loaded:
            self._handle_record_written(self._record, outcome)
            return
        recorded: RecordedOrders | None = RecordedOrders()
        revision = kv.NO_REVISION
        match outcome:
            case kv.Found(value=value, revision=revision):
                recorded = decode_ordered(value)
                if recorded is None:
                    log.error("record of orders cannot be read")
            case kv.Missing():
                pass
            case _:
                self._context.set_timer(RECORD_RETRY_MS, _ReadRecord(self._token))
                return
        now_ms = self._context.clock.now_ms()
        orders = recorded or RecordedOrders()
        extra = {
            "token": self._token,
            "recorded": len(orders.machines),
            "unsettled": len(orders.unsettled),
            "open_maintenance": len(orders.open_maintenance),
        }
        log.info("orders of the predecessor read", extra=extra)
        self._record.load(orders, revision, now_ms)
        self._planner = Planner(self._times, now_ms, recorded)
        self._context.send(FOLLOW_WAVES, Follow())
        self._context.send(FOLLOW_MAINTAINED, Follow())
        self._list_machines()

    def _handle_record_written(
        self, record: OrderRecord, outcome: kv.PlatformOutcome
    ) -> None:
        match outcome:
            case kv.Written(revision=revision):
                record.apply_written(revision)
            case kv.Mismatch(items=items):
                for item in items:
                    if item.key == ORDERED_KEY:
                        found = decode_ordered(item.value or b"[]")
                        record.apply_found(found or RecordedOrders(), item.revision)
            case kv.PermanentlyRefused():
                # The write is repeated with the next report of the load.
                log.error("record of orders refused", extra={"outcome": repr(outcome)})
                record.apply_failure()
                return
            case _:
                record.apply_failure()
        self._send_recorded()

    def _queue_order(self, order: MoveMachine | MaintainMachine) -> None:
        """Queue an order, in the place of an earlier one for the same machine."""
        self._unrecorded = [
            other for other in self._unrecorded if other.machine != order.machine
        ]
        self._unrecorded.append(order)

    def _send_recorded(self) -> None:
        """Send the orders for recorded machines, and record the other ones first."""
        if self._record is None or not self._record.is_loaded:
            return
        now_ms = self._context.clock.now_ms()
        if self._lease_left_ms(now_ms) < MIN_ORDER_VALIDITY_MS:
            self._drop_unrecorded(now_ms)
        unrecorded, self._unrecorded = self._unrecorded, []
        for order in unrecorded:
            wave = order.wave if isinstance(order, MaintainMachine) else None
            self._record.add(order.machine, now_ms + CALL_TIMEOUT_MS, wave)
            if self._record.covers(order.machine, wave):
                self._record.count_sent(order.machine)
                self._send_order(order)
            else:
                self._unrecorded.append(order)
        write = self._record.next_write(now_ms)
        if write is not None:
            self._request_id += 1
            self._record_request_id = self._request_id
            value = encode_ordered(write.orders)
            puts = (kv.KeyValue(ORDERED_KEY, value),)
            request = kv.Transact(self.name, self._request_id, write.expected, puts)
            self._context.send("platform", request)

    def _drop_unrecorded(self, now_ms: int) -> None:
        """Leave orders that were not sent to the planner, which repeats them."""
        unrecorded, self._unrecorded = self._unrecorded, []
        if self._planner is not None:
            for order in unrecorded:
                self._planner.record_failed_order(order, None, now_ms)

    def _end_term(self) -> None:
        if self._planner is not None:
            self._context.send(FOLLOW_WAVES, Unfollow())
            self._context.send(FOLLOW_MAINTAINED, Unfollow())
        self._planner = None
        self._record = None
        self._unrecorded.clear()
        self._abort_calls()
        self._status_writes.clear()
        self._wave_items.clear()
        self._listed_ms = 0
        self._cordoned = CordonHosts(frozenset())

    def _abort_calls(self) -> None:
        """End the calls in flight; the planner repeats orders without an answer."""
        if self._sent_orders:
            self._context.send("http", AbortCalls(self.name))
        self._sent_orders.clear()
        self._is_listing = False

    def _lease_left_ms(self, now_ms: int) -> int:
        is_current = self._lease.token == self._token
        return self._lease.until_ms - now_ms if is_current else 0

    def _handle_order_reply(self, order: MachineOrder, outcome: MachineOutcome) -> None:
        if self._planner is None:
            return
        now_ms = self._context.clock.now_ms()
        if isinstance(order, ListMachines):
            self._handle_page(outcome, now_ms)
            return
        extra = {"machine": order.machine, "outcome": repr(outcome)}
        log.info("machine order answered", extra=extra)
        if isinstance(outcome, OrderDone):
            self._planner.record_completed_order(order, now_ms)
            if self._record is not None:
                self._record.settle(order.machine)
            if isinstance(order, MaintainMachine):
                if self._record is not None:
                    self._record.close_maintenance(order.wave, order.machine)
                self._record_maintained(order)
            # Only a new list shows whether the order ended the present executor or had
            # been carried out before, so it is read at once.
            self._listed_ms = 0
        else:
            refusal = outcome.kind if isinstance(outcome, OrderRefused) else None
            self._planner.record_failed_order(order, refusal, now_ms)

    def _handle_page(self, outcome: MachineOutcome, now_ms: int) -> None:
        assert self._planner is not None
        if not isinstance(outcome, MachinePage):
            log.info("machines not listed", extra={"outcome": repr(outcome)})
            self._is_listing = False
            self._listed_ms = now_ms
            return
        self._pages.extend(outcome.machines)
        if outcome.next_page:
            self._send_order(ListMachines(outcome.next_page))
            return
        self._is_listing = False
        self._listed_ms = now_ms
        self._log_changes()
        unlisted = self._planner.update_machines(tuple(self._pages), now_ms)
        if self._record is not None:
            self._record.apply_list(
                {
                    machine.name
                    for machine in self._pages
                    if machine.state is not MachineState.UP
                }
            )
        working = [
            machine
            for machine in self._pages
            if machine.state is MachineState.UP and machine.executor_id
        ]
        pools = tuple((machine.executor_id, machine.pool) for machine in working)
        capacities = tuple(machine.capacity for machine in working)
        off = tuple(
            machine.capacity
            for machine in self._pages
            if machine.state is not MachineState.UP or not machine.executor_id
        )
        listed = MachinesListed(
            pools,
            unlisted.ended,
            capacities,
            off,
            unlisted.missing,
            self._list_requested_ms,
        )
        self._context.send("scheduler", listed)

    def _log_changes(self) -> None:
        listed = {machine.name: machine for machine in self._pages}
        for name, machine in listed.items():
            previous = self._listed_machines.get(name)
            if previous is not None and previous != machine:
                extra = {
                    "machine": name,
                    "state": machine.state.value,
                    "pool": machine.pool,
                    "executor": machine.executor_id,
                    "former_executor": previous.executor_id,
                }
                log.info("machine changed", extra=extra)
        self._listed_machines = listed

    def _handle_waves(self, items: tuple[kv.Item, ...], is_complete: bool) -> None:
        """Apply the operator's waves; a complete list names all that there are."""
        if self._planner is None:
            return
        if is_complete:
            listed = {item.key for item in items}
            for number in self._planner.waves.numbers:
                if self._wave_items[number].key not in listed:
                    self._remove_wave(number)
        for item in items:
            if item.value is not None:
                self._apply_wave(self._planner, item, item.value)
                continue
            for number in self._planner.waves.numbers:
                if self._wave_items[number].key == item.key:
                    self._remove_wave(number)

    def _apply_wave(self, planner: Planner, item: kv.Item, value: bytes) -> None:
        """Add a wave, or apply its new value; one that cannot be read is left as is."""
        wave = self._wave_codec.decode(value)
        if wave is None:
            log.error("wave cannot be read", extra={"key": item.key})
            return
        former = self._wave_items.get(wave.number)
        self._wave_items[wave.number] = kv.KeyRevision(item.key, item.revision)
        if planner.add_wave(wave, self._context.clock.now_ms()):
            self._record_due(wave)
        elif former is not None and former.revision != item.revision:
            extra = {"wave": wave.number, "machines": len(wave.machines)}
            log.info("wave changed", extra=extra | {"cap": wave.max_at_once})

    def _remove_wave(self, number: int) -> None:
        if self._planner is not None:
            log.info("wave removed", extra={"wave": number})
            self._planner.waves.remove(number)

    def _handle_maintained(self, items: tuple[kv.Item, ...]) -> None:
        # The listing is needed once: later changes are writes of this process.
        self._context.send(FOLLOW_MAINTAINED, Unfollow())
        if self._planner is None:
            return
        for item in items:
            name, _, machine = item.key.removeprefix(MAINTAINED_PREFIX).partition("/")
            wave = parse_decimal(name)
            if wave is not None and machine:
                self._planner.waves.add_maintained(wave, machine)
            elif wave is not None:
                self._limit_due(wave, item.value or b"")

    def _limit_due(self, wave: int, value: bytes) -> None:
        """Apply the time at which a wave is due, as an earlier scheduler stored it."""
        due_wall_ms = decode_due(value)
        if due_wall_ms is None:
            log.error("time of wave cannot be read", extra={"wave": wave})
        elif self._planner is not None:
            clock = self._context.clock
            due_ms = clock.now_ms() + due_wall_ms - clock.wall_ms()
            self._planner.waves.limit_due(wave, due_ms)

    def _record_due(self, wave: MaintenanceWave) -> None:
        """Store when a wave is due, unless an earlier scheduler has stored it."""
        self._request_id += 1
        key = f"{MAINTAINED_PREFIX}{wave.number}"
        due_wall_ms = self._context.clock.wall_ms() + wave.duration_ms
        expected = (kv.KeyRevision(key, kv.NO_REVISION),)
        puts = (kv.KeyValue(key, encode_due(due_wall_ms)),)
        # The write is not retried: if it is lost, a successor takes the wave as new.
        request = kv.Transact(self.name, self._request_id, expected, puts)
        self._context.send("platform", request)

    def _record_maintained(self, order: MaintainMachine) -> None:
        self._request_id += 1
        key = f"{MAINTAINED_PREFIX}{order.wave}/{order.machine}"
        puts = (kv.KeyValue(key, b"1"),)
        # The write is not retried: if it is lost, a successor repeats the order, which
        # then has no effect.
        self._context.send(
            "platform", kv.Transact(self.name, self._request_id, (), puts)
        )

    def _write_status(self, wave: int, is_done: bool) -> None:
        """Write the status of a wave; done only for the value that was judged.

        The operator may add a machine at the same time.
        """
        log.info("wave status", extra={"wave": wave, "done": is_done})
        self._request_id += 1
        self._status_writes[self._request_id] = (wave, is_done)
        key = self._wave_codec.status_key(wave)
        value = self._wave_codec.encode_status(is_done)
        expected = (self._wave_items[wave],) if is_done else ()
        request = kv.Transact(
            self.name, self._request_id, expected, (kv.KeyValue(key, value),)
        )
        self._context.send("platform", request)

    def _handle_status_reply(
        self, request_id: int, outcome: kv.PlatformOutcome
    ) -> None:
        write = self._status_writes.pop(request_id, None)
        if self._planner is not None and write is not None:
            wave, is_done = write
            is_written = isinstance(outcome, kv.Written)
            self._planner.record_status_write(wave, is_done, is_written)

    def _send_order(self, order: MachineOrder) -> None:
        self._request_id += 1
        self._sent_orders[self._request_id] = order
        now_ms = self._context.clock.now_ms()
        timeout_ms = CALL_TIMEOUT_MS
        if not isinstance(order, ListMachines):
            timeout_ms = min(timeout_ms, self._lease_left_ms(now_ms))
        validity = Validity(timeout_ms, now_ms + timeout_ms)
        call = self._codec.encode(self.name, self._request_id, order, validity)
        self._context.send("http", call)
