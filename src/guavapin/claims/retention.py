"""Leases that end the retention of records, so that no deletes are needed.

Deleting each record would cost a third write a request. Records are written under a
lease that is used for `lease_span_ms`, never renewed, and lapses `retention_ms` after
the last record was written under it; the platform then removes its keys. The lease
belongs to the records' retention only: it is not tied to the claimant's life.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class Retention:
    """The lease for new records.

    `requested_ms` is when a grant was asked for that is pending or waits to be asked
    for again.
    """

    lease_id: str = ""
    usable_until_ms: int = 0
    requested_ms: int | None = None

    def lease_at(self, now_ms: int) -> str:
        """Return the lease to write under, empty if there is none."""
        return self.lease_id if now_ms < self.usable_until_ms else ""

    def with_request(self, now_ms: int) -> Retention:
        """Return the state after asking for a lease."""
        return replace(self, requested_ms=now_ms)

    def granted(self, lease_id: str, span_ms: int) -> Retention:
        """Return the state with a new lease, counted from when it was asked for."""
        requested_ms = self.requested_ms or 0
        return Retention(lease_id, requested_ms + span_ms)

    def without_request(self) -> Retention:
        """Return the state in which the lease may be asked for again."""
        return replace(self, requested_ms=None)

    def expired(self) -> Retention:
        """Return the state after the platform did not know the lease."""
        return replace(self, usable_until_ms=0)
