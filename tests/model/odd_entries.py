"""Entries of another writer in the registry of executors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.platform.bodies import encode_body
from guavapin.platform.manifest import REGISTRY_PREFIX

if TYPE_CHECKING:
    import random

# Entry that names an executor.
ENTRY = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "1",
    "slots": 4,
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem-mb": 65_536, "gpus": 0},
    "labels": ["a", "r1"],
    "seq": 1,
    "born": 1,
}

# Values that cannot be read, or that are no entry.
_VALUES = (
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b"{}",
    b'"' + b"x" * 10_000,
    b"[" * 10_000,
    b'{"service":"pool","born":1e999}',
)

# Changes of one field, each of which makes an entry name no executor. None removes it.
_CHANGES = (
    {"state": None},
    {"state": "gone"},
    {"state": 7},
    {"service": "nothing"},
    {"service": ""},
    {"service": None},
    {"service": ["pool"]},
    {"address": "[::1%réseau]:8080"},
    {"address": "réseau:8080"},
    {"address": "10.0.0.9"},
    {"address": "10.0.0.9:0"},
    {"address": "10.0.0.9:99999"},
    {"address": "user@10.0.0.9:8080/path"},
    {"address": "10.0.0.9:8080\r\nx-other: 1"},
    {"address": ""},
    {"address": None},
    {"zone": None},
    {"zone": 3},
    {"capacity": None},
    {"capacity": 16_000},
    {"capacity": {"cpu": -1}},
    {"capacity": {"cpu": 1e300}},
    {"capacity": {"cpu": "many", "mem-mb": 1}},
    {"labels": None},
    {"labels": [1, 2]},
    {"labels": "a"},
    {"born": -1},
    {"born": 2**60},
    {"born": 1e300},
    {"born": "today"},
    {"clock-ms": -1},
    {"clock-ms": 1e300},
)

# Ids of entries: usual ones, and some that a header or a path cannot carry.
_IDS = ("odd", "", "réseau", "a b", "a\r\nx-other: 1", "a/b", "x" * 3_000)


def draw_odd_entry(rng: random.Random) -> tuple[str, bytes]:
    """Return the key and value of an entry that names no executor."""
    executor_id = rng.choice(_IDS) if rng.random() < 0.3 else f"odd{rng.randint(0, 9)}"
    return f"{REGISTRY_PREFIX}{executor_id}", draw_odd_value(rng)


def draw_odd_value(rng: random.Random) -> bytes:
    """Return the value of an entry that names no executor."""
    if rng.random() < 0.2:
        return rng.choice(_VALUES)
    entry = {**ENTRY, **rng.choice(_CHANGES)}
    fields = {key: value for key, value in entry.items() if value is not None}
    return encode_body(fields)
