"""No subtask runs twice although executors start again, are slow or fall silent."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.host_lease import _latest_end_ms
from guavapin.scheduling.host_table import HostTable
from tests.model.clocks import play_clocks

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = 16

# Number of seeds within which a mended fault must be found.
MAX_SEEDS = 20


def count_answered_orders_from_their_sending(patch: pytest.MonkeyPatch) -> None:
    def settle(lease, order, clock_ms, now_ms) -> None:
        grant = lease._open.pop(order, None)
        if grant is not None:
            lease._settle_until(_latest_end_ms(lease._terms.given_ms, grant.sent_ms))

    patch.setattr(HostLease, "settle", settle)


def begin_on_idle_executors_by_older_readings(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HostLease, "may_begin", HostLease.may_extend)


def rule_late_starts_out_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HostTable, "_may_start_late", lambda hosts, host: False)


def count_as_before_beside_readings(patch: pytest.MonkeyPatch) -> None:
    """Leave only the age of readings, which several other rules back up."""
    count_answered_orders_from_their_sending(patch)
    begin_on_idle_executors_by_older_readings(patch)
    rule_late_starts_out_at_once(patch)


def give_leases_by_old_readings(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HostLease, "may_extend", lambda lease, now_ms: True)


def assume_that_leases_last_as_long_as_given(patch: pytest.MonkeyPatch) -> None:
    assume = HostLease.assume

    def assume_given(lease, is_settled_life, now_ms) -> None:
        assume(lease, True, now_ms)

    patch.setattr(HostLease, "assume", assume_given)


def count_leases_as_before(patch: pytest.MonkeyPatch) -> None:
    give_leases_by_old_readings(patch)
    count_as_before_beside_readings(patch)
    assume_that_leases_last_as_long_as_given(patch)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_while_clocks_begin_anew(seed: int) -> None:
    # Guards against any order of restarts, silence and takeovers in which a lease on
    # an executor's own clock lasts longer than the scheduler counts, so that a subtask
    # starts elsewhere while it still runs.
    assert play_clocks(seed).violations == []


FAULTS = (
    (count_as_before_beside_readings, 28),
    (count_leases_as_before, 49),
)


@pytest.mark.parametrize(("fault", "first_seed"), FAULTS)
def test_a_lease_that_is_counted_too_short_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model in which no lease lasts longer than a scheduler meant, so
    # that it cannot find the faults it is for.
    fault(monkeypatch)
    played = (play_clocks(first_seed + number) for number in range(MAX_SEEDS))
    violations = next((world.violations for world in played if world.violations), [])
    assert any("TWICE" in violation for violation in violations)


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time and print those that break a promise."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    while time.monotonic() < end_s:
        violations = play_clocks(seed).violations
        if violations:
            broken += 1
            report(f"seed {seed}: {violations[0]}")
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
