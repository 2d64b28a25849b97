"""Transitions of one key's state: ``(state, event, now_ms) -> (state, effects)``.

Rules that keep a key from being granted twice:

* A claim is granted only if the platform confirmed the write of it by this process,
  or if a read shows this process's claim id in state `CLAIMED`.
* A write without an answer is repeated unchanged until an answer shows its result.
* A record of another claimant is replaced only in state `RELEASED`, by a
  compare-and-swap on its revision. No time limit lets a claim be taken over.
* A claim is released only if its request was not sent.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims.key_state import Follow
from guavapin.claims.key_state import KeyState
from guavapin.claims.key_state import Pause
from guavapin.claims.key_state import Phase
from guavapin.claims.key_state import Read
from guavapin.claims.key_state import Requester
from guavapin.claims.key_state import Step
from guavapin.claims.key_steps import claim_again
from guavapin.claims.key_steps import claim_write
from guavapin.claims.key_steps import grant_or_release
from guavapin.claims.key_steps import is_abandoned
from guavapin.claims.key_steps import refuse
from guavapin.claims.key_steps import refuse_all
from guavapin.claims.key_steps import retry_later
from guavapin.claims.key_steps import settle_write
from guavapin.claims.key_steps import unless_abandoned
from guavapin.claims.key_steps import with_new_claim_id
from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.outcome_page import decode_page
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState
from guavapin.claims.record import decode_record
from guavapin.claims.record import outcome_of
from guavapin.kernel.outcome import Reason
from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Written

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome

NOT_CONFIRMED = (
    "the platform did not confirm the claim in time; this request was not sent"
)


def begin(claim_id: str, digest: bytes, requester: Requester, until_ms: int) -> Step:
    """Begin the claim of a key for its first request."""
    state = KeyState(Phase.CLAIMING, claim_id, digest, (requester,), until_ms=until_ms)
    return state, (claim_write(state),)


def join(state: KeyState, digest: bytes, requester: Requester) -> Step:
    """Add another request for the key.

    It is refused if its content differs or if the outcome is known already.
    """
    if digest != state.digest:
        return state, (refuse(requester, KeyReused()),)
    if state.record is not None:
        return state, (refuse(requester, outcome_of(state.record)),)
    return replace(state, requesters=(*state.requesters, requester)), ()


def on_reply(state: KeyState, outcome: PlatformOutcome, settle_until_ms: int) -> Step:
    """Apply the answer to the state's platform call.

    Work for which no request waits is continued until `settle_until_ms`.
    """
    match state.phase:
        case Phase.CLAIMING:
            return _on_claim_reply(state, outcome, settle_until_ms)
        case Phase.READING:
            return _on_read_reply(state, outcome, settle_until_ms)
        case Phase.READING_PAGE:
            return _on_page_reply(state, outcome)
        case Phase.FOLLOWING:
            return _on_follow_reply(state, outcome)
        case Phase.SETTLING:
            return _on_settle_reply(state, outcome)
        case Phase.RELEASING:
            return _on_release_reply(state, outcome)
    return state, ()


def on_retry(state: KeyState, now_ms: int) -> Step:
    """Repeat the state's platform call after the backoff, or drop an abandoned key."""
    if state.phase is Phase.FOLLOWING:
        return _read_followed(state)
    if is_abandoned(state) or (not state.requesters and now_ms >= state.until_ms):
        return None, ()
    match state.phase:
        case Phase.CLAIMING:
            return state, (claim_write(state),)
        case Phase.READING:
            return state, (Read(),)
        case Phase.READING_PAGE:
            return _read_followed(state)
        case Phase.SETTLING | Phase.RELEASING:
            return state, (settle_write(state),)
    return state, ()


def on_expire(state: KeyState, request_id: int, now_ms: int) -> Step:
    """Refuse a waiting request whose time limit has passed.

    In the phases CLAIMING and RELEASING it is refused as not run, otherwise with an
    unknown outcome.
    """
    for requester in state.requesters:
        if requester.request_id == request_id:
            break
    else:
        return state, ()
    is_unclaimed = state.phase in (Phase.CLAIMING, Phase.RELEASING)
    limit_ms = requester.confirm_deadline_ms if is_unclaimed else requester.deadline_ms
    if now_ms < limit_ms:
        return state, ()
    outcome: ClaimOutcome = NotRun(state.delayed_by, NOT_CONFIRMED)
    if not is_unclaimed:
        outcome = OutcomeUnknown("the request that holds the key has no outcome yet")
    updated, effects = withdraw(state, request_id)
    return updated, (refuse(requester, outcome), *effects)


def withdraw(state: KeyState, request_id: int) -> Step:
    """Remove a waiting request."""
    rest = tuple(item for item in state.requesters if item.request_id != request_id)
    updated = replace(state, requesters=rest)
    if rest or state.phase in (Phase.HELD, Phase.SETTLING, Phase.RELEASING):
        return updated, ()
    if state.phase in (Phase.FOLLOWING, Phase.READING_PAGE):
        return None, ()
    # The claim may have been written, or its write may be in flight. It has to be found
    # and released; otherwise the key would stay claimed for a request never sent.
    return updated, ()


