"""Cancelled work ends in time, whichever host takes the cancelling and when."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.keyvalue import messages as kv
from guavapin.resident import STORE_TIMEOUT_MS
from guavapin.scheduling.record import PROGRESS_PREFIX
from tests.model.cancellations import CANCEL_MS
from tests.model.cancellations import STABLE_MS
from tests.model.cancellations import STOP_MS
from tests.model.odd_entries import draw_odd_entry
from tests.model.odd_entries import draw_odd_value
from tests.model.world import Submission
from tests.model.world import World
from tests.scheduling.simulation import QUEUE

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.model.world import Node

SEEDS = 10
ROUNDS = 5

# Most runs last longer than the bounds of a cancelling.
LONGEST_RUN_MS = 15_000

# What happens just before a cancelling.
EVENTS = (
    *("none", "none", "kill", "kill", "kill two", "stop", "stop", "freeze"),
    *("core cut", "unconfirmed", "unconfirmed", "peer cut", "zone cut"),
    *("outage", "outage", "outage", "refused", "refused", "executor cut"),
    *("restart", "crash"),
)


def play_cancellations(seed: int, events: tuple[str, ...] = EVENTS) -> World:
    """Cancel jobs beside `events`, each time followed by a time without faults.

    The odd entries of another writer stay, also while nothing else fails.
    """
    world = World(seed)
    world.fleet.longest_run_ms = LONGEST_RUN_MS
    world.run(1_500)
    rng = world.rng
    for _ in range(ROUNDS):
        for _ in range(rng.randint(1, 3)):
            world.submit()
        world.run(rng.randint(20, 2_000))
        _write_odd_entries(world)
        event = rng.choice(events)
        if event == "none":
            # Only a cancelling in a calm time has its bounds from the start.
            world.heal()
            world.run(STABLE_MS)
            for _ in range(rng.randint(0, 2)):
                world.submit()
            world.run(rng.randint(0, 500))
            _write_odd_entries(world)
        else:
            _disturb(world, event)
            if rng.random() < 0.3:
                world.run(rng.randint(0, 1_500))
                _disturb(world, rng.choice(events))
        is_brief = event in ("unconfirmed", "outage") and rng.random() < 0.7
        if is_brief:
            _await_unconfirmed_lease(world)
        else:
            world.run(rng.choice((0, 5, 30, 200, 800, 2_000)))
        for submission in _draw_jobs(world):
            world.cancel_at(_draw_node(world), submission)
            if rng.random() < 0.3:
                # The store may do this at any time.
                world.store.discard_history()
            world.run(rng.choice((0, 0, 10, 100)))
        if event != "none":
            # After a brief loss of the store the term goes on.
            world.run(rng.randint(0, 300 if is_brief else 2_500))
        world.heal()
        world.run(STABLE_MS + CANCEL_MS + STOP_MS + 200)
        if world.violations:
            return world
        world.has_faults = True
    world.heal()
    world.run_until_ended()
    if not world.violations:
        world.check_end()
    return world


def _draw_jobs(world: World) -> list[Submission]:
    """Return up to three jobs that have not ended and are not cancelled."""
    candidates = [
        submission
        for submission in world.submissions.values()
        if not submission.is_cancelled and not world.fleet.is_job_done(submission.job)
    ]
    count = min(len(candidates), world.rng.randint(1, 3))
    return world.rng.sample(candidates, count)


def _draw_node(world: World) -> Node:
    """Return a node, often one that knows no scheduler."""
    unaware = [node for node in world.nodes if not node.intake._scheduler.address]
    if unaware and world.rng.random() < 0.5:
        return world.rng.choice(unaware)
    return world.rng.choice(world.nodes)


def _await_unconfirmed_lease(world: World) -> None:
    """Run until a scheduler has lost contact to the store, for some seconds at most."""
    for _ in range(200):
        if any(node.scheduler._unconfirmed_until_ms for node in world.nodes):
            return
        world.run(20)


def _write_odd_entries(world: World) -> None:
    """Write some odd entries, at times in the place of an executor's; remove some."""
    for _ in range(world.rng.randint(0, 3)):
        key, value = draw_odd_entry(world.rng)
        if world.rng.random() < 0.1:
            executor = world.rng.choice([*world.fleet.executors.values()])
            if executor.is_alive:
                key = f"{world.fleet.prefix}{executor.executor_id}"
                value = draw_odd_value(world.rng)
        is_removed = key in world.store.items and world.rng.random() < 0.3
        world.store.write({key: None if is_removed else value})


