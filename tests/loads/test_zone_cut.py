"""Replays of a partition of an availability zone whose callers still reach it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.intake.rejection import can_return
from guavapin.intake.task import ANSWER_MARGIN_MS
from tests.loads.callers import Callers
from tests.loads.patterns import Load
from tests.model.world import Node
from tests.model.world import World

LOAD = Load(seed=1, duration_ms=7_000, interval_ms=60, count=1, cpu_millis=500)

# The partition of gagnon-jobs-large scale-1.
CUT_MS = 5_100

# Time after which the platform no longer sends callers to a host that is not ready.
OUT_OF_ROTATION_MS = 2_000

# Time within which a caller is told to return once the partition is known.
MAX_REJECTION_MS = 50


def replay(load: Load, rejects: bool = True) -> tuple[World, Callers, list[int]]:
    """Partition a node that does not schedule, in the zone of all callers.

    Return the world, the callers, and the times between which the node was not ready.
    """
    world = World(load.seed)
    world.has_faults = False
    world.run(3_000)
    cut = next(node for node in world.nodes if not node.scheduler._scheduler)
    others = [node for node in world.nodes if node is not cut]
    cut.rejects_when_cut_off = rejects
    unready_ms: list[int] = []

    def choose_node() -> Node:
        since_ms = cut.unready_since_ms
        if since_ms and since_ms not in unready_ms:
            unready_ms.append(since_ms)
        now_ms = world.clock.now_ms()
        is_out = since_ms and now_ms - since_ms >= OUT_OF_ROTATION_MS
        return world.rng.choice(others) if is_out else cut

    callers = Callers(world, load, choose_node)
    world.run(1_000)
    cut.reaches_store = cut.reaches_peers = False
    world.run(CUT_MS)
    unready_ms.append(world.clock.now_ms())
    cut.reaches_store = cut.reaches_peers = True
    world.run(load.duration_ms)
    world.run_until_ended()
    world.check_end()
    return world, callers, unready_ms


@pytest.mark.parametrize("seed", range(4))
def test_callers_of_a_cut_off_host_are_told_at_once_when_to_return(seed: int) -> None:
    # Guards against callers that wait for their deadline in a zone that is cut off: in
    # gagnon-jobs-large inc-5ad2, 40 of the 336 jobs of one zone were lost.
    load = replace(LOAD, seed=seed)
    world, callers, (begin_ms, *_, end_ms) = replay(load)
    assert world.violations == []
    waits = [
        answered_ms - sent_ms
        for caller in callers.all
        for sent_ms, answered_ms in zip(caller.sent_ms, caller.answered_ms, strict=True)
        if begin_ms <= sent_ms < end_ms
        and can_return(caller.first_ms + load.budget_ms - sent_ms - ANSWER_MARGIN_MS)
    ]
    assert waits and max(waits) <= MAX_REJECTION_MS
    for caller in callers.all:
        if caller.is_always_rejected:
            assert not world.fleet.is_job_done(caller.submission.job)


@pytest.mark.parametrize("seed", range(4))
def test_more_jobs_are_accepted_than_without_rejections(seed: int) -> None:
    # Guards against rejections that cost callers more than waiting does.
    load = replace(LOAD, seed=seed)
    counts = [
        sum(caller.is_accepted for caller in replay(load, rejects)[1].all)
        for rejects in (True, False)
    ]
    assert counts[0] > counts[1]
