"""The semantics of the platform's key-value service, without a network."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import HostState
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Written
from guavapin_standins.platform_hosts import HostSteps

if TYPE_CHECKING:
    from guavapin.kernel.clock import Clock

MAX_VALUE_BYTES = 1_000_000
# Watches are not told of deletions that are older than this many changes.
MAX_CHANGES = 100_000


@dataclass(frozen=True, slots=True)
class _Entry:
    value: bytes
    revision: int
    lease_id: str


@dataclass(frozen=True, slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int


class RateLimit:
    """Token bucket of `rate` calls a second and a burst of `burst` calls."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._tokens = burst
        self._at_ms = clock.now_ms()

    def allows(self) -> bool:
        """Consume a token; return whether there was one."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._at_ms) * self.rate / 1_000
        self._tokens = min(self.burst, self._tokens + refill)
        self._at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformStore:
    """Holds keys with revisions, leases, and a list of hosts that lags behind.

    One revision counter serves all keys. When a lease has lapsed, the next use of the
    store or call of `expire_leases` removes its keys, each with its own revision.
    Every value of the keys in `recorded_keys` is appended to `history`, with its key
    and its revision.
    """

    def __init__(self, clock: Clock, hosts_lag_ms: int = 2_000) -> None:
        self.revision = 0
        self.hosts_lag_ms = hosts_lag_ms
        self.host_steps = HostSteps(clock, self.set_host)
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._sorted_keys: list[str] = []
        self._leases: dict[str, _Lease] = {}
        self._lease_keys: dict[str, set[str]] = {}
        self._changes: list[KeyRevision] = []
        self._hosts: dict[str, list[tuple[int, str]]] = {}
        self.recorded_keys: frozenset[str] = frozenset()
        self.history: list[tuple[str, int, bytes]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> Found | Missing:
        """Return the value of a key."""
        self.expire_leases()
        entry = self._entries.get(key)
        return Missing() if entry is None else Found(entry.value, entry.revision)

    def put(
        self, key: str, value: bytes, expected: int, lease_id: str = ""
    ) -> Written | Conflict | Missing:
        """Write a key at a revision; return `Missing` if the lease has lapsed."""
        self.expire_leases()
        entry = self._entries.get(key)
        current = 0 if entry is None else entry.revision
        if current != expected:
            return Conflict(current)
        if lease_id and lease_id not in self._leases:
            return Missing()
        if entry is None:
            bisect.insort(self._sorted_keys, key)
        elif entry.lease_id:
            self._lease_keys[entry.lease_id].discard(key)
        self._record(key, deleted=False)
        self._entries[key] = _Entry(value, self.revision, lease_id)
        if key in self.recorded_keys:
            self.history.append((key, self.revision, value))
        if lease_id:
            self._lease_keys[lease_id].add(key)
        return Written(self.revision)

    def delete(self, key: str, expected: int) -> Written | Conflict:
        """Remove a key if it is at the revision `expected`."""
        self.expire_leases()
        entry = self._entries.get(key)
        current = 0 if entry is None else entry.revision
        if entry is None or current != expected:
            return Conflict(current)
        self._remove(key)
        return Written(self.revision)

    def list_prefix(self, prefix: str) -> tuple[KeyRevision, ...]:
        """Return the keys that begin with `prefix`, sorted."""
        self.expire_leases()
        found = []
        for key in self._sorted_keys[bisect.bisect_left(self._sorted_keys, prefix) :]:
            if not key.startswith(prefix):
                break
            found.append(KeyRevision(key, self._entries[key].revision))
        return tuple(found)

    def changes(self, prefix: str, after_revision: int) -> tuple[KeyRevision, ...]:
        """Return the newest change of each key under `prefix` after a revision."""
        self.expire_leases()
        newest: dict[str, KeyRevision] = {}
        if self._changes and self._changes[0].revision > after_revision + 1:
            for item in self.list_prefix(prefix):
                if item.revision > after_revision:
                    newest[item.key] = item
        first = bisect.bisect_right(
            self._changes, after_revision, key=lambda item: item.revision
        )
        for change in self._changes[first:]:
            if change.key.startswith(prefix):
                newest[change.key] = change
        return tuple(sorted(newest.values(), key=lambda item: item.revision))

    def grant(self, ttl_ms: int) -> Leased:
        """Grant a lease of `ttl_ms` milliseconds."""
        self.expire_leases()
        self.revision += 1
        lease_id = f"lease-{self.revision}"
        self._leases[lease_id] = _Lease(ttl_ms, self._clock.now_ms() + ttl_ms)
        self._lease_keys[lease_id] = set()
        return Leased(lease_id, ttl_ms)

    def renew(self, lease_id: str) -> Leased | Missing:
        """Extend a lease by its full TTL from now."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return Missing()
        expires_ms = self._clock.now_ms() + lease.ttl_ms
        self._leases[lease_id] = _Lease(lease.ttl_ms, expires_ms)
        return Leased(lease_id, lease.ttl_ms)

    def revoke(self, lease_id: str) -> Written | Missing:
        """End a lease and remove its keys."""
        self.expire_leases()
        if lease_id not in self._leases:
            return Missing()
        self._end_lease(lease_id)
        return Written(self.revision)

    def expire_leases(self) -> None:
        """Remove the keys of lapsed leases."""
        now_ms = self._clock.now_ms()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_ms <= now_ms:
                self._end_lease(lease_id)

    def next_expiry_ms(self) -> int | None:
        """Return when the next lease lapses unless renewed, or None without leases."""
        return min((lease.expires_ms for lease in self._leases.values()), default=None)

    def set_host(self, host: str, state: str) -> None:
        """Set a host's state; `hosts` returns it after `hosts_lag_ms`."""
        self._hosts.setdefault(host, []).append((self._clock.now_ms(), state))

    def hosts(self) -> tuple[HostState, ...]:
        """Return the hosts that are live or leaving, as of `hosts_lag_ms` ago."""
        seen_ms = self._clock.now_ms() - self.hosts_lag_ms
        shown = []
        for host, states in self._hosts.items():
            past = [state for at_ms, state in states if at_ms <= seen_ms]
            if past and past[-1] in ("live", "leaving"):
                shown.append(HostState(host, past[-1]))
        return tuple(shown)

    def live_now(self) -> frozenset[str]:
        """Return the hosts that are live now, without the lag of `hosts`."""
        return frozenset(
            host for host, states in self._hosts.items() if states[-1][1] == "live"
        )

    def _end_lease(self, lease_id: str) -> None:
        del self._leases[lease_id]
        for key in sorted(self._lease_keys.pop(lease_id)):
            self._remove(key)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key)
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        if entry.lease_id in self._lease_keys:
            self._lease_keys[entry.lease_id].discard(key)
        self._record(key, deleted=True)

    def _record(self, key: str, *, deleted: bool) -> None:
        self.revision += 1
        self._changes.append(KeyRevision(key, self.revision, deleted))
        if len(self._changes) > 2 * MAX_CHANGES:
            del self._changes[:MAX_CHANGES]
