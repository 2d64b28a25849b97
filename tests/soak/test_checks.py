"""The checks of the soak report each broken promise and no kept one."""

from __future__ import annotations

import pytest

from guavapin_soak.checks import VISIBLE_MS
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_soak.checks import JobShape
from guavapin_soak.checks import violations
from guavapin_standins.resident_executor import RunEvent

SHAPE = JobShape((1, 1))
JOB = "a"
FIRST, SECOND = f"{JOB}.0.0.0", f"{JOB}.0.1.0"


def reported(*rows: tuple[int, EventKind]) -> list[CallerEvent]:
    return [CallerEvent(at_ms, JOB, kind) for at_ms, kind in rows]


def ran(*rows: tuple[int, str, str]) -> list[RunEvent]:
    return [RunEvent(kind, task, at_ms) for at_ms, kind, task in rows]


COMPLETE = ran(
    (10, "start", FIRST),
    (20, "done", FIRST),
    (21, "confirmed", FIRST),
    (30, "start", SECOND),
    (40, "done", SECOND),
)
SERVED = reported(
    (1, EventKind.SENT), (5, EventKind.ACCEPTED), (50, EventKind.SUCCEEDED)
)


def test_a_job_that_succeeds_breaks_no_promise() -> None:
    # Guards against checks that fail every run.
    assert violations(SERVED, COMPLETE, SHAPE) == []


@pytest.mark.parametrize(
    ("caller_events", "runs", "expected"),
    [
        (
            SERVED,
            [*COMPLETE[:1], *ran((15, "start", FIRST)), *COMPLETE[1:]],
            "two runs",
        ),
        (SERVED, [*COMPLETE, *ran((60, "start", FIRST))], "after its confirmed end"),
        (SERVED, [*ran((5, "start", SECOND)), *COMPLETE], "before a.0.0.0 was done"),
        (
            reported((1, EventKind.SENT), (2, EventKind.REFUSED)),
            COMPLETE,
            "was refused",
        ),
        (
            reported((5, EventKind.ACCEPTED), (9, EventKind.RUNNING)),
            COMPLETE,
            "last heard of",
        ),
        (
            reported((5, EventKind.ACCEPTED), (30, EventKind.SUCCEEDED)),
            COMPLETE,
            "before a.0.1.0 was",
        ),
        (
            reported((5, EventKind.ACCEPTED), (6 + VISIBLE_MS, EventKind.UNKNOWN)),
            COMPLETE,
            "shown as unknown",
        ),
    ],
)
def test_each_broken_promise_is_reported(
    caller_events: list[CallerEvent], runs: list[RunEvent], expected: str
) -> None:
    # Guards against checks that cannot fail.
    assert any(expected in text for text in violations(caller_events, runs, SHAPE))


def test_a_run_may_start_again_after_its_executor_is_removed() -> None:
    # Guards against a check that counts a run on a removed host as still running.
    runs = [*ran((5, "start", FIRST), (6, "gone", FIRST)), *COMPLETE]
    assert violations(SERVED, runs, SHAPE) == []


def test_a_cancelled_job_breaks_no_promise() -> None:
    # Guards against cancelled jobs that are counted as lost.
    caller_events = reported(
        (5, EventKind.ACCEPTED),
        (6, EventKind.CANCEL_SENT),
        (5_000, EventKind.CANCELLED),
    )
    assert violations(caller_events, [], SHAPE) == []
