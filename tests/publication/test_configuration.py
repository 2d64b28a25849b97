from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Watch
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
from guavapin.publication.configuration import ConfigurationConfig
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import chunk_key
from guavapin.publication.head import encode_head
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import GetConfiguration
from guavapin.publication.messages import QueryConfiguration
from guavapin.publication.messages import SubscribeConfiguration
from tests.publication.store import Fault
from tests.publication.store import Store
from tests.publication.test_follower import ALL_CHUNKS
from tests.publication.test_follower import CHUNKS
from tests.publication.test_follower import FLEETS
from tests.publication.test_follower import HEADS

if TYPE_CHECKING:
    from guavapin.publication.messages import ConfigurationStatus


class Node:
    """A configuration task; the store answers its platform calls at once."""

    def __init__(self, store: Store, seat: int = 0) -> None:
        self.store = store
        cfg = ConfigurationConfig(f"e{seat}", "east", seat)
        self.task = ConfigurationTask(cfg)
        self.harness = TaskHarness(self.task, start_ms=1_000)
        self.to_peers: list[object] = []
        self.adopted: list[int] = []
        self.watches: list[Watch] = []
        assert self.harness.start() == Ok(None)
        self.task.handle(SubscribeConfiguration("sink"))
        self.deliver_sent()

    def deliver_sent(self) -> None:
        while sent := self.harness.take_sent():
            for item in sent:
                self._deliver(item.service, item.message)

    def _deliver(self, service: str, message: object) -> None:
        if service == "peers":
            self.to_peers.append(message)
        elif isinstance(message, ConfigurationAdopted):
            self.adopted.append(message.generation)
        elif isinstance(message, Watch) and not self.store.watch_is_due(message):
            self.watches.append(message)
        else:
            outcome = self.store.call(message)
            self.task.handle(Reply(message.request_id, outcome))

    def deliver(self, message: object) -> list[object]:
        """Deliver a message and return the messages that the task sends to peers."""
        self.to_peers.clear()
        self.task.handle(message)
        self.deliver_sent()
        return list(self.to_peers)

    def advance(self, delta_ms: int) -> None:
        for _ in range(0, delta_ms, 50):
            self.harness.advance(50)
            self.deliver_sent()

    def answer_watches(self) -> None:
        watches, self.watches = self.watches, []
        for watch in watches:
            self.task.handle(Reply(watch.request_id, self.store.call(watch)))
        self.deliver_sent()

    def status(self) -> ConfigurationStatus:
        fut: Future[ConfigurationStatus] = Future()
        self.task.handle(Call(QueryConfiguration(), fut))
        return fut.result(0)


def put_generation(store: Store, index: int) -> None:
    for digest, data in CHUNKS[index].items():
        store.call(Put("", 0, chunk_key(digest), data, 0))
    revision = store.values[HEAD_KEY][1] if HEAD_KEY in store.values else 0
    store.call(Put("", 0, HEAD_KEY, encode_head(HEADS[index]), revision))


def member(seat: int, generation: int = 0, zone: str = "east") -> Member:
    name = f"{zone[0]}{seat}"
    return Member(name, zone, seat, "127.0.0.1:1", 1, MemberStatus.ALIVE, generation)


@pytest.fixture
def store() -> Store:
    return Store()


def test_starts_with_the_platform_and_follows_the_watch(store):
    put_generation(store, 0)
    node = Node(store)
    assert node.adopted == [1]
    assert AnnounceGeneration(1) in node.to_peers
    node.advance(2_000)
    put_generation(store, 1)
    node.answer_watches()
    assert node.adopted == [1, 2]
    offers = [item for item in node.to_peers if isinstance(item, SendToZone)]
    assert offers[-1].message == GenerationOffer(2, encode_head(HEADS[1]))
    assert node.status().is_watching


def test_only_the_lowest_seat_watches_and_the_next_one_takes_over(store):
    put_generation(store, 0)
    node = Node(store, seat=1)
    node.deliver(MembershipChanged((member(0),)))
    node.advance(5_000)
    assert node.watches == []
    node.deliver(MembershipChanged(()))
    assert len(node.watches) == 1


