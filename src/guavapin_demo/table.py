"""Renders rows of a name and a value as text in two columns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def render_table(rows: Sequence[tuple[str, object]]) -> str:
    """Return one line for each row, with the values aligned."""
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name.ljust(width)}  {value}" for name, value in rows)
