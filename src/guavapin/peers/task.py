"""The `peers` task: one listener, one outgoing connection per peer, heartbeats."""

from __future__ import annotations

import selectors
import threading
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pynng

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.peers import membership
from guavapin.peers.codec import MAX_MESSAGE_BYTES
from guavapin.peers.codec import decode
from guavapin.peers.codec import encode
from guavapin.peers.config import AllowAllFilter
from guavapin.peers.config import PeerFilter
from guavapin.peers.config import PeersConfig
from guavapin.peers.membership import HEARTBEAT_INTERVAL_MS
from guavapin.peers.membership import Membership
from guavapin.peers.messages import AddPeers
from guavapin.peers.messages import AnnounceFleetRevision
from guavapin.peers.messages import AnnounceGeneration
from guavapin.peers.messages import AnnounceLeaving
from guavapin.peers.messages import Heartbeat
from guavapin.peers.messages import KnownPeers
from guavapin.peers.messages import Leaving
from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerAddress
from guavapin.peers.messages import PeerBody
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import PeersStatus
from guavapin.peers.messages import QueryPeers
from guavapin.peers.messages import SendToAll
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.peers.messages import SubscribeMembership
from guavapin.peers.messages import SubscribePeerMessages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.kernel.task import TaskContext

# If a peer does not keep up, its buffer fills and further messages are dropped.
SEND_BUFFER_MESSAGES = 128
RECEIVE_BUFFER_MESSAGES = 1_024
MIN_RECONNECT_DELAY_MS = 50
MAX_RECONNECT_DELAY_MS = 1_000
KNOWN_PEERS_INTERVAL_TICKS = 20
# Heartbeats are lost until connections are established, so a starting process sends
# them at a shorter interval.
STARTUP_TICKS = 10
STARTUP_HEARTBEAT_INTERVAL_MS = 100
# Closing a socket discards data that its transport has not written yet.
LINGER_MS = 50


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: send heartbeats."""


class PeersTask:
    """Exchanges messages with the peers and maintains the membership.

    Sends never block: a message to a peer without a connection, or whose buffer is
    full, is dropped and counted.
    """

    name = "peers"

    def __init__(self, cfg: PeersConfig, peer_filter: PeerFilter | None = None) -> None:
        self._cfg = cfg
        self._filter: PeerFilter = (
            AllowAllFilter() if peer_filter is None else peer_filter
        )
        self._state = Membership(cfg.name, cfg.zone, cfg.seat)
        self._published_members: tuple[Member, ...] = ()
        self._subscribers: dict[type, list[str]] = {}
        self._membership_subscribers: list[str] = []
        self._outgoing: dict[str, tuple[str, Any]] = {}
        self._informed_peers: set[str] = set()
        self._generation = 0
        self._fleet_revision = 0
        self._incarnation = 0
        self._ticks = 0
        self._is_leaving = False
        self._listener: Any = None
        self.address = cfg.address
        self.counters: Counter[str] = Counter()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener and dial the seeds; `Refused` if it cannot listen."""
        self._context = context
        self._incarnation = max(context.clock.wall_ms(), 1)
        socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        socket.recv_max_size = MAX_MESSAGE_BYTES
        try:
            listener = socket.listen(f"tcp://{self._cfg.address}")
        except pynng.NNGException as exc:
            socket.close()
            detail = f"peer listener {self._cfg.address}: {exc}"
            return Refused(Reason.START_FAILED, detail)
        self._listener = socket
        # For a configured port of 0, the system assigns the port.
        self.address = self._cfg.advertised_address or str(listener.local_address)
        context.watch(socket.recv_fd, selectors.EVENT_READ, self._receive_message)
        now_ms = context.now_ms()
        self._state = membership.add_peers(self._state, self._cfg.seeds, now_ms, True)
        self._tick()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a message of another service or a timer."""
        match message:
            case _Tick():
                self._tick()
            case SendToPeer(peer, body):
                self._send((peer,), body)
            case SendToZone(body):
                self._send(membership.live_names(self._state, self._cfg.zone), body)
            case SendToAll(body):
                self._send(membership.live_names(self._state), body)
            case SubscribePeerMessages(service, types):
                for cls in types:
                    self._subscribers.setdefault(cls, []).append(service)
            case SubscribeMembership(service):
                self._membership_subscribers.append(service)
                self._context.send(service, MembershipChanged(self._published_members))
            case AnnounceGeneration(generation):
                self._generation = generation
            case AnnounceFleetRevision(revision):
                self._fleet_revision = revision
            case AnnounceLeaving():
                self._announce_leaving()
            case AddPeers(peers):
                now_ms = self._context.now_ms()
                self._state = membership.add_peers(self._state, peers, now_ms)
                self._connect()
            case Call(QueryPeers(), fut):
                if fut.set_running_or_notify_cancel():
                    fut.set_result(self._status())
            case _:
                self.counters["unexpected_messages"] += 1

    def stop(self) -> None:
        """Announce the stop and close all sockets; blocks for `LINGER_MS` at most."""
        if not self._is_leaving and self._outgoing:
            self._announce_leaving()
            threading.Event().wait(LINGER_MS / 1_000)
        if self._listener is not None:
            self._context.unwatch(self._listener.recv_fd)
            self._listener.close()
        for _, socket in self._outgoing.values():
            socket.close()
        self._outgoing.clear()

    def _announce_leaving(self) -> None:
        self._is_leaving = True
        self._send(tuple(self._outgoing), Leaving(self._incarnation))

    def _tick(self) -> None:
        now_ms = self._context.now_ms()
        self._state = membership.on_tick(self._state, now_ms)
        for name in membership.peers_to_redial(self._state, now_ms):
            self._close(name)
            self._state = membership.on_redialled(self._state, name, now_ms)
            self.counters["redials"] += 1
        self._connect()
        for name in self._state.peers:
            self._send_heartbeat(name)
        self._ticks += 1
        if self._ticks % KNOWN_PEERS_INTERVAL_TICKS == 1:
            self._informed_peers.clear()
        self._send_known_peers()
        self._publish_members()
        is_starting = self._ticks <= STARTUP_TICKS
        delay_ms = (
            STARTUP_HEARTBEAT_INTERVAL_MS if is_starting else HEARTBEAT_INTERVAL_MS
        )
        self._context.set_timer(delay_ms, _Tick())

    def _status(self) -> PeersStatus:
        members = membership.members_of(self._state)
        return PeersStatus(members, dict(self.counters))

    def _send_heartbeat(self, name: str) -> None:
        """Send a heartbeat, and again the notice of leaving once it was announced.

        A peer that has connected since, or has lost the notice, learns of it only so.
        """
        self._send((name,), self._heartbeat_for(name))
        if self._is_leaving:
            self._send((name,), Leaving(self._incarnation))

    def _heartbeat_for(self, name: str) -> Heartbeat:
        return Heartbeat(
            incarnation=self._incarnation,
            zone=self._cfg.zone,
            seat=self._cfg.seat,
            address=self.address,
            generation=self._generation,
            fleet_revision=self._fleet_revision,
            hears_you=membership.has_recent_heartbeat(self._state, name),
        )

    def _send_known_peers(self) -> None:
        """Send the live peers to each connected peer that is not informed yet."""
        receivers = [
            name
            for name in membership.live_names(self._state)
            if name not in self._informed_peers and self._outgoing[name][1].pipes
        ]
        if not receivers:
            return
        self._informed_peers.update(receivers)
        known = tuple(
            PeerAddress(member.name, member.zone, member.address)
            for member in membership.members_of(self._state)
            if member.status is MemberStatus.ALIVE
        )
        self._send(receivers, KnownPeers(known))

    def _connect(self) -> None:
        for name, record in self._state.peers.items():
            address = record.address.address
            if name in self._outgoing and self._outgoing[name][0] == address:
                continue
            self._close(name)
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            socket.reconnect_time_min = MIN_RECONNECT_DELAY_MS
            socket.reconnect_time_max = MAX_RECONNECT_DELAY_MS
            socket.dial(f"tcp://{address}", block=False)
            self._outgoing[name] = (address, socket)
        for name in self._outgoing.keys() - self._state.peers.keys():
            self._close(name)

    def _close(self, name: str) -> None:
        self._informed_peers.discard(name)
        connection = self._outgoing.pop(name, None)
        if connection is not None:
            connection[1].close()

    def _send(self, receivers: Iterable[str], body: PeerBody) -> None:
        encoded = encode(self._cfg.name, body)
        if isinstance(encoded, Refused):
            self.counters["too_large"] += 1
            return
        for name in receivers:
            entry = self._outgoing.get(name)
            if entry is None or not self._filter.allows(self._cfg.name, name):
                self.counters["not_connected"] += 1
                continue
            self._send_bytes(entry[1], encoded.value)

    def _send_bytes(self, socket: Any, data: bytes) -> None:
        # Nothing is queued for a disconnected peer: the connection may return minutes
        # later, and the outdated message would mislead the peer.
        if not socket.pipes:
            self.counters["not_connected"] += 1
            return
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            self.counters["buffer_full"] += 1
        except pynng.NNGException:
            self.counters["send_errors"] += 1
        else:
            self.counters["sent"] += 1
            self.counters["sent_bytes"] += len(data)

    def _receive_message(self, events: int) -> None:
        """Receive one message; the descriptor stays readable while more are queued.

        An empty receive costs more than another iteration of the loop.
        """
        try:
            data = self._listener.recv(block=False)
        except pynng.TryAgain:
            return
        except pynng.NNGException:
            self.counters["receive_errors"] += 1
            return
        self._handle_message(data)
        self._publish_members()

    def _handle_message(self, data: bytes) -> None:
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(data)
        decoded = decode(data)
        if isinstance(decoded, Refused):
            self.counters["malformed"] += 1
            return
        sender, body = decoded.value.sender, decoded.value.message
        if sender == self._cfg.name or not self._filter.allows(sender, self._cfg.name):
            self.counters["filtered"] += 1
            return
        now_ms = self._context.now_ms()
        match body:
            case Heartbeat():
                self._on_heartbeat(sender, body, now_ms)
            case Leaving(incarnation):
                self._state = membership.on_leaving(self._state, sender, incarnation)
            case KnownPeers(peers):
                self._state = membership.add_peers(self._state, peers, now_ms)
                self._connect()
        for service in self._subscribers.get(type(body), ()):
            self._context.send(service, PeerMessage(sender, body))

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat, now_ms: int) -> None:
        is_new = not membership.has_recent_heartbeat(self._state, sender)
        self._state = membership.on_heartbeat(self._state, sender, heartbeat, now_ms)
        if not is_new or not membership.has_recent_heartbeat(self._state, sender):
            return
        self._connect()
        self._send_heartbeat(sender)
        self._send_known_peers()

    def _publish_members(self) -> None:
        members = membership.members_of(self._state)
        if members == self._published_members:
            return
        self._published_members = members
        if membership.has_seat_conflict(self._state):
            self.counters["seat_conflicts"] += 1
        for service in self._membership_subscribers:
            self._context.send(service, MembershipChanged(members))
