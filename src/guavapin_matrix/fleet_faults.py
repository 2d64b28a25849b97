"""Injects each fault into the control processes, hosts and operators' commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.fleet import actions
from guavapin_matrix.faults import Fault
from guavapin_matrix.fleet_simulation import WAVE
from guavapin_matrix.fleet_simulation import with_pool
from guavapin_matrix.fleet_simulation import without_host

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_matrix.fleet_simulation import FleetSimulation

SUBJECT = "a0"
LOSS_DURATION_MS = 40_000
OUTAGE_MS = 12_000
# Longer than two lease periods, so the lease expires during the pause.
PAUSE_MS = 12_000
LONG_WORK_MS = 120_000
LONG_FACTOR = 20
RESTART_DELAY_MS = 5_000


class FleetFaults:
    """Injects faults into a `FleetSimulation`.

    A repeated loss takes another rack, and a repeated edit removes the host.
    """

    def __init__(self, sim: FleetSimulation) -> None:
        self._sim = sim
        self._losses = 0
        self._edits = 0

    def inject(self, fault: Fault) -> None:
        """Inject a fault now."""
        host = self._sim.hosts.hosts[SUBJECT]
        table: dict[Fault, Callable[[], None]] = {
            Fault.HOSTS_LOST: self._lose_rack,
            Fault.RACE: lambda: self._schedule(self._race),
            Fault.RUN_TIME_OFF: self._slow_down,
            Fault.NEVER_RUNS: lambda: setattr(host, "never_ends", True),
            Fault.CANCELLATIONS: lambda: self._schedule(self._cancel),
            Fault.BAD_WORKER: lambda: setattr(host, "fails", True),
            Fault.PLATFORM_DOWN: lambda: self._set_during_outage("is_down"),
            Fault.PLATFORM_SLOW: lambda: self._set_during_outage("is_slow"),
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.LEASE_LAPSES: self._pause,
            Fault.SAME_OBJECT: lambda: self._schedule(self._edit),
            Fault.SILENT_CONNECTION: self._silence,
            Fault.CUT_OFF: self._cut_connection,
            Fault.PROCESS_DIES: self._crash_process,
        }
        table[fault]()

    def heal(self) -> None:
        """Reset the faults of the platform and the subject; the others end by timer."""
        self._sim.platform.is_down = self._sim.platform.is_slow = False
        self._sim.platform.lost_answers = 0
        host = self._sim.hosts.hosts[SUBJECT]
        host.never_ends = host.fails = False
        host.step_factor = 1

    def _schedule(self, callback: Callable[[], None]) -> None:
        self._sim.loop.after(0, callback)

    def _lose_rack(self) -> None:
        """Take down the rack without maintenance, or the other one the second time."""
        rack = ["a2", "a3"] if self._losses == 0 else ["a0", "a1"]
        self._losses += 1
        self._sim.take_down(rack, LOSS_DURATION_MS)

    def _race(self) -> None:
        """Send a move and a drain of the subject, at two different processes."""
        self._sim.send_command(actions.StartMove(SUBJECT, "b"), at=0)
        self._sim.send_command(actions.Drain(SUBJECT), at=-1)

    def _slow_down(self) -> None:
        """Multiply the duration of the subject's steps and lengthen its work."""
        hosts = self._sim.hosts
        hosts.hosts[SUBJECT].step_factor = LONG_FACTOR
        if hosts.has_work(SUBJECT):
            hosts.add_work(SUBJECT, LONG_WORK_MS)

    def _cancel(self) -> None:
        for action in (
            actions.AbortWave(WAVE),
            actions.UndoMove(SUBJECT),
            actions.Undrain(SUBJECT),
        ):
            self._sim.send_command(action)

    def _set_during_outage(self, name: str) -> None:
        platform = self._sim.platform
        setattr(platform, name, True)
        self._sim.loop.after(OUTAGE_MS, lambda: setattr(platform, name, False))

    def _lose_answer(self) -> None:
        self._sim.platform.lost_answers += 1

    def _silence(self) -> None:
        self._sim.hosts.silence()
        self._sim.platform.silence_watches()

    def _pause(self) -> None:
        self._sim.nodes[self._sim.holder()].pause(PAUSE_MS)

    def _edit(self) -> None:
        """Publish a change of the subject's pool, or its removal, and then undo it."""
        sim, before, generation = self._sim, self._sim.objects, 10 * self._edits
        change = with_pool(before, SUBJECT, "b")
        if self._edits:
            change = without_host(before, SUBJECT)
        self._edits += 1
        sim.publish(change, generation + 2)
        sim.loop.after(500, lambda: sim.publish(before, generation + 3))

    def _cut_connection(self) -> None:
        sim = self._sim
        link = sim.platform.link(sim.nodes[sim.holder()])
        link.is_cut = True
        sim.loop.after(OUTAGE_MS, lambda: setattr(link, "is_cut", False))

    def _crash_process(self) -> None:
        sim = self._sim
        sim.nodes[sim.holder()].crash()
        sim.loop.after(RESTART_DELAY_MS, sim.add_control)
