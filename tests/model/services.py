"""Changes of a queue's service, for the model of takeovers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.jobs.queues import Pool
from tests.model.test_takeover_model import play
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TABLE

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from tests.model.world import Node
    from tests.model.world import World

SERVICES = ("pool", "other", "third")

# Longest time until a process that reaches the store applies a new table.
MAX_TABLE_LAG_MS = 1_500

# Interval at which a process that does not reach the store looks for a table.
TABLE_RETRY_MS = 200

# Time within which another process takes over after a kill, and starts what it may.
TAKEOVER_MS = 3_000

# Changes of the service beside takeovers, and beside all faults.
PROFILES = (
    ("service", "cut after change", "kill", "stop", "mend all", "mend all", "none"),
    (
        *("service", "service", "cut after change", "cut after change"),
        *("kill", "stop", "freeze", "core cut", "cut", "zone cut", "executor cut"),
        *("outage", "outage", "crash", "mend", "mend all", "mend all", "none"),
    ),
)


def table_with(service: str, version: int = 1) -> QueueTable:
    """Return a table in which the queue has a service."""
    pools = (*map(Pool, SERVICES), Pool("off", is_standby=True))
    queues = (replace(QUEUE, service=service),)
    return replace(TABLE, version=version, queues=queues, pools=pools)


def change_service(world: World) -> None:
    """Give the queue another service; each process applies it after a time."""
    services = [name for name in SERVICES if name != world.table.queues[0].service]
    table = table_with(world.rng.choice(services), world.table.version + 1)
    world.table = table
    world.tables.append((world.clock.now_ms(), table))
    world.waiting.disturb()
    for node in world.nodes:
        delay_ms = world.rng.randint(0, MAX_TABLE_LAG_MS)
        world.schedule(delay_ms, _apply_table, world, node)


def cut_after_change(world: World) -> None:
    """Change the service, kill the scheduler, and cut an executor with work off.

    The work is on the former service, on the new one, or on both.
    """
    change_service(world)
    world.run(world.rng.randint(100, MAX_TABLE_LAG_MS))
    rows = world.fleet.executors.values()
    busy = [row for row in rows if row.is_alive and row.running]
    for node in [*world.nodes]:
        if node.scheduler._scheduler is not None:
            world.restart(node)
    if busy:
        executor = world.rng.choice(busy)
        executor.reaches_store = False
        for node in world.nodes:
            node.silent.add(executor.executor_id)
    world.run(TAKEOVER_MS)


def _apply_table(world: World, node: Node) -> None:
    """Apply the newest table at a process once it reaches the store."""
    if world.store.is_down or not node.reaches_store:
        world.schedule(TABLE_RETRY_MS, _apply_table, world, node)
    else:
        node.apply_table(world.table)


def prepare(world: World) -> None:
    """Spread the machines over the services, and let runs outlast a takeover."""
    world.fleet.shortest_run_ms, world.fleet.longest_run_ms = 4_000, 12_000
    for number, name in enumerate([*world.fleet.machines]):
        world.fleet.replace(name, SERVICES[number % len(SERVICES)])

    def submitted_service() -> str:
        # A host may still have the table before the newest one.
        _, table = world.rng.choice(world.tables[-2:])
        return table.queues[0].service

    world.submitted_service = submitted_service


def play_services(seed: int, profile: tuple[str, ...] | None = None) -> World:
    """Play changes of the service beside takeovers and other faults."""
    profile = profile or PROFILES[seed % len(PROFILES)]
    extra = {"service": change_service, "cut after change": cut_after_change}
    table = table_with(SERVICES[0])
    return play(seed, profile, table=table, extra=extra, prepare=prepare, max_jobs=1)
