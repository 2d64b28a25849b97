"""The checks of the soak find each broken promise, and nothing else."""

from __future__ import annotations

import pytest

from guavapin_soak.checks import VISIBLE_MS
from guavapin_soak.checks import Heard
from guavapin_soak.checks import JobShape
from guavapin_soak.checks import Word
from guavapin_soak.checks import violations
from guavapin_standins.resident_executor import RunEvent

SHAPE = JobShape((1, 1))
JOB = "a"
FIRST, SECOND = f"{JOB}.0.0.0", f"{JOB}.0.1.0"


def told(*words: tuple[int, Word]) -> list[Heard]:
    return [Heard(at_ms, JOB, word) for at_ms, word in words]


def ran(*rows: tuple[int, str, str]) -> list[RunEvent]:
    return [RunEvent(kind, task, at_ms) for at_ms, kind, task in rows]


WHOLE = ran(
    (10, "start", FIRST),
    (20, "done", FIRST),
    (21, "confirmed", FIRST),
    (30, "start", SECOND),
    (40, "done", SECOND),
)
SERVED = told((1, Word.SENT), (5, Word.ACCEPTED), (50, Word.SUCCEEDED))


def test_a_job_that_was_served_breaks_nothing() -> None:
    # Guards against checks that fail every run.
    assert violations(SERVED, WHOLE, SHAPE) == []


@pytest.mark.parametrize(
    ("heard", "runs", "expected"),
    [
        (SERVED, [*WHOLE[:1], *ran((15, "start", FIRST)), *WHOLE[1:]], "two runs"),
        (SERVED, [*WHOLE, *ran((60, "start", FIRST))], "after its confirmed end"),
        (SERVED, [*ran((5, "start", SECOND)), *WHOLE], "before a.0.0.0 was done"),
        (told((1, Word.SENT), (2, Word.REFUSED)), WHOLE, "was refused"),
        (told((5, Word.ACCEPTED), (9, Word.RUNNING)), WHOLE, "last heard of"),
        (told((5, Word.ACCEPTED), (30, Word.SUCCEEDED)), WHOLE, "before a.0.1.0 was"),
        (
            told((5, Word.ACCEPTED), (6 + VISIBLE_MS, Word.UNKNOWN)),
            WHOLE,
            "shown as unknown",
        ),
    ],
)
def test_each_broken_promise_is_found(
    heard: list[Heard], runs: list[RunEvent], expected: str
) -> None:
    # Guards against checks that cannot fail.
    assert any(expected in text for text in violations(heard, runs, SHAPE))


def test_runs_that_went_with_their_executor_may_start_again() -> None:
    # Guards against a check that takes a run on a removed host for one that goes on.
    runs = [*ran((5, "start", FIRST), (6, "gone", FIRST)), *WHOLE]
    assert violations(SERVED, runs, SHAPE) == []


def test_a_cancelled_job_owes_nothing() -> None:
    # Guards against cancelled jobs that count as lost.
    heard = told((5, Word.ACCEPTED), (6, Word.CANCEL_SENT), (5_000, Word.CANCELLED))
    assert violations(heard, [], SHAPE) == []
