"""Encoding of the messages between the `exchanges` tasks of different processes.

The service `peers` carries them as bodies of `Relay`. Malformed messages are dropped.
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

# Also the name of the service that receives the messages.
TOPIC = "exchanges"


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """The upstream on `host` announced that it takes no new work."""

    host: str


@dataclass(frozen=True, slots=True)
class SupplyReport:
    """Free slots of a seat by pool; callers' requests are accepted at `address`."""

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
    """Send `message` to a seat of the own zone; delivery is not guaranteed."""

    seat: int
    message: RelayMessage


def encode_relay(message: RelayMessage) -> Relay:
    """Return `message` encoded as a relay."""
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
