"""Platform calls of a claim store: the keys that wait for them, and the lease."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from guavapin.claims.retention import Retention
from guavapin.claims.store import SERVICE
from guavapin.claims.store import Actions
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.claims.store import WakeKind
from guavapin.claims.store import backoff_ms
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Watch

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome

LEASE = "lease"


class CallTracker:
    """Creates platform calls and matches their answers to subjects.

    A subject is the platform key of one state machine. Each subject waits for at most
    one call or wake-up at a time. Writes wait while there is no retention lease.
    """

    def __init__(self, cfg: ClaimsConfig, process_id: str) -> None:
        self.counters: Counter[str] = Counter()
        self._cfg = cfg
        self._process_id = process_id
        self._last_number = 0
        self._calls: dict[int, str] = {}
        self._current: dict[str, int] = {}
        self._watches: set[int] = set()
        self._awaiting_lease: set[str] = set()
        self._retention = Retention()

    def next_number(self) -> int:
        """Return a number that this process has not used before."""
        self._last_number += 1
        return self._last_number

    def read(self, subject: str, key: str) -> Actions:
        """Read `key` for the subject."""
        return (CallPlatform(Get(SERVICE, self._open(subject), key)),)

    def watch(self, subject: str, key: str, after: int, wait_ms: int) -> Actions:
        """Watch `key` for the subject; return no action if all watches are in use."""
        if len(self._watches) >= self._cfg.max_watches:
            return ()
        call_id = self._open(subject)
        self._watches.add(call_id)
        return (CallPlatform(Watch(SERVICE, call_id, key, after, wait_ms)),)

    def write(self, subject: str, value: bytes, expected: int, now_ms: int) -> Actions:
        """Compare and swap the subject's own key at the revision `expected`.

        Without a usable lease the write is not sent: the subject waits for the lease.
        """
        lease_id = self._retention.lease_at(now_ms)
        if not lease_id:
            self._awaiting_lease.add(subject)
            return self.request_lease(now_ms)
        call_id = self._open(subject)
        put = Put(SERVICE, call_id, subject, value, expected, lease_id)
        return (CallPlatform(put),)

    def pause(self, subject: str, delay_ms: int) -> Actions:
        """Wake the subject after `delay_ms`."""
        wake_id = self.next_number()
        self._current[subject] = wake_id
        return (WakeAfter(delay_ms, Wake(WakeKind.RETRY, subject, wake_id)),)

    def back_off(self, subject: str, tries: int, salt: str) -> Actions:
        """Wake the subject after a delay that grows with `tries`."""
        return self.pause(subject, backoff_ms(self._cfg, tries, salt))

    def complete(self, call_id: int) -> tuple[str, bool]:
        """End a call; return its subject and whether that one waits for this call."""
        self._watches.discard(call_id)
        subject = self._calls.pop(call_id, "")
        return subject, self._current.get(subject) == call_id

    def is_current(self, subject: str, wake_id: int) -> bool:
        """Return whether the subject waits for this wake-up."""
        return self._current.get(subject) == wake_id

    def remove(self, subject: str) -> None:
        """Remove a subject; later answers to its calls are ignored."""
        self._current.pop(subject, None)
        self._awaiting_lease.discard(subject)

    def on_lease_expired(self) -> None:
        """Discard a lease that the platform does not know.

        The next write requests a new one.
        """
        self._retention = self._retention.expired()

    def request_lease(self, now_ms: int) -> Actions:
        """Request a lease unless a request is pending."""
        if self._retention.requested_ms is not None:
            return ()
        self._retention = self._retention.with_request(now_ms)
        ttl_ms = self._cfg.retention_ms + self._cfg.lease_span_ms
        return (CallPlatform(LeaseGrant(SERVICE, self._open(LEASE), ttl_ms)),)

    def request_lease_again(self, now_ms: int) -> Actions:
        """Request a lease after a failed request, on the wake-up of kind `LEASE`."""
        self._retention = self._retention.without_request()
        return self.request_lease(now_ms)

    def on_lease(self, outcome: PlatformOutcome) -> tuple[tuple[str, ...], Actions]:
        """Apply the answer to a lease request.

        Returns the subjects that waited for a lease. After a grant they can write.
        After a failure they keep waiting, and the request is repeated after a backoff.
        """
        waiting = tuple(sorted(self._awaiting_lease))
        if isinstance(outcome, Leased):
            self._awaiting_lease.clear()
            span_ms = self._cfg.lease_span_ms
            self._retention = self._retention.granted(outcome.lease_id, span_ms)
            return waiting, ()
        self.counters["lease_failures"] += 1
        delay_ms = backoff_ms(self._cfg, 3, self._process_id)
        return waiting, (WakeAfter(delay_ms, Wake(WakeKind.LEASE)),)

    def _open(self, subject: str) -> int:
        call_id = self.next_number()
        self._calls[call_id] = subject
        self._current[subject] = call_id
        return call_id