def _disturb(world: World, event: str) -> None:
    rng = world.rng
    node = rng.choice(world.nodes)
    leader = next((n for n in world.nodes if n.scheduler._scheduler), node)
    node = leader if rng.random() < 0.8 else node
    executor = rng.choice([*world.fleet.executors.values()])
    match event:
        case "kill":
            world.restart(node)
        case "kill two":
            world.restart(node)
            world.schedule(rng.randint(500, 2_000), _kill_scheduler, world)
        case "stop":
            node.hand_over()
            world.schedule(rng.randint(20, 2_000), _restart_if_alive, world, node)
        case "freeze":
            node.frozen_until_ms = world.clock.now_ms() + rng.randint(500, 5_000)
        case "core cut":
            node.reaches_store = False
        case "unconfirmed":
            leader.reaches_store = False
        case "refused":
            node.is_refused_by_store = True
        case "peer cut":
            node.reaches_peers = False
        case "zone cut":
            world.cut_zone(node)
        case "executor cut":
            executor.reaches_store = False
            for other in world.nodes:
                other.silent.add(executor.executor_id)
        case "outage":
            world.store.is_down = True
        case "restart":
            world.fleet.restart(executor)
        case "crash":
            world.fleet.crash(executor.machine)


def _kill_scheduler(world: World) -> None:
    for node in [node for node in world.nodes if node.scheduler._scheduler]:
        world.restart(node)


def _restart_if_alive(world: World, node: Node) -> None:
    if node.is_alive:
        world.restart(node)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_cancelled_work_ends_beside_faults_and_odd_entries(seed: int) -> None:
    # Guards against a cancelling that is acknowledged and then lost or without effect,
    # and against an entry of another writer that ends the processes that read it.
    world = play_cancellations(seed)
    assert world.violations == []
    assert world.cancellations.judged > 0


def test_a_cancelling_outlives_the_scheduler_that_has_read_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a cancelling that is lost when the scheduler ends: its marker was
    # removed while the final state waited for an earlier write of the job's progress.
    world = World(1)
    world.has_faults = False
    world.fleet.shortest_run_ms = world.fleet.longest_run_ms = 60_000
    world.run(1_500)
    steps = (Step(2, Resources(2_000, 1_000, 0), 600),)
    submission = Submission(Job("a" * 16, QUEUE.key, "pool", "spec", steps))
    world.submissions[submission.job.job_id] = submission
    world.call(SubmitJob(submission.job), lambda _: None)
    world.run(6_000)
    subtask, _ = world.fleet.running()
    handle = world.store.handle

    def lose_progress(node: Node, request: Any) -> None:
        puts = request.puts if isinstance(request, kv.Transact) else ()
        if any(row.key.startswith(PROGRESS_PREFIX) for row in puts):
            reply = kv.Reply(request.request_id, kv.Unknown("lost"))
            world.schedule(STORE_TIMEOUT_MS, node.deliver, request.reply_to, reply)
        else:
            handle(node, request)

    monkeypatch.setattr(world.store, "handle", lose_progress)
    for executor in world.fleet.executors.values():
        if subtask in executor.running:
            executor.ends_ms[subtask] = world.clock.now_ms()
    world.run(600)
    scheduling = next(node for node in world.nodes if node.scheduler._scheduler)
    cut_off = next(node for node in world.nodes if node is not scheduling)
    cut_off.reaches_peers = False
    submission.accepted_ms = world.clock.now_ms()
    world.cancel_at(cut_off, submission)
    world.run(2_000)
    assert world.fleet.running() == []
    monkeypatch.undo()
    world.heal()
    world.restart(scheduling)
    world.run(STABLE_MS + CANCEL_MS + STOP_MS + 1_000)
    assert world.violations == []
    assert world.cancellations.judged_with_runs == 1


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time; print broken ones and what was judged."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    judged = with_runs = at_once = 0
    while time.monotonic() < end_s:
        world = play_cancellations(seed)
        if world.violations:
            broken += 1
            report(f"seed {seed}: {world.violations[0]}")
        judged += world.cancellations.judged
        with_runs += world.cancellations.judged_with_runs
        at_once += world.cancellations.judged_at_once
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    report(
        f"{judged} cancellations judged, {with_runs} of jobs with runs, "
        f"{at_once} of these from their acknowledgement on"
    )
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
