"""The checks of cancelled jobs report late runs and excuse what is near a fault."""

from __future__ import annotations

import pytest

from guavapin_soak.cancel_checks import CALM_BEFORE_MS
from guavapin_soak.cancel_checks import CANCEL_MS
from guavapin_soak.cancel_checks import STOP_TIMEOUT_MS
from guavapin_soak.cancel_checks import cancelling_violations
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_standins.resident_executor import RunEvent

JOB = "a"
TASK = f"{JOB}.0.0.0"

# The calm begins long before the acknowledgement, unless a test says otherwise.
CALM_MS = 1_000
ACK_MS = 20_000
DUE_MS = ACK_MS + CANCEL_MS + STOP_TIMEOUT_MS
END_MS = 60_000


def check(
    *runs: tuple[int, str],
    calm_ms: int = CALM_MS,
    end_ms: int = END_MS,
    kind: EventKind = EventKind.CANCEL_ACKED,
) -> list[str]:
    caller_events = [
        CallerEvent(ACK_MS - 50, JOB, EventKind.CANCEL_SENT),
        CallerEvent(ACK_MS, JOB, kind),
    ]
    events = [RunEvent(run_kind, TASK, at_ms) for at_ms, run_kind in runs]
    return [*cancelling_violations(caller_events, events, calm_ms, end_ms)]


@pytest.mark.parametrize(
    ("runs", "calm_ms"),
    [
        # The run goes on until the end of the events, or until its lease expires.
        ([(10_000, "start")], CALM_MS),
        ([(10_000, "start"), (DUE_MS + 1, "lapsed")], CALM_MS),
        ([(10_000, "start"), (DUE_MS + 1, "stopped")], CALM_MS),
        # The last moment of a fault that excuses nothing any more.
        ([(10_000, "start"), (DUE_MS + 1, "stopped")], ACK_MS - CALM_BEFORE_MS),
        # An earlier run of the subtask ended in time.
        ([(9_000, "start"), (9_500, "lapsed"), (10_000, "start")], CALM_MS),
        # A run that started after the acknowledgement, but in time.
        ([(ACK_MS + 1_000, "start"), (DUE_MS + 1, "stopped")], CALM_MS),
        # A cancelling that was acknowledged beside faults is due in the calm.
        ([(10_000, "start"), (50_000, "stopped")], ACK_MS + 10_000),
        # A fault delayed the start, and the run is never stopped.
        ([(ACK_MS + 9_000, "start")], ACK_MS + 9_000),
    ],
)
def test_a_run_that_goes_on_is_reported(
    runs: list[tuple[int, str]], calm_ms: int
) -> None:
    # Guards against a check that cannot fail.
    (text,) = check(*runs, calm_ms=calm_ms)
    assert f"{TASK}: ran on after" in text


def test_a_late_start_is_reported() -> None:
    # Guards against a check that sees only runs that were at work when the job was
    # cancelled.
    late_ms = ACK_MS + CANCEL_MS + 1
    (text,) = check((late_ms, "start"), (late_ms + 10, "stopped"))
    assert f"{TASK}: started at {late_ms}" in text
    (text,) = check(
        (late_ms, "start"),
        (late_ms + 10, "stopped"),
        calm_ms=late_ms - CALM_BEFORE_MS - 1,
    )
    assert f"{TASK}: started at {late_ms}" in text


@pytest.mark.parametrize(
    ("runs", "calm_ms", "end_ms"),
    [
        # The stop took all the time it may take, or the run ended by itself.
        ([(10_000, "start"), (DUE_MS, "stopped")], CALM_MS, END_MS),
        ([(10_000, "start"), (ACK_MS - 100, "done")], CALM_MS, END_MS),
        # A start at the last moment at which it is allowed.
        ([(ACK_MS + CANCEL_MS, "start"), (DUE_MS, "stopped")], CALM_MS, END_MS),
        # A fault ended so late that the run may end later by as much.
        (
            [(10_000, "start"), (DUE_MS + 500, "stopped")],
            ACK_MS - CALM_BEFORE_MS + 500,
            END_MS,
        ),
        ([(10_000, "start"), (DUE_MS + 5_000, "lapsed")], ACK_MS + 5_000, END_MS),
        # A late start near a fault, whose run is stopped in time.
        (
            [(ACK_MS + 9_000, "start"), (ACK_MS + 12_000, "stopped")],
            ACK_MS + 9_000 - CALM_BEFORE_MS,
            END_MS,
        ),
        # The events end before the run is due.
        ([(10_000, "start")], CALM_MS, DUE_MS),
    ],
)
def test_what_the_rules_excuse_is_not_reported(
    runs: list[tuple[int, str]], calm_ms: int, end_ms: int
) -> None:
    # Guards against failed seeds that show no fault of the product.
    assert check(*runs, calm_ms=calm_ms, end_ms=end_ms) == []


def test_a_cancelling_without_acknowledgement_is_not_judged() -> None:
    # Guards against a bound that is counted from a call that may have been lost.
    assert check((10_000, "start"), kind=EventKind.CANCEL_SENT) == []
