"""Entry hosts as real kernels whose peers communicate over loopback."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Reply
from guavapin.peers.config import PeersConfig
from guavapin.peers.messages import PeerAddress
from guavapin.peers.task import PeersTask
from guavapin.publication.configuration import ConfigurationConfig
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import QueryConfiguration
from guavapin.publication.publisher_task import PublisherTask
from guavapin_bench.memory_platform import MemoryPlatform
from guavapin_bench.memory_platform import Store
from guavapin_bench.memory_platform import StoreChanged
from tests.publication.jobs import FLEET
from tests.publication.jobs import set_cores

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.publication.messages import ConfigurationStatus

WAIT_S = 10.0
# The design's limit for a fleet of the current size.
ADOPTION_LIMIT_S = 2.0
HOST = "h00003"


class CutPlatform(MemoryPlatform):
    """Answers `NotSent` while `is_cut` is set."""

    is_cut = False

    def handle(self, message: object) -> None:
        if self.is_cut and hasattr(message, "reply_to"):
            reply = Reply(message.request_id, NotSent("cut off"))
            self._context.send(message.reply_to, reply)
        elif not (self.is_cut and isinstance(message, StoreChanged)):
            super().handle(message)


class Network:
    """A peer filter shared by all nodes; `partitions` maps node to partition."""

    def __init__(self) -> None:
        self.partitions: dict[str, int] = {}

    def allows(self, sender: str, receiver: str) -> bool:
        return self.partitions.get(sender, 0) == self.partitions.get(receiver, 0)


class Cluster:
    def __init__(self) -> None:
        self.store = Store()
        self.network = Network()
        self.kernels: dict[str, Kernel] = {}
        self.platforms: dict[str, CutPlatform] = {}
        self.seeds: tuple[PeerAddress, ...] = ()

    def add(self, name: str, zone: str, seat: int, is_cut: bool = False) -> None:
        platform = CutPlatform(self.store, seat)
        platform.is_cut = is_cut
        cfg = PeersConfig(name, zone, seat, "127.0.0.1:0", seeds=self.seeds)
        peers = PeersTask(cfg, self.network)
        kernel = Kernel(SystemClock())
        kernel.register(platform)
        kernel.register(peers)
        kernel.register(
            ConfigurationTask(ConfigurationConfig(name, zone, seat)),
            requires=("platform", "peers"),
        )
        kernel.register(PublisherTask(), requires=("configuration",))
        assert kernel.start() == Ok(None)
        self.store.listeners.append(lambda: kernel.deliver("platform", StoreChanged()))
        self.seeds = self.seeds or (PeerAddress(name, zone, peers.address),)
        self.kernels[name] = kernel
        self.platforms[name] = platform

    def publish(self, name: str, request: object) -> int:
        result = self.kernels[name].ask("publisher", request).result(WAIT_S)
        assert isinstance(result, Published)
        return result.generation

    def status(self, name: str) -> ConfigurationStatus:
        return self.kernels[name].ask("configuration", QueryConfiguration()).result(5)

    def wait(self, condition: Callable[[], bool], limit_s: float = WAIT_S) -> None:
        end_s = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < end_s, "condition not reached in time"
            time.sleep(0.02)

    def wait_generation(
        self, names: str, generation: int, limit_s: float = WAIT_S
    ) -> None:
        self.wait(
            lambda: all(self.status(name).generation == generation for name in names),
            limit_s,
        )


@pytest.fixture
def cluster():
    cluster = Cluster()
    for name, zone, seat in (("a", "east", 0), ("b", "east", 1), ("c", "west", 0)):
        cluster.add(name, zone, seat)
    cluster.wait(lambda: all(len(cluster.status(name).peers) == 2 for name in "abc"))
    assert cluster.publish("a", PublishSet(0, FLEET, "author", "")) == 1
    cluster.wait_generation("abc", 1)
    cluster.wait(
        lambda: (
            [cluster.status(name).is_watching for name in "abc"] == [True, False, True]
        )
    )
    yield cluster
    for kernel in cluster.kernels.values():
        assert kernel.stop() == ()


def test_change_is_in_force_everywhere_within_the_bound(cluster):
    assert cluster.publish("b", set_cores(HOST, 8)) == 2
    cluster.wait_generation("abc", 2, ADOPTION_LIMIT_S)


def test_zone_without_platform_follows_another_zone(cluster):
    cluster.platforms["c"].is_cut = True
    assert cluster.publish("a", set_cores(HOST, 8)) == 2
    cluster.wait_generation("c", 2, ADOPTION_LIMIT_S)


def test_host_that_starts_without_platform_adopts_the_generation_of_a_peer(cluster):
    for platform in cluster.platforms.values():
        platform.is_cut = True
    cluster.add("d", "west", 1, is_cut=True)
    cluster.wait_generation("d", 1, ADOPTION_LIMIT_S)


def test_zone_cut_off_from_all_keeps_its_generation_and_catches_up(cluster):
    cluster.platforms["c"].is_cut = True
    cluster.network.partitions["c"] = 1
    assert cluster.publish("a", set_cores(HOST, 8)) == 2
    cluster.wait_generation("ab", 2, ADOPTION_LIMIT_S)
    assert cluster.status("c").generation == 1
    cluster.network.partitions.clear()
    # Heartbeats arrive every 500 ms; the head is requested after the first one.
    cluster.wait_generation("c", 2, ADOPTION_LIMIT_S)


def test_next_seat_watches_when_the_lowest_stops(cluster):
    assert cluster.kernels.pop("a").stop() == ()
    cluster.wait(lambda: cluster.status("b").is_watching, ADOPTION_LIMIT_S)
    assert cluster.publish("c", set_cores(HOST, 8)) == 2
    cluster.wait_generation("bc", 2, ADOPTION_LIMIT_S)
