"""Which cells are run, and what their results add up to."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_matrix.cell import Cell
from guavapin_matrix.faults import fault_pairs
from guavapin_matrix.faults import single_faults
from guavapin_matrix.known_red import is_known

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin_matrix.cell import CellResult
    from guavapin_matrix.cell import Procedure
    from guavapin_matrix.known_red import KnownRed


@dataclass(frozen=True, slots=True)
class MatrixResult:
    """All results of one run; `gaps` names steps that no base run reaches."""

    results: tuple[CellResult, ...]
    gaps: tuple[str, ...]

    @property
    def red(self) -> tuple[CellResult, ...]:
        """Return the cells with violations, and those whose faults never hit."""
        return tuple(r for r in self.results if r.violations or not r.is_injected)


def is_chosen(cell: Cell, pair_divisor: int) -> bool:
    """Return whether a cell is run.

    Every fault alone and every fault twice is run. Of the pairs of different faults
    one in `pair_divisor` is run, chosen by a checksum of the cell's name and the seed,
    so that another seed covers other pairs.
    """
    if len(set(cell.faults)) < 2 or pair_divisor == 1:
        return True
    return zlib.crc32(f"{cell} {cell.seed}".encode()) % pair_divisor == 0


def cells_of(
    procedure: Procedure, seed: int, known: KnownRed = frozenset()
) -> Iterator[Cell]:
    """Return the cells of one procedure in a fixed order; known red ones always."""
    for step in procedure.steps():
        for faults in single_faults() + fault_pairs():
            cell = Cell(step, faults, seed)
            if is_chosen(cell, procedure.pair_divisor) or is_known(cell, known):
                yield cell


def find_gaps(procedure: Procedure, seed: int) -> Iterator[str]:
    """Run each step without faults; return what the columns do not cover.

    A new member of the code's own enum becomes a column by itself and shows here
    until the procedure has a course that reaches it; a base run must also be green.
    """
    for step in procedure.steps():
        result = procedure.run(Cell(step, (), seed))
        if not result.is_injected:
            yield f"{step}: not reached without faults"
        for violation in result.violations:
            yield f"{step}: without faults: {violation}"
    named = {step.name for step in procedure.steps()}
    for missing in sorted(procedure.required_steps() - named):
        yield f"{procedure.name}/{missing}: no column"


def run_matrix(
    procedures: Iterable[Procedure], seed: int, known: KnownRed = frozenset()
) -> MatrixResult:
    """Run all chosen cells of the procedures."""
    results: list[CellResult] = []
    gaps: list[str] = []
    for procedure in procedures:
        gaps.extend(find_gaps(procedure, seed))
        for cell in cells_of(procedure, seed, known):
            results.append(procedure.run(cell))
    return MatrixResult(tuple(results), tuple(gaps))
