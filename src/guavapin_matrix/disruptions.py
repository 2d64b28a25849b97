"""The procedures `wave` and `move`: planned disruptions of a host, to their end."""

from __future__ import annotations

from guavapin.fleet.state import HostPhase
from guavapin_matrix import fleet_checks as checks
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import CellResult
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.fleet_faults import SUBJECT
from guavapin_matrix.fleet_faults import FleetFaults
from guavapin_matrix.fleet_world import FleetWorld

SERVING = "serving"
# The time before the disruption begins; a wave begins a second after its processes.
WAITING = "waiting"
WAITING_MS = 500
# Courses of a disruption and the phases that they go through. A phase of the code's
# enum that stands in none of them has no column and fails the run.
COURSES: dict[str, dict[str, tuple[HostPhase, ...]]] = {
    "wave": {
        "": (
            HostPhase.DRAINING,
            HostPhase.REBOOTING,
            HostPhase.CHECKING,
            HostPhase.RETURNING,
        ),
        "failing": (HostPhase.FAILED,),
    },
    "move": {
        "": (HostPhase.DRAINING, HostPhase.RELEASED, HostPhase.JOINING),
        "drain": (HostPhase.DRAINING, HostPhase.DRAINED),
    },
}
# These end in service; a drain and a failed reboot wait for an operator.
TO_SERVICE = {("wave", ""), ("move", "")}
OUTAGES = frozenset({Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW})
AGAIN_MS = 2_000
BEGIN_MS = 3_000
HEAL_MS = 80_000
SETTLE_MS = 160_000
SETTLE_STEP_MS = 20_000


class Disruptions:
    """Runs a planned disruption with faults at one of its phases."""

    def __init__(self, name: str, pair_share: int) -> None:
        self.name = name
        self.pair_share = pair_share

    def steps(self) -> tuple[Step, ...]:
        """Return the phases of each course, and the times before and after it."""
        steps = []
        for variant, phases in COURSES[self.name].items():
            if not variant:
                steps.append(Step(self.name, WAITING, variant))
            steps += [Step(self.name, phase.value, variant) for phase in phases]
            if (self.name, variant) in TO_SERVICE:
                steps.append(Step(self.name, SERVING, variant))
        return tuple(steps)

    def required_steps(self) -> frozenset[str]:
        """Return the phases that no other procedure covers."""
        others = {
            phase
            for name, courses in COURSES.items()
            if name != self.name
            for phases in courses.values()
            for phase in phases
        }
        return frozenset(phase.value for phase in HostPhase if phase not in others)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a world of its own."""
        return _Run(cell).result()


class _Run:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        kind = "drain" if cell.step.variant == "drain" else cell.step.procedure
        self.world = FleetWorld(kind)
        self.kind = kind
        self.faults = FleetFaults(self.world)
        self.reached: set[str] = set()
        self.is_injected = False
        self.world.sim.observers.append(self._observe)

    def result(self) -> CellResult:
        """Drive the world and return what the checks say."""
        world = self.world
        if self.cell.step.variant == "failing":
            world.hosts.hosts[SUBJECT].fails_reboot = True
        # The seed shifts the begin against the ticks of the duty.
        begin_ms = BEGIN_MS + 37 * self.cell.seed % 1_000
        if self.cell.step.name == WAITING:
            self.reached.add(WAITING)
            wait_ms = WAITING_MS if self.kind == "wave" else begin_ms - 1
            world.sim.run(wait_ms)
            self._inject()
            begin_ms -= wait_ms
        world.sim.run(begin_ms)
        world.start(self.kind)
        world.sim.run(HEAL_MS)
        self.faults.heal()
        for _ in range(SETTLE_MS // SETTLE_STEP_MS):
            world.sim.run(SETTLE_STEP_MS)
            if not any(checks.check_end(world)):
                break
        # Without the platform an entry learns of a drain from the host itself.
        is_reachable = OUTAGES.isdisjoint(self.cell.faults)
        violations = (
            *(checks.check_leaving(world) if is_reachable else ()),
            *checks.check_budget(world),
            *checks.check_placements(world),
            *checks.check_commands(world),
            *checks.check_end(world),
        )
        reached = frozenset(self.reached)
        return CellResult(self.cell, violations, self.is_injected, reached)

    def _observe(self) -> None:
        item = self.world.state.disruptions.get(SUBJECT)
        if item is None and self.reached <= {WAITING}:
            return
        name = SERVING if item is None else item.phase.value
        self.reached.add(name)
        if self.is_injected or name != self.cell.step.name:
            return
        self._inject()

    def _inject(self) -> None:
        self.is_injected = True
        faults = self.cell.faults
        for fault in dict.fromkeys(faults):
            self.faults.inject(fault)
        if len(faults) == 2 and faults[0] is faults[1]:
            self.world.sim.after(AGAIN_MS, lambda: self.faults.inject(faults[0]))
