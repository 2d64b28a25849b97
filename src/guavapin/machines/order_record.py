"""The stored record of the machines that holders of the duty have ordered recently.

Answers the load pattern of a takeover while demand moves between pools: without the
record a successor would have to wait for every machine as long as two holders must be
apart, although its predecessor has ordered only a few of them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.keyvalue import messages as kv
from guavapin.machines.model import WaveMachine

if TYPE_CHECKING:
    from collections.abc import Collection

ORDERED_KEY = "machines/ordered"

# Minimum interval between two writes that only remove or settle recorded machines.
PRUNE_INTERVAL_MS = 1_000

# Maximum time by which the platform carries out an order after the call has ended
# without an answer. An order whose answer was lost may take effect 2 to 12 s later.
MAX_ORDER_DELAY_MS = 12_000


@dataclass(frozen=True, slots=True)
class RecordedOrders:
    """Machines that were ordered, and those that their orders may not have taken down.

    The latter are `unsettled`. The maintenance of each of `open_maintenance` was
    ordered, and is not known to have been carried out; it may still begin.
    """

    machines: frozenset[str] = frozenset()
    unsettled: frozenset[str] = frozenset()
    open_maintenance: frozenset[WaveMachine] = frozenset()


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """Write of the record, which expects these revisions."""

    expected: tuple[kv.KeyRevision, ...]
    orders: RecordedOrders


class OrderRecord:
    """Record of one term; a state machine without input or output.

    A machine is recorded before it is ordered, and for `separation_ms` after its last
    order has ended. Until a list shows that an order took the machine down, it is
    recorded as unsettled: a refused order does not take it down, nor does one that the
    platform answers as carried out because an earlier one was, so that the time since
    it came up does not bound the age of the order. Maintenance is recorded as open
    until an order for it was carried out, or the last one is too old for that.
    Every write expects the duty's key at the revision of the term, so the record does
    not change any more once a successor has read it.
    """

    def __init__(self, fence: kv.KeyRevision, separation_ms: int) -> None:
        self._fence = fence
        self._separation_ms = separation_ms
        self._revision = kv.NO_REVISION
        self._is_loaded = False
        # Time at which the last order of each machine has ended at the latest.
        self._ordered_until_ms: dict[str, int] = {}
        self._unsettled: set[str] = set()
        # Number of orders that were sent for each unsettled machine. The platform
        # reports a repeated order as carried out if an earlier one was.
        self._sent_orders: Counter[str] = Counter()
        # Machines that an order of the predecessor may still take down.
        self._earlier_unsettled: frozenset[str] = frozenset()
        self._earlier_until_ms = 0
        # Machines whose only order was answered as carried out, and those of them whose
        # answer came before the present list was requested.
        self._answered: set[str] = set()
        self._answered_before_list: frozenset[str] = frozenset()
        # Time after which no order that was sent can begin the maintenance any more.
        self._open_maintenance_until_ms: dict[WaveMachine, int] = {}
        self._stored = RecordedOrders()
        self._in_flight: RecordWrite | None = None
        self._must_resend = False
        self._written_ms = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the record of the predecessor has been read."""
        return self._is_loaded

    def load(self, orders: RecordedOrders, revision: int, now_ms: int) -> None:
        """Take over the record as the predecessor left it, at its revision."""
        self._is_loaded = True
        self._stored, self._revision = orders, revision
        self._unsettled = set(orders.unsettled)
        self._earlier_unsettled = orders.unsettled
        self._earlier_until_ms = now_ms + MAX_ORDER_DELAY_MS
        self._ordered_until_ms = dict.fromkeys(orders.machines, now_ms)
        self._open_maintenance_until_ms = dict.fromkeys(
            orders.open_maintenance, now_ms + MAX_ORDER_DELAY_MS
        )

    def add(self, machine: str, until_ms: int, wave: int | None = None) -> None:
        """Add an order for a machine that ends at `until_ms` at the latest.

        It is an order to maintenance if `wave` is a number, otherwise one to move.
        """
        known_ms = self._ordered_until_ms.get(machine, until_ms)
        self._ordered_until_ms[machine] = max(known_ms, until_ms)
        self._unsettled.add(machine)
        if wave is not None:
            item = WaveMachine(wave, machine)
            self._open_maintenance_until_ms[item] = until_ms + MAX_ORDER_DELAY_MS

    def count_sent(self, machine: str) -> None:
        """Count an order for a machine that is sent now."""
        self._sent_orders[machine] += 1
        self._answered.discard(machine)

    def settle(self, machine: str) -> None:
        """Apply that an order for a machine was answered as carried out.

        The machine stays unsettled until a list shows that its only order took it down.
        """
        is_only = machine not in self._earlier_unsettled
        if self._sent_orders[machine] == 1 and is_only:
            self._answered.add(machine)

    def begin_list(self) -> None:
        """Apply that a list of the machines is requested."""
        self._answered_before_list = frozenset(self._answered)

    def apply_list(self, down: Collection[str]) -> None:
        """Apply the requested list, in which the machines of `down` are not up.

        A machine is ordered only while it is up, so its order has taken it down.
        """
        for machine in self._answered & self._answered_before_list & set(down):
            self._answered.discard(machine)
            self._unsettled.discard(machine)
            del self._sent_orders[machine]

    def close_maintenance(self, wave: int, machine: str) -> None:
        """Apply that the maintenance of a machine was carried out.

        Further orders for it have no effect.
        """
        self._open_maintenance_until_ms.pop(WaveMachine(wave, machine), None)

    def covers(self, machine: str, wave: int | None = None) -> bool:
        """Return whether an order is recorded, and stays so.

        The record then has the machine as unsettled. For an order to maintenance in
        `wave`, it also has that maintenance as open.
        """
        records = [self._stored]
        if self._in_flight is not None:
            records.append(self._in_flight.orders)
        return all(
            machine in orders.unsettled
            and (wave is None or WaveMachine(wave, machine) in orders.open_maintenance)
            for orders in records
        )

    def next_write(self, now_ms: int) -> RecordWrite | None:
        """Return the write that is due, None if there is none or one is in flight."""
        if self._in_flight is not None:
            is_due, self._must_resend = self._must_resend, False
            return self._in_flight if is_due else None
        oldest_ms = now_ms - self._separation_ms
        self._ordered_until_ms = {
            machine: until_ms
            for machine, until_ms in self._ordered_until_ms.items()
            if until_ms >= oldest_ms
        }
        self._open_maintenance_until_ms = {
            item: until_ms
            for item, until_ms in self._open_maintenance_until_ms.items()
            if until_ms >= now_ms
        }
        machines = frozenset(self._ordered_until_ms)
        self._unsettled &= machines
        self._answered &= machines
        for machine in self._sent_orders.keys() - machines:
            del self._sent_orders[machine]
        if now_ms >= self._earlier_until_ms:
            self._earlier_unsettled = frozenset()
        orders = RecordedOrders(
            machines,
            frozenset(self._unsettled),
            frozenset(self._open_maintenance_until_ms),
        )
        stored = self._stored
        is_prune = (
            machines <= stored.machines
            and orders.unsettled <= stored.unsettled
            and orders.open_maintenance <= stored.open_maintenance
        )
        is_prune_due = now_ms - self._written_ms >= PRUNE_INTERVAL_MS
        if orders == stored or (is_prune and not is_prune_due):
            return None
        record = kv.KeyRevision(ORDERED_KEY, self._revision)
        self._in_flight = RecordWrite((self._fence, record), orders)
        self._written_ms = now_ms
        return self._in_flight

    def apply_written(self, revision: int) -> None:
        """Apply that the write in flight took effect at `revision`."""
        if self._in_flight is not None:
            self._stored, self._revision = self._in_flight.orders, revision
            self._in_flight = None

    def apply_found(self, orders: RecordedOrders, revision: int) -> None:
        """Apply the record that the store holds, after it refused a write.

        Another revision is that of a write whose answer was lost. If the record is as
        expected, the duty's key is not: a successor holds the duty, and no write of
        this term can succeed any more.
        """
        if revision != self._revision:
            self._stored, self._revision = orders, revision
            self._in_flight = None

    def apply_failure(self) -> None:
        """Apply that the write in flight got no answer, so that it is sent again."""
        self._must_resend = self._in_flight is not None
