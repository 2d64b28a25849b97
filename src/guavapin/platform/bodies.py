"""Decoding of untrusted JSON bodies, and encoding of JSON bodies."""

from __future__ import annotations

import re
from typing import Annotated
from typing import TypeVar

import msgspec

from guavapin.jobs.limits import MAX_NUMBER

T = TypeVar("T")

# Fields of bodies from other processes. A body with a number out of range is
# unreadable, like one with a field of another type.
WireInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
WireNumber = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

# Characters of a value that an error repeats.
MAX_SHOWN = 80


def decode_body(body: bytes, kind: type[T]) -> T | None:
    """Return the body as `kind`, or None if it does not match; never raises."""
    # Invalid UTF-8 raises a UnicodeDecodeError, which is a ValueError; deep nesting
    # raises a RecursionError.
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def find_body_fault(body: bytes, kind: type[object]) -> str:
    """Return the field, the value and what was expected of a body that is no `kind`.

    The result is "" for one that `decode_body` accepts.
    """
    try:
        msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as exc:
        # The path is missing for a fault of the whole body.
        expected, _, field = str(exc).partition(" - at ")
        path = field.strip("`") or "$"
        shown = repr(_value_at(msgspec.json.decode(body), path))[:MAX_SHOWN]
        return f"{path}: {shown} given, {expected}"
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return f"body: {body[:MAX_SHOWN]!r} given, expected JSON: {exc}"
    return ""


def _value_at(value: object, path: str) -> object:
    """Return the value at a path as msgspec writes it, such as ``$.steps[0].count``."""
    for name in re.findall(r"[^.\[\]$]+", path):
        if isinstance(value, dict):
            value = value.get(name)
        elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
            value = value[int(name)]
    return value


def encode_body(body: object) -> bytes:
    """Return a body encoded as JSON."""
    return msgspec.json.encode(body)
