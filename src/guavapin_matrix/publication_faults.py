"""What each fault does to the entry processes, operators and the platform."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.publication.messages import Change
from guavapin.publication.messages import Publish
from guavapin_matrix.faults import Fault
from guavapin_matrix.platform import ANSWER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_matrix.publication_world import Asked
    from guavapin_matrix.publication_world import PublicationWorld

OUTAGE_MS = 4_000
PAUSE_MS = 6_000
RESTART_MS = 5_000
LONG_FACTOR = 20
CANCELLED = 5


class PublicationFaults:
    """Carries faults out in a `PublicationWorld`."""

    def __init__(self, world: PublicationWorld) -> None:
        self._world = world
        self._count = 0

    def inject(self, fault: Fault) -> None:
        """Let a fault happen now."""
        self._count += 1
        table: dict[Fault, Callable[[], None]] = {
            Fault.HOSTS_LOST: lambda: self._soon(self._lose_hosts),
            Fault.RACE: lambda: self._soon(self._race),
            Fault.RUN_TIME_OFF: self._lengthen,
            Fault.NEVER_RUNS: lambda: self._soon(self._publish_invalid),
            Fault.CANCELLATIONS: lambda: self._soon(self._cancel),
            Fault.BAD_WORKER: self._garble,
            Fault.PLATFORM_DOWN: lambda: self._for_a_while("is_down"),
            Fault.PLATFORM_SLOW: lambda: self._for_a_while("is_slow"),
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.LEASE_LAPSES: lambda: self._world.nodes[0].pause(PAUSE_MS),
            Fault.SAME_OBJECT: lambda: self._soon(self._edit),
            Fault.SILENT_CONNECTION: self._silence,
            Fault.CUT_OFF: self._cut,
            Fault.PROCESS_DIES: lambda: self._world.die(self._world.nodes[0]),
        }
        table[fault]()

    def heal(self) -> None:
        """End all lasting faults."""
        world = self._world
        world.platform.is_down = world.platform.is_slow = False
        world.platform.lost_answers = 0
        world.platform.answer_ms = ANSWER_MS
        for peer in world.peers.peers.values():
            peer.is_cut = peer.is_silent = peer.garbles = False
        for node in world.nodes:
            world.platform.link(node).is_cut = False

    def _soon(self, act: Callable[[], None]) -> None:
        self._world.sim.after(0, act)

    def _name(self, word: str) -> str:
        self._count += 1
        return f"{word}{self._count}"

    def _lose_hosts(self) -> None:
        """Lose the hosts of the two other entry processes, which start anew later."""
        world = self._world
        for index in (1, 2):
            node = world.nodes[index]
            if not node.is_alive:
                continue
            world.die(node)
            member = world.peers.peers[node.name].member
            name = f"{node.name}-again"
            world.sim.after(
                RESTART_MS,
                lambda n=name, m=member: world.add_entry(n, m.zone, m.seat, False),  # type: ignore[misc]
            )

    def _race(self) -> None:
        world, name = self._world, self._name("race")
        node = world.alive()[-1]
        world.publish(world.change("a1", 100 + self._count, name), node)

    def _edit(self) -> None:
        world, name = self._world, self._name("edit")
        node = world.alive()[-1]
        world.publish(world.change("a0", 200 + self._count, name), node)

    def _lengthen(self) -> None:
        self._world.platform.answer_ms = ANSWER_MS * LONG_FACTOR

    def _publish_invalid(self) -> None:
        """A set that refers to a pool that does not exist can never be accepted."""
        world, name = self._world, self._name("invalid")
        old = world.objects.hosts["a2"]
        change = Change("host", old.name, old, replace(old, pool="nowhere"))
        world.publish(Publish(1, (change,), name, "", name), world.alive()[0])

    def _cancel(self) -> None:
        """Operators give requests up, some before the process has taken them."""
        world = self._world
        node = world.alive()[0]
        asked = [
            world.publish(world.change("a3", 50 + index, self._name("cancelled")), node)
            for index in range(CANCELLED)
        ]
        for index, item in enumerate(asked):
            world.sim.after(2 * (index % 2), lambda i=item: _give_up(i))  # type: ignore[misc]

    def _garble(self) -> None:
        world = self._world
        world.peers.peers[world.nodes[1].name].garbles = True

    def _for_a_while(self, name: str) -> None:
        platform = self._world.platform
        setattr(platform, name, True)
        self._world.sim.after(OUTAGE_MS, lambda: setattr(platform, name, False))

    def _lose_answer(self) -> None:
        self._world.platform.lost_answers += 1

    def _silence(self) -> None:
        """Open watches and the present connections between peers hear nothing."""
        world = self._world
        world.platform.silence_watches()
        for peer in world.peers.peers.values():
            peer.is_silent = True
            world.sim.after(
                OUTAGE_MS,
                lambda p=peer: setattr(p, "is_silent", False),  # type: ignore[misc]
            )

    def _cut(self) -> None:
        world = self._world
        node = world.nodes[0]
        link, peer = world.platform.link(node), world.peers.peers[node.name]
        link.is_cut = peer.is_cut = True

        def restore() -> None:
            link.is_cut = peer.is_cut = False

        world.sim.after(OUTAGE_MS, restore)


def _give_up(item: Asked) -> None:
    item.is_cancelled = item.fut.cancel()
