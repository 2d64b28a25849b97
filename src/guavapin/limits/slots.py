"""Slots of one upstream as seen by one seat: own share, loans, hold-off.

The sum of what all seats of a zone use never exceeds the upstream's slots. It rests
on these rules, each of which holds with lost, late and duplicated messages:

* A seat uses and lends together at most its share. A lent slot counts as used until
  the loan is returned, or until its duration plus a grace period has passed since
  the grant.
* A borrower counts the duration from the time it sent its *request*, which is before
  the grant, so that a late grant can only shorten its use. A request runs on a
  borrowed slot only when its deadline lies within the loan.
* A loan id is never used twice: it carries the incarnation of the lending process.
* A seat that starts uses nothing of its share for the hold-off, since requests of
  its former incarnation, or loans that it made, may still be in use.
* After a change of shares the smallest of the shares concerned applies until the
  settling time has passed.

The hold-off and the settling time must cover the spread of a configuration plus the
longest request timeout and the longest loan with its grace period.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Covers the spread of a configuration to all connected seats (7 s).
SPREAD_MS = 8_000


@dataclass(frozen=True, slots=True)
class LoanSettings:
    """Times of the loan protocol, in milliseconds.

    `duration_ms` must exceed the usual request timeout, or no request fits into a
    loan. `grace_ms` covers the drift between two hosts' clocks over one loan.
    `request_ttl_ms` is how long a request for a loan counts as pending.
    """

    duration_ms: int = 45_000
    grace_ms: int = 2_000
    hold_off_ms: int = 55_000
    settle_ms: int = 55_000
    request_ttl_ms: int = 500
    idle_return_ms: int = 500


def covering_timeout(settings: LoanSettings, timeout_ms: int) -> LoanSettings:
    """Return the settings with hold-off and settling time above `timeout_ms`.

    `timeout_ms` is the longest time for which a request may run at an upstream.
    """
    needed_ms = timeout_ms + SPREAD_MS
    return replace(
        settings,
        hold_off_ms=max(settings.hold_off_ms, needed_ms),
        settle_ms=max(settings.settle_ms, needed_ms),
    )


@dataclass(frozen=True, slots=True, order=True)
class LoanId:
    """Identifies a loan: lending seat, its incarnation, a number within it."""

    seat: int
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """To the home seat: lend a slot of `upstream`."""

    upstream: str
    seat: int
    incarnation: int
    number: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """To the borrower: a slot is lent for `duration_ms`, counted from its request."""

    upstream: str
    seat: int
    incarnation: int
    number: int
    loan_id: LoanId
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanReturn:
    """To the home seat: the slot of `loan_id` is not used any more."""

    upstream: str
    loan_id: LoanId


@dataclass(frozen=True, slots=True)
class Lent:
    """A slot that is out on loan until returned or `until_ms`, grace included."""

    loan_id: LoanId
    until_ms: int


@dataclass(frozen=True, slots=True)
class Borrowed:
    """A slot on loan to this seat; `idle_ms` is when it was last free."""

    loan_id: LoanId
    until_ms: int
    in_use: bool
    idle_ms: int


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for a loan without an answer yet."""

    number: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class FormerShare:
    """A share that still bounds this seat until `until_ms`."""

    share: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class SlotState:
    """Slots of one upstream at one seat.

    `incarnation` differs for every process that has ever held the seat. `used`
    counts requests on own slots.
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
    former_shares: tuple[FormerShare, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnSlot:
    """A reserved slot of the seat's own share."""


@dataclass(frozen=True, slots=True)
class BorrowedSlot:
    """A reserved slot on loan."""

    loan_id: LoanId


Slot = OwnSlot | BorrowedSlot
OWN_SLOT = OwnSlot()


def effective_share(state: SlotState, now_ms: int) -> int:
    """Return what the seat may use of its own at `now_ms`."""
    if now_ms < state.held_off_until_ms:
        return 0
    if not state.former_shares:
        return state.share
    former = [item.share for item in state.former_shares if now_ms < item.until_ms]
    return min([state.share, *former])


def free_own(state: SlotState, now_ms: int) -> int:
    """Return the own slots that are neither used nor lent; may be negative."""
    free = effective_share(state, now_ms) - state.used
    if state.lent:
        free -= sum(now_ms < loan.until_ms for loan in state.lent)
    return free


def reserve(
    state: SlotState, deadline_ms: int, now_ms: int
) -> tuple[SlotState, Slot | None]:
    """Take a slot for a request that ends by `deadline_ms` at the latest.

    Borrowed slots are used first, so that own ones stay free to lend and to start
    requests that outlast a loan.
    """
    for loan in state.borrowed:
        if not loan.in_use and deadline_ms <= loan.until_ms:
            taken = replace(loan, in_use=True)
            return _with_borrowed(state, loan, taken), BorrowedSlot(loan.loan_id)
    if free_own(state, now_ms) > 0:
        return _with_used(state, state.used + 1), OWN_SLOT
    return state, None


def release(state: SlotState, slot: Slot, now_ms: int) -> SlotState:
    """Give back a slot that `reserve` returned; the request has ended."""
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
    """Apply the share of a new configuration; the smaller one binds for a while."""
    if share == state.share:
        return state
    former = tuple(item for item in state.former_shares if now_ms < item.until_ms)
    added = FormerShare(state.share, now_ms + settings.settle_ms)
    return replace(state, share=share, former_shares=(*former, added))


def _with_used(state: SlotState, used: int) -> SlotState:
    """Return the state with another count of own slots in use.

    It is constructed directly, since `dataclasses.replace` takes longer and each
    request does this twice.
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
        state.former_shares,
    )


def _with_borrowed(state: SlotState, old: Borrowed, new: Borrowed) -> SlotState:
    borrowed = tuple(new if loan is old else loan for loan in state.borrowed)
    return replace(state, borrowed=borrowed)
