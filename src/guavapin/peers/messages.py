"""Messages between entry processes, and messages of the `peers` task in a process.

No message carries an absolute time: clocks of different machines are not compared. A
receiver may get any message late, twice or never. A duration therefore counts at the
receiver from when it sent its own request, not from when the answer arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender, sent to each peer at a fixed interval.

    `incarnation` rises with each start of the process. `address` is the sender's
    listener as ``IP:PORT``. `hears_you` tells whether the sender has heard from the
    receiver lately, so that the receiver notices a connection that went silent.
    """

    incarnation: int
    zone: str
    seat: int
    address: str
    generation: int
    fleet_revision: int
    hears_you: bool


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens; `zone` and `name` as in its settings."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class KnownPeers:
    """Peers that the sender has heard from lately."""

    peers: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender stops and takes no further part under this incarnation."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Asks for the receiver's head if its generation is above `above`."""

    above: int


@dataclass(frozen=True, slots=True)
class GenerationOffer:
    """The sender has adopted the generation whose encoded head is `head`."""

    generation: int
    head: bytes


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for one chunk of a configuration by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class ChunkAnswer:
    """The chunk, or empty `data` when the sender does not hold it."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class FleetRequest:
    """Asks for the receiver's fleet value if its revision is above `above`."""

    above: int


@dataclass(frozen=True, slots=True)
class FleetValue:
    """The encoded fleet record at a platform revision."""

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks the home seat of an upstream's slots for `slots` of them."""

    loan_id: int
    upstream: str
    slots: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Lends `slots`, 0 for none; `duration_ms` counts from the sent request."""

    loan_id: int
    upstream: str
    slots: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanReturn:
    """Gives the slots of a loan back before its end."""

    loan_id: int
    upstream: str


@dataclass(frozen=True, slots=True)
class Relay:
    """A message of another service, encoded by that service; `topic` names it."""

    topic: str
    body: bytes


PeerBody: TypeAlias = (
    Heartbeat
    | KnownPeers
    | Leaving
    | GenerationRequest
    | GenerationOffer
    | ChunkRequest
    | ChunkAnswer
    | FleetRequest
    | FleetValue
    | LoanRequest
    | LoanGrant
    | LoanReturn
    | Relay
)


class MemberStatus(Enum):
    """What is known of a peer; only `ALIVE` members are sent to by zone."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """A peer that has been heard from at least once."""

    name: str
    zone: str
    seat: int
    address: str
    incarnation: int
    status: MemberStatus
    generation: int = 0
    fleet_revision: int = 0


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send `message` to one peer, at most once; it is lost if there is no connection.

    The `peers` task takes it from any service.
    """

    peer: str
    message: PeerBody


@dataclass(frozen=True, slots=True)
class SendToZone:
    """Send `message` to all live peers of the own zone."""

    message: PeerBody


@dataclass(frozen=True, slots=True)
class SendToAll:
    """Send `message` to all live peers of all zones."""

    message: PeerBody


@dataclass(frozen=True, slots=True)
class SubscribePeerMessages:
    """Deliver messages of these classes to `service` as `PeerMessage`."""

    service: str
    types: tuple[type, ...]


@dataclass(frozen=True, slots=True)
class SubscribeMembership:
    """Send `MembershipChanged` to `service`, at once and after each change."""

    service: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message that arrived from the peer `sender`."""

    sender: str
    message: PeerBody


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """All known peers, without the own process."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class AddPeers:
    """Dial these peers too; from the platform's records or an operator."""

    peers: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True)
class AnnounceGeneration:
    """Generation that the heartbeats carry from now on."""

    generation: int


@dataclass(frozen=True, slots=True)
class AnnounceFleetRevision:
    """Fleet revision that the heartbeats carry from now on."""

    revision: int


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Tell all peers that this process leaves; sent when a planned stop begins.

    Heartbeats go on, but the peers no longer count the process as live.
    """


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Asked as a `Call`; the reply is `PeersStatus`."""


@dataclass(frozen=True, slots=True)
class PeersStatus:
    """The members and the counters of the task by name."""

    members: tuple[Member, ...]
    counters: dict[str, int]
