from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from tests.claims.variants import ALL_VARIANTS
from tests.claims.world import World
from tests.claims.world import answer_to

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.claims.variants import Make

FAULTS = ("", "", "lost", "late", "not_sent", "limited")
MAX_REQUESTS = 8


def enabled(world: World) -> list[Callable[[], object]]:
    """Return the events that may come next, in a fixed order."""
    events: list[Callable[[], object]] = []
    for index, process in enumerate(world.processes):
        if not process.is_alive:
            continue
        if len(world.requests) < MAX_REQUESTS:
            events.extend(partial(world.claim, index, key) for key in ("k", "k", "l"))
            events.append(partial(world.claim, index, "k", b"other"))
        for position in range(len(process.calls)):
            events.extend(
                partial(world.execute, index, position, fault) for fault in FAULTS
            )
        for position in range(len(process.answers)):
            events.extend([partial(world.deliver, index, position)] * 4)
        for position in range(len(process.wakes)):
            events.append(partial(world.wake, index, position))
        if len(world.requests) > 4:
            events.append(partial(world.die, index))
    for position in range(len(world.late)):
        events.append(lambda position=position: world.apply(world.late.pop(position)))
    return events + endings(world)


def endings(world: World) -> list[Callable[[], object]]:
    """Return the ways in which requests may end."""
    events: list[Callable[[], object]] = []
    for request_id, req in world.requests.items():
        is_over = req.finished is not None or req.told is not None
        if is_over or not world.processes[req.process].is_alive:
            continue
        events.append(partial(world.finish, request_id, ReleaseClaim(request_id)))
        if req.is_granted:
            unknown = RecordUnknown(request_id, "broken")
            events.append(partial(world.finish, request_id, answer_to(request_id)))
            events.append(partial(world.finish, request_id, unknown))
    return events


@pytest.mark.parametrize("make", ALL_VARIANTS)
@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    processes=st.integers(1, 4),
    choices=st.lists(st.integers(0, 2**16), min_size=20, max_size=80),
)
def test_a_key_is_never_granted_twice(
    make: Make, processes: int, choices: list[int]
) -> None:
    # Guards against a second run: answers lost after the effect, calls that take
    # effect late, dead and paused claimants, in any order. `World` checks each grant.
    world = World(make, processes)
    for index in range(processes):
        world.exchange(index)
    for choice in choices:
        events = enabled(world)
        if events:
            events[choice % len(events)]()
    world.run_for(10_000)
    while world.late:
        world.apply(world.late.pop())
    world.run_for(30_000)
    for req in world.requests.values():
        if world.processes[req.process].is_alive:
            assert req.is_granted or req.told is not None or req.finished is not None
