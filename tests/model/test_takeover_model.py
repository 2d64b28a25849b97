"""Takeovers in any order of faults keep every promise; mended faults are found."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from tests.model.world import World
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from guavapin.jobs.queues import QueueTable
    from guavapin.settings.resident import Times

SEEDS = 24
STEPS = 40


# Kinds of events of a seed: takeovers in quick succession, partitions, outages of the
# store, and all of them.
PROFILES = (
    ("kill", "stop", "freeze", "cancel", "cancel and stop", "cancel and stop"),
    ("core cut", "core cut", "cut", "zone cut", "executor cut", "mend", "mend all"),
    ("outage", "outage", "stop", "kill", "core cut", "mend", "none"),
    (
        *("kill", "stop", "freeze", "core cut", "cut", "mend", "mend all", "zone cut"),
        *("executor cut", "outage", "outage", "crash", "cancel", "cancel", "none"),
    ),
)


NO_EXTRA_EVENTS: Mapping[str, Callable[[World], None]] = {}

# Executors that start again under their ids, beside takeovers and partitions.
RESTARTS = (
    *("restart", "restart", "restart", "restart", "kill", "stop"),
    *("executor cut", "core cut", "mend all", "outage", "outage", "none"),
)


def play(
    seed: int,
    profile: tuple[str, ...] | None = None,
    max_listed_ends: int = 500,
    table: QueueTable = TABLE,
    extra: Mapping[str, Callable[[World], None]] = NO_EXTRA_EVENTS,
    prepare: Callable[[World], None] = lambda world: None,
    times: Times = TIMES,
    max_jobs: int = 4,
) -> World:
    """Play random events under faults, then a calm time, and check all promises.

    The events are drawn from `profile`, or from that of the seed. An executor lists at
    most `max_listed_ends` ends at a time. `extra` has further kinds of events, and
    `prepare` changes the world before the first one. At most `max_jobs` jobs are
    submitted with each event.
    """
    profile = profile or PROFILES[seed % len(PROFILES)]
    world = World(seed, table=table, times=times)
    world.fleet.max_listed_ends = max_listed_ends
    prepare(world)
    world.run(1_500)
    rng = world.rng
    for _ in range(STEPS):
        for _ in range(rng.randint(0, max_jobs)):
            world.submit()
        world.query()
        node = rng.choice(world.nodes)
        leader = next((n for n in world.nodes if n.scheduler._scheduler), node)
        node = leader if rng.random() < 0.6 else node
        executor = rng.choice([*world.fleet.executors.values()])
        match rng.choice(profile):
            case "kill":
                world.restart(node)
            case "stop":
                _stop(world, node)
            case "cancel and stop":
                for _ in range(4):
                    world.cancel()
                world.run(rng.randint(20, 100))
                _stop(world, node)
            case "freeze":
                node.frozen_until_ms = world.clock.now_ms() + rng.randint(500, 5_000)
            case "core cut":
                node.reaches_store = not node.reaches_store
            case "cut":
                node.silent.add(executor.executor_id)
            case "mend":
                node.silent.clear()
                node.reaches_store = executor.reaches_store = True
            case "mend all":
                for other in world.nodes:
                    other.silent.clear()
                    other.reaches_store = True
                executor.reaches_store = True
            case "zone cut":
                world.cut_zone(node)
            case "executor cut":
                executor.reaches_store = False
                for other in world.nodes:
                    other.silent.add(executor.executor_id)
            case "outage":
                world.store.is_down = not world.store.is_down
            case "crash":
                world.fleet.crash(executor.machine)
            case "restart":
                world.fleet.restart(executor)
            case "cancel":
                world.cancel()
            case event if event in extra:
                extra[event](world)
        world.run(rng.randint(50, 1_500))
        if world.violations:
            return world
    world.heal()
    world.run_until_ended()
    if not world.violations:
        world.check_end()
    return world


def _stop(world: World, node) -> None:
    """Stop a node gracefully and start it again, unless it is gone by then."""
    node.hand_over()
    world.schedule(world.rng.randint(20, 2_000), _restart_if_alive, world, node)


def _restart_if_alive(world: World, node) -> None:
    if node.is_alive:
        world.restart(node)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_under_any_faults(seed: int) -> None:
    # Guards against any order of takeovers, partitions, lost calls and late orders in
    # which a subtask runs twice, a host is overbooked, a machine gets a lower token
    # after a higher one, or an accepted job is lost.
    assert play(seed).violations == []


@pytest.mark.parametrize("seed", range(8))
def test_no_promise_breaks_while_lists_of_ends_are_cut_short(seed: int) -> None:
    # Guards against any order of events in which a run whose end is not listed yet is
    # started again.
    assert play(seed, max_listed_ends=3).violations == []


# Two seeds in which an end was confirmed to the next incarnation of its executor.
@pytest.mark.parametrize("seed", [*range(8), 103, 219])
def test_no_promise_breaks_while_executors_start_again(seed: int) -> None:
    # Guards against any order of events in which a start that the next incarnation of
    # an executor has accepted is repeated elsewhere.
    assert play(seed, RESTARTS).violations == []


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time and print those that break a promise."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    while time.monotonic() < end_s:
        violations = play(seed).violations
        if violations:
            broken += 1
            report(f"seed {seed}: {violations[0]}")
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
