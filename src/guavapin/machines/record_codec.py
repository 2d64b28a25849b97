"""Encoding of the records of ordered machines and of waves as values in the store."""

from __future__ import annotations

import msgspec

from guavapin.kernel.decimal import parse_decimal

_DECODER = msgspec.json.Decoder(list[str])


def encode_ordered(machines: frozenset[str]) -> bytes:
    """Return the value for a set of machines; equal sets have equal values."""
    return msgspec.json.encode(sorted(machines))


def decode_ordered(value: bytes) -> frozenset[str] | None:
    """Return the recorded machines, None for a value that cannot be read."""
    try:
        return frozenset(_DECODER.decode(value))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_due(due_wall_ms: int) -> bytes:
    """Return the value for a time in milliseconds since the Unix epoch."""
    return str(due_wall_ms).encode()


def decode_due(value: bytes) -> int | None:
    """Return the time in milliseconds since the Unix epoch, None if unreadable."""
    return parse_decimal(value.decode("ascii", errors="replace"))
