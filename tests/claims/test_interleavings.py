from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from tests.claims.simulation import Simulation
from tests.claims.simulation import answer_to
from tests.claims.variants import ALL_VARIANTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.claims.variants import StoreFactory

FAULTS = ("", "", "lost", "late", "not_sent", "limited")
MAX_REQUESTS = 8


def enabled(sim: Simulation) -> list[Callable[[], object]]:
    """Return the events that can happen next, in a fixed order."""
    events: list[Callable[[], object]] = []
    for index, process in enumerate(sim.processes):
        if not process.is_alive:
            continue
        if len(sim.requests) < MAX_REQUESTS:
            events.extend(partial(sim.claim, index, key) for key in ("k", "k", "l"))
            events.append(partial(sim.claim, index, "k", b"other"))
        for position in range(len(process.calls)):
            events.extend(
                partial(sim.execute, index, position, fault) for fault in FAULTS
            )
        for position in range(len(process.answers)):
            events.extend([partial(sim.deliver, index, position)] * 4)
        for position in range(len(process.wakes)):
            events.append(partial(sim.wake, index, position))
        if len(sim.requests) > 4:
            events.append(partial(sim.kill, index))
    for position in range(len(sim.delayed_calls)):
        events.append(
            lambda position=position: sim.apply(sim.delayed_calls.pop(position))
        )
    return events + endings(sim)


def endings(sim: Simulation) -> list[Callable[[], object]]:
    """Return the events that end the requests which are still open."""
    events: list[Callable[[], object]] = []
    for request_id, req in sim.requests.items():
        is_over = req.finished is not None or req.refusal is not None
        if is_over or not sim.processes[req.process].is_alive:
            continue
        events.append(partial(sim.finish, request_id, ReleaseClaim(request_id)))
        if req.is_granted:
            unknown = RecordUnknown(request_id, "broken")
            events.append(partial(sim.finish, request_id, answer_to(request_id)))
            events.append(partial(sim.finish, request_id, unknown))
    return events


@pytest.mark.parametrize("make_store", ALL_VARIANTS)
@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    processes=st.integers(1, 4),
    choices=st.lists(st.integers(0, 2**16), min_size=20, max_size=80),
)
def test_a_key_is_never_granted_twice(
    make_store: StoreFactory, processes: int, choices: list[int]
) -> None:
    # Guards against a second run of a request when answers are lost after the effect,
    # calls take effect late, and claimants die or pause, in any order. `Simulation`
    # checks each grant.
    sim = Simulation(make_store, processes)
    for index in range(processes):
        sim.exchange_calls(index)
    for choice in choices:
        events = enabled(sim)
        if events:
            events[choice % len(events)]()
    sim.run_for(10_000)
    while sim.delayed_calls:
        sim.apply(sim.delayed_calls.pop())
    sim.run_for(30_000)
    for req in sim.requests.values():
        if sim.processes[req.process].is_alive:
            assert req.is_granted or req.refusal is not None or req.finished is not None
