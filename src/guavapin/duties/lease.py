"""The lease of a duty as a pure state machine.

The key ``duty/NAME`` is created under a lease; the revision of its creation is the
fencing token. A holder relies on its lease until `MARGIN_MS` before the lease can
lapse. The time is counted by the holder's clock from when the last confirmed call was
sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TypeAlias

from guavapin.keyvalue import messages as platform

LEASE_MS = 5_000
RENEW_MS = 1_500

# Covers clock drift between two hosts and the time from the check to the call.
MARGIN_MS = 500

# A lapsed lease is detected within one poll: 5 s + 1.5 s + three calls stay within the
# 10 s allowed for a takeover.
POLL_MS = 1_500

# Calls that a lease must outlast: the grant, the claim, a renewal and the renewal after
# it. While the store is slow, a lease of the usual length would end before them.
CALLS_PER_LEASE = 4

# Limits how much a slow store extends the lease, since a successor waits for its end.
MAX_LEASE_FACTOR = 3


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times of one duty's lease in milliseconds.

    `poll_ms` is the interval at which a process that does not hold the duty reads its
    key, 0 if it reads the key only on `AcquireDuty`. `resume_ms` is how long a holder
    that could not renew its lease in time keeps trying, 0 if it releases the duty.
    """

    lease_ms: int = LEASE_MS
    renew_ms: int = RENEW_MS
    margin_ms: int = MARGIN_MS
    poll_ms: int = POLL_MS
    resume_ms: int = 0


class LeasePhase(Enum):
    """Phase of acquiring or holding a duty.

    A suspended duty may not be carried out, but its lease is still renewed. Leases may
    pause while the store is unavailable, and a lease that still exists afterwards was
    held without interruption.
    """

    IDLE = "idle"
    READING = "reading"
    GRANTING = "granting"
    CLAIMING = "claiming"
    RESOLVING = "resolving"
    HELD = "held"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class DutyLease:
    """State of one process in competing for or holding one duty.

    `holder` differs between processes and starts. `confirmed_ms` is the time at which
    the last answered call that granted or renewed the lease was sent; the lease lasts
    `lease_ms` from then on.
    """

    duty: str
    holder: str
    phase: LeasePhase = LeasePhase.IDLE
    lease_id: str = ""
    token: int = 0
    confirmed_ms: int = 0
    sent_ms: int = 0
    lease_ms: int = 0
    terms: LeaseTerms = LeaseTerms()

    @property
    def key(self) -> str:
        """The platform key of the duty."""
        return f"duty/{self.duty}"

    @property
    def value(self) -> bytes:
        """The value of the key; the lease id makes it unique for each attempt."""
        return f"{self.holder} {self.lease_id}".encode()

    @property
    def until_ms(self) -> int:
        """The time until which the holder may act, by its own clock."""
        return self.confirmed_ms + self.lease_ms - self.terms.margin_ms

    def is_held(self, now_ms: int) -> bool:
        """Return whether the duty may be carried out now."""
        return self.phase is LeasePhase.HELD and now_ms < self.until_ms


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read the duty's key."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Request a lease of `lease_ms`."""

    lease_ms: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Create the duty's key under the lease."""


@dataclass(frozen=True, slots=True)
class Renew:
    """Renew the lease."""


@dataclass(frozen=True, slots=True)
class Revoke:
    """End a lease that is no longer used."""

    lease_id: str


LeaseAction: TypeAlias = ReadKey | Grant | Claim | Renew | Revoke
Transition: TypeAlias = tuple[DutyLease, tuple[LeaseAction, ...]]


def tick(lease: DutyLease, now_ms: int) -> Transition:
    """Poll for a free duty, or renew or release a held one."""
    if lease.phase is LeasePhase.HELD:
        if now_ms >= lease.until_ms:
            return expire(lease, now_ms)
        return lease, (Renew(),)
    if lease.phase is LeasePhase.SUSPENDED:
        suspended, actions = expire(lease, now_ms)
        is_released = suspended.phase is LeasePhase.IDLE
        return (suspended, actions) if is_released else (suspended, (Renew(),))
    if lease.phase is LeasePhase.IDLE:
        return replace(lease, phase=LeasePhase.READING, sent_ms=now_ms), (ReadKey(),)
    # A lease requested this long ago has lapsed by now, whatever the answer will be.
    lease_ms = max(lease.lease_ms, lease.terms.lease_ms)
    is_recent = now_ms - lease.sent_ms < lease_ms
    return (lease, ()) if is_recent else release(lease)


