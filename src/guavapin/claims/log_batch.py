"""Segments of a partition's claim log and the index built from them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState

# Below the platform's limit of 1 MB; a largest answer still fits beside other entries.
MAX_BATCH_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A change of one key's claim."""

    key: str
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class Batch:
    """One segment of the log; its writer recognises its own write by `batch_id`."""

    batch_id: str
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """Present claim of a key; the answer itself stays in segment `sequence`."""

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
    """Return whether an entry is valid.

    A claim is valid only for a free key, an outcome or release only from the holder.
    All processes apply the same entries in the same order, so they agree on the result.
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
    """Return the index entry of a record in segment `sequence`."""
    return IndexEntry(record.state, record.claim_id, record.digest, sequence)


def next_batch(
    pending: dict[str, ClaimRecord], batch_id: str
) -> tuple[Batch, dict[str, ClaimRecord]]:
    """Return a batch of the oldest entries and the entries that stay pending."""
    entries: list[LogEntry] = []
    size = 0
    remaining = dict(pending)
    for key, record in pending.items():
        size += 200 + len(record.body) + sum(len(a) + len(b) for a, b in record.headers)
        if entries and size > MAX_BATCH_BYTES:
            break
        entries.append(LogEntry(key, remaining.pop(key)))
    return Batch(batch_id, tuple(entries)), remaining
