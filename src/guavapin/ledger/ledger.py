"""Conditional writes of many keys by one writer, as a pure state machine.

Each transaction expects the revision of the writer's fence key and the last known
revision of every key that it puts. After a lost answer the same transaction is sent
again. If the first one took effect, the second one fails with a mismatch that shows the
values as already written. The expected revisions also prevent a write that the store
carries out late from undoing a newer one.

Several transactions may be in flight, each key in at most one of them. Entries of
different keys are not ordered.

A transaction that the store refuses for good is split into one for each entry, and an
entry that is refused alone is given up, so that it does not hold up the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.keyvalue import messages as kv

if TYPE_CHECKING:
    from collections.abc import Iterable

# Limit of the store on the rows of one transaction: expected, put and removed keys.
MAX_ROWS = 32

# Transactions in flight at a time. At 400 ms a call they write 200 entries a second; a
# healthy store answers before a second transaction is due.
MAX_IN_FLIGHT = 6

# An entry with a longer value is sent alone, and only one such entry at a time. Several
# of them on one slow link would all exceed the time of their calls, again and again.
MAX_SHARED_VALUE_BYTES = 65_536

# Delay before a transaction is sent again: half the answer time of a slow store.
RESEND_DELAY_MS = 100


@dataclass(frozen=True, slots=True)
class Entry:
    """Key to write, or to remove if `value` is None.

    `tags` are returned to the writer once the entry is durable. With `is_create` the
    key is written only if it does not exist.
    """

    key: str
    value: bytes | None
    tags: tuple[object, ...] = ()
    is_create: bool = False

    @property
    def is_large(self) -> bool:
        """Whether the value is too long to share a transaction with others."""
        return len(self.value or b"") > MAX_SHARED_VALUE_BYTES


@dataclass(frozen=True, slots=True)
class Batch:
    """Transaction, identified by `number`; `expected` begins with the fence key."""

    number: int
    expected: tuple[kv.KeyRevision, ...]
    puts: tuple[kv.KeyValue, ...]
    removes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    """Changes after the answer to a transaction.

    `durable` are entries that the store holds now. `conflicts` are entries whose key
    another writer had created. `refused` are entries that are given up because the
    store refuses them; with `may_be_stored`, an earlier transaction with them got no
    answer. `is_fenced` is set if another writer holds the fence. `resend_ms` is above 0
    if the transaction has to be sent again after this delay.
    """

    durable: tuple[Entry, ...] = ()
    conflicts: tuple[Entry, ...] = ()
    refused: tuple[Entry, ...] = ()
    may_be_stored: bool = False
    is_fenced: bool = False
    resend_ms: int = 0


class Ledger:
    """Pending entries and known revisions of one writer in one term."""

    def __init__(
        self, fence: kv.KeyRevision, revisions: Iterable[kv.KeyRevision] = ()
    ) -> None:
        self._fence = fence
        self._revisions = {row.key: row.revision for row in revisions}
        self._pending: dict[str, Entry] = {}
        self._in_flight: dict[int, tuple[Entry, ...]] = {}
        # Keys whose entries are sent alone, since a transaction with them was refused.
        self._isolated: set[str] = set()
        # Keys of transactions without an answer, which the store may still carry out.
        self._undecided: set[str] = set()
        self._number = 0

    @property
    def has_pending(self) -> bool:
        """Whether entries wait for a transaction."""
        return bool(self._pending)

    def record(self, entry: Entry) -> None:
        """Add an entry, which replaces a pending one of its key and keeps its tags."""
        old = self._pending.pop(entry.key, None)
        if old is not None:
            entry = replace(entry, tags=old.tags + entry.tags)
        self._pending[entry.key] = entry

    def next_batch(self) -> Batch | None:
        """Return the next transaction; None without one, or with too many in flight.

        An entry whose key is in flight waits for the answer, which holds the revision
        to expect. A large entry waits for the answer to another one.
        """
        if len(self._in_flight) >= MAX_IN_FLIGHT:
            return None
        in_flight = [entry for batch in self._in_flight.values() for entry in batch]
        keys_in_flight = {entry.key for entry in in_flight}
        is_large_in_flight = any(entry.is_large for entry in in_flight)
        rows = 1
        chosen: list[Entry] = []
        for entry in self._pending.values():
            if entry.key in keys_in_flight or (entry.is_large and is_large_in_flight):
                continue
            if entry.is_large or entry.key in self._isolated:
                if chosen:
                    continue
                chosen.append(entry)
                break
            rows += 1 if entry.value is None else 2
            if rows > MAX_ROWS:
                break
            chosen.append(entry)
        if not chosen:
            return None
        for entry in chosen:
            del self._pending[entry.key]
        self._number += 1
        self._in_flight[self._number] = tuple(chosen)
        return self._batch(self._number)

    def resend(self, number: int) -> Batch | None:
        """Return a transaction in flight once more, or None if it is resolved."""
        return self._batch(number) if number in self._in_flight else None

    def apply_outcome(self, number: int, outcome: kv.PlatformOutcome) -> LedgerUpdate:
        """Apply the answer to a transaction; a resolved transaction is ignored."""
        if number not in self._in_flight:
            return LedgerUpdate()
        match outcome:
            case kv.Written(revision=revision):
                durable = self._in_flight.pop(number)
                self._mark_resolved(durable)
                for entry in durable:
                    self._revisions[entry.key] = revision if entry.value else 0
                return LedgerUpdate(durable)
            case kv.Mismatch(items=items):
                return self._resolve(number, {item.key: item for item in items})
            case kv.PermanentlyRefused():
                return self._split(number)
            case kv.Unknown():
                self._undecided.update(entry.key for entry in self._in_flight[number])
        return LedgerUpdate(resend_ms=RESEND_DELAY_MS)

    def _batch(self, number: int) -> Batch:
        entries = self._in_flight[number]
        puts = [entry for entry in entries if entry.value is not None]
        expected = [
            kv.KeyRevision(entry.key, self._revisions.get(entry.key, kv.NO_REVISION))
            for entry in puts
        ]
        return Batch(
            number,
            (self._fence, *expected),
            tuple(kv.KeyValue(entry.key, entry.value or b"") for entry in puts),
            tuple(entry.key for entry in entries if entry.value is None),
        )

    def _split(self, number: int) -> LedgerUpdate:
        """Isolate the entries of a refused transaction, or give up its only entry.

        The key of an entry that is given up stays isolated, since its next value may be
        refused too. A key that is only created has no next value.
        """
        entries = self._in_flight.pop(number)
        self._isolated.update(entry.key for entry in entries)
        if len(entries) > 1:
            self._queue_again(entries)
            return LedgerUpdate()
        (entry,) = entries
        if entry.is_create:
            self._isolated.discard(entry.key)
        may_be_stored = entry.key in self._undecided
        return LedgerUpdate(refused=entries, may_be_stored=may_be_stored)

    def _mark_resolved(self, entries: Iterable[Entry]) -> None:
        """Apply that an earlier transaction with these entries has no effect any more.

        It expects revisions that are gone.
        """
        keys = {entry.key for entry in entries}
        self._isolated -= keys
        self._undecided -= keys

    def _queue_again(self, entries: Iterable[Entry]) -> None:
        """Put entries before the pending ones, which replace those of the same key."""
        newer = self._pending
        self._pending = {}
        for entry in entries:
            self.record(entry)
        for entry in newer.values():
            self.record(entry)

    def _resolve(self, number: int, current: dict[str, kv.Item]) -> LedgerUpdate:
        fence = current.get(self._fence.key)
        if fence is None or fence.revision != self._fence.revision:
            return LedgerUpdate(is_fenced=True)
        durable, conflicts, retry = [], [], []
        for entry in self._in_flight.pop(number):
            item = current.get(entry.key)
            if entry.value is None or item is None:
                retry.append(entry)
                continue
            known = self._revisions.get(entry.key, kv.NO_REVISION)
            self._revisions[entry.key] = item.revision
            if item.value == entry.value:
                durable.append(entry)
            elif entry.is_create and item.revision != known:
                conflicts.append(entry)
            else:
                retry.append(entry)
        self._mark_resolved((*durable, *conflicts))
        self._queue_again(retry)
        return LedgerUpdate(tuple(durable), tuple(conflicts))
