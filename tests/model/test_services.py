"""Changes of a queue's service break no promise; mended faults are found."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from guavapin.scheduling.queue_rules import QueueRules
from guavapin.scheduling.run_pools import RunPools
from tests.model.services import PROFILES
from tests.model.services import play_services

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of seeds within which a fault must be found, from the first one of its row on.
MAX_SEEDS = 12


@pytest.mark.parametrize("seed", range(12))
def test_no_promise_breaks_while_services_change(seed: int) -> None:
    # Guards against any order of takeovers, partitions and changes of a service in
    # which a subtask runs twice or an accepted job is lost.
    assert play_services(seed).violations == []


def search_the_present_pool_only(patch: pytest.MonkeyPatch) -> None:
    def pools(rules, job_run) -> frozenset[str]:
        return frozenset((rules.pool_of_job(job_run),))

    patch.setattr(QueueRules, "run_pools_of", pools)


def name_no_later_pool(patch: pytest.MonkeyPatch) -> None:
    """Leave the record at the service of the submission, as without a record."""

    def add(pools, pool, in_use) -> RunPools:
        return RunPools(pools.names, pools.stored | {pool}, pools.version + 1)

    patch.setattr(RunPools, "add", add)


@pytest.mark.parametrize(
    ("fault", "first_seed"),
    [(search_the_present_pool_only, 6), (name_no_later_pool, 28)],
)
def test_a_mended_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model that cannot find the faults it is for.
    fault(monkeypatch)
    for seed in range(first_seed, first_seed + MAX_SEEDS):
        violations = play_services(seed, PROFILES[0]).violations
        if violations:
            print(f"seed {seed}: {violations[0]}")
            break
    assert any("TWICE" in violation for violation in violations)


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time and print those that break a promise."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    while time.monotonic() < end_s:
        violations = play_services(seed).violations
        if violations:
            broken += 1
            report(f"seed {seed}: {violations[0]}")
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
