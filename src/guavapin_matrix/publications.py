"""The procedure `publication`: from the operator's request to force everywhere."""

from __future__ import annotations

from guavapin.publication.publisher import Stage
from guavapin_matrix import publication_checks as checks
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import CellResult
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.publication_faults import PublicationFaults
from guavapin_matrix.publication_world import SUBJECT
from guavapin_matrix.publication_world import PublicationWorld

# A cold publisher knows no chunk; one that follows the configuration reads none.
VARIANTS = {"": (Stage.READ_CHUNKS,), "cold": ()}
# These leave every process connected, so the bound holds for the subject itself.
HARMLESS = frozenset(
    {Fault.RACE, Fault.NEVER_RUNS, Fault.CANCELLATIONS, Fault.ANSWER_LOST}
)
# New connections work at once, so alone this must not delay a publication either.
SILENT = (Fault.SILENT_CONNECTION,)
AGAIN_MS = 300
HEAL_MS = 20_000
SETTLE_MS = 45_000
LAST_MS = 15_000


class Publications:
    """Runs a publication with faults at one of its stages."""

    name = "publication"
    pair_share = 1

    def steps(self) -> tuple[Step, ...]:
        """Return every stage that a variant goes through."""
        return tuple(
            Step(self.name, stage.value, variant)
            for variant, left_out in VARIANTS.items()
            for stage in Stage
            if stage not in left_out
        )

    def required_steps(self) -> frozenset[str]:
        """Return every stage."""
        return frozenset(stage.value for stage in Stage)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a world of its own."""
        return _Run(cell).result()


class _Run:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.world = PublicationWorld(cell.step.variant == "cold", cell.seed)
        self.faults = PublicationFaults(self.world)
        self.reached: set[str] = set()
        self.is_injected = False
        self.world.sim.observers.append(self._observe)

    def result(self) -> CellResult:
        """Drive the world and return what the checks say."""
        world = self.world
        subject = world.publish(world.change("a0", 8, SUBJECT), world.nodes[0])
        world.sim.run(HEAL_MS)
        self.faults.heal()
        world.sim.run(SETTLE_MS)
        base = checks.read_history(world)[-1].generation
        node = world.alive()[0]
        last = world.publish(world.change("b0", 9, "last", base), node)
        world.sim.run(LAST_MS)
        history = checks.read_history(world)
        names = [node.name for node in world.alive()]
        violations = [
            *checks.check_history(world, history),
            *checks.check_results(world, history),
            *checks.check_adoptions(world, history),
            *checks.check_in_force(world, last, names),
        ]
        if HARMLESS.issuperset(self.cell.faults) or self.cell.faults == SILENT:
            violations += checks.check_in_force(world, subject, names)
        reached = frozenset(self.reached)
        return CellResult(self.cell, tuple(violations), self.is_injected, reached)

    def _observe(self) -> None:
        stage = self.world.subject_stage()
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
            self.world.sim.after(AGAIN_MS, lambda: self.faults.inject(faults[0]))
