"""No subtask runs on two executors at once under faults of the executors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.executor_plan import EXECUTOR_KINDS
from guavapin_soak.executor_plan import plan_executors
from guavapin_soak.executor_run import run_executors

if TYPE_CHECKING:
    from pathlib import Path

SEED = 1
SUCCESSION_SEED = 712
SERVICE_SEED = 5201
LENGTH_MS = 8_000


def test_plans_are_fixed_by_their_seeds_and_have_all_kinds() -> None:
    # Guards against a failed seed that can't be played again, and against a kind of
    # fault that is never drawn.
    plans = [plan_executors(seed, 20_000, 8, 3) for seed in range(40)]
    assert plans == [plan_executors(seed, 20_000, 8, 3) for seed in range(40)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn >= set(EXECUTOR_KINDS)
    assert {plan.max_lease_ms for plan in plans} == {6_000, 10_000}
    assert any(row.stands_still for plan in plans for row in plan.clocks)


def test_a_short_run_has_no_two_runs_at_once(tmp_path: Path) -> None:
    # Guards against a lease that lasts longer than the scheduler counts.
    result = run_executors(SEED, LENGTH_MS, 2, tmp_path)
    # Otherwise nothing was judged.
    assert result.accepted > 0
    assert result.kinds["start"] > result.accepted
    assert result.violations == ()


def test_next_lives_under_other_ids_cause_no_two_runs(tmp_path: Path) -> None:
    # Guards against an answer of a former life, an old list of machines or a removed
    # entry that ends the runs of an executor that is up.
    result = run_executors(
        SUCCESSION_SEED, LENGTH_MS, 2, tmp_path, has_successions=True
    )
    # Otherwise nothing was judged.
    assert result.kinds["succeeds"] > 0
    assert result.kinds["start"] > result.accepted
    assert result.violations == ()


def test_changes_of_the_service_cause_no_two_runs(tmp_path: Path) -> None:
    # Guards against a successor that starts subtasks on the new service while they run
    # on a silent executor of the former one.
    result = run_executors(
        SERVICE_SEED, LENGTH_MS, 2, tmp_path, has_service_changes=True
    )
    # Otherwise nothing was judged.
    assert result.service_changes > 0
    assert result.kinds["start"] > result.accepted
    assert result.violations == ()
