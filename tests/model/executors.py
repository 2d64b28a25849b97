"""Model of executors and machines whose orders are lost or arrive late."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import msgspec

from guavapin.executors.model import EndKind
from guavapin.executors.model import HostAnswer
from guavapin.executors.model import HostOrder
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Registration
from guavapin.executors.model import Start
from guavapin.executors.model import Stop
from guavapin.http.address import is_address
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import PeerReply
from guavapin.machines.model import ListMachines
from guavapin.machines.model import Machine
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MaintenanceWave
from guavapin.machines.model import OrderDone
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import OrderRefused
from guavapin.machines.model import OrderUnanswered
from guavapin.platform.bodies import encode_body
from guavapin.platform.manifest import REGISTRY_PREFIX
from guavapin.platform.manifest import decode_registration
from tests.model.caps import check_cap
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TIMES
from tests.scheduling.simulation import FakeExecutor

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Step
    from guavapin.jobs.model import Subtask
    from guavapin.machines.model import Validity
    from tests.model.waves import Waves
    from tests.model.world import Node
    from tests.model.world import World

LOST_SHARE = 0.03
STEP_MS = 20

# Time after which an order that got no answer is carried out.
LATE_ORDER_MS = (2_000, 12_000)

# State of a machine in the model's row of it.
MACHINE_STATES = (MachineState.UP, MachineState.MOVING, MachineState.IN_MAINTENANCE)

# Time of silence after which the store removes an entry of the registry.
REGISTRATION_TTL_MS = 4_500

# Longest lease of an executor without a bound: longer than any play.
UNBOUNDED_MS = 10**9

# Duration of a long-running subtask's run: longer than any play.
LASTING_RUN_MS = 10**9


@dataclass(frozen=True)
class ExecutorClock:
    """Clock of one life of an executor, by default that of the world."""

    started_ms: int = 0
    rate: float = 1.0

    def at(self, now_ms: int) -> int:
        """Return the time that the clock shows."""
        return int((now_ms - self.started_ms) * self.rate)


@dataclass
class ModelExecutor(FakeExecutor):
    """Executor with the start and the duration of each run.

    An order extends its lease to `max_lease_ms` from the arrival at most.
    """

    machine: str = ""
    reaches_store: bool = True
    registered_ms: int = 0
    is_alive: bool = True
    ends_ms: dict = field(default_factory=dict)
    # Subtask and time of each end `done` that may still be confirmed, by number.
    done: dict = field(default_factory=dict)
    clock: ExecutorClock = ExecutorClock()
    max_lease_ms: int = UNBOUNDED_MS


@dataclass(frozen=True)
class ModelCall:
    """Call of a `MachinesTask` in the place of an HTTP request."""

    request_id: int
    order: Any
    validity: Validity


class MachineCodec:
    """Passes machine orders and their outcomes on as they are."""

    def encode(
        self, reply_to: str, request_id: int, order: Any, validity: Validity
    ) -> ModelCall:
        return ModelCall(request_id, order, validity)

    def decode(self, order: Any, outcome: Any) -> Any:
        return outcome


class WaveCodec:
    """Stores waves as they are."""

    prefix = "op/wave/"

    def decode(self, value: bytes) -> MaintenanceWave:
        return msgspec.json.decode(value, type=MaintenanceWave)

    def status_key(self, wave: int) -> str:
        return f"status/wave/{wave}"

    def encode_status(self, is_done: bool) -> bytes:
        return b"done" if is_done else b"running"


class Paths(Protocol):
    """The ways of orders to executors, and what a list of machines shows."""

    def address(self, executor: ModelExecutor) -> str:
        """Return the address in the entry of an executor."""
        ...

    def deliver(self, node: Node, order: HostOrder) -> None:
        """Carry an order that is not lost to its address."""
        ...

    def list_machines(self) -> MachinePage:
        """Return the machines as a list shows them that is requested now."""
        ...


class DirectPaths:
    """Each executor has an address of its own, and lists are never out of date."""

    def __init__(self, world: World, fleet: Fleet) -> None:
        self._world, self._fleet = world, fleet

    def address(self, executor: ModelExecutor) -> str:
        return f"{executor.executor_id}:1"

    def deliver(self, node: Node, order: HostOrder) -> None:
        world = self._world
        world.schedule(world.latency_ms(), self._fleet.arrive, node, order)

    def list_machines(self) -> MachinePage:
        return MachinePage(self._fleet.list_machines(), "")


class Fleet:
    """Executors on machines; also decodes the registry for the schedulers."""

    prefix = REGISTRY_PREFIX

    def __init__(self, world: World, machines: int) -> None:
        self._world = world
        self.paths: Paths = DirectPaths(world, self)
        # Ends in one answer of an executor, at most.
        self.max_listed_ends = 500
        # Bounds of the duration of most runs.
        self.shortest_run_ms = 200
        self.longest_run_ms = 2_500
        # Share of the runs that may outlast a lease.
        self.outlasting_share = 0.03
        # Share of the runs that end as failed.
        self.failing_share = 0.0
        self._failures: Counter[Subtask] = Counter()
        self.started_jobs: set[str] = set()
        # Share of the stops that are lost, beside those lost as any other order, and of
        # the runs of long-running subtasks that fail by themselves.
        self.lost_stop_share = 0.0
        self.lasting_failing_share = 0.0
        # Pools whose machines are off and have no executor.
        self.standby_pools: frozenset[str] = frozenset()
        # Prepares an executor that has started, before its first order.
        self.begin_life: Callable[[ModelExecutor], None] = lambda executor: None
        # Executors whose answers are lost although orders reach them.
        self.mute: set[str] = set()
        # Number of moves of machines to another pool.
        self.moves = 0
        # Maintenance, and orders for machines that are carried out late; None without.
        self.waves: Waves | None = None
        self.executors: dict[str, ModelExecutor] = {}
        self.machines: dict[str, tuple[str, str, int]] = {}
        # Time, holder and machine of each order.
        self.machine_orders: list[tuple[int, str, str]] = []
        self._machine_tokens: dict[str, tuple[int, str, int]] = {}
        self._in_flight: dict[tuple[str, int], ModelCall] = {}
        self._done: set[Subtask] = set()
        self._done_by_job: dict[str, set[Subtask]] = {}
        # Subtasks with a confirmed end `done`.
        self._confirmed: set[Subtask] = set()
        # Time of the last start of a subtask that was done.
        self._started_again: dict[Subtask, int] = {}
        self._waiting: list[tuple[Node, HostOrder, int]] = []
        for number in range(machines):
            self.machines[f"m{number}"] = ("pool", "", 0)
            self._bring_up(f"m{number}", "pool")
        world.schedule(STEP_MS, self._step)

    def decode(self, key: str, value: bytes) -> Registration | None:
        return decode_registration(key, value)

    def running(self) -> list[Subtask]:
        """Return the subtasks that run on executors that are up."""
        return [
            subtask
            for executor in self.executors.values()
            if executor.is_alive
            for subtask in executor.running
        ]

    def is_impaired(self) -> bool:
        """Return whether an executor is cut off, or away without an order."""
        ids = [executor_id for _, executor_id, _ in self.machines.values()]
        executors = [self.executors[name] for name in ids if name]
        return any(not (row.is_alive and row.reaches_store) for row in executors)

    def is_an_executor_down(self) -> bool:
        """Return whether an executor is away without an order."""
        ids = [executor_id for _, executor_id, _ in self.machines.values()]
        return any(not self.executors[name].is_alive for name in ids if name)

    def cut_off(self) -> frozenset[str]:
        """Return the executors that do not reach the store or are not reached."""
        silent = {name for node in self._world.nodes for name in node.silent}
        rows = self.executors.values()
        return frozenset(
            row.executor_id
            for row in rows
            if row.is_alive and not self._is_in_touch(row, silent)
        )

    def _is_in_touch(self, row: ModelExecutor, silent: set[str]) -> bool:
        is_reached = row.is_reachable and row.executor_id not in silent
        return row.reaches_store and is_reached

    def done_of(self, job_id: str) -> set[Subtask]:
        """Return the subtasks of a job with an end `done`."""
        return self._done_by_job.get(job_id, set())

    def is_job_done(self, job: Job) -> bool:
        done = {
            (subtask.step, subtask.index)
            for subtask in self._done
            if subtask.job_id == job.job_id
        }
        return len(done) == sum(step.count for step in job.steps)

    def has_failed(self, job: Job) -> bool:
        """Return whether a subtask of a job has failed as often as it may."""
        return any(
            subtask.job_id == job.job_id and count >= QUEUE.attempts
            for subtask, count in self._failures.items()
        )

    def heal(self) -> None:
        self.mute.clear()
        for executor in self.executors.values():
            executor.reaches_store = executor.is_reachable = True

    def crash(self, name: str) -> None:
        """End a machine's executor, if it runs; another one starts soon after."""
        if not self.machines[name][1]:
            return
        self._world.disturb()
        self._take_down(name)
        pool = self.machines[name][0]
        delay_ms = self._world.rng.randint(300, 2_000)
        self._world.schedule(delay_ms, self._recover, name, pool)

    def _recover(self, name: str, pool: str) -> None:
        self._world.disturb()
        self._bring_up(name, pool)

    def restart(self, executor: ModelExecutor, delay_ms: int | None = None) -> None:
        """Start an executor again under its id, by default after a moment."""
        if executor.is_alive:
            executor.is_alive = False
            executor.done.clear()
            if delay_ms is None:
                delay_ms = self._world.rng.randint(10, 800)
            self._world.schedule(delay_ms, self._come_back, executor)

    def _come_back(self, executor: ModelExecutor) -> None:
        if self.machines[executor.machine][1] != executor.executor_id:
            return
        executor.restart()
        executor.ends_ms.clear()
        executor.is_alive = True
        self.begin_life(executor)

    def delay_entry(self, executor: ModelExecutor, delay_ms: int) -> None:
        """Write the present entry of an executor to the store after a delay."""
        key = f"{self.prefix}{executor.executor_id}"
        value = encode_body(self._entry(executor))
        self._world.schedule(delay_ms, self._write_late_entry, key, value)

    def _write_late_entry(self, key: str, value: bytes) -> None:
        if not self._world.store.is_down:
            self._world.store.write({key: value})

    def move(self, name: str) -> None:
        """Move a machine to another pool, or to the same one, if its executor runs.

        The store keeps the entry of its executor until the time to live has passed.
        """
        pool, executor_id, _ = self.machines[name]
        if executor_id:
            self.moves += 1
            self._take_down(name)
            self._world.schedule(TIMES.move_ms, self._bring_up, name, pool)

    def replace(self, name: str, pool: str) -> None:
        """Bring a machine up in a pool at once, before the first event."""
        self._take_down(name)
        self._bring_up(name, pool)

    def handle(self, node: Node, service: str, message: Any) -> None:
        """Handle an order for an executor or a machine."""
        if isinstance(message, HostOrder):
            self._send(node, message)
        elif isinstance(message, AbortCalls):
            for key in [key for key in self._in_flight if key[0] == node.name]:
                del self._in_flight[key]
        else:
            self._call(node, message)

    def _send(self, node: Node, order: HostOrder) -> None:
        world = self._world
        draw = world.rng.random() if world.has_faults else 1.0
        if not is_address(order.address):
            no_answer = NoAnswer(False, "the call cannot be sent")
            world.schedule(0, self.answer, node, order, no_answer)
            return
        is_lost = draw < LOST_SHARE or self._is_stop_lost(order)
        if self._is_silent(node, order.executor_id) or is_lost:
            if is_lost:
                world.disturb()
            else:
                world.cancellations.disturb()
            no_answer = NoAnswer(True, "lost")
            world.schedule(order.timeout_ms, self.answer, node, order, no_answer)
            if draw < LOST_SHARE * 2 / 3:
                # Carried out late, or at the end of a partition.
                delay_ms = world.rng.randint(1, 8_000)
                executor = self.executors.get(order.executor_id)
                born_ms = executor.born_ms if executor is not None else 0
                world.schedule(delay_ms, self._apply_late, order, born_ms)
            return
        self.paths.deliver(node, order)

    def _is_silent(self, node: Node, executor_id: str) -> bool:
        """Return whether calls of a node to an executor are lost."""
        executor = self.executors.get(executor_id)
        is_reachable = executor is None or executor.is_reachable
        return executor_id in node.silent or not is_reachable

    def _is_stop_lost(self, order: HostOrder) -> bool:
        world = self._world
        is_possible = self.lost_stop_share > 0 and world.has_faults
        if not is_possible or not isinstance(order.order, Stop):
            return False
        return world.rng.random() < self.lost_stop_share

    def _apply_late(self, order: HostOrder, born_ms: int) -> None:
        """Carry out an order, unless the incarnation that received it has ended."""
        executor = self.executors.get(order.executor_id)
        if executor is not None and executor.born_ms == born_ms:
            self._world.disturb()
            self.apply(order)

    def arrive(self, node: Node, order: HostOrder) -> None:
        """Let the executor that an order names carry it out and answer."""
        world = self._world
        outcome = self.apply(order)
        wait_ms = order.order.wait_ms if isinstance(order.order, Look) else 0
        executor = self.executors.get(order.executor_id)
        if outcome is None or executor is None:
            # Nobody listens at the address; an open connection is reset.
            is_new = order.uses_new_connection
            no_answer = NoAnswer(not is_new, "gone", is_refused=is_new)
            self.answer(node, order, no_answer)
        elif wait_ms and not executor.ended and not isinstance(outcome, Refusal):
            until_ms = world.clock.now_ms() + wait_ms
            self._waiting.append((node, order, until_ms))
        elif self._is_answer_lost(order.executor_id):
            world.disturb()
            no_answer = NoAnswer(True, "answer lost")
            world.schedule(order.timeout_ms, self.answer, node, order, no_answer)
        else:
            world.schedule(world.latency_ms(), self.answer, node, order, outcome)

    def _is_answer_lost(self, executor_id: str) -> bool:
        world = self._world
        is_lost = world.has_faults and world.rng.random() < LOST_SHARE
        return is_lost or executor_id in self.mute

    def answer(self, node: Node, order: HostOrder, outcome: Any) -> None:
        """Deliver the outcome of an order to the node that has sent it."""
        node.deliver(order.reply_to, HostAnswer(order.request_id, outcome))

    def apply(self, host_order: HostOrder) -> Any:
        """Carry out an order and check what it does."""
        world, order = self._world, host_order.order
        now_ms = world.clock.now_ms()
        executor = self.executors.get(host_order.executor_id)
        if executor is None or not executor.is_alive:
            return None
        clock_ms = executor.clock.at(now_ms)
        executor.expire(clock_ms)
        if isinstance(order, Start) and order.token >= executor.token:
            if order.until_ms <= clock_ms:
                executor.token = order.token
                return Refusal(RefusalKind.LATE, clock_ms)
            known = executor.running.get(order.subtask)
            is_old = order.attempt <= executor.refused.get(order.subtask, 0)
            if known != order.attempt and not is_old:
                self._check_start(executor, order)
                longest_ms = self.longest_run_ms
                if world.rng.random() < self.outlasting_share:
                    longest_ms = max(longest_ms, 12_000)
                run_ms = world.rng.randint(self.shortest_run_ms, longest_ms)
                if self._step_of(order.subtask).is_long_running:
                    is_failing = world.rng.random() < self.lasting_failing_share
                    run_ms = run_ms if is_failing else LASTING_RUN_MS
                executor.ends_ms[order.subtask] = now_ms + run_ms
        if isinstance(order, Look) and order.token >= executor.token:
            self._check_confirmed(executor, order.confirmed)
        executor.percent = now_ms // 10
        if isinstance(order, Look | Start):
            until_ms = min(order.until_ms, clock_ms + executor.max_lease_ms)
            order = replace(order, until_ms=until_ms)
        return executor.handle_order(order, clock_ms)

    def _check_start(self, executor: ModelExecutor, order: Start) -> None:
        subtask = order.subtask
        self._world.cancellations.check_start(subtask)
        check_cap(self._world, subtask)
        for other in self.executors.values():
            if other.is_alive and subtask in other.running:
                detail = f"{subtask} on {executor.executor_id}, {other.executor_id}"
                self._world.report("TWICE", detail)
        if subtask in self._confirmed:
            self._world.report("TWICE", f"{subtask} started after its confirmed end")
        if subtask in self._done:
            self._started_again[subtask] = self._world.clock.now_ms()
        used = sum(self.need(other).cpu_millis for other in executor.running)
        used += self.need(subtask).cpu_millis
        if used > HOST_CAPACITY.cpu_millis:
            detail = f"{subtask} on {executor.executor_id}: {used}"
            self._world.report("LIMIT", detail)
        submission = self._world.submissions[subtask.job_id]
        self.started_jobs.add(subtask.job_id)
        for number in submission.job.steps[subtask.step].after:
            count = submission.job.steps[number].count
            done = [
                other
                for other in self._done
                if other.job_id == subtask.job_id and other.step == number
            ]
            if len(done) < count:
                self._world.report("ORDER", f"{subtask} before step {number}")

    def _check_confirmed(self, executor: ModelExecutor, confirmed: int) -> None:
        """Check that no confirmed end `done` was followed by another start."""
        for number in [number for number in executor.done if number <= confirmed]:
            subtask, done_ms = executor.done.pop(number)
            self._confirmed.add(subtask)
            if self._started_again.get(subtask, 0) > done_ms:
                detail = f"{subtask} started again after {executor.executor_id}"
                self._world.report("TWICE", detail)

    def need(self, subtask: Subtask) -> Resources:
        """Return the resources of a subtask."""
        return self._step_of(subtask).need

    def _step_of(self, subtask: Subtask) -> Step:
        job = self._world.submissions[subtask.job_id].job
        return job.steps[subtask.step]

    def _step(self) -> None:
        """End the runs that are done, renew registrations and answer held polls."""
        world, now_ms = self._world, self._world.clock.now_ms()
        for executor in [*self.executors.values()]:
            if not executor.is_alive:
                continue
            executor.max_listed_ends = self.max_listed_ends
            clock_ms = executor.clock.at(now_ms)
            executor.expire(clock_ms)
            if clock_ms > executor.lease_ms:
                # An end does not count as confirmed if the lease lapsed before.
                executor.done.clear()
            for subtask in [*executor.running]:
                if now_ms < executor.ends_ms[subtask]:
                    continue
                if self._step_of(subtask).is_long_running:
                    executor.end(subtask, EndKind.FAILED)
                elif self.failing_share and world.rng.random() < self.failing_share:
                    executor.end(subtask, EndKind.FAILED)
                    self._failures[subtask] += 1
                else:
                    executor.end(subtask, EndKind.DONE)
                    executor.done[executor.last_end_number] = (subtask, now_ms)
                    self._done.add(subtask)
                    self._done_by_job.setdefault(subtask.job_id, set()).add(subtask)
            key = f"{self.prefix}{executor.executor_id}"
            if executor.reaches_store and not world.store.is_down:
                executor.registered_ms = now_ms
                value = encode_body(self._entry(executor))
                if key not in world.store.items or now_ms % 1_500 < STEP_MS:
                    world.store.write({key: value})
        for key in [key for key in world.store.items if key.startswith(self.prefix)]:
            executor = self.executors.get(key.removeprefix(self.prefix))
            if executor is None:
                # An entry of another writer stays.
                continue
            is_silent = now_ms - executor.registered_ms > REGISTRATION_TTL_MS
            if is_silent and not world.store.is_down:
                world.store.write({key: None})
        waiting, self._waiting = self._waiting, []
        for node, order, until_ms in waiting:
            executor = self.executors[order.executor_id]
            is_mute = order.executor_id in self.mute
            is_lost = is_mute or self._is_silent(node, order.executor_id)
            if is_lost or not executor.is_alive:
                no_answer = NoAnswer(True, "silent")
                world.schedule(order.timeout_ms, self.answer, node, order, no_answer)
            elif executor.ended or now_ms >= until_ms:
                look = Look(order.order.token, 0)
                outcome = executor.handle_order(look, executor.clock.at(now_ms))
                world.schedule(world.latency_ms(), self.answer, node, order, outcome)
            else:
                self._waiting.append((node, order, until_ms))
        world.check_running()
        world.schedule(STEP_MS, self._step)

    def _bring_up(self, name: str, pool: str) -> None:
        if pool in self.standby_pools:
            self.machines[name] = (pool, "", 0)
            return
        executor_id = f"i{self._world.next_number()}"
        self.machines[name] = (pool, executor_id, 0)
        executor = ModelExecutor(executor_id, pool=pool, machine=name)
        executor.stop_duration_ms = 300
        executor.registered_ms = self._world.clock.now_ms()
        self.executors[executor_id] = executor
        self.begin_life(executor)

    def _take_down(self, name: str) -> None:
        pool, executor_id, _ = self.machines[name]
        if executor_id:
            executor = self.executors[executor_id]
            executor.is_alive = False
            executor.done.clear()
        self.machines[name] = (pool, "", 1)

    def _call(self, node: Node, call: ModelCall) -> None:
        world = self._world
        self._in_flight[node.name, call.request_id] = call
        delay_ms = world.latency_ms()
        is_cut = bool(node.silent)
        is_held = is_cut or (world.has_faults and world.rng.random() < 0.1)
        if is_cut:
            world.cancellations.disturb()
        elif is_held:
            world.disturb()
        if is_held:
            # The call waits in its connection for the end of a partition.
            delay_ms = world.rng.randint(1, 8_000)
        is_order = not isinstance(call.order, ListMachines)
        if self.waves is not None and is_order and self.waves.is_late(call.order):
            world.disturb()
            world.schedule(delay_ms, self._accept_late, node, call)
        else:
            world.schedule(delay_ms, self._arrive_call, node, call)
        world.schedule(
            call.validity.timeout_ms, self._end_call, node, call, OrderUnanswered(True)
        )

    def _accept_late(self, node: Node, call: ModelCall) -> None:
        """Accept an order that is carried out later, if it arrives at all."""
        if (node.name, call.request_id) in self._in_flight:
            self._check_order(call.order)
            delay_ms = self._world.rng.randint(*LATE_ORDER_MS)
            self._world.schedule(delay_ms, self._carry_out, call.order, True)

    def _arrive_call(self, node: Node, call: ModelCall) -> None:
        key = (node.name, call.request_id)
        if key not in self._in_flight:
            return
        self._end_call(node, call, self._order_machine(call.order))

    def _end_call(self, node: Node, call: ModelCall, outcome: Any) -> None:
        if self._in_flight.pop((node.name, call.request_id), None) is not None:
            node.deliver("machines", PeerReply(call.request_id, outcome))

    def _order_machine(self, order: Any) -> Any:
        if isinstance(order, ListMachines):
            return self.paths.list_machines()
        self._check_order(order)
        return self._carry_out(order)

    def _check_order(self, order: Any) -> None:
        """Check that an order that arrives is not too close to that of another holder.

        The token counts from then on.
        """
        world, now_ms = self._world, self._world.clock.now_ms()
        self.machine_orders.append((now_ms, order.holder, order.machine))
        token, holder, ordered_ms = self._machine_tokens.get(order.machine, (0, "", 0))
        detail = f"{order.machine} by {order.holder} {order.token} after {holder}"
        if order.token < token:
            world.report("ONE", f"{detail} {token}")
        if holder not in ("", order.holder) and now_ms - ordered_ms < 3_000:
            world.report("ONE", f"{detail} within {now_ms - ordered_ms} ms")
        self._machine_tokens[order.machine] = (order.token, order.holder, now_ms)

    def _carry_out(self, order: Any, is_late: bool = False) -> Any:
        """Carry out an order, unless one with a higher token came before a late one."""
        if is_late and order.token < self._machine_tokens[order.machine][0]:
            return OrderRefused(OrderRefusal.FENCED)
        pool, executor_id, is_down = self.machines[order.machine]
        is_off = pool in self.standby_pools
        is_up = not is_down and bool(executor_id or is_off)
        if isinstance(order, MaintainMachine) and self.waves is not None:
            return self.waves.maintain(order, is_up, is_late)
        if not is_up:
            return OrderRefused(OrderRefusal.BUSY)
        if pool != order.pool:
            self.moves += 1
            self._take_down(order.machine)
            self.machines[order.machine] = (order.pool, "", 1)
            delay_ms = TIMES.move_ms
            self._world.schedule(delay_ms, self._bring_up, order.machine, order.pool)
        return OrderDone()

    def begin_maintenance(self, name: str) -> None:
        """Take a machine down; it comes up again in its pool."""
        self._take_down(name)
        pool, _, _ = self.machines[name]
        self.machines[name] = (pool, "", 2)
        self._world.schedule(TIMES.maintenance_ms, self._bring_up, name, pool)

    def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines in their present state."""
        return tuple(map(self._machine, self.machines))

    def _machine(self, name: str) -> Machine:
        pool, executor_id, is_down = self.machines[name]
        state = MACHINE_STATES[is_down]
        return Machine(name, pool, state, "z", "r1", HOST_CAPACITY, executor_id)

    def _entry(self, executor: ModelExecutor) -> dict[str, Any]:
        """Return the fields of an executor's entry in the registry."""
        return {
            "service": executor.pool,
            "address": self.paths.address(executor),
            "zone": "z",
            "version": "1",
            "slots": 4,
            "state": "ready",
            "capacity": {
                "cpu": HOST_CAPACITY.cpu_millis,
                "mem-mb": HOST_CAPACITY.memory_mb,
                "gpus": HOST_CAPACITY.gpus,
            },
            "labels": ["a", "r1"],
            "seq": executor.registered_ms,
            "born": executor.born_ms,
        }
