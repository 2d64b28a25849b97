"""The check of queries reports unanswered ones, and excuses what is near a fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin_soak.caller import Caller
from guavapin_soak.cancel_checks import CALM_BEFORE_MS
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_soak.checks import JobShape
from guavapin_soak.organisations import Operator
from guavapin_soak.query_checks import MAX_ATTEMPTS
from guavapin_soak.query_checks import query_violations

if TYPE_CHECKING:
    from collections.abc import Sequence

JOB = "a"
CALM_MS = 1_000
JUDGED_MS = CALM_MS + CALM_BEFORE_MS


def check(kinds: Sequence[EventKind], sent_ms: int = JUDGED_MS) -> list[str]:
    """Check queries that were sent one after the other from `sent_ms` on."""
    rows = [
        CallerEvent(sent_ms + 10 * number + 5, JOB, kind, sent_ms + 10 * number)
        for number, kind in enumerate(kinds)
    ]
    return [*query_violations(rows, CALM_MS)]


UNANSWERED = [EventKind.QUERY_UNANSWERED] * MAX_ATTEMPTS


@pytest.mark.parametrize(
    ("kinds", "sent_ms"),
    [
        (UNANSWERED[1:], JUDGED_MS),
        ([*UNANSWERED[1:], EventKind.QUEUED, *UNANSWERED[1:]], JUDGED_MS),
        (UNANSWERED, JUDGED_MS - 1),
    ],
)
def test_queries_that_are_answered_in_time_break_no_promise(
    kinds: list[EventKind], sent_ms: int
) -> None:
    # Guards against a check that fails runs in which a retry was answered, or in which
    # a fault was near the first attempt.
    assert check(kinds, sent_ms) == []


def test_queries_without_an_answer_are_reported() -> None:
    # Guards against a check that cannot fail.
    (violation,) = check([EventKind.QUEUED, *UNANSWERED])
    assert "without an answer" in violation


@pytest.mark.parametrize(
    ("status", "is_unanswered"), [(0, True), (503, True), (504, True), (401, False)]
)
def test_a_caller_records_queries_without_an_answer(
    status: int, is_unanswered: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a caller that drops the queries that the check is for.
    shape = JobShape((1,))
    operator = Operator({"version": 1}, lambda value: None, lambda: JUDGED_MS)
    caller = Caller(0, 1, [1], shape, lambda: JUDGED_MS, operator)
    monkeypatch.setattr(caller, "_call", lambda *args: (status, {}))
    caller._poll_job(JOB)
    expected = CallerEvent(JUDGED_MS, JOB, EventKind.QUERY_UNANSWERED, JUDGED_MS)
    assert caller.caller_events == [expected] * is_unanswered
