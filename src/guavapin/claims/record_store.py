"""Claim store with one record a key: create if absent, then update with the outcome.

Two writes a keyed request and no state that has to be loaded before a claim. The
record's key is ``claims/HASH``; the hashes have one length, so that a watch on the
whole key as prefix sees this key only.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from guavapin.claims import key_machine
from guavapin.claims.key_state import Decide
from guavapin.claims.key_state import Follow
from guavapin.claims.key_state import KeyState
from guavapin.claims.key_state import Pause
from guavapin.claims.key_state import Phase
from guavapin.claims.key_state import Read
from guavapin.claims.key_state import Requester
from guavapin.claims.key_state import Write
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.reachability import Reachability
from guavapin.claims.record import answered
from guavapin.claims.record import encode_record
from guavapin.claims.record import unknown
from guavapin.claims.retention import Retention
from guavapin.claims.store import SERVICE
from guavapin.claims.store import Action
from guavapin.claims.store import Actions
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import Tell
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.claims.store import WakeKind
from guavapin.claims.store import backoff_ms
from guavapin.claims.store import key_hash
from guavapin.kernel.outcome import Reason
from guavapin.platform.messages import Get
from guavapin.platform.messages import Leased
from guavapin.platform.messages import LeaseGrant
from guavapin.platform.messages import Missing
from guavapin.platform.messages import NotSent
from guavapin.platform.messages import Put
from guavapin.platform.messages import Unknown
from guavapin.platform.messages import Watch

if TYPE_CHECKING:
    from guavapin.claims.key_state import Effect
    from guavapin.claims.key_state import Step
    from guavapin.claims.messages import ClaimKey
    from guavapin.claims.messages import ReleaseClaim
    from guavapin.claims.record import ClaimRecord
    from guavapin.platform.messages import PlatformOutcome

LEASE_PATH = "lease"


class RecordStore:
    """Variant (a) of `ClaimStore`.

    `process_id` must differ for every process that ever ran; claim ids begin with it.
    """

    def __init__(self, cfg: ClaimsConfig, process_id: str) -> None:
        self._cfg = cfg
        self._process_id = process_id
        self._keys: dict[str, KeyState] = {}
        self._paths: dict[int, str] = {}
        self._calls: dict[int, str] = {}
        # The call whose answer, or the wake-up that, moves a key on.
        self._current: dict[str, int] = {}
        self._watches: set[int] = set()
        self._leaseless: set[str] = set()
        self._claiming: set[str] = set()
        self._settling_bytes = 0
        self._last_number = 0
        self._retention = Retention()
        self._reachability = Reachability()
        self._counters: Counter[str] = Counter()

    def on_start(self, now_ms: int) -> Actions:
        """Ask for the lease, so that the first request need not wait for it."""
        return self._ask_lease(now_ms)

    def on_claim(self, req: ClaimKey, now_ms: int) -> Actions:
        """Claim the key or wait for its holder."""
        path = f"claims/{key_hash(req.service, req.key)}"
        state = self._keys.get(path)
        refusal = self._admit(state, now_ms)
        if refusal is not None:
            self._counters["refused_at_once"] += 1
            return (Tell(ClaimRefused(req.request_id, refusal)),)
        give_up_ms = min(now_ms + self._cfg.patience_ms, req.deadline_ms)
        requester = Requester(req.request_id, give_up_ms, req.deadline_ms)
        self._paths[req.request_id] = path
        if state is None:
            claim_id = f"{self._process_id}-{self._next_number()}"
            until_ms = now_ms + self._cfg.settle_ms
            step = key_machine.begin(claim_id, req.digest, requester, until_ms)
        else:
            step = key_machine.join(state, req.digest, requester)
        actions = self._apply(path, step, now_ms)
        if req.request_id not in self._paths:
            return actions
        expiry = Wake(WakeKind.EXPIRE, req.request_id)
        delays = sorted({give_up_ms - now_ms, req.deadline_ms - now_ms})
        return (*actions, *(WakeAfter(max(delay, 0), expiry) for delay in delays))

    def on_outcome(self, msg: RecordAnswer | RecordUnknown, now_ms: int) -> Actions:
        """Write the outcome and tell the requests that wait for it here."""
        path, state = self._held_by(msg.request_id)
        if state is None:
            return ()
        record = self._record_of(msg, state)
        self._settling_bytes += len(record.body)
        settle_ms = now_ms + self._cfg.settle_ms
        return self._apply(
            path, key_machine.on_outcome(state, record, settle_ms), now_ms
        )

    def on_release(self, msg: ReleaseClaim, now_ms: int) -> Actions:
        """Release a claim whose request was not sent, or forget one that waits."""
        path = self._paths.pop(msg.request_id, "")
        state = self._keys.get(path)
        if state is None:
            return ()
        if state.holder == msg.request_id:
            step = key_machine.on_release(state, now_ms + self._cfg.settle_ms)
        else:
            step = key_machine.withdraw(state, msg.request_id)
        return self._apply(path, step, now_ms)

    def on_reply(self, call_id: int, outcome: PlatformOutcome, now_ms: int) -> Actions:
        """Handle the answer to a call."""
        path = self._calls.pop(call_id, None)
        if path is None:
            return ()
        is_answered = not isinstance(outcome, Unknown | NotSent)
        self._reachability = self._reachability.after(
            is_answered=is_answered, now_ms=now_ms
        )
        self._counters[type(outcome).__name__] += 1
        if path == LEASE_PATH:
            return self._on_lease(outcome, now_ms)
        self._watches.discard(call_id)
        state = self._keys.get(path)
        if state is None or self._current.get(path) != call_id:
            return ()
        if isinstance(outcome, Missing) and state.phase is not Phase.READING:
            self._retention = self._retention.lapsed()
        settle_ms = now_ms + self._cfg.settle_ms
        step = key_machine.on_reply(state, outcome, settle_ms)
        return self._apply(path, step, now_ms)

    def on_wake(self, wake: Wake, now_ms: int) -> Actions:
        """Handle a retry or the end of a request's time."""
        if wake.kind is WakeKind.LEASE:
            self._retention = self._retention.unasked()
            return self._ask_lease(now_ms)
        path = wake.subject
        if isinstance(path, int):
            request_id = path
            path = self._paths.get(request_id, "")
            state = self._keys.get(path)
            if state is None:
                return ()
            step = key_machine.on_expire(state, request_id, now_ms)
            return self._apply(path, step, now_ms)
        state = self._keys.get(path)
        if state is None or self._current.get(path) != wake.turn:
            return ()
        return self._apply(path, key_machine.on_retry(state, now_ms), now_ms)

    def counters(self) -> dict[str, int]:
        """Return counters, with the number of keys and calls at present."""
        present = {"keys": len(self._keys), "calls": len(self._calls)}
        return dict(self._counters) | present

    def _admit(
        self, state: KeyState | None, now_ms: int
    ) -> NotRun | OutcomeUnknown | None:
        """Return why a new request is refused at once, or None."""
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
        self._reachability = self._reachability.tried(now_ms)
        return None

    def _held_by(self, request_id: int) -> tuple[str, KeyState | None]:
        path = self._paths.get(request_id, "")
        state = self._keys.get(path)
        if state is None or state.holder != request_id:
            self._counters["outcomes_without_claim"] += 1
            return path, None
        del self._paths[request_id]
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
        """Keep the new state and turn its effects into actions."""
        state, effects = step
        former = self._keys.get(path)
        if state is not None:
            self._keys[path] = state
        else:
            self._forget(path, former)
        if state is not None and state.phase in (Phase.CLAIMING, Phase.READING):
            self._claiming.add(path)
        else:
            self._claiming.discard(path)
        actions: list[Action] = []
        for effect in effects:
            actions.extend(self._act(path, state, effect, now_ms))
        return tuple(actions)

    def _forget(self, path: str, state: KeyState | None) -> None:
        self._keys.pop(path, None)
        self._claiming.discard(path)
        self._current.pop(path, None)
        self._leaseless.discard(path)
        if state is not None and state.record is not None:
            self._settling_bytes -= len(state.record.body)

    def _act(
        self, path: str, state: KeyState | None, effect: Effect, now_ms: int
    ) -> Actions:
        if isinstance(effect, Decide):
            return self._tell(effect)
        assert state is not None, "only decisions follow the end of a key's state"
        match effect:
            case Write(record, expected):
                return self._write(path, record, expected, now_ms)
            case Read():
                call_id = self._call(path)
                return (CallPlatform(Get(SERVICE, call_id, path)),)
            case Follow(revision) if len(self._watches) < self._cfg.max_watches:
                last_ms = max(item.deadline_ms for item in state.requesters)
                wait_ms = max(min(self._cfg.watch_ms, last_ms - now_ms), 1)
                call_id = self._call(path)
                self._watches.add(call_id)
                return (CallPlatform(Watch(SERVICE, call_id, path, revision, wait_ms)),)
            case Follow() | Pause():
                return (self._retry_later(path, state),)
        return ()

    def _tell(self, effect: Decide) -> Actions:
        answer = effect.answer
        if isinstance(answer, ClaimGranted):
            self._counters["granted"] += 1
        else:
            self._paths.pop(answer.request_id, None)
            self._counters[type(answer.outcome).__name__] += 1
        return (Tell(answer),)

    def _retry_later(self, path: str, state: KeyState) -> WakeAfter:
        turn = self._next_number()
        self._current[path] = turn
        delay_ms = backoff_ms(self._cfg, state.tries, state.claim_id)
        return WakeAfter(delay_ms, Wake(WakeKind.RETRY, path, turn))

    def _write(
        self, path: str, record: ClaimRecord, expected: int, now_ms: int
    ) -> Actions:
        lease_id = self._retention.lease_at(now_ms)
        if not lease_id:
            self._leaseless.add(path)
            return self._ask_lease(now_ms)
        value = encode_record(record)
        call_id = self._call(path)
        return (CallPlatform(Put(SERVICE, call_id, path, value, expected, lease_id)),)

    def _call(self, path: str) -> int:
        call_id = self._next_number()
        self._calls[call_id] = path
        self._current[path] = call_id
        return call_id

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _ask_lease(self, now_ms: int) -> Actions:
        if self._retention.asked_ms is not None:
            return ()
        self._retention = self._retention.asked(now_ms)
        ttl_ms = self._cfg.retention_ms + self._cfg.lease_span_ms
        call_id = self._call(LEASE_PATH)
        return (CallPlatform(LeaseGrant(SERVICE, call_id, ttl_ms)),)

    def _on_lease(self, outcome: PlatformOutcome, now_ms: int) -> Actions:
        paths, self._leaseless = sorted(self._leaseless), set()
        if not isinstance(outcome, Leased):
            self._counters["lease_failures"] += 1
            self._leaseless.update(paths)
            for path in paths:
                if key_machine.is_unwanted(self._keys[path]):
                    self._forget(path, self._keys[path])
            delay_ms = backoff_ms(self._cfg, 3, self._process_id)
            return (WakeAfter(delay_ms, Wake(WakeKind.LEASE)),)
        span_ms = self._cfg.lease_span_ms
        self._retention = self._retention.granted(outcome.lease_id, span_ms)
        actions: list[Action] = []
        for path in paths:
            step = key_machine.on_retry(self._keys[path], now_ms)
            actions.extend(self._apply(path, step, now_ms))
        return tuple(actions)
