from __future__ import annotations

from dataclasses import replace

from guavapin.limits import loans
from guavapin.limits.slots import OWN_SLOT
from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanRequest
from guavapin.limits.slots import LoanReturn
from guavapin.limits.slots import LoanSettings
from guavapin.limits.slots import SlotState
from guavapin.limits.slots import change_share
from guavapin.limits.slots import effective_share
from guavapin.limits.slots import free_own
from guavapin.limits.slots import reserve

CFG = LoanSettings(1_000, 100, 2_000, 2_000, 200, 50)


def seat(number: int, share: int = 4, held_off_until_ms: int = 0) -> SlotState:
    return SlotState("u", number, 70 + number, share, held_off_until_ms)


def lend(
    lender: SlotState, borrower: SlotState, now_ms: int = 0
) -> tuple[SlotState, SlotState, LoanRequest, LoanGrant]:
    borrower, request = loans.request_loan(borrower, CFG, now_ms)
    assert request is not None
    lender, grant = loans.on_request(lender, request, CFG, now_ms)
    assert grant is not None
    borrower, _ = loans.on_grant(borrower, grant, now_ms)
    return lender, borrower, request, grant


def test_lent_slot_counts_until_grace_has_passed() -> None:
    """Guards against use of a lent slot that its borrower may still use."""
    lender, _, _, _ = lend(seat(0), seat(1))
    assert free_own(lender, 1_099) == 3
    assert free_own(lender, 1_100) == 4


def test_late_grant_shortens_the_loan() -> None:
    """Guards against a borrower that uses a slot beyond its loan after a late grant."""
    borrower, request = loans.request_loan(seat(1, share=0), CFG, 0)
    assert request is not None
    _, grant = loans.on_request(seat(0), request, CFG, 0)
    assert grant is not None
    borrower, _ = loans.on_grant(borrower, grant, 150)
    assert reserve(borrower, 1_001, 150)[1] is None
    assert reserve(borrower, 1_000, 150)[1] is not None


def test_duplicated_grant_does_not_return_a_used_slot() -> None:
    """Guards against a duplicated grant that frees a slot in use."""
    _, borrower, _, grant = lend(seat(0), seat(1, share=0))
    borrower, slot = reserve(borrower, 500, 0)
    assert slot is not None
    borrower, loan_return = loans.on_grant(borrower, grant, 10)
    assert loan_return is None
    assert len(borrower.borrowed) == 1


def test_loan_of_a_duplicated_request_is_returned() -> None:
    """Guards against slots that stay unused after a duplicated loan request."""
    lender, borrower, request, _ = lend(seat(0), seat(1))
    lender, second = loans.on_request(lender, request, CFG, 5)
    assert second is not None
    borrower, loan_return = loans.on_grant(borrower, second, 6)
    assert isinstance(loan_return, LoanReturn)
    lender = loans.on_return(lender, loan_return)
    lender = loans.on_return(lender, loan_return)
    assert free_own(lender, 10) == 3


def test_grant_to_a_previous_incarnation_is_returned() -> None:
    """Guards against a restarted borrower that uses a loan it did not request."""
    _, request = loans.request_loan(seat(1), CFG, 0)
    assert request is not None
    _, grant = loans.on_request(seat(0), request, CFG, 0)
    assert grant is not None
    restarted, _ = loans.request_loan(replace(seat(1), incarnation=99), CFG, 0)
    restarted, loan_return = loans.on_grant(restarted, grant, 1)
    assert loan_return is not None
    assert restarted.borrowed == ()


def test_hold_off_blocks_use_and_lending() -> None:
    """Guards against a restarted seat whose previous requests still run."""
    state = seat(0, held_off_until_ms=2_000)
    assert reserve(state, 5_000, 1_999)[1] is None
    assert reserve(state, 5_000, 2_000)[1] == OWN_SLOT
    request = LoanRequest("u", 1, 71, 1, 1_000)
    assert loans.on_request(state, request, CFG, 1_999)[1] is None


def test_smallest_share_applies_until_settled() -> None:
    """Guards against seats that use old and new shares at the same time."""
    state = change_share(seat(0, share=4), 2, CFG, 0)
    assert effective_share(state, 0) == 2
    state = change_share(state, 8, CFG, 1_000)
    assert effective_share(state, 1_500) == 2
    assert effective_share(state, 2_500) == 2
    assert effective_share(state, 3_000) == 8


def test_idle_loan_is_returned() -> None:
    """Guards against slots that are idle at a borrower while the lender is short."""
    lender, borrower, _, _ = lend(seat(0), seat(1))
    borrower, returns = loans.return_idle(borrower, CFG, 49)
    assert returns == ()
    borrower, returns = loans.return_idle(borrower, CFG, 50)
    assert borrower.borrowed == ()
    assert free_own(loans.on_return(lender, returns[0]), 50) == 4


def test_seat_lends_only_above_its_reserve() -> None:
    """Guards against lending the slot that the lender itself needs next."""
    request = LoanRequest("u", 1, 71, 1, 1_000)
    assert loans.on_request(seat(0, share=1), request, CFG, 0)[1] is None


def test_return_of_a_loan_of_a_previous_incarnation_frees_nothing() -> None:
    """Guards against a late return that frees a slot which a restarted seat lent."""
    _, _, _, old = lend(seat(0), seat(1))
    restarted = replace(seat(0), incarnation=99)
    restarted, _, _, _ = lend(restarted, seat(1))
    assert loans.on_return(restarted, LoanReturn("u", old.loan_id)) == restarted
