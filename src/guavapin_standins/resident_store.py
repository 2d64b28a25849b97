"""The users' metadata store, in memory: items, leases, transactions and watches."""

from __future__ import annotations

import base64
from bisect import bisect_right
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item; `lease` is 0 if it is bound to none."""

    key: str
    value: str
    revision: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Return the item as a JSON object of the store's protocol."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "created": self.revision,
            "lease": self.lease,
        }


class ResidentStore:
    """State of the store; times are in milliseconds."""

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self._leases: dict[int, tuple[int, int]] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item without comparing its revision."""
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_removal(key)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the HTTP status and the answer.

        Return 412 with the current items if a revision differs, and 404 if a lease
        has ended.
        """
        rows = body.get("expect", [])
        found = [self.items.get(row["key"]) for row in rows]
        pairs = zip(rows, found, strict=True)
        if any(row["revision"] != (i.revision if i else 0) for row, i in pairs):
            current = [
                item.encode() if item else {"key": row["key"], "revision": 0}
                for row, item in zip(rows, found, strict=True)
            ]
            return 412, {"items": current}
        puts = body.get("set-keys", [])
        if any(row.get("lease", 0) not in {0, *self._leases} for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._set(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            if self.items.pop(key, None) is not None:
                self._record_removal(key)
        return 200, {"revision": self.revision}

    def grant(self, ttl_ms: int, now_ms: int) -> int:
        """Return the id of a new lease."""
        self.revision += 1
        self._leases[self.revision] = (ttl_ms, now_ms + ttl_ms)
        return self.revision

    def renew(self, lease: int, now_ms: int) -> int:
        """Renew a lease; return its TTL in ms, or 0 if it has ended."""
        ttl_ms, _ = self._leases.get(lease, (0, 0))
        if ttl_ms:
            self._leases[lease] = (ttl_ms, now_ms + ttl_ms)
        return ttl_ms

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        for item in [*self.items.values()]:
            if lease and item.lease == lease:
                self.remove(item.key)

    def expire(self, now_ms: int) -> None:
        """End the leases that have expired."""
        for lease, (_, until_ms) in [*self._leases.items()]:
            if now_ms > until_ms:
                self.end_lease(lease)

    def events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes under a prefix that follow a revision."""
        # The history is in order of revision, and grows by all renewed registrations.
        first = bisect_right(self.history, after, key=_revision)
        return [
            event for event in self.history[first:] if event["key"].startswith(prefix)
        ]

    def _set(self, key: str, value: str, lease: int) -> None:
        item = StoredItem(key, value, self.revision, lease)
        self.items[key] = item
        self.history.append(item.encode())

    def _record_removal(self, key: str) -> None:
        event = {"key": key, "revision": self.revision, "tombstone": True}
        self.history.append(event)


def _revision(event: dict[str, Any]) -> int:
    revision: int = event["revision"]
    return revision
