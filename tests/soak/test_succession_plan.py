"""Successions are drawn from their seeds and leave the other faults as they are."""

from __future__ import annotations

from guavapin_soak.executor_plan import plan_executors
from guavapin_soak.succession_plan import LIST_KINDS
from guavapin_soak.succession_plan import SuccessionKind
from guavapin_soak.succession_plan import plan_other_faults
from guavapin_soak.succession_plan import plan_successions

LENGTH_MS = 30_000
SEEDS = range(40)


def test_plans_are_fixed_by_their_seeds_and_have_all_kinds() -> None:
    # Guards against a failed seed that can't be played again, and against a kind of
    # fault, or a variant of a next life, that is never drawn.
    plans = [plan_successions(seed, LENGTH_MS, 10) for seed in SEEDS]
    assert plans == [plan_successions(seed, LENGTH_MS, 10) for seed in SEEDS]
    faults = [fault for plan in plans for fault in plan.faults]
    assert {fault.kind for fault in faults} == set(SuccessionKind)
    assert {fault.suspends_former for fault in faults} == {True, False}
    assert {fault.delays_starts for fault in faults} == {True, False}
    assert all(plan.roll_pauses_ms for plan in plans)
    lists = {any(row.kind in LIST_KINDS for row in plan.faults) for plan in plans}
    assert lists == {True, False}


def test_the_other_faults_are_those_of_the_same_seed_or_none() -> None:
    # Guards against seeds that failed before and now play other faults.
    drawn = {seed: plan_other_faults(seed, LENGTH_MS, 10, 3).faults for seed in SEEDS}
    for seed, faults in drawn.items():
        assert faults in ((), plan_executors(seed, LENGTH_MS, 10, 3).faults)
    assert any(drawn.values())
    assert not all(drawn.values())
