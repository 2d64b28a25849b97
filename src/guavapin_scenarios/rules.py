"""Rules of values that only scenarios have."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnyRule:
    """A number, a text, a boolean or an array, checked where it is used."""

    @property
    def expected(self) -> str:
        """Return what an acceptable value is."""
        return "a number, a text, a boolean or an array"

    def read(self, value: object) -> object | None:
        """Return the value; arrays as tuples, as the objects hold them."""
        if isinstance(value, list):
            return tuple(value)
        return value if isinstance(value, bool | int | float | str) else None
