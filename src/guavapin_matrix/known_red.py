"""Cells that fail because of a known fault, from the file KNOWN-RED.txt.

An entry is one line ``matrix | CELL | seed N | what was seen | issue``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin_matrix.cell import Cell

FILE = "KNOWN-RED.txt"
# Pairs of a cell's printed name and its seed.
KnownRed: TypeAlias = frozenset[tuple[str, int]]


def parse_known_red(text: str) -> KnownRed:
    """Return the cell and the seed of each entry that concerns the matrix."""
    known = set()
    for line in text.splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) >= 5 and parts[0] == "matrix":
            known.add((parts[1], int(parts[2].removeprefix("seed "))))
    return frozenset(known)


def is_known(cell: Cell, known: KnownRed) -> bool:
    """Return whether KNOWN-RED.txt lists a cell with its seed."""
    return (str(cell), cell.seed) in known
