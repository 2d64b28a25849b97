"""Claim store with one log per partition: one write covers claims of many keys.

It is kept for comparison with `RecordStore`; see ``docs/measurements/claims.md``. It is
not fit for production use: the index holds every key of the log, segments are not
compacted, and a restart reads the whole log.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims.key_state import Requester
from guavapin.claims.log_batch import IndexEntry
from guavapin.claims.log_batch import LogEntry
from guavapin.claims.log_batch import applies
from guavapin.claims.log_batch import decode_batch
from guavapin.claims.log_batch import index_entry
from guavapin.claims.log_writer import LogWriter
from guavapin.claims.log_writer import segment_key
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState
from guavapin.claims.record import answered
from guavapin.claims.record import outcome_of
from guavapin.claims.record import unknown
from guavapin.claims.store import SERVICE
from guavapin.claims.store import Action
from guavapin.claims.store import Actions
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import SendAnswer
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.claims.store import WakeKind
from guavapin.claims.store import key_hash
from guavapin.kernel.outcome import Reason
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get

if TYPE_CHECKING:
    from guavapin.claims.log_partition import Applied
    from guavapin.claims.messages import ClaimKey
    from guavapin.claims.messages import ReleaseClaim
    from guavapin.keyvalue.messages import PlatformOutcome

BROKEN = "the claim log is not readable"


@dataclass(frozen=True, slots=True)
class _LocalKey:
    """Requests of this process for a key.

    `is_pending` is true while the claim is not in the log. `record` is an outcome that
    is not in the log yet.
    """

    claim_id: str
    digest: bytes
    requesters: tuple[Requester, ...]
    holder: int | None = None
    is_pending: bool = False
    record: ClaimRecord | None = None


class LogStore:
    """Variant (b) of `ClaimStore`, with one partition.

    A write is delayed by `linger_ms` so that more entries join it. With 0 the next
    write starts as soon as the previous one has ended.
    """

    def __init__(self, cfg: ClaimsConfig, process_id: str, linger_ms: int = 0) -> None:
        self._cfg = cfg
        self._process_id = process_id
        self._log = LogWriter(cfg, process_id, linger_ms)
        self._index: dict[str, IndexEntry] = {}
        self._keys: dict[str, _LocalKey] = {}
        self._key_of: dict[int, str] = {}
        self._fetches: dict[int, str] = {}

    def on_start(self, now_ms: int) -> Actions:
        """Read the log from its beginning."""
        return self._log.catch_up()

    def on_claim(self, req: ClaimKey, now_ms: int) -> Actions:
        """Claim the key, wait for its holder, or refuse the request."""
        key = key_hash(req.service, req.key)
        local = self._keys.get(key)
        refusal = self._admit(local, req.digest)
        if refusal is not None:
            return (SendAnswer(ClaimRefused(req.request_id, refusal)),)
        confirm_deadline_ms = min(
            now_ms + self._cfg.confirm_timeout_ms, req.deadline_ms
        )
        requester = Requester(req.request_id, confirm_deadline_ms, req.deadline_ms)
        self._key_of[req.request_id] = key
        expiry = Wake(WakeKind.EXPIRE, req.request_id)
        delays = sorted({confirm_deadline_ms - now_ms, req.deadline_ms - now_ms})
        wakes = tuple(WakeAfter(max(delay, 0), expiry) for delay in delays)
        if local is not None:
            requesters = (*local.requesters, requester)
            self._keys[key] = replace(local, requesters=requesters)
            return wakes
        claim_id = f"{self._process_id}-{self._log.next_number()}"
        self._keys[key] = _LocalKey(claim_id, req.digest, (requester,))
        return (*self._resolve(key), *self._log.flush(), *wakes)

    def on_outcome(self, msg: RecordAnswer | RecordUnknown, now_ms: int) -> Actions:
        """Log the outcome and send it to the requests that wait for it here."""
        key = self._key_of.get(msg.request_id, "")
        local = self._keys.get(key)
        if local is None or local.holder != msg.request_id:
            return ()
        if isinstance(msg, RecordUnknown):
            record = unknown(local.claim_id, local.digest, msg.detail)
        else:
            record = answered(
                local.claim_id, local.digest, msg.status, msg.headers, msg.body
            )
        refusals = self._refuse(local.requesters, outcome_of(record))
        self._keys[key] = replace(local, requesters=(), holder=None, record=record)
        self._log.pending[key] = record
        return (*refusals, *self._log.flush())

    def on_release(self, msg: ReleaseClaim, now_ms: int) -> Actions:
        """Release a claim whose request was not sent, or remove a waiting request."""
        key = self._key_of.pop(msg.request_id, "")
        local = self._keys.get(key)
        if local is None:
            return ()
        if local.holder != msg.request_id:
            return self._withdraw(key, local, msg.request_id)
        return (
            *self._grant_or_release(key, replace(local, holder=None)),
            *self._log.flush(),
        )

    def on_reply(self, call_id: int, outcome: PlatformOutcome, now_ms: int) -> Actions:
        """Apply the answer to a fetch of a record, or to a call of the log."""
        if call_id in self._fetches:
            return self._on_fetched(self._fetches.pop(call_id), outcome)
        if not self._log.owns(call_id):
            return ()
        applied, calls, is_caught_up = self._log.on_reply(call_id, outcome)
        actions = list(calls)
        if applied is not None:
            actions.extend(self._apply(applied))
        if is_caught_up:
            actions.extend(self._on_caught_up())
        return tuple(actions)

    def on_wake(self, wake: Wake, now_ms: int) -> Actions:
        """Handle the end of a linger or backoff, or the time limit of a request."""
        if isinstance(wake.subject, int):
            return self._on_expire(wake.subject, now_ms)
        return self._log.on_wake(wake)

    def counters(self) -> dict[str, int]:
        """Return the counters and the sizes of the index and of the local keys."""
        present = {"keys": len(self._keys), "index": len(self._index)}
        return dict(self._log.counters) | present

    def _admit(self, local: _LocalKey | None, digest: bytes) -> ClaimOutcome | None:
        if self._log.is_broken:
            return NotRun(Reason.CUT_OFF, BROKEN)
        if local is None:
            if len(self._keys) < self._cfg.max_keys:
                return None
            return NotRun(Reason.OVERLOADED, "too many keys are being claimed")
        if local.digest != digest:
            return KeyReused()
        return None if local.record is None else outcome_of(local.record)

    def _resolve(self, key: str) -> Actions:
        """Claim, follow or fetch a key that this process does not hold.

        The key's index entry decides: a free key is claimed, a claimed one followed,
        and the record of a settled one fetched.
        """
        local, logged = self._keys[key], self._index.get(key)
        if logged is None or logged.state is ClaimState.RELEASED:
            self._keys[key] = replace(local, is_pending=True)
            self._log.pending[key] = ClaimRecord(
                ClaimState.CLAIMED, local.claim_id, local.digest
            )
            return ()
        if logged.digest != local.digest:
            return self._refuse_all(key, KeyReused())
        self._keys[key] = replace(local, is_pending=False)
        self._log.pending.pop(key, None)
        if logged.state is ClaimState.CLAIMED:
            return self._follow()
        call_id = self._log.next_number()
        self._fetches[call_id] = key
        return (CallPlatform(Get(SERVICE, call_id, segment_key(logged.sequence))),)

    def _on_fetched(self, key: str, outcome: PlatformOutcome) -> Actions:
        if key not in self._keys:
            return ()
        batch = decode_batch(outcome.value) if isinstance(outcome, Found) else None
        records = (
            [] if batch is None else [e.record for e in batch.entries if e.key == key]
        )
        if not records:
            return self._refuse_all(key, OutcomeUnknown("the record could not be read"))
        return self._refuse_all(key, outcome_of(records[-1]))

    def _apply(self, applied: Applied) -> Actions:
        actions: list[Action] = []
        for entry in applied.batch.entries:
            is_valid = applies(self._index, entry)
            if is_valid:
                logged = index_entry(entry.record, applied.sequence)
                self._index[entry.key] = logged
            if entry.key in self._keys:
                actions.extend(self._on_entry(entry, is_valid, applied.is_own))
        return tuple(actions)

    def _on_entry(self, entry: LogEntry, is_valid: bool, is_own: bool) -> Actions:
        key, record = entry.key, entry.record
        local = self._keys[key]
        is_claim = record.state is ClaimState.CLAIMED
        if is_own and is_claim:
            if is_valid:
                return self._grant_or_release(key, replace(local, is_pending=False))
            return self._resolve(key)
        if is_own:
            # An outcome or release of this process is logged. More work follows only if
            # requests wait for a released key.
            self._keys[key] = replace(local, record=None)
            return self._resolve(key) if local.requesters else self._remove(key)
        if not is_valid or not local.requesters:
            return ()
        is_settled = record.state in (ClaimState.ANSWERED, ClaimState.UNKNOWN)
        if is_settled and record.digest == local.digest:
            return self._refuse_all(key, outcome_of(record))
        return self._resolve(key)

    def _grant_or_release(self, key: str, local: _LocalKey) -> Actions:
        """Grant a logged claim to the first waiting request, or release it."""
        if not local.requesters:
            self._keys[key] = local
            self._log.pending[key] = ClaimRecord(
                ClaimState.RELEASED, local.claim_id, local.digest
            )
            return ()
        first, *rest = local.requesters
        self._keys[key] = replace(
            local, holder=first.request_id, requesters=tuple(rest)
        )
        return (SendAnswer(ClaimGranted(first.request_id)),)

    def _on_caught_up(self) -> Actions:
        """Queue lost entries again, write pending ones and follow other claimants.

        Claims on keys that another process has claimed meanwhile are left out. If the
        log cannot be read, all waiting requests are refused.
        """
        actions: list[Action] = []
        for entry in self._log.pop_lost_entries():
            actions.extend(self._requeue_lost(entry))
        if self._log.is_broken:
            for key in list(self._keys):
                actions.extend(self._refuse_all(key, OutcomeUnknown(BROKEN)))
        return (*actions, *self._log.flush(), *self._follow())

    def _requeue_lost(self, entry: LogEntry) -> Actions:
        local = self._keys.get(entry.key)
        if local is None or entry.key in self._log.pending:
            return ()
        if entry.record.state is not ClaimState.CLAIMED:
            self._log.pending[entry.key] = entry.record
            return ()
        if not local.requesters:
            return self._remove(entry.key)
        return self._resolve(entry.key)

    def _follow(self) -> Actions:
        """Watch the log if requests wait for the claims of other processes."""
        is_followed = any(
            local.requesters and not local.is_pending and local.holder is None
            for local in self._keys.values()
        )
        return self._log.follow() if is_followed else ()

    def _on_expire(self, request_id: int, now_ms: int) -> Actions:
        key = self._key_of.get(request_id, "")
        local = self._keys.get(key)
        requesters = () if local is None else local.requesters
        requester = next((r for r in requesters if r.request_id == request_id), None)
        if local is None or requester is None:
            return ()
        limit_ms = (
            requester.confirm_deadline_ms if local.is_pending else requester.deadline_ms
        )
        if now_ms < limit_ms:
            return ()
        outcome: ClaimOutcome = OutcomeUnknown("the holder has no outcome yet")
        if local.is_pending:
            outcome = NotRun(Reason.CUT_OFF, "the platform did not confirm the claim")
        refusals = self._refuse((requester,), outcome)
        return (*refusals, *self._withdraw(key, local, request_id))

    def _withdraw(self, key: str, local: _LocalKey, request_id: int) -> Actions:
        rest = tuple(r for r in local.requesters if r.request_id != request_id)
        self._keys[key] = replace(local, requesters=rest)
        if rest or local.holder is not None or local.record is not None:
            return ()
        queued = self._log.pending.get(key)
        if queued is not None and queued.state is ClaimState.CLAIMED:
            del self._log.pending[key]
            return self._remove(key)
        is_written = local.is_pending or queued is not None
        return (
            ()
            if is_written or self._holds_logged_claim(key, local)
            else self._remove(key)
        )

    def _holds_logged_claim(self, key: str, local: _LocalKey) -> bool:
        logged = self._index.get(key)
        return logged is not None and logged.claim_id == local.claim_id

    def _refuse_all(self, key: str, outcome: ClaimOutcome) -> Actions:
        refusals = self._refuse(self._keys[key].requesters, outcome)
        return (*refusals, *self._remove(key))

    def _remove(self, key: str) -> Actions:
        self._keys.pop(key, None)
        self._log.pending.pop(key, None)
        return ()

    def _refuse(
        self, requesters: tuple[Requester, ...], outcome: ClaimOutcome
    ) -> Actions:
        for requester in requesters:
            self._key_of.pop(requester.request_id, None)
        return tuple(
            SendAnswer(ClaimRefused(requester.request_id, outcome))
            for requester in requesters
        )
