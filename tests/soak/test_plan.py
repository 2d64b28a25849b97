"""The faults of a run are determined by its seed."""

from __future__ import annotations

import itertools

import pytest

from guavapin_soak.plan import FaultKind
from guavapin_soak.plan import plan_faults

LENGTH_MS = 12_000


def test_a_seed_gives_the_same_faults_each_time() -> None:
    # Guards against a failed seed that cannot be reproduced.
    assert plan_faults(7, LENGTH_MS, 3) == plan_faults(7, LENGTH_MS, 3)
    assert plan_faults(7, LENGTH_MS, 3) != plan_faults(8, LENGTH_MS, 3)


@pytest.mark.parametrize("seed", range(20))
def test_faults_end_with_the_run_and_hit_known_hosts(seed: int) -> None:
    # Guards against a fault that is still active when the checks begin.
    for fault in plan_faults(seed, LENGTH_MS, 3):
        assert fault.at_ms + fault.for_ms <= LENGTH_MS
        assert set(fault.targets) <= {0, 1, 2} and fault.targets


def test_fifty_seeds_draw_every_kind_and_overlapping_faults() -> None:
    # Guards against a kind of fault that the default fifty seeds never draw.
    plans = [plan_faults(seed, LENGTH_MS, 3) for seed in range(1, 51)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    overlaps = sum(
        later.at_ms < earlier.at_ms + earlier.for_ms
        for plan in plans
        for earlier, later in itertools.pairwise(plan)
    )
    assert overlaps > len(plans)
