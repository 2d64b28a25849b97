"""Segments of the audit archive, each for a fixed range of the sequence; pure.

The sequence of an entry determines the key of its segment, so archiving an entry twice
writes it to the same segment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavapin.fleet.codec import WireAuditEntry
from guavapin.fleet.codec import from_wire_entry
from guavapin.fleet.codec import to_wire_entry
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.fleet.state import AuditEntry

PREFIX = "audit/fleet/"

# A segment has about 40 KB and is rewritten whole with every write of the archiver.
SEGMENT_ENTRIES = 256

# 400 segments hold about 100,000 entries, some 50 days at the two-year size.
MAX_SEGMENTS = 400

_decoder = msgspec.msgpack.Decoder(tuple[WireAuditEntry, ...])


def segment_key(sequence: int) -> str:
    """Return the key of the segment that holds `sequence`; keys sort by age."""
    return f"{PREFIX}{sequence // SEGMENT_ENTRIES:010d}"


def merge(
    archived: Iterable[AuditEntry], entries: Iterable[AuditEntry]
) -> tuple[AuditEntry, ...]:
    """Return both sets of entries in order; an archived entry is never replaced."""
    merged = {entry.sequence: entry for entry in entries}
    merged.update((entry.sequence, entry) for entry in archived)
    return tuple(merged[sequence] for sequence in sorted(merged))


def expired_keys(keys: Iterable[str]) -> tuple[str, ...]:
    """Return the keys of the oldest segments beyond `MAX_SEGMENTS`."""
    return tuple(sorted(keys, reverse=True)[MAX_SEGMENTS:])


def encode_segment(entries: Iterable[AuditEntry]) -> bytes:
    """Return the entries of a segment as MessagePack."""
    return msgspec.msgpack.encode(tuple(map(to_wire_entry, entries)))


def decode_segment(data: bytes) -> Outcome[tuple[AuditEntry, ...]]:
    """Return the entries of a segment, or `Refused(BAD_INPUT)` if malformed."""
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"audit segment: {exc}")
    return Ok(tuple(map(from_wire_entry, wire)))
