"""The procedure `publication`: from an operator's request to force at all entries."""

from __future__ import annotations

from guavapin.publication.publisher import Stage
from guavapin_matrix import publication_checks as checks
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import CellResult
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.publication_faults import PublicationFaults
from guavapin_matrix.publication_simulation import SUBJECT
from guavapin_matrix.publication_simulation import PublicationSimulation

# The stages that each variant skips. A publisher that follows the configuration reads
# no chunk; a cold one knows none and reads them all.
VARIANTS = {"": (Stage.READ_CHUNKS,), "cold": ()}
# These faults leave every process connected, so the limit of guarantee 8 applies to
# the subject itself.
HARMLESS = frozenset(
    {Fault.RACE, Fault.NEVER_RUNS, Fault.CANCELLATIONS, Fault.ANSWER_LOST}
)
# New connections work at once, so this fault alone must not delay the subject either.
SILENT = (Fault.SILENT_CONNECTION,)
SECOND_FAULT_DELAY_MS = 300
HEAL_AFTER_MS = 20_000
SETTLE_MS = 45_000
LAST_MS = 15_000


class Publications:
    """Runs a publication and injects faults at one of its stages."""

    name = "publication"
    pair_divisor = 1

    def steps(self) -> tuple[Step, ...]:
        """Return every stage of every variant that the variant does not skip."""
        return tuple(
            Step(self.name, stage.value, variant)
            for variant, left_out in VARIANTS.items()
            for stage in Stage
            if stage not in left_out
        )

    def required_steps(self) -> frozenset[str]:
        """Return the values of all stages."""
        return frozenset(stage.value for stage in Stage)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a simulation of its own."""
        return _CellRun(cell).result()


class _CellRun:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.sim = PublicationSimulation(cell.step.variant == "cold", cell.seed)
        self.faults = PublicationFaults(self.sim)
        self.reached: set[str] = set()
        self.is_injected = False
        self.sim.loop.observers.append(self._observe)

    def result(self) -> CellResult:
        """Run the simulation and return the result of the checks."""
        sim = self.sim
        subject = sim.publish(sim.change("a0", 8, SUBJECT), sim.nodes[0])
        sim.loop.run(HEAL_AFTER_MS)
        self.faults.heal()
        sim.loop.run(SETTLE_MS)
        base = checks.read_history(sim)[-1].generation
        node = sim.alive()[0]
        last = sim.publish(sim.change("b0", 9, "last", base), node)
        sim.loop.run(LAST_MS)
        history = checks.read_history(sim)
        names = [node.name for node in sim.alive()]
        violations = [
            *checks.check_history(sim, history),
            *checks.check_results(sim, history),
            *checks.check_adoptions(sim, history),
            *checks.check_in_force(sim, last, names),
        ]
        if HARMLESS.issuperset(self.cell.faults) or self.cell.faults == SILENT:
            violations += checks.check_in_force(sim, subject, names)
        reached = frozenset(self.reached)
        return CellResult(self.cell, tuple(violations), self.is_injected, reached)

    def _observe(self) -> None:
        stage = self.sim.subject_stage()
        if stage is None:
            return
        self.reached.add(stage.value)
        if self.is_injected or stage.value != self.cell.step.name:
            return
        self.is_injected = True
        faults = self.cell.faults
        for fault in dict.fromkeys(faults):
            self.faults.inject(fault)
        if len(faults) == 2 and faults[0] is faults[1]:
            self.sim.loop.after(
                SECOND_FAULT_DELAY_MS, lambda: self.faults.inject(faults[0])
            )
