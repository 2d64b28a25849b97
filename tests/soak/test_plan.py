"""The faults of a run are determined by its seed."""

from __future__ import annotations

import hashlib
import itertools

import pytest

from guavapin_soak.odd_entries import ODD_ENTRIES
from guavapin_soak.plan import FaultKind
from guavapin_soak.plan import plan_entries
from guavapin_soak.plan import plan_faults

LENGTH_MS = 12_000
ENTRY_NAMES = tuple(ODD_ENTRIES)


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


@pytest.mark.parametrize("seed", range(20))
def test_odd_entries_end_with_the_run(seed: int) -> None:
    # Guards against an entry that is left in the registry, and against a seed that
    # cannot be reproduced.
    entries = plan_entries(seed, LENGTH_MS, ENTRY_NAMES)
    assert entries and entries == plan_entries(seed, LENGTH_MS, ENTRY_NAMES)
    assert all(entry.at_ms + entry.for_ms <= LENGTH_MS for entry in entries)
    assert {entry.kind for entry in entries} == {FaultKind.ODD_ENTRY}
    names = [entry.entry for entry in entries]
    assert len({*names}) == min(len(names), len(ENTRY_NAMES))


def test_a_seed_that_failed_before_keeps_its_faults() -> None:
    # Guards against regression seeds that lose their meaning when a kind is added: the
    # digest is that of the plan with which seed 43 failed.
    rows = [
        (fault.at_ms, fault.for_ms, fault.kind.name, fault.targets)
        for fault in plan_faults(43, LENGTH_MS, 3)
    ]
    digest = hashlib.sha256(repr(rows).encode()).hexdigest()
    assert digest == "c230b4433a43f099942c613114325c9e797d15af3010a15141e56a7816f517a7"


def test_fifty_seeds_draw_every_kind_and_overlapping_faults() -> None:
    # Guards against a kind of fault that the default fifty seeds never draw.
    plans = [plan_faults(seed, LENGTH_MS, 3) for seed in range(1, 51)]
    entries = [plan_entries(seed, LENGTH_MS, ENTRY_NAMES) for seed in range(1, 51)]
    drawn = {fault.kind for plan in [*plans, *entries] for fault in plan}
    assert drawn == set(FaultKind)
    names = {entry.entry for plan in entries for entry in plan}
    assert names == set(ENTRY_NAMES)
    overlaps = sum(
        later.at_ms < earlier.at_ms + earlier.for_ms
        for plan in plans
        for earlier, later in itertools.pairwise(plan)
    )
    assert overlaps > len(plans)
