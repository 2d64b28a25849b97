"""Encodes messages between peers as MessagePack arrays tagged with the class name.

A message is ``[version, sender, tag, [field, ...]]``. Arrays keep a heartbeat under
100 bytes, since each peer sends two heartbeats a second to every other peer.
"""

from __future__ import annotations

import dataclasses
import typing
from dataclasses import dataclass
from typing import Any

import msgspec

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.fields import is_name
from guavapin.peers.messages import PeerBody

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded message and the name of its sender, as claimed by the sender."""

    sender: str
    message: PeerBody


@dataclass(frozen=True, slots=True)
class _MessageSchema:
    cls: type[Any]
    fields: tuple[str, ...]
    decoder: msgspec.msgpack.Decoder[Any]


def _schema_of(cls: type[Any]) -> _MessageSchema:
    field_types = typing.get_type_hints(cls)
    names = tuple(item.name for item in dataclasses.fields(cls))
    array_type: Any = tuple[tuple(field_types[name] for name in names)]  # type: ignore[misc]
    return _MessageSchema(cls, names, msgspec.msgpack.Decoder(array_type))


_SCHEMAS: dict[str, _MessageSchema] = {
    cls.__name__: _schema_of(cls) for cls in typing.get_args(PeerBody)
}
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE: msgspec.msgpack.Decoder[tuple[int, str, str, msgspec.Raw]] = (
    msgspec.msgpack.Decoder(tuple[int, str, str, msgspec.Raw])
)


def encode(sender: str, message: PeerBody) -> Outcome[bytes]:
    """Return `message` as bytes; `Refused` if it is too large or a number overflows."""
    tag = type(message).__name__
    fields = [getattr(message, name) for name in _SCHEMAS[tag].fields]
    try:
        data = _ENCODER.encode((WIRE_VERSION, sender, tag, fields))
    except OverflowError as exc:
        return Refused(Reason.BAD_INPUT, f"{tag}: {exc}")
    if len(data) > MAX_MESSAGE_BYTES:
        return Refused(Reason.TOO_LARGE, f"{tag} of {len(data)} bytes")
    return Ok(data)


def decode(data: bytes) -> Outcome[Envelope]:
    """Return the message in `data`, or `Refused` if it is malformed or too large."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Refused(Reason.TOO_LARGE, f"message of {len(data)} bytes")
    try:
        version, sender, tag, body = _ENVELOPE.decode(data)
        if version != WIRE_VERSION or not is_name(sender):
            return Refused(Reason.BAD_INPUT, "unknown version or malformed sender")
        schema = _SCHEMAS.get(tag)
        if schema is None:
            return Refused(Reason.BAD_INPUT, "unknown message")
        fields = schema.decoder.decode(body)
        return Ok(Envelope(sender, schema.cls(*fields)))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, str(exc)[:200])
