"""Messages between entry processes, and messages of the `peers` task in a process.

No message carries an absolute time, since the clocks of different machines are not
compared. A message may arrive late, twice or never. A duration in an answer therefore
counts from the time at which the receiver sent its request, not from the arrival.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender, sent to each peer at a fixed interval.

    `incarnation` rises with each start of the process. `address` is the sender's
    listener as ``IP:PORT``. `hears_you` is set while heartbeats of the receiver
    arrive at the sender; if it is not set, the receiver's connection went silent.
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
    """Listener address of a peer; `zone` and `name` are those of its settings."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class KnownPeers:
    """Live peers of the sender; the receiver dials those that it does not know."""

    peers: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender stops; this incarnation is no longer a live member."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Requests the receiver's head if its generation is above `above`."""

    above: int


@dataclass(frozen=True, slots=True)
class GenerationOffer:
    """The sender has adopted the generation whose encoded head is `head`."""

    generation: int
    head: bytes


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Requests one chunk of a configuration by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class ChunkAnswer:
    """The chunk, or empty `data` when the sender does not hold it."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class FleetRequest:
    """Requests the receiver's fleet value if its revision is above `above`."""

    above: int


@dataclass(frozen=True, slots=True)
class FleetValue:
    """The encoded fleet record at a platform revision."""

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Requests a loan of `slots` from a seat that has slots of the upstream."""

    loan_id: int
    upstream: str
    slots: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Lends `slots`, 0 for none; `duration_ms` counts from the request's sending."""

    loan_id: int
    upstream: str
    slots: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoanReturn:
    """Returns the slots of a loan before its end."""

    loan_id: int
    upstream: str


@dataclass(frozen=True, slots=True)
class Relay:
    """A message that another service has encoded; `topic` identifies it."""

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
    """Liveness of a peer; messages to a zone or to all go to `ALIVE` members only."""

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
    """Send `message` to one peer, at most once; without a connection it is lost.

    Any service may send this to the `peers` task.
    """

    peer: str
    message: PeerBody


@dataclass(frozen=True, slots=True)
class SendToZone:
    """Send `message` to all live peers of this process's zone."""

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
    """Send `MembershipChanged` to `service`, now and after each change."""

    service: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message that arrived from the peer `sender`."""

    sender: str
    message: PeerBody


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """All peers that have been heard from; this process is not included."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class AddPeers:
    """Dial these peers too; they come from the platform's records or an operator."""

    peers: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True)
class AnnounceGeneration:
    """Set the generation that the heartbeats carry from now on."""

    generation: int


@dataclass(frozen=True, slots=True)
class AnnounceFleetRevision:
    """Set the fleet revision that the heartbeats carry from now on."""

    revision: int


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Notify all peers that this process leaves; sent when a planned stop begins.

    Heartbeats continue, but the peers no longer count the process as live.
    """


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Asked as a `Call`; the reply is `PeersStatus`."""


@dataclass(frozen=True, slots=True)
class PeersStatus:
    """Members, and the counters of the `peers` task by name."""

    members: tuple[Member, ...]
    counters: dict[str, int]
