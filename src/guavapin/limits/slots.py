"""Slots of one upstream at one seat: own share, loans and hold-off.

The seats of a zone together never use more slots than the upstream has. This follows
from the rules below, which hold when messages are lost, late or duplicated:

* The slots that a seat uses and lends never exceed its share. A lent slot counts as
  used until the loan is returned, or until the loan's duration plus a grace period
  has passed since the grant.
* A borrower counts the duration from the time at which it sent its *request*. The
  request precedes the grant, so a late grant can only shorten the use. A request runs
  on a borrowed slot only if its deadline lies within the loan.
* A loan id is never used twice, because it includes the incarnation of the lending
  process.
* A seat that starts uses none of its share during the hold-off, because requests of
  its previous incarnation may still run and slots lent by it may still be in use.
* After a change of shares the smallest of the old and new shares applies until the
  settling time has passed.

The hold-off and the settling time must cover the time that a configuration needs to
reach all seats, plus the longest request timeout and the longest loan with its grace
period.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Time for a configuration to reach all connected seats, which takes up to 7 s.
SPREAD_MS = 8_000


@dataclass(frozen=True, slots=True)
class LoanSettings:
    """Times of the loan protocol, in milliseconds.

    `duration_ms` must exceed the usual request timeout; otherwise no request fits
    into a loan. `grace_ms` covers the drift between the clocks of two hosts over one
    loan. A request for a loan counts as pending for `request_ttl_ms`. A borrowed slot
    is returned after it has been idle for `idle_return_ms`.
    """

    duration_ms: int = 45_000
    grace_ms: int = 2_000
    hold_off_ms: int = 55_000
    settle_ms: int = 55_000
    request_ttl_ms: int = 500
    idle_return_ms: int = 500


def covering_timeout(settings: LoanSettings, timeout_ms: int) -> LoanSettings:
    """Return settings whose hold-off and settling time cover requests of `timeout_ms`.

    `timeout_ms` is the longest time for which a request may run on an upstream.
    """
    required_ms = timeout_ms + SPREAD_MS
    return replace(
        settings,
        hold_off_ms=max(settings.hold_off_ms, required_ms),
        settle_ms=max(settings.settle_ms, required_ms),
    )


@dataclass(frozen=True, slots=True, order=True)
class LoanId:
    """Identifies a loan by its lender, the lender's incarnation and a number in it."""

    seat: int
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Requests the loan of a slot of `upstream` from the share of another seat."""

    upstream: str
    seat: int
    incarnation: int
    number: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Lends the borrower a slot for `duration_ms`, counted from its request."""

    upstream: str
    seat: int
    incarnation: int
    number: int
    loan_id: LoanId
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanReturn:
    """Notifies the lender that the slot of `loan_id` is no longer in use."""

    upstream: str
    loan_id: LoanId


@dataclass(frozen=True, slots=True)
class Lent:
    """A slot lent until it is returned or until `until_ms`, grace included."""

    loan_id: LoanId
    until_ms: int


@dataclass(frozen=True, slots=True)
class Borrowed:
    """A slot lent to this seat until `until_ms`; idle since `idle_ms` if not in use."""

    loan_id: LoanId
    until_ms: int
    in_use: bool
    idle_ms: int


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A loan request that was sent at `sent_ms` and has no answer yet."""

    number: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class PreviousShare:
    """A previous share, which still bounds the seat's slots until `until_ms`."""

    share: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class SlotState:
    """Slots of one upstream at one seat.

    `incarnation` differs for every process that has ever held the seat. `used` counts
    the requests on own slots. The seat uses none of its share until
    `held_off_until_ms`.
    """

    upstream: str
    seat: int
    incarnation: int
    share: int
    held_off_until_ms: int
    used: int = 0
    next_number: int = 1
    lent: tuple[Lent, ...] = ()
    borrowed: tuple[Borrowed, ...] = ()
    pending: tuple[PendingRequest, ...] = ()
    previous_shares: tuple[PreviousShare, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnSlot:
    """A reserved slot from the seat's own share."""


@dataclass(frozen=True, slots=True)
class BorrowedSlot:
    """A reserved slot that is borrowed from another seat."""

    loan_id: LoanId


Slot = OwnSlot | BorrowedSlot
OWN_SLOT = OwnSlot()


def effective_share(state: SlotState, now_ms: int) -> int:
    """Return how many slots of its own share the seat may use at `now_ms`."""
    if now_ms < state.held_off_until_ms:
        return 0
    if not state.previous_shares:
        return state.share
    previous = [item.share for item in state.previous_shares if now_ms < item.until_ms]
    return min([state.share, *previous])


def free_own(state: SlotState, now_ms: int) -> int:
    """Return the own slots neither used nor lent.

    The result is negative if more slots are used or lent than a reduced share allows.
    """
    free = effective_share(state, now_ms) - state.used
    if state.lent:
        free -= sum(now_ms < loan.until_ms for loan in state.lent)
    return free


def reserve(
    state: SlotState, deadline_ms: int, now_ms: int
) -> tuple[SlotState, Slot | None]:
    """Reserve a slot for a request that ends by `deadline_ms` at the latest.

    Borrowed slots are used first, so that own slots stay free for lending and for
    requests that would outlast a loan.
    """
    for loan in state.borrowed:
        if not loan.in_use and deadline_ms <= loan.until_ms:
            reserved = replace(loan, in_use=True)
            return _with_borrowed(state, loan, reserved), BorrowedSlot(loan.loan_id)
    if free_own(state, now_ms) > 0:
        return _with_used(state, state.used + 1), OWN_SLOT
    return state, None


def release(state: SlotState, slot: Slot, now_ms: int) -> SlotState:
    """Release a slot from `reserve` after its request has ended."""
    if isinstance(slot, OwnSlot):
        return _with_used(state, max(state.used - 1, 0))
    for loan in state.borrowed:
        if loan.loan_id == slot.loan_id:
            return _with_borrowed(
                state, loan, replace(loan, in_use=False, idle_ms=now_ms)
            )
    return state


def change_share(
    state: SlotState, share: int, settings: LoanSettings, now_ms: int
) -> SlotState:
    """Apply a new share; the old one stays a bound for the settling time."""
    if share == state.share:
        return state
    previous = tuple(item for item in state.previous_shares if now_ms < item.until_ms)
    added = PreviousShare(state.share, now_ms + settings.settle_ms)
    return replace(state, share=share, previous_shares=(*previous, added))


def _with_used(state: SlotState, used: int) -> SlotState:
    """Return the state with `used` own slots in use.

    This runs twice per request, so the state is constructed directly instead of by the
    slower `dataclasses.replace`.
    """
    return SlotState(
        state.upstream,
        state.seat,
        state.incarnation,
        state.share,
        state.held_off_until_ms,
        used,
        state.next_number,
        state.lent,
        state.borrowed,
        state.pending,
        state.previous_shares,
    )


def _with_borrowed(state: SlotState, old: Borrowed, new: Borrowed) -> SlotState:
    borrowed = tuple(new if loan is old else loan for loan in state.borrowed)
    return replace(state, borrowed=borrowed)
