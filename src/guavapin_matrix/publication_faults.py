"""Injects each fault into the entry processes, the platform and operators' calls."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.publication.messages import Change
from guavapin.publication.messages import Publish
from guavapin_matrix.faults import Fault
from guavapin_matrix.platform import ANSWER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_matrix.publication_simulation import OperatorCall
    from guavapin_matrix.publication_simulation import PublicationSimulation

OUTAGE_MS = 4_000
PAUSE_MS = 6_000
RESTART_DELAY_MS = 5_000
LONG_FACTOR = 20
CANCELLED_CALLS = 5


class PublicationFaults:
    """Injects faults into a `PublicationSimulation`."""

    def __init__(self, sim: PublicationSimulation) -> None:
        self._sim = sim
        self._count = 0

    def inject(self, fault: Fault) -> None:
        """Inject a fault now."""
        self._count += 1
        table: dict[Fault, Callable[[], None]] = {
            Fault.HOSTS_LOST: lambda: self._schedule(self._lose_hosts),
            Fault.RACE: lambda: self._schedule(self._race),
            Fault.RUN_TIME_OFF: self._slow_down,
            Fault.NEVER_RUNS: lambda: self._schedule(self._publish_invalid),
            Fault.CANCELLATIONS: lambda: self._schedule(self._cancel),
            Fault.BAD_WORKER: self._corrupt_chunks,
            Fault.PLATFORM_DOWN: lambda: self._set_during_outage("is_down"),
            Fault.PLATFORM_SLOW: lambda: self._set_during_outage("is_slow"),
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.LEASE_LAPSES: lambda: self._sim.nodes[0].pause(PAUSE_MS),
            Fault.SAME_OBJECT: lambda: self._schedule(self._edit),
            Fault.SILENT_CONNECTION: self._silence,
            Fault.CUT_OFF: self._cut_connection,
            Fault.PROCESS_DIES: lambda: self._sim.crash(self._sim.nodes[0]),
        }
        table[fault]()

    def heal(self) -> None:
        """Reset the faults of the platform, the peers and their connections."""
        sim = self._sim
        sim.platform.is_down = sim.platform.is_slow = False
        sim.platform.lost_answers = 0
        sim.platform.answer_ms = ANSWER_MS
        for peer in sim.peers.peers.values():
            peer.is_cut = peer.is_silent = peer.corrupts_chunks = False
        for node in sim.nodes:
            sim.platform.link(node).is_cut = False

    def _schedule(self, callback: Callable[[], None]) -> None:
        self._sim.loop.after(0, callback)

    def _next_name(self, word: str) -> str:
        self._count += 1
        return f"{word}{self._count}"

    def _lose_hosts(self) -> None:
        """Stop the two other entry processes, which restart after a delay."""
        sim = self._sim
        for index in (1, 2):
            node = sim.nodes[index]
            if not node.is_alive:
                continue
            sim.crash(node)
            member = sim.peers.peers[node.name].member
            name = f"{node.name}-again"
            sim.loop.after(
                RESTART_DELAY_MS,
                lambda n=name, m=member: sim.add_entry(n, m.zone, m.seat, False),  # type: ignore[misc]
            )

    def _race(self) -> None:
        sim, name = self._sim, self._next_name("race")
        node = sim.alive()[-1]
        sim.publish(sim.change("a1", 100 + self._count, name), node)

    def _edit(self) -> None:
        sim, name = self._sim, self._next_name("edit")
        node = sim.alive()[-1]
        sim.publish(sim.change("a0", 200 + self._count, name), node)

    def _slow_down(self) -> None:
        self._sim.platform.answer_ms = ANSWER_MS * LONG_FACTOR

    def _publish_invalid(self) -> None:
        """Publish a change that refers to a missing pool and is never accepted."""
        sim, name = self._sim, self._next_name("invalid")
        old = sim.objects.hosts["a2"]
        change = Change("host", old.name, old, replace(old, pool="nowhere"))
        sim.publish(Publish(1, (change,), name, "", name), sim.alive()[0])

    def _cancel(self) -> None:
        """Cancel operators' calls, some of them before the process handles them."""
        sim = self._sim
        node = sim.alive()[0]
        calls = [
            sim.publish(
                sim.change("a3", 50 + index, self._next_name("cancelled")), node
            )
            for index in range(CANCELLED_CALLS)
        ]
        for index, item in enumerate(calls):
            sim.loop.after(2 * (index % 2), lambda i=item: _cancel_call(i))  # type: ignore[misc]

    def _corrupt_chunks(self) -> None:
        sim = self._sim
        sim.peers.peers[sim.nodes[1].name].corrupts_chunks = True

    def _set_during_outage(self, name: str) -> None:
        platform = self._sim.platform
        setattr(platform, name, True)
        self._sim.loop.after(OUTAGE_MS, lambda: setattr(platform, name, False))

    def _lose_answer(self) -> None:
        self._sim.platform.lost_answers += 1

    def _silence(self) -> None:
        """Silence the open watches, and for a while the connections between peers."""
        sim = self._sim
        sim.platform.silence_watches()
        for peer in sim.peers.peers.values():
            peer.is_silent = True
            sim.loop.after(
                OUTAGE_MS,
                lambda p=peer: setattr(p, "is_silent", False),  # type: ignore[misc]
            )

    def _cut_connection(self) -> None:
        sim = self._sim
        node = sim.nodes[0]
        link, peer = sim.platform.link(node), sim.peers.peers[node.name]
        link.is_cut = peer.is_cut = True

        def restore() -> None:
            link.is_cut = peer.is_cut = False

        sim.loop.after(OUTAGE_MS, restore)


def _cancel_call(item: OperatorCall) -> None:
    item.is_cancelled = item.fut.cancel()
