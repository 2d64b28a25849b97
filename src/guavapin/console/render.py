"""Rendering of answers as aligned tables or as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP = "  "


def render_json(body: object) -> str:
    """Return `body` as indented JSON with a stable order of keys."""
    encoded = msgspec.json.encode(body, order="deterministic")
    return msgspec.json.format(encoded, indent=2).decode()


def render_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows aligned under upper-case column names.

    For example, ``render_table(("host", "pool"), [("h1", "renewals")])`` returns two
    lines. Without rows, only the line of names is returned.
    """
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(column), *(len(row[index]) for row in cells)])
        for index, column in enumerate(columns)
    ]
    lines = [_line([column.upper() for column in columns], widths)]
    lines.extend(_line(row, widths) for row in cells)
    return "\n".join(lines)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
