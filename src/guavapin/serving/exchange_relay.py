"""Encoding of the messages between the `exchanges` tasks of different processes.

They travel in `Relay` bodies of the service `peers`. A malformed one is dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

import msgspec

from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanRequest
from guavapin.limits.slots import LoanReturn
from guavapin.peers.messages import Relay

if TYPE_CHECKING:
    from collections.abc import Mapping

# Also the name of the service that gets the messages.
TOPIC = "exchanges"


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """`host` announced that it takes no new work."""

    host: str


@dataclass(frozen=True, slots=True)
class SupplyReport:
    """Free slots of a seat by pool; `address` takes callers' requests."""

    zone: str
    address: str
    free_slots: dict[str, int]
    is_leaving: bool = False


RelayMessage: TypeAlias = (
    LoanRequest | LoanGrant | LoanReturn | UpstreamLeaving | SupplyReport
)

_TYPES: Mapping[str, type] = {
    "request": LoanRequest,
    "grant": LoanGrant,
    "return": LoanReturn,
    "leaving": UpstreamLeaving,
    "supply": SupplyReport,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


@dataclass(frozen=True, slots=True)
class SendToSeat:
    """Send `message` to a seat of the own zone; it may be lost."""

    seat: int
    message: RelayMessage


def encode_relay(message: RelayMessage) -> Relay:
    """Return the relay that carries `message`."""
    body = msgspec.msgpack.encode([_NAMES[type(message)], message])
    return Relay(TOPIC, body)


def decode_relay(relay: Relay) -> RelayMessage | None:
    """Return the message in `relay`, None if it is malformed."""
    try:
        name, content = msgspec.msgpack.decode(relay.body, type=tuple[str, msgspec.Raw])
        kind = _TYPES.get(name)
        if kind is None:
            return None
        message: RelayMessage = msgspec.msgpack.decode(content, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return message
