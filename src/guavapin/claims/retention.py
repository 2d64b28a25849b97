"""Retention of records by leases, so that records need not be deleted one by one.

Deleting each record would cost a third write per request. Instead, records are written
under a lease that is used for `lease_span_ms` and never renewed. It expires
`retention_ms` after the last record was written under it, and the platform then
removes its keys. The lease serves retention only: it does not depend on whether the
claimant is alive.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class Retention:
    """The lease under which new records are written.

    `requested_ms` is the time of a lease request that is pending or waits to be
    repeated, None without one. Writes use the lease until `usable_until_ms`.
    """

    lease_id: str = ""
    usable_until_ms: int = 0
    requested_ms: int | None = None

    def lease_at(self, now_ms: int) -> str:
        """Return the lease for a write at `now_ms`, or an empty string without one."""
        return self.lease_id if now_ms < self.usable_until_ms else ""

    def with_request(self, now_ms: int) -> Retention:
        """Return the state after a lease was requested at `now_ms`."""
        return replace(self, requested_ms=now_ms)

    def granted(self, lease_id: str, span_ms: int) -> Retention:
        """Return the state with a new lease, usable for `span_ms` from its request."""
        requested_ms = self.requested_ms or 0
        return Retention(lease_id, requested_ms + span_ms)

    def without_request(self) -> Retention:
        """Return the state in which a lease may be requested again."""
        return replace(self, requested_ms=None)

    def expired(self) -> Retention:
        """Return the state after the platform reported the lease as unknown."""
        return replace(self, usable_until_ms=0)
