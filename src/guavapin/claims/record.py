"""The stored claim of a key and its encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import Headers
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordedAnswer

# Larger answers are not kept: the platform stores values of up to 1 MB, and it must
# have space for the answers of a whole day.
MAX_ANSWER_BYTES = 256 * 1024


class ClaimState(Enum):
    """State of a claim; another claimant may claim a key only in state `RELEASED`."""

    CLAIMED = "c"
    ANSWERED = "a"
    UNKNOWN = "u"
    RELEASED = "r"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim of a key for the request content with `digest`, and its outcome.

    `detail` explains the state `UNKNOWN`. `page` is the platform key at which the
    outcome appears unless it is in this record. The record of a released claim is kept,
    so that a delayed copy of a write that expects the key to be absent can never take
    effect.
    """

    state: ClaimState
    claim_id: str
    digest: bytes
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    detail: str = ""
    page: str = ""


_DECODER = msgspec.msgpack.Decoder(ClaimRecord)


def encode_record(record: ClaimRecord) -> bytes:
    """Return the platform value of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> ClaimRecord | None:
    """Return the record, or None if the value is not one; never raises."""
    try:
        return _DECODER.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def answered(
    claim_id: str, digest: bytes, status: int, headers: Headers, body: bytes
) -> ClaimRecord:
    """Return the record of an answer, or of an unknown outcome if it is too large.

    The size is that of the body plus all header names and values.
    """
    size = len(body) + sum(len(name) + len(value) for name, value in headers)
    if size > MAX_ANSWER_BYTES:
        return unknown(claim_id, digest, f"answer of {size} bytes too large to repeat")
    return ClaimRecord(
        ClaimState.ANSWERED, claim_id, digest, status, tuple(headers), body
    )


def record_bytes(record: ClaimRecord) -> int:
    """Return the size in bytes of a record's answer, headers included."""
    return len(record.body) + sum(len(a) + len(b) for a, b in record.headers)


def unknown(claim_id: str, digest: bytes, detail: str) -> ClaimRecord:
    """Return the record of an unknown outcome."""
    return ClaimRecord(ClaimState.UNKNOWN, claim_id, digest, detail=detail)


def outcome_of(record: ClaimRecord) -> ClaimOutcome:
    """Return the outcome for further requests with the key of a settled record."""
    if record.state is ClaimState.ANSWERED:
        return RecordedAnswer(record.status, record.headers, record.body)
    return OutcomeUnknown(record.detail or "the first request's outcome is unknown")
