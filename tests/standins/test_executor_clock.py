"""The clock of an executor's process differs from the machine's as it was told to."""

from __future__ import annotations

from guavapin_standins.executor_clock import ClockTraits
from guavapin_standins.executor_clock import ExecutorClock


def test_a_slow_clock_loses_its_share() -> None:
    # Guards against executors whose clocks are exact after all.
    clock = ExecutorClock(ClockTraits(5_000, 0.02), 1_000)
    assert [clock.at(1_000), clock.at(1_300), clock.at(11_000)] == [
        5_000,
        5_294,
        14_800,
    ]


def test_only_a_clock_that_stands_still_leaves_out_a_suspension() -> None:
    # Guards against leases that never last longer than a suspension.
    still, running = (
        ExecutorClock(ClockTraits(0, 0.0, stands_still), 0)
        for stands_still in (True, False)
    )
    times = (100, 110, 3_110, 3_120)
    assert [still.at(now_ms) for now_ms in times] == [100, 110, 110, 120]
    assert [running.at(now_ms) for now_ms in times] == [*times]
