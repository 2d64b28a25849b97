"""What each fault does to the control processes, hosts and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.fleet import actions
from guavapin_matrix.faults import Fault
from guavapin_matrix.fleet_world import WAVE
from guavapin_matrix.fleet_world import with_pool
from guavapin_matrix.fleet_world import without_host

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_matrix.fleet_world import FleetWorld

SUBJECT = "a0"
LOST_MS = 40_000
OUTAGE_MS = 12_000
# More than twice the lease.
PAUSE_MS = 12_000
LONG_WORK_MS = 120_000
LONG_FACTOR = 20
RESTART_MS = 5_000


class FleetFaults:
    """Carries faults out; a second loss or edit takes another form."""

    def __init__(self, world: FleetWorld) -> None:
        self._world = world
        self._losses = 0
        self._edits = 0

    def inject(self, fault: Fault) -> None:
        """Let a fault happen now."""
        host = self._world.hosts.hosts[SUBJECT]
        table: dict[Fault, Callable[[], None]] = {
            Fault.HOSTS_LOST: self._lose_rack,
            Fault.RACE: lambda: self._soon(self._race),
            Fault.RUN_TIME_OFF: self._lengthen,
            Fault.NEVER_RUNS: lambda: setattr(host, "never_ends", True),
            Fault.CANCELLATIONS: lambda: self._soon(self._cancel),
            Fault.BAD_WORKER: lambda: setattr(host, "fails", True),
            Fault.PLATFORM_DOWN: lambda: self._for_a_while("is_down"),
            Fault.PLATFORM_SLOW: lambda: self._for_a_while("is_slow"),
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.LEASE_LAPSES: self._pause,
            Fault.SAME_OBJECT: lambda: self._soon(self._edit),
            Fault.SILENT_CONNECTION: self._silence,
            Fault.CUT_OFF: self._cut,
            Fault.PROCESS_DIES: self._die,
        }
        table[fault]()

    def heal(self) -> None:
        """End all lasting faults."""
        self._world.platform.is_down = self._world.platform.is_slow = False
        self._world.platform.lost_answers = 0
        host = self._world.hosts.hosts[SUBJECT]
        host.never_ends = host.fails = False
        host.step_factor = 1

    def _soon(self, act: Callable[[], None]) -> None:
        self._world.sim.after(0, act)

    def _lose_rack(self) -> None:
        """Lose the rack that is not in maintenance, the second time the other one."""
        rack = ["a2", "a3"] if self._losses == 0 else ["a0", "a1"]
        self._losses += 1
        self._world.lose(rack, LOST_MS)

    def _race(self) -> None:
        """Two operators at two processes want the subject for different ends."""
        self._world.operate(actions.StartMove(SUBJECT, "b"), at=0)
        self._world.operate(actions.Drain(SUBJECT), at=-1)

    def _lengthen(self) -> None:
        """Let the work on the subject, and what is done to it, take much longer."""
        hosts = self._world.hosts
        hosts.hosts[SUBJECT].step_factor = LONG_FACTOR
        if hosts.has_work(SUBJECT):
            hosts.give_work(SUBJECT, LONG_WORK_MS)

    def _cancel(self) -> None:
        for action in (
            actions.AbortWave(WAVE),
            actions.UndoMove(SUBJECT),
            actions.Undrain(SUBJECT),
        ):
            self._world.operate(action)

    def _for_a_while(self, name: str) -> None:
        platform = self._world.platform
        setattr(platform, name, True)
        self._world.sim.after(OUTAGE_MS, lambda: setattr(platform, name, False))

    def _lose_answer(self) -> None:
        self._world.platform.lost_answers += 1

    def _silence(self) -> None:
        self._world.hosts.silence()
        self._world.platform.silence_watches()

    def _pause(self) -> None:
        self._world.nodes[self._world.holder()].pause(PAUSE_MS)

    def _edit(self) -> None:
        """One operator moves the subject to another pool, another puts it back."""
        world, before, generation = self._world, self._world.objects, 10 * self._edits
        change = with_pool(before, SUBJECT, "b")
        if self._edits:
            change = without_host(before, SUBJECT)
        self._edits += 1
        world.publish(change, generation + 2)
        world.sim.after(500, lambda: world.publish(before, generation + 3))

    def _cut(self) -> None:
        world = self._world
        link = world.platform.link(world.nodes[world.holder()])
        link.is_cut = True
        world.sim.after(OUTAGE_MS, lambda: setattr(link, "is_cut", False))

    def _die(self) -> None:
        world = self._world
        world.nodes[world.holder()].die()
        world.sim.after(RESTART_MS, world.add_control)
