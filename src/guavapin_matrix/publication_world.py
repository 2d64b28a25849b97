"""Three entry processes with publisher and configuration, operators, platform."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.publication.configuration import ConfigurationConfig
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import decode_head
from guavapin.publication.head import generation_of
from guavapin.publication.messages import Change
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import SubscribeConfiguration
from guavapin.publication.publisher import Stage
from guavapin.publication.publisher_task import PublisherTask
from guavapin_matrix.fake_peers import FakePeers
from guavapin_matrix.fleet_world import build_objects
from guavapin_matrix.platform import FakePlatform
from guavapin_matrix.simulation import Node
from guavapin_matrix.simulation import Simulation

if TYPE_CHECKING:
    from guavapin.objects.model import Host
    from guavapin.objects.model import ObjectSet
    from guavapin.publication.messages import PublishRequest

SUBJECT = "subject"
ZONES = (("z0", 0), ("z0", 1), ("z1", 0))
REPEAT_MS = 200
MAX_REPEATS = 3


class Asked:
    """One call of an operator; a repetition has the same publication id.

    `was_in_force` tells whether the platform held the publication at the answer.
    """

    def __init__(
        self,
        request: PublishRequest,
        node: Node,
        repeats: int,
        fut: Future[Any],
        at_ms: int,
        is_cancelled: bool = False,
        ended_ms: int = 0,
        was_in_force: bool = False,
    ) -> None:
        self.request = request
        self.node = node
        self.repeats = repeats
        self.fut = fut
        self.at_ms = at_ms
        self.is_cancelled = is_cancelled
        self.ended_ms = ended_ms
        self.was_in_force = was_in_force

    @property
    def result(self) -> Any:
        """Return the result, None without one."""
        if not self.fut.done() or self.fut.cancelled():
            return None
        return self.fut.result()


@dataclass(frozen=True, slots=True)
class Adoption:
    """That a process put a generation in force."""

    at_ms: int
    process: str
    generation: int
    objects: ObjectSet


class PublicationWorld:
    """The parts of a publication; the subject is published at the first process."""

    def __init__(self, is_cold: bool, seed: int) -> None:
        self.sim = Simulation()
        self.platform = FakePlatform(self.sim)
        self.peers = FakePeers(self.sim)
        self.nodes: list[Node] = []
        self.publishers: list[PublisherTask] = []
        self.asked: list[Asked] = []
        self.adoptions: list[Adoption] = []
        self.objects = build_objects(has_wave=False)
        self._seed = seed
        self._is_seen = False
        for index, (zone, seat) in enumerate(ZONES):
            self.add_entry(f"entry-{index}", zone, seat, is_cold and index == 0)
        first = PublishSet(0, self.objects, "first", "", "first")
        self.publish(first, self.nodes[1])
        self.sim.run(8_000 + 37 * seed % 1_000)

    def add_entry(self, name: str, zone: str, seat: int, is_cold: bool) -> None:
        """Start a process; a cold publisher knows no chunk and reads them all."""
        node = Node(self.sim, name, self)
        self.peers.add(node, zone, seat)
        cfg = ConfigurationConfig(name, zone, seat, self._seed)
        service = "" if is_cold else "configuration"
        publisher = PublisherTask(service, self._seed + seat)
        self.nodes.append(node)
        self.publishers.append(publisher)
        node.add(ConfigurationTask(cfg))
        node.add(publisher)
        node.deliver("configuration", SubscribeConfiguration("probe"))

    def on_sent(self, node: Node, sender: str, service: str, message: Any) -> None:
        """Lead the messages of the entry processes to the fakes."""
        if service == "platform":
            self.platform.call(node, sender, message)
        elif service == "peers":
            self.peers.on_message(node, message)
        elif isinstance(message, ConfigurationAdopted):
            adoption = Adoption(
                self.sim.now_ms(), node.name, message.generation, message.objects
            )
            self.adoptions.append(adoption)

    def subject_stage(self) -> Stage | None:
        """Return the stage of the subject; `DONE` once its job is gone."""
        job = self.publishers[0]._job
        if job is not None and job.context.publication_id == SUBJECT:
            self._is_seen = True
            return job.stage
        return Stage.DONE if self._is_seen else None

    def publish(self, request: PublishRequest, node: Node, repeats: int = 0) -> Asked:
        """Let an operator publish; an unclear end is cleared up at another process."""
        fut: Future[Any] = Future()
        item = Asked(request, node, repeats, fut, self.sim.now_ms())
        self.asked.append(item)
        fut.add_done_callback(lambda _: self._on_result(item))
        self.sim.after(1, lambda: node.deliver("publisher", Call(request, fut)))
        return item

    def change(self, host: str, cores: int, name: str, base: int = 1) -> Publish:
        """Return a request that changes the cores of a host."""
        old = self.objects.hosts[host]
        return Publish(base, (_change(old, replace(old, cores=cores)),), name, "", name)

    def die(self, node: Node) -> None:
        """End a process; its operators see their connections break."""
        node.die()
        for item in list(self.asked):
            if item.node is node and not item.fut.done() and not item.is_cancelled:
                self._repeat(item)

    def alive(self) -> list[Node]:
        """Return the processes that live."""
        return [node for node in self.nodes if node.is_alive]

    def _on_result(self, item: Asked) -> None:
        item.ended_ms = self.sim.now_ms()
        item.was_in_force = self._is_in_force(item.request.publication_id)
        reason = getattr(item.result, "reason", None)
        if not isinstance(item.result, Published) and reason is not None:
            self._repeat(item)

    def _is_in_force(self, publication_id: str) -> bool:
        decoded = decode_head(self.platform.value(HEAD_KEY))
        if not isinstance(decoded, Ok):
            return False
        return generation_of(decoded.value, publication_id) is not None

    def _repeat(self, item: Asked) -> None:
        others = [node for node in self.alive() if node is not item.node]
        if item.repeats >= MAX_REPEATS or not others:
            return
        self.sim.after(
            REPEAT_MS,
            lambda: self.publish(item.request, others[0], item.repeats + 1),
        )


def _change(old: Host, new: Host) -> Change:
    return Change("host", old.name, old, new)