def on_outcome(state: KeyState, record: ClaimRecord, settle_until_ms: int) -> Step:
    """Write the outcome of the granted request and send it to the waiting requests."""
    updated = replace(
        state,
        phase=Phase.SETTLING,
        record=record,
        holder=None,
        requesters=(),
        tries=0,
        until_ms=settle_until_ms,
    )
    refusals = tuple(refuse(item, outcome_of(record)) for item in state.requesters)
    return updated, (*refusals, settle_write(updated))


def on_release(state: KeyState, settle_until_ms: int) -> Step:
    """Pass the claim of an unsent request to the next request, or release it."""
    return grant_or_release(
        replace(state, holder=None), state.revision, settle_until_ms
    )


def on_settled(state: KeyState) -> Step:
    """Finish a claim whose outcome or release was written to its page."""
    if state.phase is Phase.RELEASING:
        return claim_again(with_new_claim_id(state), state.revision)
    return None, ()


def _on_claim_reply(
    state: KeyState, outcome: PlatformOutcome, settle_until_ms: int
) -> Step:
    match outcome:
        case Written(revision):
            return grant_or_release(state, revision, settle_until_ms)
        case Conflict():
            return unless_abandoned(
                replace(state, phase=Phase.READING, tries=0), Read()
            )
        case Unknown():
            return retry_later(replace(state, may_be_written=True))
    is_limited = isinstance(outcome, RateLimited)
    reason = Reason.OVERLOADED if is_limited else Reason.CUT_OFF
    # Calls are sent at longer intervals after a rate limit than after a lost call.
    tries = state.tries + (3 if is_limited else 1)
    updated = replace(state, tries=tries, delayed_by=reason)
    return unless_abandoned(updated, Pause())


def _on_read_reply(
    state: KeyState, outcome: PlatformOutcome, settle_until_ms: int
) -> Step:
    match outcome:
        case Found(value, revision):
            return _on_record(state, decode_record(value), revision, settle_until_ms)
        case Missing():
            return claim_again(state, 0)
    return unless_abandoned(replace(state, tries=state.tries + 1), Pause())


def _on_record(
    state: KeyState, record: ClaimRecord | None, revision: int, settle_until_ms: int
) -> Step:
    if record is None:
        return refuse_all(state, OutcomeUnknown("the key's record is not readable"))
    if record.state is ClaimState.RELEASED:
        return claim_again(state, revision)
    if record.claim_id == state.claim_id and record.state is ClaimState.CLAIMED:
        return grant_or_release(state, revision, settle_until_ms)
    if record.digest != state.digest:
        return refuse_all(state, KeyReused())
    if record.state is not ClaimState.CLAIMED:
        return refuse_all(state, outcome_of(record))
    if not state.requesters:
        return None, ()
    tries = state.tries + 1 if revision == state.revision else 0
    updated = replace(
        state,
        phase=Phase.FOLLOWING,
        revision=revision,
        tries=tries,
        may_be_written=False,
        page=record.page,
        other_claim_id=record.claim_id,
    )
    return _read_followed(updated) if record.page else (updated, (Follow(revision),))


def _on_page_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    following = replace(state, phase=Phase.FOLLOWING, tries=state.tries + 1)
    match outcome:
        case Missing():
            return following, (Follow(state.revision, state.page),)
        case Found(value, revision):
            page = decode_page(value)
        case _:
            return retry_later(state)
    if page is None:
        return refuse_all(state, OutcomeUnknown("the key's outcome is not readable"))
    record = page.get(state.other_claim_id)
    is_new = revision != state.page_revision
    updated = replace(state, page_revision=revision, tries=0 if is_new else state.tries)
    if record is None or (record.state is ClaimState.CLAIMED and not is_new):
        updated = replace(updated, phase=Phase.FOLLOWING, tries=updated.tries + 1)
        return updated, (Follow(revision, state.page),)
    if record.state is ClaimState.CLAIMED:
        # A `CLAIMED` entry in the page means that the outcome is too large for the page
        # and is in the key's own record.
        return replace(updated, phase=Phase.READING), (Read(),)
    if record.state is ClaimState.RELEASED:
        return claim_again(state, state.revision)
    return refuse_all(state, outcome_of(record))


def _on_follow_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    match outcome:
        case Changed(keys=()):
            after = max(state.page_revision, state.revision)
            return state, (Follow(after, state.page),)
        case Changed(keys=keys) if state.page and keys[-1].deleted:
            # The page was deleted at the end of its retention. A watch on it would end
            # at once each time. The key's record may be deleted, too.
            return retry_later(replace(state, page=""))
        case Changed():
            return _read_followed(state)
    return retry_later(state)


def _read_followed(state: KeyState) -> Step:
    """Read the page or record in which the other claimant's outcome will appear."""
    phase = Phase.READING_PAGE if state.page else Phase.READING
    return replace(state, phase=phase), (Read(state.page),)


def _on_settle_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    # A conflict means that an earlier copy of this write took effect or that the record
    # reached the end of its retention: no other process replaces a `CLAIMED` record.
    if isinstance(outcome, Written | Conflict):
        return None, ()
    return retry_later(state)


def _on_release_reply(state: KeyState, outcome: PlatformOutcome) -> Step:
    match outcome:
        case Written(revision):
            return claim_again(with_new_claim_id(state), revision)
        case Conflict() if state.requesters:
            return replace(state, phase=Phase.READING, tries=0), (Read(),)
        case Conflict():
            return None, ()
    return retry_later(state)
