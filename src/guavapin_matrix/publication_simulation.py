"""Simulates three entry processes that publish, with peers, platform, operators."""

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
from guavapin_matrix.fleet_simulation import build_objects
from guavapin_matrix.platform import FakePlatform
from guavapin_matrix.simulation import Node
from guavapin_matrix.simulation import SimulatedLoop

if TYPE_CHECKING:
    from guavapin.objects.model import Host
    from guavapin.objects.model import ObjectSet
    from guavapin.publication.messages import PublishRequest

SUBJECT = "subject"
ZONES = (("z0", 0), ("z0", 1), ("z1", 0))
REPEAT_DELAY_MS = 200
MAX_REPEATS = 3


class OperatorCall:
    """One call of an operator; a repeated call has the same publication id.

    `was_in_force` is true if the platform held the publication when the call ended.
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
        """Return the result of the call, None if it has not ended or was cancelled."""
        if not self.fut.done() or self.fut.cancelled():
            return None
        return self.fut.result()


@dataclass(frozen=True, slots=True)
class Adoption:
    """A process put a generation in force at a time."""

    at_ms: int
    process: str
    generation: int
    objects: ObjectSet


class PublicationSimulation:
    """Connects the entry processes to the fakes and records calls and adoptions.

    The faults aim at the subject, a publication at the first process.
    """

    def __init__(self, is_cold: bool, seed: int) -> None:
        self.loop = SimulatedLoop()
        self.platform = FakePlatform(self.loop)
        self.peers = FakePeers(self.loop)
        self.nodes: list[Node] = []
        self.publishers: list[PublisherTask] = []
        self.calls: list[OperatorCall] = []
        self.adoptions: list[Adoption] = []
        self.objects = build_objects(has_wave=False)
        self._seed = seed
        self._is_seen = False
        for index, (zone, seat) in enumerate(ZONES):
            self.add_entry(f"entry-{index}", zone, seat, is_cold and index == 0)
        first = PublishSet(0, self.objects, "first", "", "first")
        self.publish(first, self.nodes[1])
        self.loop.run(8_000 + 37 * seed % 1_000)

    def add_entry(self, name: str, zone: str, seat: int, is_cold: bool) -> None:
        """Start an entry process.

        A cold publisher does not follow the configuration: it knows no chunk and
        reads them all.
        """
        node = Node(self.loop, name, self)
        self.peers.add(node, zone, seat)
        cfg = ConfigurationConfig(name, zone, seat, self._seed)
        service = "" if is_cold else "configuration"
        publisher = PublisherTask(service, self._seed + seat)
        self.nodes.append(node)
        self.publishers.append(publisher)
        node.add(ConfigurationTask(cfg))
        node.add(publisher)
        node.deliver("configuration", SubscribeConfiguration("probe"))

    def on_external_message(
        self, node: Node, sender: str, service: str, message: Any
    ) -> None:
        """Pass a message of a process to the fake of its service."""
        if service == "platform":
            self.platform.handle_call(node, sender, message)
        elif service == "peers":
            self.peers.on_message(node, message)
        elif isinstance(message, ConfigurationAdopted):
            adoption = Adoption(
                self.loop.now_ms(), node.name, message.generation, message.objects
            )
            self.adoptions.append(adoption)

    def subject_stage(self) -> Stage | None:
        """Return the stage of the subject, `DONE` after its job, None before it."""
        job = self.publishers[0]._job
        if job is not None and job.context.publication_id == SUBJECT:
            self._is_seen = True
            return job.stage
        return Stage.DONE if self._is_seen else None

    def publish(
        self, request: PublishRequest, node: Node, repeats: int = 0
    ) -> OperatorCall:
        """Send an operator's call to a process.

        A refused call, or one with an unknown outcome, is repeated at another process.
        """
        fut: Future[Any] = Future()
        item = OperatorCall(request, node, repeats, fut, self.loop.now_ms())
        self.calls.append(item)
        fut.add_done_callback(lambda _: self._on_result(item))
        self.loop.after(1, lambda: node.deliver("publisher", Call(request, fut)))
        return item

    def change(self, host: str, cores: int, name: str, base: int = 1) -> Publish:
        """Return a request that changes the cores of a host."""
        old = self.objects.hosts[host]
        return Publish(base, (_change(old, replace(old, cores=cores)),), name, "", name)

    def crash(self, node: Node) -> None:
        """Stop a process; operators repeat their open calls elsewhere."""
        node.crash()
        for item in list(self.calls):
            if item.node is node and not item.fut.done() and not item.is_cancelled:
                self._repeat(item)

    def alive(self) -> list[Node]:
        """Return the live processes."""
        return [node for node in self.nodes if node.is_alive]

    def _on_result(self, item: OperatorCall) -> None:
        item.ended_ms = self.loop.now_ms()
        item.was_in_force = self._is_in_force(item.request.publication_id)
        reason = getattr(item.result, "reason", None)
        if not isinstance(item.result, Published) and reason is not None:
            self._repeat(item)

    def _is_in_force(self, publication_id: str) -> bool:
        decoded = decode_head(self.platform.value(HEAD_KEY))
        if not isinstance(decoded, Ok):
            return False
        return generation_of(decoded.value, publication_id) is not None

    def _repeat(self, item: OperatorCall) -> None:
        others = [node for node in self.alive() if node is not item.node]
        if item.repeats >= MAX_REPEATS or not others:
            return
        self.loop.after(
            REPEAT_DELAY_MS,
            lambda: self.publish(item.request, others[0], item.repeats + 1),
        )


def _change(old: Host, new: Host) -> Change:
    return Change("host", old.name, old, new)
