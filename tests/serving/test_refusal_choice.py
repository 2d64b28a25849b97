"""Which connections are refused or closed, and how a process divides its limits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.serving.client_budget import MEGABYTE
from guavapin.serving.client_budget import divide
from guavapin.serving.refusal_choice import ClientLoad
from guavapin.serving.refusal_choice import IdleClient
from guavapin.serving.refusal_choice import choose_idle
from guavapin.serving.refusal_choice import choose_refusals

FIXED = settings(derandomize=True, max_examples=300, deadline=None)
NUMBERS = st.integers(0, 300_000)
LOADS = st.lists(
    st.builds(ClientLoad, NUMBERS, NUMBERS, NUMBERS, NUMBERS, st.booleans())
)


@FIXED
@given(LOADS, st.integers(0, 10**6))
def test_complete_requests_are_never_refused(loads, excess):
    # Guards against a 503 to a caller whose request may have run.
    loads = [
        ClientLoad(
            n, load.held_bytes, load.received_bytes, load.age_ms, load.is_refusable
        )
        for n, load in enumerate(loads)
    ]
    chosen = choose_refusals(loads, excess)
    assert all(loads[conn_id].is_refusable for conn_id in chosen)
    freed = sum(loads[conn_id].held_bytes for conn_id in chosen)
    all_refusable = sum(load.held_bytes for load in loads if load.is_refusable)
    assert freed >= min(excess, all_refusable)


def test_stalled_and_costly_requests_are_refused_first():
    # Guards against refusals of callers that send as fast as they can.
    active = ClientLoad(1, 262_144, 262_144, 40, True)
    stalled = ClientLoad(2, 262_144, 262_144, 4_000, True)
    costly = ClientLoad(3, 600_000, 16_000, 40, True)
    complete = ClientLoad(4, 900_000, 16_000, 9_000, False)
    loads = (complete, active, costly, stalled)
    assert choose_refusals(loads, 1) == (2,)
    assert choose_refusals(loads, 500_000) == (2, 3)


def test_silent_connections_are_closed_before_those_of_callers():
    # Guards against silent connections that keep callers out of a full listener.
    clients = (
        IdleClient(1, 9_000, True),
        IdleClient(2, 2_000, False),
        IdleClient(3, 900, False),
    )
    assert choose_idle(clients, 2) == (2, 1)


@FIXED
@given(st.integers(64, 4_096), st.integers(64, 100_000), st.integers(0, 8_192))
def test_budgets_stay_within_the_limits_of_the_process(memory_mb, max_fds, clients_mb):
    # Guards against budgets that add up to more than the process has.
    budget = divide(memory_mb, max_fds, clients_mb)
    listeners = (budget.callers, budget.peers, budget.probes, budget.metrics)
    held = sum(listener.held_bytes for listener in listeners) + budget.answer_bytes
    assert held <= (memory_mb - 48) * MEGABYTE
    assert sum(listener.max_connections for listener in listeners) < max_fds


def test_machines_of_the_smallest_size_keep_their_usual_connections():
    # Guards against limits that quiet deployments reach: 34 entry hosts and 179
    # executors, each with up to four connections.
    for budget in (divide(200, 4_100), divide(0, 0)):
        assert budget.callers.max_connections == 2_048
        assert budget.peers.max_connections >= 4 * 34
        listeners = (budget.callers, budget.peers, budget.probes, budget.metrics)
        used = sum(listener.max_connections for listener in listeners)
        assert 4_100 - used >= 200 + 4 * 179
