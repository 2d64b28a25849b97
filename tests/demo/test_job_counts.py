"""Events of callers, runs and machines are counted as the promises are worded."""

from __future__ import annotations

import pytest

from guavapin_demo.job_counts import JobCounts
from guavapin_demo.job_counts import count_jobs
from guavapin_demo.job_counts import count_moves
from guavapin_demo.job_counts import longest_standstill_ms
from guavapin_demo.job_counts import most_in_maintenance
from guavapin_demo.job_counts import sum_machine_seconds
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_soak.checks import JobShape
from guavapin_soak.checks import find_double_runs
from guavapin_soak.checks import find_early_starts
from guavapin_standins.resident_executor import RunEvent
from guavapin_standins.resident_platform import MAINTENANCE_ORDER
from guavapin_standins.resident_platform import MOVE_ORDER
from guavapin_standins.resident_platform import STANDBY_POOL
from guavapin_standins.resident_platform import MachineEvent


def seen(job_id: str, *rows: tuple[int, EventKind]) -> list[CallerEvent]:
    return [CallerEvent(at_ms, job_id, kind) for at_ms, kind in rows]


def ran(job_id: str, *rows: tuple[int, str]) -> list[RunEvent]:
    return [RunEvent(kind, f"{job_id}.0.0.0", at_ms) for at_ms, kind in rows]


@pytest.mark.parametrize(
    ("kinds", "expected"),
    [
        ([EventKind.SENT, EventKind.ACCEPTED, EventKind.SUCCEEDED], (1, 1, 0, 0, 0)),
        ([EventKind.SENT, EventKind.ACCEPTED, EventKind.RUNNING], (1, 0, 0, 0, 1)),
        ([EventKind.SENT, EventKind.ACCEPTED, EventKind.FAILED], (1, 0, 0, 0, 1)),
        ([EventKind.SENT, EventKind.REFUSED, EventKind.REFUSED], (0, 0, 1, 0, 0)),
        ([EventKind.SENT, EventKind.REFUSED, EventKind.UNANSWERED], (0, 0, 0, 1, 0)),
        ([EventKind.REFUSED, EventKind.ACCEPTED, EventKind.SUCCEEDED], (1, 1, 0, 0, 0)),
    ],
)
def test_a_job_is_counted_once_by_its_outcome(
    kinds: list[EventKind], expected: tuple[int, ...]
) -> None:
    # Guards against a lost job that is not counted, and a job that counts as rejected
    # although a later attempt was accepted or may have had an effect.
    rows = seen("a", *((at_ms, kind) for at_ms, kind in enumerate(kinds)))
    assert count_jobs(rows) == JobCounts(*expected)


def test_a_second_run_counts_although_the_first_end_was_not_confirmed() -> None:
    # Guards against a repeated run that is excused as after a lost report: the demo
    # loses none.
    runs = ran("a", (0, "start"), (9, "done"), (20, "start"), (29, "done"))
    assert len([*find_double_runs(runs, "done")]) == 1
    assert [*find_double_runs(runs)] == []


def test_jobs_of_different_shapes_are_checked_by_their_own() -> None:
    # Guards against steps that are checked by the shape of another queue's jobs.
    shapes = {"a": JobShape((1, 1)), "b": JobShape((2, 1))}
    runs = [
        RunEvent(kind, f"{job}.0.{step}.0", 0)
        for job in ("a", "b")
        for step in (0, 1)
        for kind in ("start", "done")
    ]
    (text,) = find_early_starts(runs, shapes.__getitem__)
    assert text.startswith("b.0.1.0") and "b.0.0.1" in text


MACHINE_EVENTS = [
    MachineEvent("start", "m-0", "checks", 0, 0),
    MachineEvent("start", "m-1", "builds", 0, 0),
    MachineEvent(MOVE_ORDER, "m-0", STANDBY_POOL, 1_000, 1_300),
    MachineEvent(MAINTENANCE_ORDER, "m-1", "builds", 2_000, 2_300),
    MachineEvent(MOVE_ORDER, "m-0", "builds", 4_000, 4_300),
]


def test_machine_seconds_leave_out_the_standby_pool() -> None:
    # Guards against machines that cost nothing and are counted as held.
    seconds = sum_machine_seconds(MACHINE_EVENTS, 10_000)
    assert seconds == {"builds": 16.0, "checks": 1.0}


def test_a_machine_that_returns_to_its_pool_has_not_moved() -> None:
    # Guards against a demo without a real move that is reported as one.
    back = MachineEvent(MOVE_ORDER, "m-0", "checks", 4_000, 4_300)
    assert count_moves(MACHINE_EVENTS) == 1
    assert count_moves([*MACHINE_EVENTS[:-1], back]) == 0


def test_machines_in_maintenance_are_counted_while_they_are_down() -> None:
    # Guards against a cap that is exceeded unseen, and against one that machines exceed
    # which went down one after the other.
    def down(machine: str, at_ms: int) -> MachineEvent:
        return MachineEvent(MAINTENANCE_ORDER, machine, "p", at_ms, at_ms + 300)

    assert most_in_maintenance([down("m-0", 0), down("m-1", 300)]) == 1
    assert most_in_maintenance([down("m-0", 0), down("m-1", 299)]) == 2
    assert most_in_maintenance([]) == 0


SERVED = seen("a", (10, EventKind.ACCEPTED), (900, EventKind.SUCCEEDED))


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        # A run that is under way at the hand-over bridges it.
        (ran("a", (20, "start"), (800, "done"), (801, "confirmed")), 100),
        # The time before the hand-over does not count.
        (ran("a", (150, "start"), (900, "done")), 50),
        (ran("a", (20, "start"), (90, "done"), (500, "start"), (900, "done")), 400),
        # A job whose runs are over stands still until its caller learns of its end.
        (ran("a", (20, "start"), (90, "done")), 800),
    ],
)
def test_the_longest_time_without_a_run_is_found(
    runs: list[RunEvent], expected: int
) -> None:
    # Guards against jobs that stand still after a hand-over and are not noticed.
    assert longest_standstill_ms(SERVED, runs, 100) == expected


def test_a_job_without_an_end_stands_still_until_the_last_event() -> None:
    # Guards against a job that never goes on and counts as if it were served.
    rows = [*seen("b", (5, EventKind.ACCEPTED)), *SERVED]
    assert longest_standstill_ms(rows, ran("a", (20, "start"), (890, "done")), 100) == (
        800
    )


def test_jobs_after_the_hand_over_do_not_count() -> None:
    # Guards against waits that the hand-over cannot have caused.
    assert longest_standstill_ms(SERVED, [], 5) == 0
