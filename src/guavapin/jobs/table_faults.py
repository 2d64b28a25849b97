"""Finds what makes the organisations of a configuration unusable.

A key that two organisations hold cannot be attributed, and names that differ only in
case are confused by operators, so that such a table does not come into force.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A key is sent in a request's head, which has at most 16 kB.
MAX_KEY_BYTES = 8_192

# Limit of all keys of a table. Each entry host keeps a digest of each.
MAX_KEYS_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class UnusableTable:
    """A configuration that does not come into force; `detail` holds no key."""

    detail: str


def find_organisation_fault(rows: Iterable[tuple[str, tuple[str, ...]]]) -> str:
    """Return what is wrong with names and keys of organisations, "" if nothing is.

    For example, the rows ``("a", ("k",))`` and ``("b", ("k",))`` share a key.
    """
    names: dict[str, str] = {}
    owners: dict[str, str] = {}
    total_bytes = 0
    for name, keys in rows:
        if not name:
            return "an organisation has an empty name"
        other = names.setdefault(name.casefold(), name)
        if other is not name:
            return f"organisations {other!r} and {name!r} have the same name"
        for number, key in enumerate(keys, 1):
            where = f"key {number} of organisation {name!r}"
            if not key:
                return f"{where} is empty"
            length = len(key.encode("utf-8", "surrogateescape"))
            total_bytes += length
            if length > MAX_KEY_BYTES:
                return f"{where} has {length} bytes, expected at most {MAX_KEY_BYTES}"
            if total_bytes > MAX_KEYS_BYTES:
                return f"all keys have more than {MAX_KEYS_BYTES} bytes"
            if key in owners:
                return f"{where} is one of organisation {owners[key]!r} too"
            owners[key] = name
    return ""
