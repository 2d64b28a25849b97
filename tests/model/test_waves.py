"""No more machines of a wave are down than its cap; mended faults are found."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from guavapin.machines.predecessor_orders import PredecessorOrders
from guavapin.machines.waves import WaveProgress
from tests.model.waves import PROFILES
from tests.model.waves import play_waves

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.model.waves import Waves

# Number of seeds within which a fault must be found.
MAX_SEEDS = 12


@pytest.mark.parametrize("seed", range(12))
def test_no_promise_breaks_while_waves_are_taken_over(seed: int) -> None:
    # Guards against any order of takeovers and late orders in which a wave has more
    # machines down than its cap, or leaves a machine out.
    played: list[Waves] = []
    assert play_waves(seed, played=played).violations == []
    assert played[0].maintained


def ignore_open_maintenance(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PredecessorOrders, "machines_ordered_for", lambda *_: frozenset())


def read_each_wave_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(WaveProgress, "replace", lambda progress, wave: None)


@pytest.mark.parametrize(
    ("fault", "rule", "profile"),
    [
        (ignore_open_maintenance, "LIMIT", PROFILES[0]),
        (read_each_wave_once, "MIXED", PROFILES[1]),
    ],
)
def test_a_mended_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    profile: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model that cannot find the faults of review/9 and review/7.
    fault(monkeypatch)
    played = (play_waves(seed, profile) for seed in range(MAX_SEEDS))
    violations = next(world.violations for world in played if world.violations)
    print(violations[0])
    assert any(rule in violation for violation in violations)


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time and print those that break a promise."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    played: list[Waves] = []
    while time.monotonic() < end_s:
        violations = play_waves(seed, played=played).violations
        if violations:
            broken += 1
            report(f"seed {seed}: {violations[0]}")
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    report(f"maintenance began late {sum(row.late_begins for row in played)} times")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
