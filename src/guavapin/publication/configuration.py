"""The `configuration` task: follows the head and holds the configuration in force."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.keyvalue.messages import Reply
from guavapin.peers.membership import has_lowest_seat
from guavapin.peers.messages import AnnounceGeneration
from guavapin.peers.messages import ChunkAnswer
from guavapin.peers.messages import ChunkRequest
from guavapin.peers.messages import GenerationOffer
from guavapin.peers.messages import GenerationRequest
from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.peers.messages import SubscribeMembership
from guavapin.peers.messages import SubscribePeerMessages
from guavapin.publication import follower
from guavapin.publication.follower import PLATFORM
from guavapin.publication.follower import Adopt
from guavapin.publication.follower import FollowerState
from guavapin.publication.follower import IncrementCounter
from guavapin.publication.follower import ReadHead
from guavapin.publication.follower import RequestChunk
from guavapin.publication.head import decode_head
from guavapin.publication.head import encode_head
from guavapin.publication.head_source import CheckHead
from guavapin.publication.head_source import ChunkRead
from guavapin.publication.head_source import HeadMissing
from guavapin.publication.head_source import HeadRead
from guavapin.publication.head_source import HeadSource
from guavapin.publication.head_source import PeriodicRead
from guavapin.publication.head_source import RetryRead
from guavapin.publication.head_source import SourceEvent
from guavapin.publication.head_source import StartWatch
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import ConfigurationStatus
from guavapin.publication.messages import GetConfiguration
from guavapin.publication.messages import PeerGeneration
from guavapin.publication.messages import QueryConfiguration
from guavapin.publication.messages import SubscribeConfiguration

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

FETCH_CHECK_INTERVAL_MS = 100
# Peers are asked for a newer head one at a time, at this interval.
PEER_POLL_INTERVAL_MS = 500

log = logging.getLogger("guavapin.configuration")


@dataclass(frozen=True, slots=True)
class ConfigurationConfig:
    """Identity of this process among its peers, and the seed of its jitter."""

    name: str
    zone: str
    seat: int
    seed: int = 0


@dataclass(frozen=True, slots=True)
class _CheckFetches:
    """Timer: check for overdue fetches."""


@dataclass(frozen=True, slots=True)
class _PollPeers:
    """Timer: check whether a peer still has a newer generation."""


class ConfigurationTask:
    """Adopts new generations, serves them to peers and notifies the subscribers.

    Without the platform, generations are fetched from peers. Without both, the
    configuration in force is kept.
    """

    name = "configuration"

    def __init__(self, cfg: ConfigurationConfig) -> None:
        self._cfg = cfg
        self._source = HeadSource(self.name, f"{cfg.name}/{cfg.seed}")
        self._state = FollowerState()
        self._adopted: ConfigurationAdopted | None = None
        self._adopted_ms = 0
        self._members: tuple[Member, ...] = ()
        self._subscribers: list[str] = []
        self._is_check_scheduled = False
        self._is_poll_scheduled = False
        self._last_polled = ""
        self.counters: Counter[str] = Counter()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to peer messages and membership, and read the head."""
        self._context = context
        types = (GenerationOffer, GenerationRequest, ChunkRequest, ChunkAnswer)
        context.send("peers", SubscribePeerMessages(self.name, types))
        context.send("peers", SubscribeMembership(self.name))
        self._source.start(context)
        self._on_members(())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a message of another service or a timer."""
        match message:
            case Reply(request_id, outcome):
                self._on_source(self._source.on_reply(request_id, outcome))
            case PeriodicRead() | RetryRead() | StartWatch() | CheckHead():
                self._source.on_timer(message)
            case PeerMessage(sender, body):
                self._on_peer(sender, body)
            case MembershipChanged(members):
                self._on_members(members)
            case _CheckFetches():
                self._is_check_scheduled = False
                self._apply(*follower.on_tick(self._state, self._context.now_ms()))
            case _PollPeers():
                self._is_poll_scheduled = False
                self._poll_newer_peer()
            case SubscribeConfiguration(service):
                self._subscribers.append(service)
                if self._adopted is not None:
                    self._context.send(service, self._adopted)
            case Call(GetConfiguration(), fut):
                if fut.set_running_or_notify_cancel():
                    fut.set_result(self._in_force())
            case Call(QueryConfiguration(), fut):
                if fut.set_running_or_notify_cancel():
                    fut.set_result(self._status())
            case _:
                self.counters["unexpected_messages"] += 1

    def stop(self) -> None:
        """Do nothing, since the task owns no socket."""

    def _on_source(self, event: SourceEvent | None) -> None:
        match event:
            case HeadRead(value):
                self._on_head(value, PLATFORM)
            case HeadMissing():
                if self._adopted is None:
                    self._source.read_head_later()
            case ChunkRead(digest, data):
                self._on_chunk(digest, data, PLATFORM)

    def _on_head(self, value: bytes, source: str) -> None:
        decoded = decode_head(value)
        if isinstance(decoded, Refused):
            self.counters["heads_malformed"] += 1
            return
        now_ms = self._context.now_ms()
        self._apply(*follower.on_head(self._state, decoded.value, source, now_ms))

    def _on_chunk(self, digest: str, data: bytes | None, source: str) -> None:
        now_ms = self._context.now_ms()
        self._apply(*follower.on_chunk(self._state, digest, data, source, now_ms))

    def _on_members(self, members: tuple[Member, ...]) -> None:
        self._members = members
        cfg = self._cfg
        is_lowest = has_lowest_seat(cfg.name, cfg.zone, cfg.seat, members)
        self._source.set_watcher(is_lowest)
        self._poll_newer_peer()

    def _poll_newer_peer(self) -> None:
        """Request the head of one peer with a newer generation, own zone first."""
        target = self._state.target
        known_generation = (
            self._state.generation if target is None else target.generation
        )
        newer = [
            member
            for member in self._members
            if member.status is MemberStatus.ALIVE
            and member.generation > known_generation
        ]
        if self._is_poll_scheduled or not newer:
            return
        # The last polled peer is tried last, since it may not have answered.
        chosen = min(
            newer,
            key=lambda member: (
                member.name == self._last_polled,
                member.zone != self._cfg.zone,
                -member.generation,
                member.name,
            ),
        )
        self._is_poll_scheduled = True
        self._last_polled = chosen.name
        self._context.set_timer(PEER_POLL_INTERVAL_MS, _PollPeers())
        request = GenerationRequest(known_generation)
        self._context.send("peers", SendToPeer(chosen.name, request))

    def _on_peer(self, sender: str, body: object) -> None:
        match body:
            case GenerationOffer(_, head):
                self._on_head(head, sender)
            case GenerationRequest(above):
                self._send_offer(sender, above)
            case ChunkRequest(digest):
                data = self._state.chunks.get(digest, b"")
                answer = ChunkAnswer(digest, data)
                self._context.send("peers", SendToPeer(sender, answer))
            case ChunkAnswer(digest, data):
                self._on_chunk(digest, data or None, sender)

    def _send_offer(self, peer: str, above: int) -> None:
        head = self._state.head
        if head is None or head.generation <= above:
            return
        offer = GenerationOffer(head.generation, encode_head(head))
        self._context.send("peers", SendToPeer(peer, offer))

    def _apply(
        self, state: FollowerState, actions: tuple[follower.Action, ...]
    ) -> None:
        self._state = state
        for action in actions:
            match action:
                case RequestChunk(digest, source) if source == PLATFORM:
                    self._source.read_chunk(digest)
                case RequestChunk(digest, source):
                    self.counters["chunks_asked_of_peers"] += 1
                    request = SendToPeer(source, ChunkRequest(digest))
                    self._context.send("peers", request)
                case Adopt():
                    self._adopt(action)
                case ReadHead():
                    self._source.read_head_later()
                case IncrementCounter(counter):
                    self.counters[counter] += 1
        if self._state.target is not None and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._context.set_timer(FETCH_CHECK_INTERVAL_MS, _CheckFetches())

    def _adopt(self, action: Adopt) -> None:
        generation = action.head.generation
        self._adopted = ConfigurationAdopted(generation, action.objects)
        self._adopted_ms = self._context.clock.wall_ms()
        self.counters["adoptions"] += 1
        extra = {"generation": generation, "source": action.source or "platform"}
        log.info("generation adopted", extra=extra)
        self._context.send("peers", AnnounceGeneration(generation))
        if action.source == PLATFORM:
            offer = GenerationOffer(generation, encode_head(action.head))
            self._context.send("peers", SendToZone(offer))
        for service in self._subscribers:
            self._context.send(service, self._adopted)

    def _in_force(self) -> Outcome[ConfigurationAdopted]:
        if self._adopted is None:
            return Refused(Reason.MISSING, "no configuration is in force yet")
        return Ok(self._adopted)

    def _status(self) -> ConfigurationStatus:
        head, target = self._state.head, self._state.target
        return ConfigurationStatus(
            generation=self._state.generation,
            publication_id="" if head is None else head.publication_id,
            author="" if head is None else head.author,
            adopted_ms=self._adopted_ms,
            target=0 if target is None else target.generation,
            is_watching=self._source.is_watch_open,
            peers=tuple(
                PeerGeneration(
                    member.name, member.zone, member.status.value, member.generation
                )
                for member in self._members
            ),
            counters=dict(self.counters + self._source.counters),
        )
