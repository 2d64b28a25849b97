"""Checks that the runs of cancelled jobs end in time; pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.checks import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin_soak.checks import CallerEvent
    from guavapin_standins.resident_executor import RunEvent

# Nothing of a job starts this long after the acknowledgement of its cancelling.
CANCEL_MS = 3_000

# Longest duration of a stop; the setting `bounds.stop-timeout-ms` of the processes.
STOP_TIMEOUT_MS = 400

# The rules excuse what happens this soon after a fault.
CALM_BEFORE_MS = 3_000


def cancelling_violations(
    caller_events: Iterable[CallerEvent],
    runs: Iterable[RunEvent],
    calm_ms: int,
    end_ms: int,
) -> Iterator[str]:
    """Yield a sentence for each run of a cancelled job that starts or ends too late.

    No fault but odd entries of the registry is on from `calm_ms`, and events are known
    until `end_ms`. A cancelling that was acknowledged before the calm has to end the
    runs of its job in the calm.
    """
    acked_ms: dict[str, int] = {}
    for row in sorted(caller_events, key=lambda row: row.at_ms):
        if row.kind is EventKind.CANCEL_ACKED:
            acked_ms.setdefault(row.job_id, row.at_ms)
    judged_ms = calm_ms + CALM_BEFORE_MS
    for task, start_ms, stop_ms in _list_runs(runs, end_ms):
        ack_ms = acked_ms.get(task.split(".")[0])
        if ack_ms is None:
            continue
        is_late = start_ms > ack_ms + CANCEL_MS
        if is_late and start_ms > judged_ms:
            yield (
                f"{task}: started at {start_ms} ms, although the cancelling of its job "
                f"was acknowledged at {ack_ms} ms"
            )
        # A start that a fault has delayed is judged from the start.
        from_ms = max(start_ms if is_late else ack_ms, judged_ms)
        due_ms = from_ms + CANCEL_MS + STOP_TIMEOUT_MS
        if start_ms <= due_ms < stop_ms:
            yield (
                f"{task}: ran on after {due_ms} ms, although the cancelling of its job "
                f"was acknowledged at {ack_ms} ms"
            )


def _list_runs(runs: Iterable[RunEvent], end_ms: int) -> Iterator[tuple[str, int, int]]:
    """Yield task, start and end of each run; a run that goes on ends at `end_ms`."""
    started: dict[str, list[int]] = {}
    for event in runs:
        if event.kind == "start":
            started.setdefault(event.task, []).append(event.at_ms)
        elif event.kind != "confirmed" and started.get(event.task):
            yield event.task, started[event.task].pop(0), event.at_ms
    for task, starts in started.items():
        for start_ms in starts:
            yield task, start_ms, end_ms
