"""A set with constant-time insertion, removal and random choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


class IndexedSet:
    """Names in a list plus their positions, so that a picker can index them.

    Owned by one task. Removal moves the last name into the gap, so the order is
    not kept. For example, the exchanges task keeps the upstreams that have a free
    slot in one, and a picker samples `items` without a scan.
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
        """Insert `name`; a name that is present stays."""
        if name not in self._positions:
            self._positions[name] = len(self._items)
            self._items.append(name)

    def discard(self, name: str) -> None:
        """Remove `name`; an absent name is ignored."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._items.pop()
        if last != name:
            self._items[position] = last
            self._positions[last] = position

    def set_member(self, name: str, is_member: bool) -> None:
        """Insert or remove `name`."""
        if is_member:
            self.add(name)
        else:
            self.discard(name)
