"""The table of the matrix's procedures by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_matrix.disruptions import Disruptions
from guavapin_matrix.publications import Publications
from guavapin_matrix.requests import Requests

if TYPE_CHECKING:
    from guavapin_matrix.cell import Procedure

PROCEDURES: dict[str, Procedure] = {
    item.name: item
    for item in (
        Requests(),
        Publications(),
        Disruptions("wave", 3),
        Disruptions("move", 3),
    )
}
