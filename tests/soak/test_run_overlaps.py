"""The judge of two runs at once counts executors that are up, and no others."""

from __future__ import annotations

from guavapin_soak.run_overlaps import LifeEvent
from guavapin_soak.run_overlaps import actions_before
from guavapin_soak.run_overlaps import events_around
from guavapin_soak.run_overlaps import find_overlaps

TASK = "j.0.0.0"
END_MS = 20_000


def event(at_ms: int, executor: str, kind: str) -> LifeEvent:
    """Return an event; starts and ends are those of `TASK`."""
    is_run = kind in ("start", "done", "lapsed", "stopped", "gone")
    return LifeEvent(at_ms, executor, kind, TASK if is_run else "")


def lengths(*events: LifeEvent) -> list[int]:
    """Return the length of each overlap."""
    return [row.length_ms for row in find_overlaps(events, END_MS)]


def test_runs_one_after_the_other_are_no_overlap() -> None:
    # Guards against a judge that fails a restart at the very end of the first run.
    assert not lengths(
        event(0, "a", "start"), event(6_000, "a", "lapsed"), event(6_000, "b", "start")
    )


def test_a_run_that_lapses_late_overlaps() -> None:
    # Guards against a judge that misses the fault it was written for.
    assert lengths(
        event(0, "a", "start"), event(6_400, "b", "start"), event(9_500, "a", "lapsed")
    ) == [3_100]


def test_runs_that_never_end_overlap_until_the_end_of_the_run() -> None:
    # Guards against runs that are missed as no end was written.
    assert lengths(event(0, "a", "start"), event(15_000, "b", "start")) == [5_000]


def test_a_killed_executor_has_no_run() -> None:
    # Guards against counting a run whose end no one could write.
    assert not lengths(
        event(0, "a", "start"), event(500, "a", "killed"), event(900, "b", "start")
    )


def test_the_next_life_of_a_killed_executor_counts() -> None:
    # Guards against a life after a kill that is not judged.
    assert lengths(
        event(0, "a", "start"),
        event(500, "a", "killed"),
        event(900, "b", "start"),
        event(1_000, "a", "up"),
        event(1_500, "a", "start"),
        event(1_700, "a", "stopped"),
    ) == [200]


def test_a_suspended_executor_counts_from_shortly_after_its_waking() -> None:
    # Guards against blaming a scheduler for runs that lapse at the waking.
    runs = (
        event(0, "a", "start"),
        event(1_000, "a", "suspended"),
        event(7_000, "b", "start"),
        event(9_000, "a", "woken"),
    )
    assert not lengths(*runs, event(9_100, "a", "lapsed"))
    assert lengths(*runs, event(9_600, "a", "lapsed")) == [500]


def test_time_before_a_suspension_counts() -> None:
    # Guards against excusing a whole run for one suspension in it.
    assert lengths(
        event(0, "a", "start"),
        event(1_000, "b", "start"),
        event(1_300, "a", "suspended"),
        event(4_000, "a", "woken"),
        event(4_050, "a", "lapsed"),
    ) == [300]


def test_a_suspension_before_a_run_excuses_nothing() -> None:
    # Guards against a grace after a waking for runs that began after it.
    assert lengths(
        event(0, "b", "start"),
        event(100, "a", "suspended"),
        event(900, "a", "woken"),
        event(910, "a", "start"),
        event(950, "a", "stopped"),
    ) == [40]


def test_the_report_has_the_events_of_both_executors_around_an_overlap() -> None:
    # Guards against a failure that can't be read without all the logs.
    rows = (
        event(100, "a", "up"),
        event(5_000, "a", "start"),
        event(7_000, "b", "start"),
        event(7_100, "c", "killed"),
        event(8_000, "a", "lapsed"),
        event(9_000, "b", "stopped"),
    )
    (overlap,) = find_overlaps(rows, END_MS)
    around = [row.at_ms for row in events_around(overlap, rows, 1_000)]
    assert around == [5_000, 7_000, 8_000]
    assert "two runs at once for 1000 ms" in overlap.describe()


def test_a_run_ends_when_its_executor_begins_to_stop() -> None:
    # Guards against runs of a former life that count beside those of the next one.
    assert not lengths(
        event(0, "a", "start"), event(500, "a", "gone"), event(500, "a-1", "start")
    )


def test_the_report_says_which_attempt_began_first_and_what_was_done_before() -> None:
    # Guards against a report from which an attempt that arrives late can't be told.
    rows = (
        LifeEvent(100, "a-1", "killed"),
        LifeEvent(5_400, "a-1", "listed", detail="down"),
        LifeEvent(5_900, "b", "start", TASK, attempt=2_002),
        LifeEvent(6_000, "a-1", "start", TASK, attempt=2_001),
        LifeEvent(6_500, "a-1", "stopped", TASK),
    )
    (overlap,) = find_overlaps(rows, END_MS)
    assert "attempt 2002 began 100 ms before attempt 2001" in overlap.describe()
    before = actions_before(overlap, rows, 2_000)
    assert before == "b: nothing; a-1: listed down -600 ms"
