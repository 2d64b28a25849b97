"""Selects the cells of the matrix, runs them and collects the results."""

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
    """The results of all cells of one run.

    `gaps` describes steps without a column, steps that the base run does not reach and
    violations in base runs.
    """

    results: tuple[CellResult, ...]
    gaps: tuple[str, ...]

    @property
    def red(self) -> tuple[CellResult, ...]:
        """Return the results with violations or without an injected fault."""
        return tuple(r for r in self.results if r.violations or not r.is_injected)


def is_chosen(cell: Cell, pair_divisor: int) -> bool:
    """Return whether a cell is run.

    All cells with a single fault or the same fault twice are run. Of the pairs of
    different faults, one in `pair_divisor` is run. A checksum of the cell's name and
    the seed selects it, so another seed covers other pairs.
    """
    if len(set(cell.faults)) < 2 or pair_divisor == 1:
        return True
    return zlib.crc32(f"{cell} {cell.seed}".encode()) % pair_divisor == 0


def cells_of(
    procedure: Procedure, seed: int, known: KnownRed = frozenset()
) -> Iterator[Cell]:
    """Return the cells to run, in a fixed order; known red cells are always run."""
    for step in procedure.steps():
        for faults in single_faults() + fault_pairs():
            cell = Cell(step, faults, seed)
            if is_chosen(cell, procedure.pair_divisor) or is_known(cell, known):
                yield cell


def find_gaps(procedure: Procedure, seed: int) -> Iterator[str]:
    """Run each step without faults; return descriptions of the gaps found.

    A new member of the product's enum becomes a column automatically. It is a gap
    until a variant of the procedure reaches it. A violation in a base run is a gap too.
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
    """Find the gaps and run all selected cells of the procedures."""
    results: list[CellResult] = []
    gaps: list[str] = []
    for procedure in procedures:
        gaps.extend(find_gaps(procedure, seed))
        for cell in cells_of(procedure, seed, known):
            results.append(procedure.run(cell))
    return MatrixResult(tuple(results), tuple(gaps))
