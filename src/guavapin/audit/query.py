"""Filters on audit entries; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.fleet.state import AuditEntry

MAX_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """Which entries to return, newest first; an empty field does not filter.

    `action` matches a whole action or its part before a dot: ``move`` matches
    ``move.start``.
    Times are wall times in milliseconds; `until_ms` is exclusive, 0 means no end.
    """

    actor: str = ""
    action: str = ""
    object: str = ""
    since_ms: int = 0
    until_ms: int = 0
    limit: int = 100

    @property
    def bounded_limit(self) -> int:
        """Return the limit, clamped to 1 to `MAX_LIMIT` entries of one answer."""
        return min(max(self.limit, 1), MAX_LIMIT)


def matches(query: AuditQuery, entry: AuditEntry) -> bool:
    """Return whether `entry` passes all filters of `query`."""
    if query.actor and entry.actor != query.actor:
        return False
    if query.object and entry.object != query.object:
        return False
    if query.action and not f"{entry.action}.".startswith(f"{query.action}."):
        return False
    if query.until_ms and entry.wall_ms >= query.until_ms:
        return False
    return entry.wall_ms >= query.since_ms
