"""Calls and lists that are about another life of an executor, for the model.

The lives of a machine's executor share an address. Calls over pooled connections may
reach a former life, starts may be under way for seconds, and lists of machines may be
out of date or wrong for a moment.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from guavapin.executors.model import HostOrder
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.machines.model import Machine
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MachineState
from tests.model.clocks import FLEET
from tests.model.clocks import LONGEST_LEASES_MS
from tests.model.clocks import ExecutorFaults
from tests.model.executors import ModelExecutor
from tests.model.test_takeover_model import play
from tests.model.world import World
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.model.world import Node

# Longest delay of what a list of machines shows.
MAX_LIST_LAG_MS = 3_000

# Interval at which the state of all machines is kept for lists that are out of date.
LIST_STEP_MS = 50

# Longest time in which a connection is opened. What is under way for longer waits in a
# connection to the life that listened when it was sent.
CONNECT_MS = 600

# Share of the starts that are under way for a time.
SLOW_START_SHARE = 0.15

# Faults about other lives, and work for executors.
LIFE_FAULTS = (
    *("crash", "crash", "crash", "move", "move", "odd list", "odd list", "odd list"),
    *("removed entry", "removed entry", "silence", "mute", "quick restart"),
    *("job",) * 6,
)

# Kinds of events of a seed: faults about other lives, these beside takeovers, and
# beside all other faults.
PROFILES = (
    (*LIFE_FAULTS, *("none",) * 6),
    (*LIFE_FAULTS, "kill", "stop", "freeze", "stops", "freezes", *("none",) * 6),
    (
        *LIFE_FAULTS,
        *("kill", "stop", "freeze", "long freeze", "stops", "freezes", "short outage"),
        *("core cut", "cut", "zone cut", "executor cut"),
        *("mend", "mend all", "mend all", "mend all"),
        *("none",) * 4,
    ),
)


class OddRow(Enum):
    """What a list shows of a machine whose executor is up."""

    MOVING = "moving, with its executor"
    MOVING_ALONE = "moving, without its executor"
    DOWN = "down"
    MISSING = "not listed"


@dataclass(frozen=True)
class FormerLife:
    """Life that answers a `share` of the calls over pooled connections for a time."""

    executor: ModelExecutor
    until_ms: int
    share: float


class OtherLives:
    """Paths on which orders and lists of machines meet other lives of executors."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._fleet = world.fleet
        self._present: dict[str, ModelExecutor] = {}
        self._former: dict[str, FormerLife] = {}
        self._odd_rows: dict[str, tuple[OddRow, int]] = {}
        self.max_list_lag_ms = MAX_LIST_LAG_MS
        # Machines of the last moments, the newest last.
        self._pages: deque[tuple[Machine, ...]] = deque(
            maxlen=MAX_LIST_LAG_MS // LIST_STEP_MS + 1
        )
        # Number of answers of former lives, and of lists that were not up to date.
        self.former_answers = self.odd_lists = 0
        self._record_machines()

    def begin_life(self, executor: ModelExecutor) -> None:
        """Let the life before at the address answer for a time, if it had another id.

        Work often arrives soon after.
        """
        world, rng = self._world, self._world.rng
        address, now_ms = self.address(executor), world.clock.now_ms()
        former = self._present.get(address)
        # A former life has ended with all that ran on it.
        self._present[address] = ModelExecutor(
            executor.executor_id, executor.born_ms, clock=executor.clock
        )
        if former is None or not world.has_faults:
            return
        if former.executor_id != executor.executor_id and rng.random() < 0.7:
            until_ms = now_ms + rng.choice((rng.randint(100, 1_500), 5_000))
            share = rng.choice((0.3, 0.8, 1.0))
            self._former[address] = FormerLife(former, until_ms, share)
        if rng.random() < 0.5:
            world.schedule(rng.randint(0, 900), world.submit)

    def address(self, executor: ModelExecutor) -> str:
        return f"{executor.machine}:1"

    def deliver(self, node: Node, order: HostOrder) -> None:
        world, rng = self._world, self._world.rng
        delay_ms = world.latency_ms()
        is_start = isinstance(order.order, Start) and world.has_faults
        if is_start and rng.random() < SLOW_START_SHARE:
            delay_ms = rng.choice((rng.randint(50, 700), rng.randint(50, 8_000)))
        former = None
        if not order.uses_new_connection:
            former = self._pooled_former(order.address)
        is_late = delay_ms > order.timeout_ms
        life = self._life(order.address) if delay_ms > CONNECT_MS else None
        world.schedule(delay_ms, self._arrive, node, order, former, life, is_late)
        if is_late:
            world.disturb()
            no_answer = NoAnswer(True, "slow")
            world.schedule(order.timeout_ms, self._fleet.answer, node, order, no_answer)

    def _life(self, address: str) -> tuple[str, int]:
        """Return the id and the start of the life that listens at an address."""
        executor = self._listening(address)
        return ("", 0) if executor is None else (executor.executor_id, executor.born_ms)

    def _listening(self, address: str) -> ModelExecutor | None:
        name = address.partition(":")[0]
        executor = self._fleet.executors.get(self._fleet.machines[name][1])
        return executor if executor is not None and executor.is_alive else None

    def _pooled_former(self, address: str) -> FormerLife | None:
        """Return the former life to which a pooled connection leads, if it does."""
        former = self._former.get(address)
        if former is None or not self._answers(former):
            return None
        return former if self._world.rng.random() < former.share else None

    def _answers(self, former: FormerLife) -> bool:
        return self._world.has_faults and self._world.clock.now_ms() < former.until_ms

    def _arrive(
        self,
        node: Node,
        order: HostOrder,
        former: FormerLife | None,
        life: tuple[str, int] | None,
        is_late: bool,
    ) -> None:
        """Let the process at the other end of the connection handle an order.

        That is `former` if it is set, else `life`, and whoever listens now without.
        """
        has_ended = life is not None and life != self._life(order.address)
        outcome: Any = NoAnswer(True, "connection reset")
        if former is not None and self._answers(former):
            outcome = self._answer_as_former(former.executor, order)
        elif former is None and not has_ended:
            outcome = self._arrive_at_present(node, order, is_late)
        if outcome is not None and not is_late:
            world = self._world
            world.schedule(world.latency_ms(), self._fleet.answer, node, order, outcome)

    def _arrive_at_present(self, node: Node, order: HostOrder, is_late: bool) -> Any:
        """Return the outcome unless the executor that an order names handles it."""
        executor = self._listening(order.address)
        if executor is not None:
            if executor.executor_id != order.executor_id:
                return self._refuse(executor)
            if is_late:
                self._fleet.apply(order)
            else:
                self._fleet.arrive(node, order)
            return None
        # Nobody listens at the address; an open connection is reset.
        is_new = order.uses_new_connection
        return NoAnswer(not is_new, "gone", is_refused=is_new)

    def _answer_as_former(self, executor: ModelExecutor, order: HostOrder) -> Any:
        """Return the answer of a process that is stopping, on which nothing runs."""
        self.former_answers += 1
        if order.executor_id != executor.executor_id:
            return self._refuse(executor)
        clock_ms = executor.clock.at(self._world.clock.now_ms())
        if isinstance(order.order, Start):
            return Refusal(RefusalKind.UNHEALTHY, clock_ms)
        return executor.handle_order(order.order, clock_ms)

    def _refuse(self, executor: ModelExecutor) -> Refusal:
        clock_ms = executor.clock.at(self._world.clock.now_ms())
        return Refusal(RefusalKind.OTHER_LIFE, clock_ms)

    def list_machines(self) -> MachinePage:
        rows, rng = self._fleet.list_machines(), self._world.rng
        if not self._world.has_faults:
            return MachinePage(rows, "")
        lag_ms = rng.choice((0, rng.randint(0, self.max_list_lag_ms)))
        past = min(lag_ms // LIST_STEP_MS, len(self._pages))
        shown = self._pages[-past] if past else rows
        shown = tuple(row for row in map(self._show, shown) if row is not None)
        self.odd_lists += shown != rows
        return MachinePage(shown, "")

    def _show(self, machine: Machine) -> Machine | None:
        """Return the row of a machine in a list, None if it is left out."""
        odd_row, until_ms = self._odd_rows.get(machine.name, (None, 0))
        if odd_row is None or self._world.clock.now_ms() >= until_ms:
            return machine
        match odd_row:
            case OddRow.MISSING:
                return None
            case OddRow.DOWN:
                return replace(machine, state=MachineState.DOWN, executor_id="")
            case OddRow.MOVING_ALONE:
                return replace(machine, state=MachineState.MOVING, executor_id="")
        return replace(machine, state=MachineState.MOVING)

    def _record_machines(self) -> None:
        self._pages.append(self._fleet.list_machines())
        self._world.schedule(LIST_STEP_MS, self._record_machines)

    def show_oddly(self, world: World) -> None:
        """Let lists show a machine as moving or down, or leave it out, for a time."""
        name = world.rng.choice([*world.fleet.machines])
        until_ms = world.clock.now_ms() + world.rng.randint(100, MAX_LIST_LAG_MS)
        self._odd_rows[name] = (world.rng.choice([*OddRow]), until_ms)

    def remove_entry(self, world: World) -> None:
        """Remove the entry of an executor that is up and write it again."""
        alive = [row for row in world.fleet.executors.values() if row.is_alive]
        if alive and not world.store.is_down:
            executor = world.rng.choice(alive)
            executor.reaches_store = False
            world.store.write({f"{world.fleet.prefix}{executor.executor_id}": None})
            world.schedule(world.rng.randint(20, 3_000), self._write_again, executor)

    def _write_again(self, executor: ModelExecutor) -> None:
        executor.reaches_store = True


def move(world: World) -> None:
    """Move a machine, so that another executor comes up at its address."""
    world.disturb()
    world.fleet.move(world.rng.choice([*world.fleet.machines]))


def stop_in_series(world: World) -> None:
    """Stop whichever process schedules, several times in a row."""
    for number in range(3):
        world.schedule(number * world.rng.randint(300, 3_000), _stop_leader, world)


def _stop_leader(world: World) -> None:
    for node in world.nodes:
        if node.scheduler._scheduler is not None and world.has_faults:
            world.stop(node, world.rng.randint(20, 2_000))
            return


def freeze_in_series(world: World) -> None:
    """Suspend processes for up to some seconds, several times in a row."""
    for number in range(4):
        world.schedule(number * world.rng.randint(100, 2_000), _freeze_one, world)


def _freeze_one(world: World) -> None:
    if world.has_faults:
        node = world.rng.choice(world.nodes)
        node.frozen_until_ms = world.clock.now_ms() + world.rng.randint(50, 4_000)


def play_other_lives(
    seed: int, change: Callable[[OtherLives], None] = lambda lives: None
) -> World:
    """Play takeovers beside evidence about other lives of executors.

    `change` adapts the faults before the first event.
    """
    max_lease_ms = LONGEST_LEASES_MS[seed // len(PROFILES) % len(LONGEST_LEASES_MS)]

    def prepare(world: World) -> None:
        faults, lives = ExecutorFaults(world, max_lease_ms), OtherLives(world)
        change(lives)
        world.fleet.paths = lives

        def begin_life(executor: ModelExecutor) -> None:
            faults.begin_life(executor)
            lives.begin_life(executor)

        world.fleet.begin_life = begin_life
        for executor in world.fleet.executors.values():
            faults.begin_earlier_life(executor)
            lives.begin_life(executor)
        world.fleet.shortest_run_ms = world.fleet.longest_run_ms = 4_000
        world.fleet.outlasting_share = 0.3
        extra.update(
            {
                "move": move,
                "odd list": lives.show_oddly,
                "removed entry": lives.remove_entry,
                "silence": faults.silence,
                "mute": faults.mute,
                "quick restart": faults.quick_restart,
                "long freeze": faults.freeze,
                "short outage": faults.interrupt_store,
                "stops": stop_in_series,
                "freezes": freeze_in_series,
                "job": World.submit,
            }
        )

    extra: dict[str, Callable[[World], None]] = {}
    return play(
        seed,
        PROFILES[seed % len(PROFILES)],
        table=(FLEET, TABLE)[seed % 2],
        extra=extra,
        prepare=prepare,
        times=replace(TIMES, max_lease_ms=max_lease_ms),
        max_jobs=0,
    )
