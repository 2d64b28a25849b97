"""Measures the check of objects, the size of publications and their distribution.

Each node has its own kernel with the `platform`, `peers`, `configuration` and
`publisher` services; peers communicate over loopback. The platform is an in-memory
store that answers a call after 1 to 5 ms.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import SystemClock
from guavapin.objects.check import check
from guavapin.peers.config import PeersConfig
from guavapin.peers.messages import PeerAddress
from guavapin.peers.messages import QueryPeers
from guavapin.peers.task import PeersTask
from guavapin.publication.configuration import ConfigurationConfig
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.messages import Change
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import SubscribeConfiguration
from guavapin.publication.publisher_task import PublisherTask
from guavapin_bench.memory_platform import MemoryPlatform
from guavapin_bench.memory_platform import Store
from guavapin_bench.memory_platform import StoreChanged
from guavapin_demo.sites import build_fleet

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.objects.model import Host
    from guavapin.objects.model import ObjectSet

FLEET_SIZES = ((30, 5, 5), (300, 20, 20), (1_100, 47, 57))
ZONES = 5
WAIT_TIMEOUT_S = 30.0


class AdoptionRecorder:
    """Records the time at which each generation was adopted, in milliseconds."""

    name = "sink"

    def __init__(self) -> None:
        self.adopted_ms: dict[int, int] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        self._context = context
        context.send("configuration", SubscribeConfiguration(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        if isinstance(message, ConfigurationAdopted):
            self.adopted_ms[message.generation] = self._context.clock.now_ms()

    def stop(self) -> None:
        """Do nothing: the service owns no resources."""


class Node:
    """An entry host of zone ``zone-N``, as a kernel of its own."""

    def __init__(
        self, store: Store, index: int, seeds: tuple[PeerAddress, ...], seed: int
    ) -> None:
        zone, seat = f"zone-{index % ZONES + 1}", index // ZONES
        self.name = f"e{index:02d}"
        self.sink = AdoptionRecorder()
        cfg = PeersConfig(self.name, zone, seat, "127.0.0.1:0", seeds=seeds)
        self.peers = PeersTask(cfg)
        self.kernel = Kernel(SystemClock())
        self.kernel.register(MemoryPlatform(store, seed + index))
        self.kernel.register(self.peers)
        configuration_cfg = ConfigurationConfig(self.name, zone, seat, seed)
        self.kernel.register(
            ConfigurationTask(configuration_cfg), requires=("platform", "peers")
        )
        self.kernel.register(PublisherTask(seed=seed), requires=("configuration",))
        self.kernel.register(self.sink, requires=("configuration",))
        outcome = self.kernel.start()
        if not isinstance(outcome, Ok):
            raise SystemExit(str(outcome))
        store.listeners.append(lambda: self.kernel.deliver("platform", StoreChanged()))
        self.address = PeerAddress(self.name, zone, self.peers.address)

    def publish(self, request: Publish | PublishSet) -> int:
        """Publish and return the generation; raises SystemExit if it is refused."""
        result = self.kernel.ask("publisher", request).result(WAIT_TIMEOUT_S)
        if not isinstance(result, Published):
            raise SystemExit(f"publication failed: {result}")
        return result.generation


def measure_checks() -> None:
    """Print the time of the object check for each fleet size."""
    print("hosts  pools  teams  check median ms  worst of 20 ms")
    for hosts, pools, teams in FLEET_SIZES:
        objects = build_fleet(hosts, pools, teams)
        times = []
        for _ in range(20):
            start_ns = time.perf_counter_ns()
            faults = check(objects)
            times.append((time.perf_counter_ns() - start_ns) / 1e6)
            if faults:
                raise SystemExit(f"generated fleet has faults: {faults[0]}")
        median = statistics.median(times)
        print(f"{hosts:5} {pools:6} {teams:6} {median:16.1f} {max(times):15.1f}")


def measure_bytes(seed: int) -> None:
    """Print the bytes written by the first publication and by a change of one host."""
    print("hosts  first publication bytes  one change: chunk  audit  head  (bytes)")
    for hosts, pools, teams in FLEET_SIZES:
        objects = build_fleet(hosts, pools, teams)
        store = Store()
        node = Node(store, 0, (), seed)
        node.publish(PublishSet(0, objects, "bench", ""))
        first = sum(store.written.values())
        store.written.clear()
        changes = 100
        publish_changes(node, objects, changes, seed)
        parts = [store.written[part] // changes for part in ("chunk", "audit", "head")]
        node.kernel.stop()
        print(f"{hosts:5} {first:24} {parts[0]:18} {parts[1]:6} {parts[2]:5}")


def measure_distribution(hosts: int, seed: int, idle_s: float, changes: int) -> None:
    """Print calls a minute, peer traffic and delay of changes for `hosts` nodes."""
    store = Store()
    nodes = [Node(store, 0, (), seed)]
    seeds = (nodes[0].address,)
    nodes.extend(Node(store, index, seeds, seed) for index in range(1, hosts))
    objects = build_fleet()
    generation = nodes[0].publish(PublishSet(0, objects, "bench", ""))
    wait_until_adopted(nodes, generation)
    time.sleep(5)
    calls, sent, cpu_s = store.calls.copy(), sent_bytes(nodes), time.process_time()
    time.sleep(idle_s)
    per_minute = {
        name: (store.calls[name] - calls[name]) * 60 / idle_s for name in store.calls
    }
    rate = (sent_bytes(nodes) - sent) / hosts / idle_s
    cpu = (time.process_time() - cpu_s) / hosts / idle_s * 100
    before = sum(store.calls.values())
    delays = publish_changes(nodes[-1], objects, changes, seed, nodes)
    per_change = (sum(store.calls.values()) - before) / changes
    for node in nodes:
        node.kernel.stop()
    reads, watches = per_minute.get("Get", 0), per_minute.get("Watch", 0)
    print(
        f"{hosts:11} {reads:9.0f} {watches:11.0f} {per_change:16.1f} "
        f"{rate:17.0f} {cpu:14.2f} {statistics.median(delays):14.3f} "
        f"{max(delays):9.3f}"
    )


def publish_changes(
    node: Node,
    objects: ObjectSet,
    changes: int,
    seed: int,
    nodes: list[Node] | None = None,
) -> list[float]:
    """Publish changes of one host each; return the seconds until `nodes` adopted."""
    chosen = random.Random(seed).choices(sorted(objects.hosts), k=changes)
    current_hosts: dict[str, Host] = dict(objects.hosts)
    delays = []
    generation = 1
    for number, name in enumerate(chosen):
        old = current_hosts[name]
        new = current_hosts[name] = replace(old, cores=17 + number)
        start_ms = node.kernel.clock.now_ms()
        change = Change("host", name, old, new)
        generation = node.publish(Publish(generation, (change,), "bench", ""))
        if nodes is not None:
            wait_until_adopted(nodes, generation)
            ends = [item.sink.adopted_ms[generation] for item in nodes]
            delays.append((max(ends) - start_ms) / 1_000)
    return delays


def wait_until_adopted(nodes: list[Node], generation: int) -> None:
    """Wait until all nodes have adopted `generation`."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not all(generation in node.sink.adopted_ms for node in nodes):
        if time.monotonic() > end_s:
            raise SystemExit(f"generation {generation} is not in force everywhere")
        time.sleep(0.005)


def sent_bytes(nodes: list[Node]) -> int:
    """Return the bytes that the `peers` services of all nodes have sent."""
    statuses = [
        node.kernel.ask("peers", QueryPeers()).result(WAIT_TIMEOUT_S) for node in nodes
    ]
    return sum(status.counters.get("sent_bytes", 0) for status in statuses)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, nargs="*", default=[4, 8, 16, 32])
    parser.add_argument("--idle-s", type=float, default=120.0)
    parser.add_argument("--changes", type=int, default=100)
    args = parser.parse_args()
    measure_checks()
    measure_bytes(args.seed)
    print(
        "entry hosts  reads/min watches/min  calls per change  peer B/s per host  "
        "% of a core  in force s: median  worst"
    )
    for hosts in args.hosts:
        measure_distribution(hosts, args.seed, args.idle_s, args.changes)


if __name__ == "__main__":
    main()
