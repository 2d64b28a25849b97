"""Claim store with one record per key: created if absent, updated with the outcome.

Each keyed request costs two writes, and no state has to be loaded before a claim. The
platform key of a record is ``claims/HASH``. All hashes have the same length, so a watch
with the whole key as its prefix covers this key only.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims import key_machine
from guavapin.claims.call_tracker import LEASE
from guavapin.claims.call_tracker import CallTracker
from guavapin.claims.key_state import Follow
from guavapin.claims.key_state import KeyState
from guavapin.claims.key_state import Pause
from guavapin.claims.key_state import Phase
from guavapin.claims.key_state import Read
from guavapin.claims.key_state import Requester
from guavapin.claims.key_state import Respond
from guavapin.claims.key_state import Settle
from guavapin.claims.key_state import Write
from guavapin.claims.key_steps import is_abandoned
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.outcome_page import MAX_ENTRY_BYTES
from guavapin.claims.outcome_pages import PREFIX
from guavapin.claims.outcome_pages import OutcomePages
from guavapin.claims.reachability import Reachability
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState
from guavapin.claims.record import answered
from guavapin.claims.record import encode_record
from guavapin.claims.record import record_bytes
from guavapin.claims.record import unknown
from guavapin.claims.store import Action
from guavapin.claims.store import Actions
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import SendAnswer
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.claims.store import WakeKind
from guavapin.claims.store import key_hash
from guavapin.kernel.outcome import Reason
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Unknown

if TYPE_CHECKING:
    from guavapin.claims.key_state import Effect
    from guavapin.claims.key_state import Step
    from guavapin.claims.messages import ClaimKey
    from guavapin.claims.messages import ReleaseClaim
    from guavapin.keyvalue.messages import PlatformOutcome


class RecordStore:
    """Variant (a) of `ClaimStore`; by default it writes outcomes in pages.

    `process_id` must be unique among all processes that ever ran, because claim ids and
    page keys are derived from it.
    """

    def __init__(self, cfg: ClaimsConfig, process_id: str) -> None:
        self._cfg = cfg
        self._process_id = process_id
        self._calls = CallTracker(cfg, process_id)
        self._pages = OutcomePages(cfg, process_id, self._calls)
        self._keys: dict[str, KeyState] = {}
        self._path_of: dict[int, str] = {}
        # Platform keys whose outcome waits for the write of a page, by claim id.
        self._awaiting_page: dict[str, str] = {}
        self._claiming: set[str] = set()
        self._settling_bytes = 0
        self._reachability = Reachability()
        self._counters: Counter[str] = Counter()

    def on_start(self, now_ms: int) -> Actions:
        """Request the lease, so that the first claim need not wait for it."""
        return self._calls.request_lease(now_ms)

    def on_claim(self, req: ClaimKey, now_ms: int) -> Actions:
        """Claim the key, wait for its holder, or refuse the request."""
        path = f"claims/{key_hash(req.service, req.key)}"
        state = self._keys.get(path)
        refusal = self._admit(state, now_ms)
        if refusal is not None:
            self._counters["refused_at_once"] += 1
            return (SendAnswer(ClaimRefused(req.request_id, refusal)),)
        confirm_deadline_ms = min(
            now_ms + self._cfg.confirm_timeout_ms, req.deadline_ms
        )
        requester = Requester(req.request_id, confirm_deadline_ms, req.deadline_ms)
        self._path_of[req.request_id] = path
        if state is None:
            claim_id = f"{self._process_id}-{self._calls.next_number()}"
            until_ms = now_ms + self._cfg.settle_ms
            step = key_machine.begin(claim_id, req.digest, requester, until_ms)
        else:
            step = key_machine.join(state, req.digest, requester)
        actions = self._apply(path, step, now_ms)
        if req.request_id not in self._path_of:
            return actions
        expiry = Wake(WakeKind.EXPIRE, req.request_id)
        delays = sorted({confirm_deadline_ms - now_ms, req.deadline_ms - now_ms})
        return (*actions, *(WakeAfter(max(delay, 0), expiry) for delay in delays))

    def on_outcome(self, msg: RecordAnswer | RecordUnknown, now_ms: int) -> Actions:
        """Write the outcome and send it to the requests that wait for it here."""
        path, state = self._held_by(msg.request_id)
        if state is None:
            return ()
        record = self._record_of(msg, state)
        self._settling_bytes += len(record.body)
        settle_until_ms = now_ms + self._cfg.settle_ms
        return self._apply(
            path, key_machine.on_outcome(state, record, settle_until_ms), now_ms
        )

    def on_release(self, msg: ReleaseClaim, now_ms: int) -> Actions:
        """Release a claim whose request was not sent, or remove a waiting request."""
        path = self._path_of.pop(msg.request_id, "")
        state = self._keys.get(path)
        if state is None:
            return ()
        if state.holder == msg.request_id:
            step = key_machine.on_release(state, now_ms + self._cfg.settle_ms)
        else:
            step = key_machine.withdraw(state, msg.request_id)
        return self._apply(path, step, now_ms)

    def on_reply(self, call_id: int, outcome: PlatformOutcome, now_ms: int) -> Actions:
        """Apply the answer to a platform call to the lease, a page or a key."""
        subject, is_current = self._calls.complete(call_id)
        if not subject:
            return ()
        is_answered = not isinstance(outcome, Unknown | NotSent)
        self._reachability = self._reachability.after_call(
            is_answered=is_answered, now_ms=now_ms
        )
        self._counters[type(outcome).__name__] += 1
        if not is_current:
            return ()
        if subject == LEASE:
            return self._on_lease(outcome, now_ms)
        if subject.startswith(PREFIX):
            if isinstance(outcome, Missing):
                self._calls.on_lease_expired()
            claim_ids, actions = self._pages.on_reply(subject, outcome, now_ms)
            return (*actions, *self._on_settled(claim_ids, now_ms))
        state = self._keys[subject]
        is_read = state.phase in (Phase.READING, Phase.READING_PAGE)
        if isinstance(outcome, Missing) and not is_read:
            self._calls.on_lease_expired()
        settle_until_ms = now_ms + self._cfg.settle_ms
        step = key_machine.on_reply(state, outcome, settle_until_ms)
        page_actions: Actions = ()
        if state.phase is Phase.SETTLING and step[0] is None and self._cfg.has_pages:
            # Makes processes that follow the page read the key's record instead.
            claimed = ClaimRecord(ClaimState.CLAIMED, state.claim_id, state.digest)
            page_actions = self._pages.add(claimed, now_ms)
        return (*page_actions, *self._apply(subject, step, now_ms))

    def on_wake(self, wake: Wake, now_ms: int) -> Actions:
        """Handle a retry, a lease request or the time limit of a request."""
        if wake.kind is WakeKind.LEASE:
            return self._calls.request_lease_again(now_ms)
        if isinstance(wake.subject, int):
            path = self._path_of.get(wake.subject, "")
            state = self._keys.get(path)
            if state is None:
                return ()
            step = key_machine.on_expire(state, wake.subject, now_ms)
            return self._apply(path, step, now_ms)
        if not self._calls.is_current(wake.subject, wake.wake_id):
            return ()
        return self._retry(wake.subject, now_ms)

    def counters(self) -> dict[str, int]:
        """Return the counters and the present numbers of keys and pages."""
        present = {"keys": len(self._keys), "pages": len(self._pages)}
        return dict(self._counters) | dict(self._calls.counters) | present

    def _admit(
        self, state: KeyState | None, now_ms: int
    ) -> NotRun | OutcomeUnknown | None:
        """Return the outcome of a request that is refused at once, or None."""
        if state is not None:
            if len(state.requesters) < self._cfg.max_waiters:
                return None
            if state.phase is Phase.CLAIMING:
                return NotRun(Reason.OVERLOADED, "too many requests with this key")
            return OutcomeUnknown("too many requests wait for the one with this key")
        is_full = len(self._keys) >= self._cfg.max_keys
        if is_full or len(self._claiming) >= self._cfg.max_claiming:
            return NotRun(Reason.OVERLOADED, "too many keys are being claimed")
        if not self._reachability.allows(now_ms):
            return NotRun(Reason.CUT_OFF, "the platform does not answer")
        self._reachability = self._reachability.after_trial(now_ms)
        return None

    def _held_by(self, request_id: int) -> tuple[str, KeyState | None]:
        path = self._path_of.get(request_id, "")
        state = self._keys.get(path)
        if state is None or state.holder != request_id:
            self._counters["outcomes_without_claim"] += 1
            return path, None
        del self._path_of[request_id]
        return path, state

    def _record_of(
        self, msg: RecordAnswer | RecordUnknown, state: KeyState
    ) -> ClaimRecord:
        claim_id, digest = state.claim_id, state.digest
        if isinstance(msg, RecordUnknown):
            return unknown(claim_id, digest, msg.detail)
        if self._settling_bytes + len(msg.body) > self._cfg.max_settling_bytes:
            self._counters["answers_not_kept"] += 1
            return unknown(claim_id, digest, "answer not kept: the platform is slow")
        return answered(claim_id, digest, msg.status, msg.headers, msg.body)

    def _apply(self, path: str, step: Step, now_ms: int) -> Actions:
        """Store the new state of a key and return the actions for its effects."""
        state, effects = step
        previous = self._keys.get(path)
        if state is not None:
            self._keys[path] = state
        else:
            self._remove(path, previous, now_ms)
        if state is not None and state.phase in (Phase.CLAIMING, Phase.READING):
            self._claiming.add(path)
        else:
            self._claiming.discard(path)
        actions: list[Action] = []
        for effect in effects:
            actions.extend(self._perform(path, state, effect, now_ms))
        return tuple(actions)

    def _remove(self, path: str, state: KeyState | None, now_ms: int) -> None:
        self._keys.pop(path, None)
        self._claiming.discard(path)
        self._calls.remove(path)
        if state is not None:
            self._pages.abandon(state.claim_id, now_ms)
            self._awaiting_page.pop(state.claim_id, None)
            if state.record is not None:
                self._settling_bytes -= len(state.record.body)

    def _perform(
        self, path: str, state: KeyState | None, effect: Effect, now_ms: int
    ) -> Actions:
        if isinstance(effect, Respond):
            return self._respond(effect)
        assert state is not None, "a key without state has only responses left to send"
        match effect:
            case Write(record, expected):
                if self._cfg.has_pages:
                    page = self._pages.assign(record.claim_id, now_ms)
                    record = replace(record, page=page)
                return self._write(path, record, expected, now_ms)
            case Settle(record, revision):
                return self._settle(path, record, revision, now_ms)
            case Read(page):
                return self._calls.read(path, page or path)
            case Follow(revision, page):
                last_ms = max(item.deadline_ms for item in state.requesters)
                wait_ms = max(min(self._cfg.watch_ms, last_ms - now_ms), 1)
                watch = self._calls.watch(path, page or path, revision, wait_ms)
                return watch or self._calls.back_off(path, state.tries, state.claim_id)
            case Pause():
                return self._calls.back_off(path, state.tries, state.claim_id)
        return ()

    def _respond(self, effect: Respond) -> Actions:
        answer = effect.answer
        if isinstance(answer, ClaimGranted):
            self._counters["granted"] += 1
        else:
            self._path_of.pop(answer.request_id, None)
            self._counters[type(answer.outcome).__name__] += 1
        return (SendAnswer(answer),)

    def _write(
        self, path: str, record: ClaimRecord, expected: int, now_ms: int
    ) -> Actions:
        return self._calls.write(path, encode_record(record), expected, now_ms)

    def _settle(
        self, path: str, record: ClaimRecord, revision: int, now_ms: int
    ) -> Actions:
        """Write an outcome to the claim's page, or to the key's record if large."""
        if not self._cfg.has_pages:
            return self._write(path, record, revision, now_ms)
        if record_bytes(record) <= MAX_ENTRY_BYTES:
            self._awaiting_page[record.claim_id] = path
            return self._pages.add(record, now_ms)
        return self._write(path, record, revision, now_ms)

    def _on_settled(self, claim_ids: tuple[str, ...], now_ms: int) -> Actions:
        actions: list[Action] = []
        for claim_id in claim_ids:
            path = self._awaiting_page.pop(claim_id, "")
            if path:
                step = key_machine.on_settled(self._keys[path])
                actions.extend(self._apply(path, step, now_ms))
        return tuple(actions)

    def _retry(self, subject: str, now_ms: int) -> Actions:
        if subject.startswith(PREFIX):
            lost, actions = self._pages.on_wake(subject, now_ms)
            for claim_id in lost:
                path = self._awaiting_page.pop(claim_id, "")
                self._remove(path, self._keys.get(path), now_ms)
            return actions
        step = key_machine.on_retry(self._keys[subject], now_ms)
        return self._apply(subject, step, now_ms)

    def _on_lease(self, outcome: PlatformOutcome, now_ms: int) -> Actions:
        waiting, actions = self._calls.on_lease(outcome)
        if isinstance(outcome, Leased):
            retried = (self._retry(subject, now_ms) for subject in waiting)
            return tuple(action for each in retried for action in each)
        for subject in waiting:
            state = self._keys.get(subject)
            if state is not None and is_abandoned(state):
                self._remove(subject, state, now_ms)
        return actions
