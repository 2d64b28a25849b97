"""In-memory fake of the service `peers`: messages and membership of all entries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.peers.messages import AnnounceGeneration
from guavapin.peers.messages import ChunkAnswer
from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone

if TYPE_CHECKING:
    from guavapin_matrix.simulation import Node
    from guavapin_matrix.simulation import SimulatedLoop

HEARTBEAT_INTERVAL_MS = 500
GONE_TIMEOUT_MS = 5_000
MESSAGE_DELAY_MS = 2


class Peer:
    """The state of one entry process and of its connections to the peers.

    `is_cut` stops messages and heartbeats, `is_silent` stops messages alone.
    """

    def __init__(
        self,
        node: Node,
        member: Member,
        last_heartbeat_ms: int,
        is_cut: bool = False,
        is_silent: bool = False,
        corrupts_chunks: bool = False,
    ) -> None:
        self.node = node
        self.member = member
        self.last_heartbeat_ms = last_heartbeat_ms
        self.is_cut = is_cut
        self.is_silent = is_silent
        self.corrupts_chunks = corrupts_chunks


class FakePeers:
    """Delivers peer messages, and changes of membership at each heartbeat."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self.peers: dict[str, Peer] = {}
        self._loop = loop
        self._announced: dict[str, tuple[Member, ...]] = {}
        self._loop.after(HEARTBEAT_INTERVAL_MS, self._update_membership)

    def add(self, node: Node, zone: str, seat: int) -> None:
        """Add a process to the membership."""
        member = Member(node.name, zone, seat, node.name, 1, MemberStatus.ALIVE)
        self.peers[node.name] = Peer(node, member, self._loop.now_ms())

    def on_message(self, node: Node, message: object) -> None:
        """Handle a message that a task sent to `peers`."""
        peer = self.peers[node.name]
        match message:
            case AnnounceGeneration(generation):
                peer.member = replace(peer.member, generation=generation)
            case SendToPeer(name, body):
                self._send(peer, name, body)
            case SendToZone(body):
                for other in self.peers.values():
                    if other.member.zone == peer.member.zone and other is not peer:
                        self._send(peer, other.node.name, body)

    def _send(self, sender: Peer, name: str, body: object) -> None:
        target = self.peers[name]
        if sender.corrupts_chunks and isinstance(body, ChunkAnswer):
            body = ChunkAnswer(body.digest, body.data[::-1])
        if not self._is_connected(sender, target):
            return
        message = PeerMessage(sender.node.name, body)  # type: ignore[arg-type]
        node = target.node
        self._loop.after(
            MESSAGE_DELAY_MS, lambda: node.deliver("configuration", message)
        )

    def _is_connected(self, one: Peer, other: Peer) -> bool:
        is_cut = one.is_cut or other.is_cut or one.is_silent or other.is_silent
        return not is_cut and one.node.is_alive and other.node.is_alive

    def _update_membership(self) -> None:
        self._loop.after(HEARTBEAT_INTERVAL_MS, self._update_membership)
        now_ms = self._loop.now_ms()
        for peer in self.peers.values():
            if peer.node.is_alive and not peer.node.is_paused and not peer.is_cut:
                peer.last_heartbeat_ms = now_ms
        for peer in self.peers.values():
            members = tuple(
                self._member_view(peer, other, now_ms)
                for other in self.peers.values()
                if other is not peer
            )
            if peer.node.is_alive and self._announced.get(peer.node.name) != members:
                self._announced[peer.node.name] = members
                peer.node.deliver("configuration", MembershipChanged(members))

    def _member_view(self, peer: Peer, other: Peer, now_ms: int) -> Member:
        is_gone = peer.is_cut or now_ms - other.last_heartbeat_ms >= GONE_TIMEOUT_MS
        if is_gone:
            return replace(other.member, status=MemberStatus.GONE)
        return other.member
