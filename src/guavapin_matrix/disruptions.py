"""The procedures `wave` and `move`: a planned disruption of a host until its end."""

from __future__ import annotations

from guavapin.fleet.state import HostPhase
from guavapin_matrix import fleet_checks as checks
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import CellResult
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.fleet_faults import SUBJECT
from guavapin_matrix.fleet_faults import FleetFaults
from guavapin_matrix.fleet_simulation import FleetSimulation

SERVING = "serving"
# The step before the disruption begins. A wave begins 1 s after its processes.
WAITING = "waiting"
WAITING_MS = 500
# The phases of each variant. A phase of the product's enum that no variant contains
# has no column and fails the run.
VARIANT_PHASES: dict[str, dict[str, tuple[HostPhase, ...]]] = {
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
# Variants that return the host to service. A drain and a failed reboot wait for an
# operator instead.
VARIANTS_TO_SERVICE = {("wave", ""), ("move", "")}
OUTAGES = frozenset({Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW})
SECOND_FAULT_DELAY_MS = 2_000
BEGIN_AFTER_MS = 3_000
HEAL_AFTER_MS = 80_000
SETTLE_MS = 160_000
SETTLE_STEP_MS = 20_000


class Disruptions:
    """Runs a planned disruption and injects faults at one of its phases."""

    def __init__(self, name: str, pair_divisor: int) -> None:
        self.name = name
        self.pair_divisor = pair_divisor

    def steps(self) -> tuple[Step, ...]:
        """Return the phases of each variant, and the steps before and after them."""
        steps = []
        for variant, phases in VARIANT_PHASES[self.name].items():
            if not variant:
                steps.append(Step(self.name, WAITING, variant))
            steps += [Step(self.name, phase.value, variant) for phase in phases]
            if (self.name, variant) in VARIANTS_TO_SERVICE:
                steps.append(Step(self.name, SERVING, variant))
        return tuple(steps)

    def required_steps(self) -> frozenset[str]:
        """Return all phases but those that another procedure covers."""
        others = {
            phase
            for name, variants in VARIANT_PHASES.items()
            if name != self.name
            for phases in variants.values()
            for phase in phases
        }
        return frozenset(phase.value for phase in HostPhase if phase not in others)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a simulation of its own."""
        return _CellRun(cell).result()


class _CellRun:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        kind = "drain" if cell.step.variant == "drain" else cell.step.procedure
        self.sim = FleetSimulation(kind)
        self.kind = kind
        self.faults = FleetFaults(self.sim)
        self.reached: set[str] = set()
        self.is_injected = False
        self.sim.loop.observers.append(self._observe)

    def result(self) -> CellResult:
        """Run the simulation and return the result of the checks."""
        sim = self.sim
        if self.cell.step.variant == "failing":
            sim.hosts.hosts[SUBJECT].fails_reboot = True
        # The seed shifts the start relative to the timer of the duty.
        begin_ms = BEGIN_AFTER_MS + 37 * self.cell.seed % 1_000
        if self.cell.step.name == WAITING:
            self.reached.add(WAITING)
            wait_ms = WAITING_MS if self.kind == "wave" else begin_ms - 1
            sim.loop.run(wait_ms)
            self._inject()
            begin_ms -= wait_ms
        sim.loop.run(begin_ms)
        sim.start(self.kind)
        sim.loop.run(HEAL_AFTER_MS)
        self.faults.heal()
        for _ in range(SETTLE_MS // SETTLE_STEP_MS):
            sim.loop.run(SETTLE_STEP_MS)
            if not any(checks.check_end(sim)):
                break
        # Without the platform, an entry learns of a drain from the host itself, not
        # from the view that this check reads.
        is_reachable = OUTAGES.isdisjoint(self.cell.faults)
        violations = (
            *(checks.check_leaving(sim) if is_reachable else ()),
            *checks.check_budget(sim),
            *checks.check_placements(sim),
            *checks.check_commands(sim),
            *checks.check_end(sim),
        )
        reached = frozenset(self.reached)
        return CellResult(self.cell, violations, self.is_injected, reached)

    def _observe(self) -> None:
        item = self.sim.state.disruptions.get(SUBJECT)
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
            self.sim.loop.after(
                SECOND_FAULT_DELAY_MS, lambda: self.faults.inject(faults[0])
            )