def handle_answer(
    lease: DutyLease, outcome: platform.PlatformOutcome, now_ms: int
) -> Transition:
    """Handle the answer to the one outstanding call of an acquisition."""
    if lease.phase is LeasePhase.READING:
        return _on_read(lease, outcome, now_ms)
    if lease.phase is LeasePhase.GRANTING:
        return _on_grant(lease, outcome, now_ms)
    if lease.phase is LeasePhase.CLAIMING:
        return _on_claim(lease, outcome, now_ms)
    if lease.phase is LeasePhase.RESOLVING:
        return _on_resolve(lease, outcome, now_ms)
    return lease, ()


def handle_renewal(
    lease: DutyLease, outcome: platform.PlatformOutcome, sent_ms: int, now_ms: int
) -> Transition:
    """Handle the answer to a renewal that was sent at `sent_ms`."""
    if isinstance(outcome, platform.Leased):
        lease = replace(lease, confirmed_ms=max(lease.confirmed_ms, sent_ms))
    elif isinstance(outcome, platform.Missing):
        return release(lease)
    if now_ms < lease.until_ms:
        return replace(lease, phase=LeasePhase.HELD), ()
    return expire(lease, now_ms)


def expire(lease: DutyLease, now_ms: int) -> Transition:
    """Suspend a duty whose lease was not confirmed in time, or release it."""
    if now_ms >= lease.until_ms + lease.terms.resume_ms:
        return release(lease)
    return replace(lease, phase=LeasePhase.SUSPENDED), ()


def release(lease: DutyLease) -> Transition:
    """Return to idle and revoke the lease, so that a successor need not wait."""
    idle = DutyLease(lease.duty, lease.holder, terms=lease.terms)
    return idle, (Revoke(lease.lease_id),) if lease.lease_id else ()


def _on_read(
    lease: DutyLease, outcome: platform.PlatformOutcome, now_ms: int
) -> Transition:
    if not isinstance(outcome, platform.Missing):
        return release(lease)
    answer_ms = now_ms - lease.sent_ms
    lease_ms = min(
        lease.terms.lease_ms + CALLS_PER_LEASE * answer_ms,
        lease.terms.lease_ms * MAX_LEASE_FACTOR,
    )
    granting = replace(
        lease, phase=LeasePhase.GRANTING, sent_ms=now_ms, lease_ms=lease_ms
    )
    return granting, (Grant(lease_ms),)


def _on_grant(
    lease: DutyLease, outcome: platform.PlatformOutcome, now_ms: int
) -> Transition:
    if not isinstance(outcome, platform.Leased):
        return release(lease)
    granted = replace(
        lease,
        phase=LeasePhase.CLAIMING,
        lease_id=outcome.lease_id,
        confirmed_ms=lease.sent_ms,
        sent_ms=now_ms,
    )
    return granted, (Claim(),)


def _on_claim(
    lease: DutyLease, outcome: platform.PlatformOutcome, now_ms: int
) -> Transition:
    if isinstance(outcome, platform.Written):
        return _confirm_claim(lease, outcome.revision, now_ms)
    if isinstance(outcome, platform.Unknown):
        return replace(lease, phase=LeasePhase.RESOLVING), (ReadKey(),)
    return release(lease)


def _on_resolve(
    lease: DutyLease, outcome: platform.PlatformOutcome, now_ms: int
) -> Transition:
    """Resolve a claim whose answer was lost by reading who holds the key."""
    if isinstance(outcome, platform.Found) and outcome.value == lease.value:
        return _confirm_claim(lease, outcome.revision, now_ms)
    return release(lease)


def _confirm_claim(lease: DutyLease, token: int, now_ms: int) -> Transition:
    held = replace(lease, phase=LeasePhase.HELD, token=token, sent_ms=now_ms)
    return (held, ()) if now_ms < held.until_ms else release(held)
