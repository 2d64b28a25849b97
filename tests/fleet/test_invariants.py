"""Random commands in random order never break an invariant of the record."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.fleet import actions
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.kernel import Ok
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import ObjectSet
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run

OBJECTS = objects(
    per_pool=5,
    budget=AvailabilityBudget("x", 2, min_available_share=0.6, max_down_per_zone=1),
)
HOSTS = st.sampled_from(sorted(OBJECTS.hosts))
POOLS = st.sampled_from(sorted(OBJECTS.pools))
PHASES = st.sampled_from(list(HostPhase))
WAVE = st.just("w")

ACTIONS = st.one_of(
    st.builds(actions.AdmitHost, HOSTS, POOLS),
    st.builds(actions.RemoveHost, HOSTS),
    st.builds(actions.Drain, HOSTS),
    st.builds(actions.AdvanceDrain, HOSTS),
    st.builds(actions.Undrain, HOSTS),
    st.builds(actions.StartMove, HOSTS, POOLS),
    st.builds(actions.AdvanceMove, HOSTS, PHASES),
    st.builds(actions.UndoMove, HOSTS),
    st.builds(actions.StartWave, WAVE),
    st.builds(actions.PauseWave, WAVE),
    st.builds(actions.ResumeWave, WAVE),
    st.builds(actions.AbortWave, WAVE),
    st.builds(actions.FinishWave, WAVE),
    st.builds(actions.StartWaveHost, WAVE, HOSTS),
    st.builds(actions.AdvanceWaveHost, HOSTS, PHASES),
    st.builds(actions.ReturnWaveHost, HOSTS),
    st.builds(actions.FinishWaveHost, HOSTS, st.booleans()),
    st.just(actions.RaiseFence()),
    st.builds(actions.TrimOutbox, st.integers(0, 40)),
)
DOWN = st.frozensets(HOSTS, max_size=2)
STEPS = st.lists(
    st.tuples(ACTIONS, st.none() | st.integers(0, 9), DOWN), min_size=5, max_size=60
)


def margins(
    state: FleetState, object_set: ObjectSet, live: Liveness
) -> dict[str, tuple[int, int]]:
    """Return each pool's hosts above the budget, and its most hosts down in a zone."""
    budget = object_set.budgets["x"]
    return {
        pool: (
            status.available - required_available(budget, status.size),
            max(status.down_per_zone.values(), default=0),
        )
        for pool, status in pool_statuses(state, object_set, live).items()
    }


@given(STEPS)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_no_command_breaks_a_guarantee(
    steps: list[tuple[actions.FleetAction, int | None, frozenset[str]]],
) -> None:
    """Budgets, one pool a host, the fence and the audit trail, under host losses."""
    state = placed(OBJECTS)
    for action, token, down in steps:
        live = Liveness(frozenset(OBJECTS.hosts) - down)
        outcome = run(state, action, OBJECTS, live, token)
        if not isinstance(outcome, Ok):
            continue
        new = outcome.value
        before, after = (margins(s, OBJECTS, live) for s in (state, new))
        for pool, (margin, in_zone) in after.items():
            assert margin >= min(before[pool][0], 0), (action, pool)
            assert in_zone <= max(before[pool][1], 1), (action, pool)
        assert new.fence >= state.fence
        assert token is None or token >= state.fence
        assert set(new.placements) == set(state.placements)
        assert new.next_sequence == state.next_sequence + 1
        assert new.outbox[-1].sequence == state.next_sequence
        for item in new.disruptions.values():
            assert item.host in new.placements
        state = new
