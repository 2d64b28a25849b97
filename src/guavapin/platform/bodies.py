"""Decoding of untrusted JSON bodies, and encoding of JSON bodies."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_body(body: bytes, kind: type[T]) -> T | None:
    """Return the body as `kind`, or None if it does not match; never raises."""
    # Invalid UTF-8 raises a UnicodeDecodeError, which is a ValueError; deep nesting
    # raises a RecursionError.
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_body(body: object) -> bytes:
    """Return a body encoded as JSON."""
    return msgspec.json.encode(body)
