from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING

import pynng
import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.kernel import TaskContext
from guavapin.peers.config import PeersConfig
from guavapin.peers.messages import AnnounceLeaving
from guavapin.peers.messages import ChunkAnswer
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerAddress
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import PeersStatus
from guavapin.peers.messages import QueryPeers
from guavapin.peers.messages import Relay
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.peers.messages import SubscribePeerMessages
from guavapin.peers.task import PeersTask

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_S = 10.0


class Listener:
    name = "listener"

    def __init__(self) -> None:
        self.received: list[object] = []

    def start(self, context: TaskContext) -> Outcome[None]:
        types = (Relay, ChunkAnswer)
        context.send("peers", SubscribePeerMessages(self.name, types))
        return Ok(None)

    def handle(self, message: object) -> None:
        self.received.append(message)

    def stop(self) -> None:
        pass


class BlockingFilter:
    def __init__(self) -> None:
        self.blocked: set[str] = set()

    def allows(self, sender: str, receiver: str) -> bool:
        return sender not in self.blocked and receiver not in self.blocked


class Node:
    def __init__(
        self,
        name: str,
        zone: str,
        seeds: tuple[PeerAddress, ...],
        address: str = "127.0.0.1:0",
        advertised: str = "",
    ) -> None:
        self.filter = BlockingFilter()
        cfg = PeersConfig(name, zone, 0, address, advertised, seeds)
        self.task = PeersTask(cfg, self.filter)
        self.listener = Listener()
        self.kernel = Kernel(SystemClock())
        self.kernel.register(self.task)
        self.kernel.register(self.listener, requires=("peers",))
        assert self.kernel.start() == Ok(None)

    def status(self) -> PeersStatus:
        status = self.kernel.ask("peers", QueryPeers()).result(WAIT_S)
        assert isinstance(status, PeersStatus)
        return status

    def status_by_name(self) -> dict[str, MemberStatus]:
        return {item.name: item.status for item in self.status().members}

    def alive(self) -> set[str]:
        statuses = self.status_by_name()
        return {name for name in statuses if statuses[name] is MemberStatus.ALIVE}


class SilentRelay:
    """Forwards connections; `go_silent` stops the data of the existing ones."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.silent: set[int] = set()
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def go_silent(self) -> None:
        self.silent.update(id(item) for item in self.connections)

    def close(self) -> None:
        for item in (self.listener, *self.connections):
            item.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                server = socket.create_connection(self.target)
                self.connections += [client, server]
                for pair in ((client, server), (server, client)):
                    threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if id(source) not in self.silent:
                    sink.sendall(data)


def wait_until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, "condition not reached in time"
        time.sleep(0.02)


def connected(nodes: list[Node]) -> list[Node]:
    """Wait until each node sees all others as alive; earlier messages may be lost."""
    count = len(nodes) - 1
    wait_until(lambda: all(len(node.alive()) == count for node in nodes))
    return nodes


@pytest.fixture
def nodes():
    first = Node("a", "east", ())
    seed = PeerAddress("a", "east", first.task.address)
    started = [first, Node("b", "east", (seed,)), Node("c", "west", (seed,))]
    yield started
    for node in started:
        assert node.kernel.stop() == ()


def test_peers_find_each_other_through_one_seed_and_exchange_messages(nodes):
    a, b, c = connected(nodes)
    b.kernel.deliver("peers", SendToPeer("c", Relay("t", b"direct")))
    wait_until(lambda: c.listener.received != [])
    assert c.listener.received == [PeerMessage("b", Relay("t", b"direct"))]
    a.kernel.deliver("peers", SendToZone(Relay("t", b"zone")))
    wait_until(lambda: b.listener.received != [])
    assert b.listener.received == [PeerMessage("a", Relay("t", b"zone"))]
    assert len(c.listener.received) == 1


def test_burst_beyond_one_readiness_event_arrives_completely(nodes):
    # The descriptor must stay readable while the socket holds more messages.
    a, b, _ = connected(nodes)
    data = bytes(200_000)
    for index in range(300):
        if index % 50 == 0:
            wait_until(lambda count=index: len(b.listener.received) == count)
        a.kernel.deliver("peers", SendToPeer("b", ChunkAnswer(str(index), data)))
    wait_until(lambda: len(b.listener.received) == 300)


def test_blocked_peers_lose_and_find_each_other(nodes):
    a, b, _ = connected(nodes)
    b.filter.blocked.add("a")
    wait_until(lambda: "b" not in a.alive() and "a" not in b.alive())
    assert "c" in a.alive()
    b.filter.blocked.clear()
    wait_until(lambda: "b" in a.alive() and "a" in b.alive())


def test_stopped_peer_is_reported_as_leaving_before_it_times_out(nodes):
    a, b, _ = connected(nodes)
    b.kernel.stop()
    start = time.monotonic()
    wait_until(lambda: "b" not in a.alive())
    assert time.monotonic() - start < 1.0


def test_leaving_peer_is_reported_to_a_process_that_starts_later(nodes):
    # Guards against loans of slots from a process that stops: its notice was sent
    # before the next process of another seat had started.
    a, b, _ = connected(nodes)
    b.kernel.deliver("peers", AnnounceLeaving())
    wait_until(lambda: "b" not in a.alive())
    late = Node("late", "east", (PeerAddress("b", "east", b.task.address),))
    wait_until(lambda: late.status_by_name().get("b") is MemberStatus.LEAVING)
    late.kernel.stop()


def test_malformed_and_oversized_messages_are_dropped(nodes):
    a, b, _ = connected(nodes)
    with pynng.Push0() as socket:
        socket.dial(f"tcp://{a.task.address}", block=True)
        socket.send(b"\x00garbage")
        wait_until(lambda: a.status().counters.get("malformed") == 1)
        socket.send(bytes(2 * 1024 * 1024))
    b.kernel.deliver("peers", SendToPeer("a", Relay("t", b"after")))
    wait_until(lambda: a.listener.received != [])


@pytest.fixture
def relayed_nodes():
    """Return two nodes and the relay through which the second is reached."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    relay = SilentRelay(("127.0.0.1", port))
    seed = PeerAddress("b", "east", relay.address)
    b = Node("b", "east", (), f"127.0.0.1:{port}", relay.address)
    a = Node("a", "east", (seed,))
    yield a, b, relay
    for node in (a, b):
        node.kernel.stop()
    relay.close()


def test_connection_that_goes_silent_is_replaced(relayed_nodes):
    # The connection stays open without carrying data; only a new one works.
    a, b, relay = relayed_nodes
    connected([a, b])
    relay.go_silent()
    wait_until(lambda: b.alive() == set())
    wait_until(lambda: b.alive() == {"a"})
    assert a.status().counters["redials"] == 1


def test_start_on_a_used_port_is_refused():
    first = Node("a", "east", ())
    kernel = Kernel(SystemClock())
    kernel.register(PeersTask(PeersConfig("b", "east", 1, first.task.address)))
    outcome = kernel.start()
    assert isinstance(outcome, Refused) and outcome.reason is Reason.START_FAILED
    first.kernel.stop()
