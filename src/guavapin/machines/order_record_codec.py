"""Encoding of the record of ordered machines as the value of a key in the store."""

from __future__ import annotations

import msgspec

_DECODER = msgspec.json.Decoder(list[str])


def encode_ordered(machines: frozenset[str]) -> bytes:
    """Return the value for a set of machines; equal sets have equal values."""
    return msgspec.json.encode(sorted(machines))


def decode_ordered(value: bytes) -> frozenset[str] | None:
    """Return the recorded machines, None for a value that cannot be read."""
    try:
        return frozenset(_DECODER.decode(value))
    except msgspec.DecodeError:
        return None
