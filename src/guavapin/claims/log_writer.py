"""Calls of the claim log: group commit, catch-up and a watch on the next segment."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims import log_partition
from guavapin.claims.log_batch import encode_batch
from guavapin.claims.log_batch import next_batch
from guavapin.claims.log_partition import HeadPhase
from guavapin.claims.log_partition import HeadStep
from guavapin.claims.log_partition import LogHead
from guavapin.claims.store import SERVICE
from guavapin.claims.store import Actions
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.claims.store import WakeKind
from guavapin.claims.store import backoff_ms
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Watch

if TYPE_CHECKING:
    from guavapin.claims.log_batch import LogEntry
    from guavapin.claims.log_partition import Applied
    from guavapin.claims.record import ClaimRecord
    from guavapin.keyvalue.messages import PlatformOutcome


class LogWriter:
    """Owns the head of the log and the entries that wait to be written.

    Entries that arrive while a write is in flight go into the next batch.
    """

    def __init__(self, cfg: ClaimsConfig, process_id: str, linger_ms: int) -> None:
        self.pending: dict[str, ClaimRecord] = {}
        self.counters: Counter[str] = Counter()
        self._cfg = cfg
        self._process_id = process_id
        self._linger_ms = linger_ms
        self._head = LogHead()
        self._last_number = 0
        self._call_id = 0
        self._watch_id = 0
        self._wake_id = 0
        self._is_lingering = False

    @property
    def is_broken(self) -> bool:
        """Whether a segment could not be decoded; no key may be claimed then."""
        return self._head.phase is HeadPhase.BROKEN

    def next_number(self) -> int:
        """Return a new number for a call, a batch, a claim or a wake-up."""
        self._last_number += 1
        return self._last_number

    def owns(self, call_id: int) -> bool:
        """Return whether `call_id` is the head's call or watch."""
        return call_id in (self._call_id, self._watch_id)

    def catch_up(self) -> Actions:
        """Read the log from the next sequence number, unless a call is in flight."""
        if self._head.phase is not HeadPhase.IDLE:
            return ()
        self._head = log_partition.read(self._head)
        return self._call()

    def flush(self) -> Actions:
        """Write the pending entries, now or after the linger time."""
        if self._head.phase is not HeadPhase.IDLE or not self.pending:
            return ()
        if not self._linger_ms:
            return self._write()
        if self._is_lingering:
            return ()
        self._is_lingering = True
        return (WakeAfter(self._linger_ms, Wake(WakeKind.RETRY, "linger")),)

    def follow(self) -> Actions:
        """Watch for the next segment, unless a watch or a call is in flight."""
        if self._watch_id or self._head.phase is not HeadPhase.IDLE:
            return ()
        self._watch_id = self.next_number()
        segment = segment_key(self._head.sequence)
        watch = Watch(SERVICE, self._watch_id, segment, 0, self._cfg.watch_ms)
        return (CallPlatform(watch),)

    def on_wake(self, wake: Wake) -> Actions:
        """Write after a linger, or repeat the call after a backoff."""
        if wake.subject == "linger":
            self._is_lingering = False
            return self._write()
        return self._call() if wake.wake_id == self._wake_id else ()

    def on_reply(
        self, call_id: int, outcome: PlatformOutcome
    ) -> tuple[Applied | None, Actions, bool]:
        """Apply the answer to the head's call or watch.

        Returns the batch that was added to the log, the actions to execute, and
        whether the log is caught up.
        """
        if call_id == self._watch_id:
            self._watch_id = 0
            return None, self.catch_up(), False
        self.counters[type(outcome).__name__] += 1
        self._head, applied, step = log_partition.on_reply(self._head, outcome)
        if step is HeadStep.CALL:
            return applied, self._call(), False
        if step is HeadStep.PAUSE:
            delay_ms = backoff_ms(self._cfg, self._head.tries, self._process_id)
            self._wake_id = self.next_number()
            wake = Wake(WakeKind.RETRY, "", self._wake_id)
            return applied, (WakeAfter(delay_ms, wake),), False
        return applied, (), step is HeadStep.CAUGHT_UP

    def pop_lost_entries(self) -> tuple[LogEntry, ...]:
        """Remove and return the entries of a batch that lost its sequence number."""
        batch, self._head = self._head.batch, replace(self._head, batch=None)
        return () if batch is None else batch.entries

    def _write(self) -> Actions:
        if self._head.phase is not HeadPhase.IDLE or not self.pending:
            return ()
        batch_id = f"{self._process_id}-{self.next_number()}"
        batch, self.pending = next_batch(self.pending, batch_id)
        self._head = log_partition.write(self._head, batch)
        self.counters["batches"] += 1
        self.counters["entries"] += len(batch.entries)
        return self._call()

    def _call(self) -> Actions:
        """Send the call of the head's phase: a write of the batch, or a read."""
        self._call_id = self.next_number()
        segment = segment_key(self._head.sequence)
        if self._head.phase is HeadPhase.WRITING and self._head.batch is not None:
            value = encode_batch(self._head.batch)
            return (CallPlatform(Put(SERVICE, self._call_id, segment, value, 0)),)
        return (CallPlatform(Get(SERVICE, self._call_id, segment)),)


def segment_key(sequence: int) -> str:
    """Return the platform key of the segment `sequence`."""
    return f"claimlog/{sequence:016d}"
