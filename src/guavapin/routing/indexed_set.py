"""A set with constant-time insertion, removal and random choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


class IndexedSet:
    """Set of names that also supports access by index, for random sampling.

    Owned by one task. The names are in a list, their positions in a dict. Removal
    moves the last name into the gap, so the order is not kept. For example, the
    exchanges task keeps the upstreams with a free slot in such a set, and a picker
    samples `items` without a scan.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}
        for name in names:
            self.add(name)

    @property
    def items(self) -> Sequence[str]:
        """Return the names, in no particular order; valid until the next change."""
        return self._items

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Insert `name` unless it is present."""
        if name not in self._positions:
            self._positions[name] = len(self._items)
            self._items.append(name)

    def discard(self, name: str) -> None:
        """Remove `name` if it is present."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._items.pop()
        if last != name:
            self._items[position] = last
            self._positions[last] = position

    def set_member(self, name: str, is_member: bool) -> None:
        """Insert `name` if `is_member` is true, remove it otherwise."""
        if is_member:
            self.add(name)
        else:
            self.discard(name)