def test_host_that_starts_while_the_platform_is_down_asks_its_peers(store):
    store.fault_of = lambda request: Fault.NOT_SENT
    node = Node(store, seat=1)
    fut: Future[object] = Future()
    node.deliver(Call(GetConfiguration(), fut))
    assert isinstance(fut.result(0), Refused)
    sent = node.deliver(MembershipChanged((member(0, 1), member(0, 2, "west"))))
    assert sent == [SendToPeer("e0", GenerationRequest(0))]
    sent = node.deliver(PeerMessage("e0", GenerationOffer(1, encode_head(HEADS[0]))))
    while sent:
        digest = sent.pop(0).message.digest
        answer = PeerMessage("e0", ChunkAnswer(digest, ALL_CHUNKS[digest]))
        sent.extend(
            item
            for item in node.deliver(answer)
            if isinstance(item, SendToPeer) and isinstance(item.message, ChunkRequest)
        )
    assert node.adopted == [1]
    fut = Future()
    node.deliver(Call(GetConfiguration(), fut))
    assert fut.result(0) == Ok(ConfigurationAdopted(1, FLEETS[0]))
    # The newer generation of the other zone is requested after the first answer.
    node.advance(1_000)
    assert SendToPeer("w0", GenerationRequest(1)) in node.to_peers


def test_unanswered_request_for_a_head_goes_to_another_peer(store):
    # A lost message must not delay a generation until the periodic read.
    store.fault_of = lambda request: Fault.NOT_SENT
    node = Node(store, seat=9)
    node.deliver(MembershipChanged((member(0, 1), member(1, 1))))
    node.advance(600)
    asked = [item.peer for item in node.to_peers if isinstance(item, SendToPeer)]
    assert asked == ["e0", "e1"]


def test_platform_outage_is_retried_with_bounded_calls_and_ends(store):
    store.fault_of = lambda request: Fault.NOT_SENT
    node = Node(store)
    node.advance(60_000)
    assert len(store.calls) < 120
    store.fault_of = lambda request: Fault.NONE
    put_generation(store, 0)
    node.advance(6_000)
    assert node.adopted == [1]


def test_change_missed_by_the_watch_is_found_by_a_later_read(store):
    put_generation(store, 0)
    node = Node(store, seat=1)
    node.deliver(MembershipChanged((member(0),)))
    put_generation(store, 1)
    node.advance(41_000)
    assert node.adopted == [1, 2]


def test_head_of_a_lower_generation_is_not_adopted(store):
    # A platform restored from a backup must not revert the fleet.
    put_generation(store, 1)
    node = Node(store)
    store.values[HEAD_KEY] = (encode_head(HEADS[0]), store.revision + 1)
    node.advance(60_000)
    assert node.adopted == [2]
    assert node.status().counters["older_heads"] > 0


def test_serves_its_chunks_and_its_head_to_peers(store):
    put_generation(store, 0)
    node = Node(store)
    digest = next(iter(CHUNKS[0]))
    sent = node.deliver(PeerMessage("e1", ChunkRequest(digest)))
    assert sent == [SendToPeer("e1", ChunkAnswer(digest, ALL_CHUNKS[digest]))]
    sent = node.deliver(PeerMessage("e1", ChunkRequest("unknown")))
    assert sent == [SendToPeer("e1", ChunkAnswer("unknown", b""))]
    sent = node.deliver(PeerMessage("e1", GenerationRequest(0)))
    assert sent == [SendToPeer("e1", GenerationOffer(1, encode_head(HEADS[0])))]
    assert node.deliver(PeerMessage("e1", GenerationRequest(1))) == []
    assert node.deliver(PeerMessage("e1", GenerationOffer(9, b"damaged"))) == []
    assert node.status().counters["heads_malformed"] == 1


def test_call_that_was_cancelled_is_not_answered(store):
    # Setting the result of a cancelled future raises, which would end the loop.
    node = Node(store)
    for message in (QueryConfiguration(), GetConfiguration()):
        fut: Future[object] = Future()
        fut.cancel()
        node.deliver(Call(message, fut))
    assert node.adopted == []


def test_status_names_the_generation_of_each_peer(store):
    put_generation(store, 0)
    node = Node(store)
    node.deliver(MembershipChanged((member(1, 1), member(0, 0, "west"))))
    assert {(item.name, item.generation) for item in node.status().peers} == {
        ("e1", 1),
        ("w0", 0),
    }
