"""Checks the promises to callers against events of callers and executors; pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin_standins.resident_executor import RunEvent


# Callers are promised that every entry host knows a job this long after its acceptance.
VISIBLE_MS = 3_000


class EventKind(Enum):
    """A call of a caller, its outcome, or a reported state of a job."""

    SENT = "sent"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    CANCEL_SENT = "cancel sent"
    CANCEL_ACKED = "cancel acknowledged"
    UNKNOWN = "unknown"
    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    QUERY_UNANSWERED = "query unanswered"


@dataclass(frozen=True, slots=True)
class CallerEvent:
    """An event of a caller's job at `at_ms`.

    `sent_ms` is the time at which a query was sent that got no answer with a state.
    """

    at_ms: int
    job_id: str
    kind: EventKind
    sent_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobShape:
    """Number of subtasks of each step; a step starts after the previous one."""

    counts: tuple[int, ...]

    def names(self, job_id: str) -> Iterator[str]:
        """Yield the names of all subtasks."""
        for step, count in enumerate(self.counts):
            for index in range(count):
                yield f"{job_id}.0.{step}.{index}"


def violations(
    caller_events: Iterable[CallerEvent], runs: Iterable[RunEvent], shape: JobShape
) -> list[str]:
    """Return a sentence for each broken promise; empty if all were kept."""
    events = list(runs)
    broken = [*find_double_runs(events), *find_early_starts(events, lambda _: shape)]
    by_job: dict[str, list[CallerEvent]] = {}
    for row in caller_events:
        by_job.setdefault(row.job_id, []).append(row)
    for job_id, rows in by_job.items():
        broken += _check_job(job_id, sorted(rows, key=_event_time), events, shape)
    return broken


def _event_time(row: CallerEvent) -> int:
    return row.at_ms


def find_double_runs(
    events: Iterable[RunEvent], end_kind: str = "confirmed"
) -> Iterator[str]:
    """Yield a sentence for each start during a run of the subtask or after its end.

    `end_kind` is the kind of event after which a subtask must not start again. It is
    ``confirmed`` where faults may lose an end that was not reported, else ``done``.
    """
    running: Counter[str] = Counter()
    ended: set[str] = set()
    for event in events:
        task = event.task
        if event.kind == end_kind:
            ended.add(task)
        if event.kind == "start":
            if running[task]:
                yield f"{task}: two runs at once at {event.at_ms} ms"
            if task in ended:
                yield f"{task}: started at {event.at_ms} ms after its {end_kind} end"
            running[task] += 1
        elif event.kind != "confirmed":
            running[task] -= 1


def find_early_starts(
    events: Iterable[RunEvent], shape_of: Callable[[str], JobShape]
) -> Iterator[str]:
    """Yield a sentence for each start before all earlier steps of the job are done.

    `shape_of` returns the shape of the job with an id.
    """
    done: set[str] = set()
    for event in events:
        if event.kind == "done":
            done.add(event.task)
        if event.kind != "start":
            continue
        job_id, _, step, _ = event.task.split(".")
        unmet = [
            name
            for name in shape_of(job_id).names(job_id)
            if int(name.split(".")[2]) < int(step) and name not in done
        ]
        if unmet:
            at_ms = event.at_ms
            yield f"{event.task}: started at {at_ms} ms before {unmet[0]} was done"


def _check_job(
    job_id: str, rows: list[CallerEvent], events: list[RunEvent], shape: JobShape
) -> Iterator[str]:
    kinds = {row.kind for row in rows}
    starts = [event.at_ms for event in events if _is_start(event, job_id)]
    is_cancelled = EventKind.CANCEL_SENT in kinds
    submitted = {EventKind.ACCEPTED, EventKind.UNANSWERED}
    if EventKind.REFUSED in kinds and not kinds & submitted and starts:
        yield f"{job_id}: ran although every submission was refused"
    if EventKind.ACCEPTED not in kinds:
        return
    accepted_ms = min(row.at_ms for row in rows if row.kind is EventKind.ACCEPTED)
    for row in rows:
        if row.at_ms < accepted_ms + VISIBLE_MS or is_cancelled:
            continue
        if row.kind in (EventKind.UNKNOWN, EventKind.CANCELLED, EventKind.FAILED):
            yield f"{job_id}: accepted, and shown as {row.kind.value} at {row.at_ms} ms"
    if rows[-1].kind is not EventKind.SUCCEEDED and not is_cancelled:
        yield f"{job_id}: accepted, and last heard of as {rows[-1].kind.value}"
    done_ms = {event.task: event.at_ms for event in events if event.kind == "done"}
    for row in rows:
        if row.kind is not EventKind.SUCCEEDED:
            continue
        missing = [
            name
            for name in shape.names(job_id)
            if done_ms.get(name, row.at_ms + 1) > row.at_ms
        ]
        if missing:
            yield f"{job_id}: shown as succeeded before {missing[0]} was done"
        break


def _is_start(event: RunEvent, job_id: str) -> bool:
    return event.kind == "start" and event.task.startswith(f"{job_id}.")
