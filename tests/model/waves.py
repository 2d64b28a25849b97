"""Maintenance waves of the operator, and the platform's side of them, in the model."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MaintenanceWave
from guavapin.machines.model import OrderDone
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import OrderRefused
from tests.model.test_takeover_model import play
from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from tests.model.executors import Fleet
    from tests.model.world import World

# Share of the orders for machines that get no answer and are carried out later.
LATE_SHARE = 0.1

# Duration of a wave, so long that none becomes urgent in most plays.
WAVE_MS = 120_000

# Time of calm in which the machines of all waves are maintained, one after another.
LAST_WAVES_MS = 60_000

# Interval at which the stored statuses are checked.
CHECK_MS = 20

# Takeovers while maintenance goes on, edits of waves beside them, and takeovers beside
# outages and partitions.
PROFILES = (
    ("wave", "late and kill", "late and kill", "kill", "stop", "none", "none"),
    ("wave", "edit", "edit", "edit", "late and kill", "stop", "outage", "none"),
    (
        *("wave", "edit", "late and kill", "late and kill", "late and stop", "stop"),
        *("freeze", "core cut", "outage", "outage", "crash", "mend all", "mend all"),
    ),
)


class Waves:
    """Waves of the operator.

    Judges the begin of maintenance (LIMIT), machines that are left out (LOST), and the
    statuses of waves (MIXED).
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._fleet: Fleet = world.fleet
        self._waves: dict[int, MaintenanceWave] = {}
        self.maintained: set[tuple[int, str]] = set()
        # Machines that are down, with the wave of their maintenance.
        self._down: dict[str, int] = {}
        # Set while the next order to maintenance is to be late.
        self.is_next_late = False
        self.late_begins = 0
        world.schedule(CHECK_MS, self._check_statuses)

    def add(self) -> None:
        """Store a wave of some machines, unless the store is down."""
        rng = self._world.rng
        if self._world.store.is_down:
            return
        number = len(self._waves) + 1
        names = rng.sample([*self._fleet.machines], rng.randint(2, 4))
        wave = MaintenanceWave(number, tuple(names), WAVE_MS, rng.randint(1, 2))
        self._store(wave)

    def edit(self) -> None:
        """Add a machine to a wave, or take one out, and at times raise its cap.

        The cap is never lowered: orders under the higher one may still be under way.
        """
        rng = self._world.rng
        if self._world.store.is_down or not self._waves:
            return
        wave = rng.choice([*self._waves.values()])
        others = sorted(self._fleet.machines.keys() - set(wave.machines))
        if len(wave.machines) > 1 and (rng.random() < 0.5 or not others):
            names = rng.sample(wave.machines, len(wave.machines) - 1)
        else:
            names = [*wave.machines, rng.choice(others)]
        cap = max(wave.max_at_once, rng.randint(1, 2))
        self._store(replace(wave, machines=tuple(names), max_at_once=cap))

    def _store(self, wave: MaintenanceWave) -> None:
        self._waves[wave.number] = wave
        self._world.store.write({self._key(wave): msgspec.json.encode(wave)})

    def _key(self, wave: MaintenanceWave) -> str:
        return f"op/wave/{wave.number}"

    def _missing(self, wave: MaintenanceWave) -> list[str]:
        """Return the machines of a wave whose maintenance has not begun."""
        return [
            name for name in wave.machines if (wave.number, name) not in self.maintained
        ]

    def _check_statuses(self) -> None:
        """Check that a wave is done only if all machines of its value are."""
        for wave in self._waves.values():
            status = self._world.store.items.get(f"status/wave/{wave.number}")
            if status is None or status.value != b"done":
                continue
            is_later = (
                status.revision > self._world.store.items[self._key(wave)].revision
            )
            if is_later and self._missing(wave):
                detail = f"wave {wave.number} is done without {self._missing(wave)}"
                self._world.report("MIXED", detail)
        self._world.schedule(CHECK_MS, self._check_statuses)

    def is_late(self, order: object) -> bool:
        """Return whether an order gets no answer and is carried out later."""
        world = self._world
        if not world.has_faults:
            return False
        if self.is_next_late and isinstance(order, MaintainMachine):
            self.is_next_late = False
            return True
        return world.rng.random() < LATE_SHARE

    def maintain(
        self, order: MaintainMachine, is_up: bool, is_late: bool
    ) -> OrderDone | OrderRefused:
        """Carry out an order to maintenance, as the platform does."""
        wave = self._waves.get(order.wave)
        if wave is None or order.machine not in wave.machines:
            return OrderRefused(OrderRefusal.NOT_IN_WAVE)
        if (order.wave, order.machine) in self.maintained:
            return OrderDone()
        if not is_up:
            return OrderRefused(OrderRefusal.BUSY)
        down = [name for name, number in self._down.items() if number == order.wave]
        if len(down) >= wave.max_at_once:
            detail = f"{order.machine} by {order.holder}, late {is_late}, beside {down}"
            self._world.report("LIMIT", f"wave {order.wave}: {detail}")
        self.late_begins += is_late
        self.maintained.add((order.wave, order.machine))
        self._down[order.machine] = order.wave
        self._fleet.begin_maintenance(order.machine)
        self._world.schedule(TIMES.maintenance_ms, self._down.pop, order.machine)
        return OrderDone()

    def check_end(self) -> None:
        """Check after a calm time that all waves are done."""
        for wave in self._waves.values():
            if self._missing(wave):
                detail = f"wave {wave.number}: {self._missing(wave)}"
                self._world.report("LOST", detail)
            status = self._world.store.items.get(f"status/wave/{wave.number}")
            if status is None or status.value != b"done":
                self._world.report("MIXED", f"wave {wave.number} is not done: {status}")


def play_waves(
    seed: int, profile: tuple[str, ...] | None = None, played: list[Waves] | None = None
) -> World:
    """Play waves beside takeovers, with orders that are carried out late.

    The waves are added to `played`.
    """
    played = [] if played is None else played

    def prepare(world: World) -> None:
        world.fleet.waves = Waves(world)
        played.insert(0, world.fleet.waves)
        played[0].add()

    def lose_order(world: World) -> bool:
        """Let the next order to maintenance be late; return whether there is one."""
        played[0].is_next_late = True
        for _ in range(100):
            world.run(50)
            if not played[0].is_next_late:
                return True
        played[0].is_next_late = False
        return False

    def late_and_kill(world: World) -> None:
        if lose_order(world):
            for node in [*world.nodes]:
                if node.scheduler._scheduler is not None:
                    world.restart(node)

    def late_and_stop(world: World) -> None:
        if lose_order(world):
            for node in [*world.nodes]:
                if node.scheduler._scheduler is not None:
                    world.stop(node, world.rng.randint(20, 2_000))

    extra = {
        "wave": lambda world: played[0].add(),
        "edit": lambda world: played[0].edit(),
        "late and kill": late_and_kill,
        "late and stop": late_and_stop,
    }
    profile = profile or PROFILES[seed % len(PROFILES)]
    world = play(seed, profile, extra=extra, prepare=prepare, max_jobs=1)
    if not world.violations:
        world.run(LAST_WAVES_MS)
        played[0].check_end()
    return world
