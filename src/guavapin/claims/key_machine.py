"""Transitions of one key's state: ``(state, event, now_ms) -> (state, effects)``.

Rules that keep a key from being granted twice:

* A claim is granted only when the platform confirmed this process's write of it, or
  when a read shows this process's claim id in state `CLAIMED`.
* A write without an answer is repeated unchanged until an answer shows its result.
* A record of another claimant is replaced only in state `RELEASED`, by
  compare-and-swap on its revision. It has no time limit of its own.
* A claim is released only when its request was not sent.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims.key_state import Decide
from guavapin.claims.key_state import Effect
from guavapin.claims.key_state import Follow
from guavapin.claims.key_state import KeyState
from guavapin.claims.key_state import Pause
from guavapin.claims.key_state import Phase
from guavapin.claims.key_state import Read
from guavapin.claims.key_state import Requester
from guavapin.claims.key_state import Step
from guavapin.claims.key_state import Write
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState
from guavapin.claims.record import decode_record
from guavapin.claims.record import outcome_of
from guavapin.kernel.outcome import Reason
from guavapin.platform.messages import Changed
from guavapin.platform.messages import Conflict
from guavapin.platform.messages import Found
from guavapin.platform.messages import Missing
from guavapin.platform.messages import RateLimited
from guavapin.platform.messages import Unknown
from guavapin.platform.messages import Written

if TYPE_CHECKING:
    from guavapin.platform.messages import PlatformOutcome

NOT_CONFIRMED = (
    "the platform did not confirm the claim in time; this request was not sent"
)


def begin(claim_id: str, digest: bytes, requester: Requester, until_ms: int) -> Step:
    """Start to claim a key for its first request."""
    state = KeyState(Phase.CLAIMING, claim_id, digest, (requester,), until_ms=until_ms)
    return state, (_claim_write(state),)


def join(state: KeyState, digest: bytes, requester: Requester) -> Step:
    """Add a further request for the key."""
    if digest != state.digest:
        return state, (_refuse(requester, KeyReused()),)
    if state.record is not None:
        return state, (_refuse(requester, outcome_of(state.record)),)
    return replace(state, requesters=(*state.requesters, requester)), ()


def on_reply(state: KeyState, outcome: PlatformOutcome, settle_ms: int) -> Step:
    """Handle the answer to the state's platform call.

    `settle_ms` is the time until which work that nobody waits for is continued.
    """
    match state.phase:
        case Phase.CLAIMING:
            return _on_claim_reply(state, outcome, settle_ms)
        case Phase.READING:
            return _on_read_reply(state, outcome, settle_ms)
        case Phase.FOLLOWING:
            return _on_follow_reply(state, outcome)
        case Phase.SETTLING:
            return _on_settle_reply(state, outcome)
        case Phase.RELEASING:
            return _on_release_reply(state, outcome)
    return state, ()


def on_retry(state: KeyState, now_ms: int) -> Step:
    """Repeat the state's platform call after a pause."""
    if state.phase is Phase.FOLLOWING:
        return replace(state, phase=Phase.READING), (Read(),)
    if is_unwanted(state) or (not state.requesters and now_ms >= state.until_ms):
        return None, ()
    match state.phase:
        case Phase.CLAIMING:
            return state, (_claim_write(state),)
        case Phase.READING:
            return state, (Read(),)
        case Phase.SETTLING | Phase.RELEASING:
            return state, (_settle_write(state),)
    return state, ()


def on_expire(state: KeyState, request_id: int, now_ms: int) -> Step:
    """Refuse a request whose time is over, with what is known of its key."""
    for requester in state.requesters:
        if requester.request_id == request_id:
            break
    else:
        return state, ()
    is_unclaimed = state.phase in (Phase.CLAIMING, Phase.RELEASING)
    limit_ms = requester.give_up_ms if is_unclaimed else requester.deadline_ms
    if now_ms < limit_ms:
        return state, ()
    outcome: ClaimOutcome = NotRun(state.delayed_by, NOT_CONFIRMED)
    if not is_unclaimed:
        outcome = OutcomeUnknown("the request that holds the key has no outcome yet")
    left, effects = withdraw(state, request_id)
    return left, (_refuse(requester, outcome), *effects)


def withdraw(state: KeyState, request_id: int) -> Step:
    """Forget a request that waits."""
    rest = tuple(item for item in state.requesters if item.request_id != request_id)
    left = replace(state, requesters=rest)
    if rest or state.phase in (Phase.HELD, Phase.SETTLING, Phase.RELEASING):
        return left, ()
    if state.phase is Phase.FOLLOWING:
        return None, ()
    # The claim may have been written, or its write may be under way: it has to be
    # found and released, or the key would stay claimed for a request never sent.
    return left, ()


def on_outcome(state: KeyState, record: ClaimRecord, settle_ms: int) -> Step:
    """Record what came of the granted request and tell those who wait for it."""
    left = replace(
        state,
        phase=Phase.SETTLING,
        record=record,
        holder=None,
        requesters=(),
        tries=0,
        until_ms=settle_ms,
    )
    told = tuple(_refuse(item, outcome_of(record)) for item in state.requesters)
    return left, (*told, _settle_write(left))


