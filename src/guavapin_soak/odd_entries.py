"""Entries that another writer may leave in the registry of executors."""

from __future__ import annotations

import json

# A valid address of the loopback network on which nothing listens.
_ADDRESS = "127.0.0.1:9"

_VALID = {
    "service": "pool",
    "address": _ADDRESS,
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4_000, "mem-mb": 8_000, "gpus": 0},
    "labels": ["a", "r"],
    "born": 1,
    "clock-ms": 1,
}


def _changed(**fields: object) -> bytes:
    return json.dumps({**_VALID, **fields}).encode()


# Id and value of each entry by its name. Only one part of an entry is odd, so that each
# check of a reader is reached.
ODD_ENTRIES: dict[str, tuple[str, bytes]] = {
    "empty": ("x-empty", b""),
    "no fields": ("x-none", b"{}"),
    "fields missing": ("x-missing", json.dumps({"service": "pool"}).encode()),
    "not an object": ("x-list", b"[1, null]"),
    "address of another type": ("x-type", _changed(address=8_080)),
    "labels of another type": ("x-labels", _changed(labels="a")),
    "unknown state": ("x-state", _changed(state="resting")),
    "unknown service": ("x-service", _changed(service="nowhere")),
    "address outside ASCII": ("x-address", _changed(address="[::1%r\u00e9seau]:8080")),
    "address with a line break": ("x-line", _changed(address="127.0.0.1\r\n:9")),
    "port out of range": ("x-port", _changed(address="127.0.0.1:99999")),
    "clock too large": ("x-clock", _changed(**{"clock-ms": 1e300})),
    "start too large": ("x-born", _changed(born=10**400)),
    "capacity too large": ("x-capacity", _changed(capacity={"cpu": 10**30})),
    "deep nesting": ("x-deep", b"[" * 100_000),
    "no UTF-8": ("x-bytes", b'{"service": "\xff\xfe"}'),
    "id outside ASCII": ("x-\u00e9", _changed()),
}
