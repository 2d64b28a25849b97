"""Rules for values that occur in scenario scripts only."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnyRule:
    """Accepts a number, a text, a boolean or an array.

    The user of the value validates it: its type depends on other keys of the table.
    """

    @property
    def expected(self) -> str:
        """Return the description of an acceptable value for error messages."""
        return "a number, a text, a boolean or an array"

    def read(self, value: object) -> object | None:
        """Return the value, or None for another type.

        An array becomes a tuple, as in the fields of the objects.
        """
        if isinstance(value, list):
            return tuple(value)
        return value if isinstance(value, bool | int | float | str) else None
