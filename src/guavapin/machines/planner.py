"""Plans moves between pools and maintenance; a state machine without input or output.

Machines without demand move to the standby pool, where they cost nothing. Pools whose
jobs wait for capacity get machines from the standby pool or from pools with a surplus.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderRefusal
from guavapin.machines.pool_size import target_pool_size
from guavapin.machines.predecessor_orders import PredecessorOrders
from guavapin.machines.waves import WaveTracker
from guavapin.scheduling.messages import CordonHosts
from guavapin.scheduling.messages import HostLoad
from guavapin.scheduling.messages import PoolDemand

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.machines.model import Machine
    from guavapin.machines.model import MaintenanceWave
    from guavapin.machines.order_record import RecordedOrders
    from guavapin.scheduling.messages import FleetLoad
    from guavapin.settings.resident import Times

# Delay before an order is repeated after a refusal, for example of a busy machine.
ORDER_RETRY_MS = 500

# Idle time after which a machine leaves its pool. A move costs about as much as a
# machine in a second, and moving the machine back takes longer than that.
MIN_IDLE_MS = 1_200

# Number of further machines of a wave that are drained before the wave allows them to
# go down, if they have long-running work.
DRAIN_AHEAD = 2

# Time after an order during which the list of machines may still show the state before
# the order.
LIST_LAG_MS = 1_000

# Time for which the executors that are gone from the list are reported. No lease lasts
# as long.
UNLISTED_MS = 30_000


@dataclass(frozen=True, slots=True)
class Plan:
    """Actions that are due: hosts to cordon, moves, maintenance and wave statuses.

    `moves` are pairs of machine and target pool, `maintenance` pairs of machine and
    wave, and `statuses` pairs of wave and whether it is done.
    """

    cordon: CordonHosts
    moves: tuple[tuple[str, str], ...] = ()
    maintenance: tuple[tuple[str, int], ...] = ()
    statuses: tuple[tuple[int, bool], ...] = ()


@dataclass(frozen=True, slots=True)
class UnlistedExecutors:
    """Executors that earlier lists of machines named and the last one does not.

    The machines of `ended` are listed without them, those of `missing` are not listed.
    """

    ended: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _OpenOrder:
    """Order that is in flight or in effect.

    `pool` is the pool for which the machine counts meanwhile. `order` is None and
    `is_answered` set once the order was carried out. The order is repeated, or its
    effect is expected in the list, from `until_ms` on.
    """

    order: MoveMachine | MaintainMachine | None
    pool: str
    until_ms: int
    is_answered: bool = False


class Planner:
    """Plans the machines of all pools during one term of the scheduler.

    `recorded` are the machines that an earlier holder of the duty may have ordered
    recently, None if any machine may be among them.
    """

    def __init__(
        self, times: Times, now_ms: int, recorded: RecordedOrders | None = None
    ) -> None:
        self.waves = WaveTracker(times)
        self._times = times
        self._predecessor_orders = PredecessorOrders(times, now_ms, recorded)
        self._now_ms = now_ms
        # Until then, a machine that the previous scheduler ordered to maintenance just
        # before its term ended may be down before the list shows it as in maintenance.
        self._waves_start_ms = now_ms + times.maintenance_ms + LIST_LAG_MS
        self._machines: dict[str, Machine] = {}
        # Machine of each executor that is gone from the list, and when it was last in
        # it.
        self._unlisted: dict[str, tuple[str, int]] = {}
        self._orders: dict[str, _OpenOrder] = {}
        self._fenced_machines: set[str] = set()
        self._unconfirmed_moves: dict[str, str] = {}
        self._standby_pool = ""
        # Executor by ordered machine, as of the order, "" for a machine that was off:
        # the list may show the machine's next executor before the answer to the order
        # arrives.
        self._executor_at_order: dict[str, str] = {}

    def update_machines(
        self, machines: tuple[Machine, ...], now_ms: int
    ) -> UnlistedExecutors:
        """Replace the list of machines and return the executors that are gone from it.

        They are returned for `UNLISTED_MS`, since one list alone may be out of date.
        A machine gets a new executor each time it comes up. Once the machine is listed
        without its executor, or with another one, that executor has ended, unless the
        list is older than it. The answer to an order is no evidence of an end, since
        the order may have been carried out long before.
        """
        previous = self._machines
        self._machines = {machine.name: machine for machine in machines}
        self._predecessor_orders.update_uptimes(previous, self._machines, now_ms)
        listed = {
            machine.executor_id
            for machine in machines
            if machine.state is MachineState.UP and machine.executor_id
        }
        # A machine that is moving may be listed with the executor that comes up on it.
        for machine in previous.values():
            if machine.state is MachineState.UP and machine.executor_id:
                self._unlisted[machine.executor_id] = machine.name, now_ms
        self._unlisted = {
            executor_id: (name, seen_ms)
            for executor_id, (name, seen_ms) in self._unlisted.items()
            if executor_id not in listed and now_ms - seen_ms < UNLISTED_MS
        }
        for name in [*self._executor_at_order]:
            if name not in self._orders or self._executor_at_order[name] not in listed:
                del self._executor_at_order[name]
        for name, open_order in [*self._orders.items()]:
            if open_order.is_answered and now_ms >= open_order.until_ms:
                del self._orders[name]
        return UnlistedExecutors(
            tuple(
                executor_id
                for executor_id, (name, _) in self._unlisted.items()
                if name in self._machines
            ),
            tuple(
                executor_id
                for executor_id, (name, _) in self._unlisted.items()
                if name not in self._machines
            ),
        )

    def add_wave(self, wave: MaintenanceWave, now_ms: int) -> bool:
        """Add a maintenance wave of the operator, or apply a new value of it.

        Return whether the wave is new.
        """
        return self.waves.add(wave, now_ms)

    def record_status_write(self, wave: int, is_done: bool, is_written: bool) -> None:
        """Record whether the store accepted the status of a wave."""
        self.waves.record_status_write(wave, is_done, is_written)

    def record_completed_order(
        self, order: MoveMachine | MaintainMachine, now_ms: int
    ) -> None:
        """Record that an order was carried out, now or when it was sent before."""
        if isinstance(order, MaintainMachine):
            self.waves.record_start(order.wave, order.machine, now_ms)
            duration_ms = self._times.maintenance_ms
            pool = self._pool_of(order.machine)
        else:
            duration_ms, pool = self._times.move_ms, order.pool
        self._predecessor_orders.record_own_order(order.machine)
        until_ms = now_ms + duration_ms + LIST_LAG_MS
        self._orders[order.machine] = _OpenOrder(None, pool, until_ms, True)
        self._unconfirmed_moves.pop(order.machine, None)

    def record_failed_order(
        self,
        order: MoveMachine | MaintainMachine,
        refusal: OrderRefusal | None,
        now_ms: int,
    ) -> None:
        """Record that an order was refused, or got no answer if `refusal` is None.

        It is repeated, except for maintenance that the platform refuses because the
        wave does not have the machine, once the operator's wave agrees: until then, the
        two may differ in age. An order without an answer is repeated until it has one,
        since it may still be carried out. A machine whose order was refused by the
        fence gets no new order in this term.
        """
        if refusal is OrderRefusal.FENCED:
            self._fenced_machines.add(order.machine)
        if (
            isinstance(order, MaintainMachine)
            and refusal is OrderRefusal.NOT_IN_WAVE
            and not self.waves.includes(order.wave, order.machine)
        ):
            self.waves.cancel_order(order.wave, order.machine)
            self._orders.pop(order.machine, None)
            self._executor_at_order.pop(order.machine, None)
            return
        pool = self._pool_of(order.machine)
        until_ms = now_ms + ORDER_RETRY_MS
        self._orders[order.machine] = _OpenOrder(order, pool, until_ms)

    def plan(self, load: FleetLoad, table: QueueTable, now_ms: int) -> Plan:
        """Return the actions that are due for the present load."""
        hosts = {host.executor_id: host for host in load.hosts}
        statuses = self.waves.statuses(self._machines.keys())
        self._now_ms = now_ms
        if not self._machines:
            return Plan(CordonHosts(frozenset()), statuses=statuses)
        maintenance, draining, urgent = self._plan_waves(hosts, now_ms)
        moves = self._repeat_moves(now_ms)
        moves += self._plan_moves(load, hosts, table, now_ms, {*draining, *maintenance})
        cordoned = {
            *draining,
            *self._unconfirmed_moves,
            *self._executor_at_order,
            *maintenance,
        }
        return Plan(
            CordonHosts(self._executor_ids(cordoned), self._executor_ids(urgent)),
            tuple(moves),
            tuple(maintenance.items()),
            statuses,
        )

    def _plan_waves(
        self, hosts: dict[str, HostLoad], now_ms: int
    ) -> tuple[dict[str, int], set[str], set[str]]:
        """Return the wave of each machine to maintain now, and the machines to drain.

        The third value has the machines to drain whose wave cannot wait for their work.
        """
        maintenance = self._repeat_maintenance(now_ms)
        draining: set[str] = set()
        urgent: set[str] = set()
        may_order = now_ms >= self._waves_start_ms
        listed_down = [
            machine.name
            for machine in self._machines.values()
            if machine.state is MachineState.IN_MAINTENANCE
        ]
        for wave in self.waves.open_waves():
            # The list shows maintenance that began at the last moment after its lag.
            ordered_before = self._predecessor_orders.machines_ordered_for(
                wave.wave.number, now_ms - LIST_LAG_MS
            )
            down = wave.machines_down(
                self._machines.keys(), listed_down, ordered_before, now_ms
            )
            remaining = wave.remaining(self._machines.keys())
            # Work that started there would be ended by the order.
            draining |= ordered_before & set(remaining)
            due = self._machines_due(remaining, down, hosts)
            is_urgent = wave.is_urgent(len(due), now_ms)
            due_names = {machine.name for machine in due}
            start_count = wave.orders_allowed(down, due_names)
            # Long-running subtasks leave a host one at a time, each after the previous
            # one runs elsewhere, so draining starts before the wave allows the machine
            # to go down.
            for position, machine in enumerate(due[: start_count + DRAIN_AHEAD]):
                host = hosts.get(machine.executor_id)
                if position >= start_count or not may_order:
                    if host is not None and host.has_long_running:
                        draining.add(machine.name)
                        if is_urgent and position < start_count:
                            urgent.add(machine.name)
                elif self._is_drained(machine, host):
                    maintenance[machine.name] = wave.wave.number
                    self._record_maintenance_order(
                        machine.name, wave.wave.number, now_ms
                    )
                elif host is not None:
                    draining.add(machine.name)
                    if is_urgent:
                        urgent.add(machine.name)
        return maintenance, draining, urgent

    def _machines_due(
        self, remaining: list[str], down: set[str], hosts: dict[str, HostLoad]
    ) -> list[Machine]:
        """Return the `remaining` machines of a wave that may be ordered, in that order.

        A machine of `down`, which counts as down already, comes first: its order takes
        down no further machine, and an earlier order for it can no longer do so.
        """
        due = [
            machine
            for name in remaining
            if (machine := self._machines[name]).state is MachineState.UP
            and name not in self._orders
            and name not in self._fenced_machines
            and self._predecessor_orders.has_separation_passed(name, self._now_ms)
        ]
        return sorted(
            due,
            key=lambda machine: (
                machine.name not in down,
                self._disruption_cost(machine, hosts),
            ),
        )

    def _repeat_maintenance(self, now_ms: int) -> dict[str, int]:
        """Return the wave of each machine whose order to maintenance is to be repeated.

        The order is repeated until an answer arrives.
        """
        maintenance: dict[str, int] = {}
        for name, open_order in [*self._orders.items()]:
            order = open_order.order
            if not isinstance(order, MaintainMachine) or now_ms < open_order.until_ms:
                continue
            if name in self._fenced_machines or name not in self._machines:
                del self._orders[name]
                continue
            maintenance[name] = order.wave
            retry_ms = now_ms + ORDER_RETRY_MS * 4
            self._orders[name] = replace(open_order, until_ms=retry_ms)
        return maintenance

    def _is_drained(self, machine: Machine, host: HostLoad | None) -> bool:
        """Return whether it is certain that nothing runs on a machine.

        A host that does not answer may still run what an earlier scheduler started.
        """
        if host is None:
            return not machine.executor_id
        return host.is_usable and host.run_count == 0

    def _disruption_cost(
        self, machine: Machine, hosts: dict[str, HostLoad]
    ) -> tuple[int, bool, float, str]:
        """Return the sort key by which the least disruptive machine comes first."""
        host = hosts.get(machine.executor_id)
        if host is None:
            return (2 if machine.executor_id else 0, False, 0.0, machine.name)
        return (
            min(host.run_count, 1),
            host.has_long_running,
            host.used_share,
            machine.name,
        )

    def _plan_moves(
        self,
        load: FleetLoad,
        hosts: dict[str, HostLoad],
        table: QueueTable,
        now_ms: int,
        reserved: set[str],
    ) -> list[tuple[str, str]]:
        standby_pool = self._standby_pool = table.standby_pool
        moves: list[tuple[str, str]] = []
        if not standby_pool:
            return moves
        demands = {demand.pool: demand for demand in load.demands}
        machines_by_pool: dict[str, list[Machine]] = {}
        for machine in self._machines.values():
            open_order = self._orders.get(machine.name)
            if open_order is None and not self._is_available(machine, hosts, reserved):
                continue
            counted_pool = open_order.pool if open_order is not None else machine.pool
            machines_by_pool.setdefault(counted_pool, []).append(machine)
        surplus: list[Machine] = []
        shortages: dict[str, int] = {}
        for pool in table.pools:
            if pool.is_standby:
                continue
            machines = machines_by_pool.get(pool.name, [])
            demand = demands.get(pool.name, PoolDemand(pool.name))
            target = target_pool_size(demand, machines, hosts)
            idle = self._idle_machines(machines, hosts, reserved)
            if target > len(machines):
                shortages[pool.name] = target - len(machines)
            else:
                surplus.extend(idle[: len(machines) - target])
        standby_machines = [
            machine
            for machine in machines_by_pool.get(standby_pool, [])
            if self._is_orderable(machine, reserved)
        ]
        for pool_name, count in shortages.items():
            for _ in range(count):
                source = surplus if surplus else standby_machines
                if not source:
                    break
                machine = source.pop(0)
                moves.append((machine.name, pool_name))
        moves.extend(
            (machine.name, standby_pool)
            for machine in surplus
            if hosts[machine.executor_id].idle_ms >= MIN_IDLE_MS
        )
        return self._confirm_moves(moves, hosts, now_ms)

    def _confirm_moves(
        self, moves: list[tuple[str, str]], hosts: dict[str, HostLoad], now_ms: int
    ) -> list[tuple[str, str]]:
        """Return the moves of machines that are cordoned and without runs.

        Other machines are cordoned first, since a subtask could start on a machine
        between the load report and the order.
        """
        planned = dict(moves)
        self._unconfirmed_moves = {
            name: pool
            for name, pool in self._unconfirmed_moves.items()
            if name in planned
        }
        confirmed = []
        for name, pool in moves:
            host = hosts.get(self._machines[name].executor_id)
            if host is None or (host.is_cordoned and not host.run_count):
                confirmed.append((name, pool))
                self._executor_at_order[name] = self._machines[name].executor_id
                order = MoveMachine(name, pool, "", 0)
                self._orders[name] = _OpenOrder(
                    order, pool, now_ms + ORDER_RETRY_MS * 4
                )
            else:
                self._unconfirmed_moves[name] = pool
        return confirmed

    def _repeat_moves(self, now_ms: int) -> list[tuple[str, str]]:
        """Return moves to repeat, because they were refused or got no answer.

        A move without an answer may still be carried out late.
        """
        moves = []
        for name, open_order in [*self._orders.items()]:
            is_due = not open_order.is_answered and now_ms >= open_order.until_ms
            if not is_due or not isinstance(open_order.order, MoveMachine):
                continue
            if name in self._fenced_machines or name not in self._machines:
                del self._orders[name]
                continue
            moves.append((name, open_order.order.pool))
            retry_ms = now_ms + ORDER_RETRY_MS * 4
            self._orders[name] = _OpenOrder(open_order.order, open_order.pool, retry_ms)
        return moves

    def _record_maintenance_order(self, name: str, wave: int, now_ms: int) -> None:
        order = MaintainMachine(name, wave, "", 0)
        pool = self._pool_of(name)
        self._orders[name] = _OpenOrder(order, pool, now_ms + ORDER_RETRY_MS * 4)
        self.waves.record_order(wave, name)
        self._executor_at_order[name] = self._machines[name].executor_id

    def _idle_machines(
        self, machines: list[Machine], hosts: dict[str, HostLoad], reserved: set[str]
    ) -> list[Machine]:
        """Return machines without work that may be ordered, longest idle first."""
        idle = []
        for machine in machines:
            host = hosts.get(machine.executor_id)
            if host is None or host.run_count or not host.is_usable:
                continue
            if self._is_orderable(machine, reserved):
                idle.append((-host.idle_ms, machine.name, machine))
        return [machine for _, _, machine in sorted(idle, key=lambda row: row[:2])]

    def _is_available(
        self, machine: Machine, hosts: dict[str, HostLoad], reserved: set[str]
    ) -> bool:
        """Return whether a machine without an open order will accept work soon.

        A machine that is up but whose executor does not answer adds no capacity to its
        pool, nor does a machine that is being drained for maintenance.
        """
        if machine.state is MachineState.DOWN or machine.name in reserved:
            return False
        host = hosts.get(machine.executor_id)
        if host is not None:
            return host.is_usable
        return machine.state is not MachineState.UP or not self._is_active(machine)

    def _is_active(self, machine: Machine) -> bool:
        """Return whether a machine's pool is not standby; standby machines are off."""
        return machine.pool != self._standby_pool

    def _is_orderable(self, machine: Machine, reserved: set[str]) -> bool:
        return (
            machine.state is MachineState.UP
            and machine.name not in self._orders
            and machine.name not in reserved
            and machine.name not in self._fenced_machines
            and self._predecessor_orders.has_separation_passed(
                machine.name, self._now_ms
            )
        )

    def _pool_of(self, name: str) -> str:
        machine = self._machines.get(name)
        return machine.pool if machine is not None else ""

    def _executor_ids(self, names: set[str]) -> frozenset[str]:
        return frozenset(
            self._machines[name].executor_id for name in names if name in self._machines
        )