def on_release(state: KeyState, settle_ms: int) -> Step:
    """Give the claim of a request that was not sent to the next one, or release it."""
    return _hold(replace(state, holder=None), state.revision, settle_ms)


def is_unwanted(state: KeyState) -> bool:
    """Whether nobody waits and no claim of this process is or may be written."""
    is_open = state.phase in (Phase.CLAIMING, Phase.READING)
    return is_open and not state.requesters and not state.may_be_written


def _on_claim_reply(state: KeyState, outcome: PlatformOutcome, settle_ms: int) -> Step:
    match outcome:
        case Written(revision):
            return _hold(state, revision, settle_ms)
        case Conflict():
            return _if_needed(replace(state, phase=Phase.READING, tries=0), Read())
        case Unknown():
            return _paused(replace(state, may_be_written=True))
    is_limited = isinstance(outcome, RateLimited)
    reason = Reason.OVERLOADED if is_limited else Reason.CUT_OFF
    # A platform at its rate limit gets fewer calls than one that lost a call.
    tries = state.tries + (3 if is_limited else 1)
    left = replace(state, tries=tries, delayed_by=reason)
    return _if_needed(left, Pause())


def _on_read_reply(state: KeyState, outcome: PlatformOutcome, settle_ms: int) -> Step:
    match outcome:
        case Found(value, revision):
            return _on_record(state, decode_record(value), revision, settle_ms)
        case Missing():
            return _claim_again(state, 0)
    return _if_needed(replace(state, tries=state.tries + 1), Pause())


def _on_record(
    state: KeyState, record: ClaimRecord | None, revision: int, settle_ms: int
) -> Step:
    if record is None:
        return _refuse_all(state, OutcomeUnknown("the key's record is not readable"))
    if record.state is ClaimState.RELEASED:
        return _claim_again(state, revision)
    if record.claim_id == state.claim_id and record.state is ClaimState.CLAIMED:
        return _hold(state, revision, settle_ms)
    if record.digest != state.digest:
        return _refuse_all(state, KeyReused())
    if record.state is not ClaimState.CLAIMED:
        return _refuse_all(state, outcome_of(record))
    if not state.requesters:
        return None, ()
    tries = state.tries + 1 if revision == state.revision else 0
    left = replace(state, phase=Phase.FOLLOWING, revision=revision, tries=tries)
    return replace(left, may_be_written=False), (Follow(revision),)


def _on_follow_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    match outcome:
        case Changed(keys=()):
            return state, (Follow(state.revision),)
        case Changed():
            return replace(state, phase=Phase.READING), (Read(),)
    return _paused(state)


def _on_settle_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    # A conflict means that an earlier copy of this write took effect, or that the
    # record's retention is over; nobody else replaces a record in state CLAIMED.
    if isinstance(outcome, Written | Conflict):
        return None, ()
    return _paused(state)


def _on_release_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    match outcome:
        case Written(revision):
            return _claim_again(state, revision)
        case Conflict() if state.requesters:
            return replace(state, phase=Phase.READING, tries=0), (Read(),)
        case Conflict():
            return None, ()
    return _paused(state)


def _hold(state: KeyState, revision: int, settle_ms: int) -> Step:
    """Grant the claim to the first request that waits, or release it."""
    held = replace(
        state, revision=revision, may_be_written=False, tries=0, until_ms=settle_ms
    )
    if not state.requesters:
        left = replace(held, phase=Phase.RELEASING)
        return left, (_settle_write(left),)
    first, *rest = state.requesters
    left = replace(
        held, phase=Phase.HELD, holder=first.request_id, requesters=tuple(rest)
    )
    return left, (Decide(ClaimGranted(first.request_id)),)


def _claim_again(state: KeyState, expected: int) -> Step:
    """Claim a key that nobody holds, unless nobody wants it any more."""
    left = replace(state, phase=Phase.CLAIMING, expected=expected, tries=0)
    # A released record keeps delayed copies of the claim's write without effect, so
    # only an absent one has to be claimed to find out.
    if not left.requesters and (expected or not left.may_be_written):
        return None, ()
    return left, (_claim_write(left),)


def _if_needed(state: KeyState, effect: Effect) -> Step:
    return (None, ()) if is_unwanted(state) else (state, (effect,))


def _paused(state: KeyState) -> Step:
    return replace(state, tries=state.tries + 1), (Pause(),)


def _refuse_all(state: KeyState, outcome: ClaimOutcome) -> Step:
    return None, tuple(_refuse(item, outcome) for item in state.requesters)


def _refuse(requester: Requester, outcome: ClaimOutcome) -> Decide:
    return Decide(ClaimRefused(requester.request_id, outcome))


def _claim_write(state: KeyState) -> Write:
    record = ClaimRecord(ClaimState.CLAIMED, state.claim_id, state.digest)
    return Write(record, state.expected)


def _settle_write(state: KeyState) -> Write:
    record = state.record
    if record is None:
        record = ClaimRecord(ClaimState.RELEASED, state.claim_id, state.digest)
    return Write(record, state.revision)
