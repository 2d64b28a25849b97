"""Decoding of untrusted JSON bodies, and encoding of JSON bodies."""

from __future__ import annotations

from typing import Annotated
from typing import TypeVar

import msgspec

from guavapin.jobs.limits import MAX_NUMBER

T = TypeVar("T")

# Fields of bodies from other processes. A body with a number out of range is
# unreadable, like one with a field of another type.
WireInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
WireNumber = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


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
