"""Segments of a partition's claim log and the index built from them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState

# Below the platform's 1 MB; an answer of the largest size still fits beside others.
MAX_BATCH_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A change of one key's claim."""

    key: str
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class Batch:
    """One segment; `batch_id` tells its writer that a write took effect."""

    batch_id: str
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """What the log says of a key; the answer itself stays in segment `sequence`."""

    state: ClaimState
    claim_id: str
    digest: bytes
    sequence: int


_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the platform value of a batch."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> Batch | None:
    """Return the batch, or None if the value is not one; never raises."""
    try:
        return _DECODER.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def applies(index: dict[str, IndexEntry], entry: LogEntry) -> bool:
    """Whether an entry counts: claims only on free keys, outcomes only of the holder.

    Every process applies the same entries in the same order, so all agree.
    """
    held = index.get(entry.key)
    if entry.record.state is ClaimState.CLAIMED:
        return held is None or held.state is ClaimState.RELEASED
    return (
        held is not None
        and held.state is ClaimState.CLAIMED
        and held.claim_id == entry.record.claim_id
    )


def index_entry(record: ClaimRecord, sequence: int) -> IndexEntry:
    """Return the index's part of a record."""
    return IndexEntry(record.state, record.claim_id, record.digest, sequence)


def next_batch(
    pending: dict[str, ClaimRecord], batch_id: str
) -> tuple[Batch, dict[str, ClaimRecord]]:
    """Return the next batch and what stays pending; the oldest entries go first."""
    entries: list[LogEntry] = []
    size = 0
    remaining = dict(pending)
    for key, record in pending.items():
        size += 200 + len(record.body) + sum(len(a) + len(b) for a, b in record.headers)
        if entries and size > MAX_BATCH_BYTES:
            break
        entries.append(LogEntry(key, remaining.pop(key)))
    return Batch(batch_id, tuple(entries)), remaining
