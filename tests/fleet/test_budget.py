from __future__ import annotations

import pytest

from guavapin.fleet.actions import Drain
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_status
from guavapin.fleet.budget import pool_statuses
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.model import AvailabilityBudget
from tests.fleet.builders import all_live
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run


@pytest.mark.parametrize(
    ("budget", "drained", "refused", "words"),
    [
        (AvailabilityBudget("x", min_available=5), ["a0"], "a1", "at least 5"),
        (AvailabilityBudget("x", min_available_share=0.8), ["a0"], "a1", "at least 5"),
        (AvailabilityBudget("x", max_down_per_zone=1), ["a0"], "a3", "zone 'z0'"),
        (AvailabilityBudget("x", max_down_per_rack=1), ["a0"], "a3", "rack 'r0-0'"),
    ],
)
def test_each_kind_of_budget_refuses_and_names_what_breaks(
    budget: AvailabilityBudget, drained: list[str], refused: str, words: str
) -> None:
    object_set = objects(budget=budget)
    state = placed(object_set)
    for host in drained:
        state = must(run(state, Drain(host), object_set))
    outcome = run(state, Drain(refused), object_set)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BUDGET
    assert words in outcome.detail and "'x'" in outcome.detail


def test_zone_limit_does_not_restrict_other_zones() -> None:
    object_set = objects(budget=AvailabilityBudget("x", max_down_per_zone=1))
    state = must(run(placed(object_set), Drain("a0"), object_set))
    assert isinstance(run(state, Drain("a1"), object_set), Ok)


def test_hosts_down_on_their_own_use_up_the_budget() -> None:
    object_set = objects()
    live = Liveness(all_live(object_set).live - {"a4", "a5"})
    outcome = run(placed(object_set), Drain("a0"), object_set, live)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BUDGET


def test_without_a_host_list_nothing_is_taken_out() -> None:
    """Guards against an outage that frees the budget: unknown hosts count as down."""
    object_set = objects()
    outcome = run(placed(object_set), Drain("a0"), object_set, Liveness())
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BUDGET


def test_lending_hosts_does_not_lower_the_share() -> None:
    object_set = objects(budget=AvailabilityBudget("x", min_available_share=0.5))
    state = placed(object_set)
    for host in ("a0", "a1"):
        state.placements[host] = "b"
    assert pool_status(state, object_set, all_live(object_set), "a").size == 6


def test_single_and_bulk_status_agree() -> None:
    object_set = objects()
    state = must(run(placed(object_set), Drain("a0"), object_set))
    live = Liveness(all_live(object_set).live - {"b2"})
    bulk = pool_statuses(state, object_set, live)
    for pool in object_set.pools:
        assert bulk[pool] == pool_status(state, object_set, live, pool)
