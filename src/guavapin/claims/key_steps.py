"""Steps shared by several transitions of a key's state."""

from __future__ import annotations

from dataclasses import replace

from guavapin.claims.key_state import Effect
from guavapin.claims.key_state import KeyState
from guavapin.claims.key_state import Pause
from guavapin.claims.key_state import Phase
from guavapin.claims.key_state import Requester
from guavapin.claims.key_state import Respond
from guavapin.claims.key_state import Settle
from guavapin.claims.key_state import Step
from guavapin.claims.key_state import Write
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState


def grant_or_release(state: KeyState, revision: int, settle_until_ms: int) -> Step:
    """Grant the claim to the first waiting request, or release it if none waits."""
    held = replace(
        state,
        revision=revision,
        may_be_written=False,
        tries=0,
        until_ms=settle_until_ms,
    )
    if not state.requesters:
        updated = replace(held, phase=Phase.RELEASING)
        return updated, (settle_write(updated),)
    first, *rest = state.requesters
    updated = replace(
        held, phase=Phase.HELD, holder=first.request_id, requesters=tuple(rest)
    )
    return updated, (Respond(ClaimGranted(first.request_id)),)


def claim_again(state: KeyState, expected: int) -> Step:
    """Claim a key without a holder, unless no request for it is left."""
    updated = replace(state, phase=Phase.CLAIMING, expected=expected, tries=0)
    # If a write of the claim got no answer, a delayed copy of it may still take effect
    # while the record is absent. Only in this case the claim is repeated until its
    # result is known; a released record makes such copies conflict.
    if not updated.requesters and (expected or not updated.may_be_written):
        return None, ()
    return updated, (claim_write(updated),)


def with_new_claim_id(state: KeyState) -> KeyState:
    """Return the state with a new claim id; the previous one has been released."""
    return replace(state, claim_id=f"{state.claim_id}+")


def unless_abandoned(state: KeyState, effect: Effect) -> Step:
    """Return `effect`, or end the work on the key if it is abandoned."""
    return (None, ()) if is_abandoned(state) else (state, (effect,))


def retry_later(state: KeyState) -> Step:
    """Repeat the call of the present phase after the backoff."""
    return replace(state, tries=state.tries + 1), (Pause(),)


def refuse_all(state: KeyState, outcome: ClaimOutcome) -> Step:
    """Refuse all requests and end the work on the key."""
    return None, tuple(refuse(item, outcome) for item in state.requesters)


def refuse(requester: Requester, outcome: ClaimOutcome) -> Respond:
    """Refuse one request with `outcome`."""
    return Respond(ClaimRefused(requester.request_id, outcome))


def claim_write(state: KeyState) -> Write:
    """Return the write of the claim; it is identical at each repetition."""
    record = ClaimRecord(ClaimState.CLAIMED, state.claim_id, state.digest)
    return Write(record, state.expected)


def settle_write(state: KeyState) -> Settle:
    """Return the write of the outcome, or of the release if there is no outcome."""
    record = state.record
    if record is None:
        record = ClaimRecord(ClaimState.RELEASED, state.claim_id, state.digest)
    return Settle(record, state.revision)


def is_abandoned(state: KeyState) -> bool:
    """Return whether no request waits and no claim is or may be written.

    The work of this process on the key can then end.
    """
    is_open = state.phase in (Phase.CLAIMING, Phase.READING)
    return is_open and not state.requesters and not state.may_be_written
