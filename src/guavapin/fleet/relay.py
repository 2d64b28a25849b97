"""The task `fleet_relay`: relays the fleet record between the processes of a zone.

It decides whether this process watches the record for its zone, and connects
`fleet_view` with `peers`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.fleet.messages import FLEET_VIEW
from guavapin.fleet.messages import LeavingRelayed
from guavapin.fleet.messages import RecordRelayed
from guavapin.fleet.messages import RequestRelay
from guavapin.fleet.messages import WatchRole
from guavapin.kernel import Ok
from guavapin.peers.membership import has_lowest_seat
from guavapin.peers.messages import AnnounceFleetRevision
from guavapin.peers.messages import FleetRequest
from guavapin.peers.messages import FleetValue
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import Relay
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.peers.messages import SubscribeMembership
from guavapin.peers.messages import SubscribePeerMessages

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.peers.messages import Member

LEAVING_TOPIC = "fleet.leaving"
# Heartbeats carry the record's revision, so a lost relay is detected within this time.
CATCH_UP_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class FleetRelayConfig:
    """Identity of this process among its peers."""

    name: str
    zone: str
    seat: int


@dataclass(frozen=True, slots=True)
class _CatchUp:
    """Timer: request the record from a peer that has a newer one."""


class FleetRelayTask:
    """Service `fleet_relay`."""

    name = "fleet_relay"

    def __init__(self, cfg: FleetRelayConfig) -> None:
        self._cfg = cfg
        self._members: tuple[Member, ...] = ()
        self._revision = 0
        self._value = b""

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the peers; until a peer is known, this process has the watch."""
        self._context = context
        types = (FleetRequest, FleetValue, Relay)
        context.send("peers", SubscribePeerMessages(self.name, types))
        context.send("peers", SubscribeMembership(self.name))
        context.send(FLEET_VIEW, WatchRole(is_holder=True))
        context.set_timer(CATCH_UP_INTERVAL_MS, _CatchUp())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a message from `fleet_view` or `peers`, or the timer."""
        match message:
            case RecordRelayed(revision, value):
                self._on_view_record(revision, value)
            case LeavingRelayed(hosts):
                body = msgspec.msgpack.encode(sorted(hosts))
                self._context.send("peers", SendToZone(Relay(LEAVING_TOPIC, body)))
            case PeerMessage(sender, body):
                self._on_peer(sender, body)
            case MembershipChanged(members):
                self._on_members(members)
            case _CatchUp():
                self._request_newer()
                self._context.set_timer(CATCH_UP_INTERVAL_MS, _CatchUp())

    def stop(self) -> None:
        """Nothing to close."""

    def _on_view_record(self, revision: int, value: bytes) -> None:
        is_newer = revision > self._revision
        if is_newer:
            self._revision, self._value = revision, value
            self._context.send("peers", AnnounceFleetRevision(revision))
        if self._value:
            relay = FleetValue(self._revision, self._value)
            self._context.send("peers", SendToZone(relay))

    def _on_peer(self, sender: str, body: object) -> None:
        match body:
            case FleetRequest(above):
                if self._revision > above:
                    answer = FleetValue(self._revision, self._value)
                    self._context.send("peers", SendToPeer(sender, answer))
            case FleetValue(revision, value):
                if revision > self._revision:
                    self._revision, self._value = revision, value
                    self._context.send("peers", AnnounceFleetRevision(revision))
                    self._context.send(FLEET_VIEW, RecordRelayed(revision, value))
            case Relay(topic, data) if topic == LEAVING_TOPIC:
                hosts = _decode_hosts(data)
                if hosts is not None:
                    self._context.send(FLEET_VIEW, LeavingRelayed(hosts))

    def _on_members(self, members: tuple[Member, ...]) -> None:
        known = {member.name for member in self._members}
        self._members = members
        cfg = self._cfg
        is_holder = has_lowest_seat(cfg.name, cfg.zone, cfg.seat, members)
        self._context.send(FLEET_VIEW, WatchRole(is_holder))
        if is_holder and any(member.name not in known for member in members):
            self._context.send(FLEET_VIEW, RequestRelay())
        self._request_newer()

    def _request_newer(self) -> None:
        newer = [
            member
            for member in self._members
            if member.status is MemberStatus.ALIVE
            and member.fleet_revision > self._revision
        ]
        if newer:
            newest = max(newer, key=lambda member: member.fleet_revision)
            request = FleetRequest(self._revision)
            self._context.send("peers", SendToPeer(newest.name, request))


def _decode_hosts(data: bytes) -> frozenset[str] | None:
    try:
        return frozenset(msgspec.msgpack.decode(data, type=list[str]))
    except (msgspec.DecodeError, RecursionError):
        return None
