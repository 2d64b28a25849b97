"""The loan protocol between two seats: request, grant, return and expiry of a slot."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits.slots import Borrowed
from guavapin.limits.slots import Lent
from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanId
from guavapin.limits.slots import LoanRequest
from guavapin.limits.slots import LoanReturn
from guavapin.limits.slots import PendingRequest
from guavapin.limits.slots import free_own

if TYPE_CHECKING:
    from guavapin.limits.slots import LoanSettings
    from guavapin.limits.slots import SlotState


def request_loan(
    state: SlotState, settings: LoanSettings, now_ms: int
) -> tuple[SlotState, LoanRequest | None]:
    """Return a request for one slot, or None if a request is pending already."""
    state = drop_expired(state, settings, now_ms)
    if state.pending:
        return state, None
    number = state.next_number
    message = LoanRequest(
        state.upstream, state.seat, state.incarnation, number, settings.duration_ms
    )
    pending = PendingRequest(number, now_ms)
    return replace(state, next_number=number + 1, pending=(pending,)), message


def on_request(
    state: SlotState,
    message: LoanRequest,
    settings: LoanSettings,
    now_ms: int,
    reserve_own: int = 1,
) -> tuple[SlotState, LoanGrant | None]:
    """Grant a slot if more than `reserve_own` own slots are free.

    A duplicated request may be granted twice; the borrower then returns the second
    slot.
    """
    state = drop_expired(state, settings, now_ms)
    if message.seat == state.seat or free_own(state, now_ms) <= reserve_own:
        return state, None
    duration_ms = min(message.duration_ms, settings.duration_ms)
    loan_id = LoanId(state.seat, state.incarnation, state.next_number)
    lent = Lent(loan_id, now_ms + duration_ms + settings.grace_ms)
    grant = LoanGrant(
        state.upstream,
        message.seat,
        message.incarnation,
        message.number,
        loan_id,
        duration_ms,
    )
    state = replace(state, next_number=state.next_number + 1, lent=(*state.lent, lent))
    return state, grant


def on_grant(
    state: SlotState, message: LoanGrant, now_ms: int
) -> tuple[SlotState, LoanReturn | None]:
    """Add a granted loan, or return it if it answers no pending request.

    A duplicate of a grant whose loan is held is ignored, because returning that loan
    would free a slot in use.
    """
    if any(loan.loan_id == message.loan_id for loan in state.borrowed):
        return state, None
    refused = LoanReturn(state.upstream, message.loan_id)
    if (message.seat, message.incarnation) != (state.seat, state.incarnation):
        return state, refused
    matching = [
        request for request in state.pending if request.number == message.number
    ]
    if not matching:
        return state, refused
    until_ms = matching[0].sent_ms + message.duration_ms
    state = replace(state, pending=())
    if until_ms <= now_ms:
        return state, refused
    loan = Borrowed(message.loan_id, until_ms, in_use=False, idle_ms=now_ms)
    return replace(state, borrowed=(*state.borrowed, loan)), None


def on_return(state: SlotState, message: LoanReturn) -> SlotState:
    """Remove a returned loan; a repeated or unknown return changes nothing."""
    lent = tuple(loan for loan in state.lent if loan.loan_id != message.loan_id)
    return replace(state, lent=lent)


def return_idle(
    state: SlotState, settings: LoanSettings, now_ms: int
) -> tuple[SlotState, tuple[LoanReturn, ...]]:
    """Return the borrowed slots that have been idle for at least `idle_return_ms`."""
    idle = tuple(
        loan
        for loan in state.borrowed
        if not loan.in_use and now_ms - loan.idle_ms >= settings.idle_return_ms
    )
    kept = tuple(loan for loan in state.borrowed if loan not in idle)
    returns = tuple(LoanReturn(state.upstream, loan.loan_id) for loan in idle)
    return replace(state, borrowed=kept), returns


def drop_expired(state: SlotState, settings: LoanSettings, now_ms: int) -> SlotState:
    """Remove expired loans, unanswered loan requests and ended previous shares.

    A borrowed slot in use is kept until its request ends. The deadline of that request
    lies within the loan, so the slot is not kept longer than the loan.
    """
    return replace(
        state,
        lent=tuple(loan for loan in state.lent if now_ms < loan.until_ms),
        borrowed=tuple(
            loan for loan in state.borrowed if loan.in_use or now_ms < loan.until_ms
        ),
        pending=tuple(
            request
            for request in state.pending
            if now_ms - request.sent_ms < settings.request_ttl_ms
        ),
        previous_shares=tuple(
            item for item in state.previous_shares if now_ms < item.until_ms
        ),
    )
