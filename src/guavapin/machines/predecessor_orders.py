"""Detects machines that a previous holder of the duty may have ordered recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.machines.model import MachineState
from guavapin.machines.order_record import MAX_ORDER_DELAY_MS

if TYPE_CHECKING:
    from guavapin.machines.model import Machine
    from guavapin.machines.order_record import RecordedOrders
    from guavapin.settings.resident import Times


class PredecessorOrders:
    """Separates the orders of two holders for one machine by `order_separation_ms`.

    An order takes a machine down for at least the shorter of a move and a maintenance.
    A machine that is up was therefore last ordered at least that long before it came
    up, and only the remaining time has to pass. An order that was refused, or may not
    have been carried out, does not take it down; the whole time has to pass then since
    this holder began, at `begin_ms`. No earlier order is more recent than that, so
    after the whole time every machine may be ordered, whenever it came up. Machines
    that are not in `recorded`, the record of the previous holder, need no separation;
    None stands for all machines.

    Maintenance that is recorded as open may begin until the last order for it can no
    longer be carried out, whatever this holder does meanwhile.
    """

    def __init__(
        self, times: Times, begin_ms: int, recorded: RecordedOrders | None = None
    ) -> None:
        self._recorded = recorded
        self._all_separated_ms = begin_ms + times.order_separation_ms
        self._maintenance_until_ms = begin_ms + MAX_ORDER_DELAY_MS
        shortest_ms = min(times.move_ms, times.maintenance_ms)
        self._min_uptime_ms = max(times.order_separation_ms - shortest_ms, 0)
        self._up_since_ms: dict[str, int] = {}
        # Machines that this holder has ordered; earlier holders no longer order them.
        self._own_orders: set[str] = set()

    def record_own_order(self, machine: str) -> None:
        """Record an order of this holder, after which no separation is needed."""
        self._own_orders.add(machine)

    def update_uptimes(
        self,
        previous_list: dict[str, Machine],
        machines: dict[str, Machine],
        now_ms: int,
    ) -> None:
        """Update since when each machine is up with its present executor."""
        for name, machine in machines.items():
            previous = previous_list.get(name)
            is_same = (
                previous is not None and previous.executor_id == machine.executor_id
            )
            if machine.state is not MachineState.UP:
                self._up_since_ms.pop(name, None)
            elif not is_same or name not in self._up_since_ms:
                self._up_since_ms[name] = now_ms

    def machines_ordered_for(self, wave: int, now_ms: int) -> frozenset[str]:
        """Return the machines whose maintenance in a wave may still begin."""
        if self._recorded is None or now_ms >= self._maintenance_until_ms:
            return frozenset()
        return frozenset(
            item.machine
            for item in self._recorded.open_maintenance
            if item.wave == wave
        )

    def has_separation_passed(self, name: str, now_ms: int) -> bool:
        """Return whether another holder's last order is long enough ago."""
        is_recorded = self._recorded is None or name in self._recorded.machines
        if name in self._own_orders or not is_recorded:
            return True
        if now_ms >= self._all_separated_ms:
            return True
        if self._recorded is not None and name in self._recorded.unsettled:
            return False
        return now_ms - self._up_since_ms.get(name, now_ms) >= self._min_uptime_ms
