"""Finds two runs of a subtask at once in the lives of executors; pure."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# Time after its waking in which a suspended executor lets its runs lapse.
WAKE_MS = 100

RUN_ENDS = frozenset(("done", "lapsed", "stopped", "gone"))

# What a report of an overlap tells of the time before it: what was done to an executor,
# and what it has written about its own life.
REPORTED_KINDS = frozenset(
    (
        "up",
        "killed",
        "suspended",
        "woken",
        "told to stop",
        "succeeds",
        "former life signalled",
        "former life ended",
        "listed",
        "entry removed",
        "link",
    )
)


@dataclass(frozen=True, slots=True)
class LifeEvent:
    """An event of an executor at `at_ms`, the machine's monotonic time.

    `kind` is ``up``, ``start`` or the kind of an end of a run, as the executor has
    written it, or ``killed``, ``suspended`` or ``woken``, as the soak has done it. All
    other kinds are context for the reader of a failure, with `detail`.
    """

    at_ms: int
    executor: str
    kind: str
    task: str = ""
    detail: str = ""
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class RunSpan:
    """A run of `task` on an executor that was up, and the kind of its end."""

    task: str
    executor: str
    start_ms: int
    end_ms: int
    end_kind: str
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Overlap:
    """Two runs of a subtask at once, in the time in which both count."""

    first: RunSpan
    second: RunSpan
    parts: tuple[tuple[int, int], ...]

    @property
    def length_ms(self) -> int:
        """Return for how long both runs were at work."""
        return sum(end_ms - start_ms for start_ms, end_ms in self.parts)

    def describe(self) -> str:
        """Return a sentence for the report of a failure."""
        runs = " and ".join(
            f"{run.executor} ({run.start_ms} to {run.end_ms}, {run.end_kind})"
            for run in (self.first, self.second)
        )
        start_ms = self.parts[0][0]
        return (
            f"{self.first.task}: two runs at once for {self.length_ms} ms from "
            f"{start_ms} ms, on {runs}; attempt {self.first.attempt} began "
            f"{self.second.start_ms - self.first.start_ms} ms before attempt "
            f"{self.second.attempt}"
        )


def run_spans(events: Iterable[LifeEvent], until_ms: int) -> list[RunSpan]:
    """Return the runs of all executors; a run at work at the end ends at `until_ms`."""
    spans: list[RunSpan] = []
    running: dict[tuple[str, str], LifeEvent] = {}
    for event in sorted(events, key=_event_time):
        key = (event.executor, event.task)
        if event.kind == "start":
            running[key] = event
        elif event.kind in RUN_ENDS and key in running:
            spans.append(_span(running.pop(key), event.at_ms, event.kind))
        elif event.kind == "killed":
            lost = [row for row in running if row[0] == event.executor]
            for row in lost:
                spans.append(_span(running.pop(row), event.at_ms, "killed"))
    for start in running.values():
        spans.append(_span(start, until_ms, "running"))
    return spans


def suspensions(
    events: Iterable[LifeEvent], until_ms: int
) -> dict[str, list[tuple[int, int]]]:
    """Return when each executor was suspended, up to its waking and not longer."""
    found: dict[str, list[tuple[int, int]]] = {}
    began_ms: dict[str, int] = {}
    for event in sorted(events, key=_event_time):
        if event.kind == "suspended":
            began_ms.setdefault(event.executor, event.at_ms)
        elif event.kind in ("woken", "killed") and event.executor in began_ms:
            row = (began_ms.pop(event.executor), event.at_ms)
            found.setdefault(event.executor, []).append(row)
    for executor, start_ms in began_ms.items():
        found.setdefault(executor, []).append((start_ms, until_ms))
    return found


def find_overlaps(events: Iterable[LifeEvent], until_ms: int) -> list[Overlap]:
    """Return each pair of runs of a subtask at once, on executors that were up.

    A run does not count while its executor is suspended, nor in the `WAKE_MS` after it
    has woken in the run.
    """
    rows = list(events)
    stops = suspensions(rows, until_ms)
    by_task: dict[str, list[RunSpan]] = {}
    for span in run_spans(rows, until_ms):
        by_task.setdefault(span.task, []).append(span)
    return [
        Overlap(first, second, parts)
        for spans in by_task.values()
        for first, second in combinations(sorted(spans, key=_span_start), 2)
        if (parts := _common_parts(first, second, stops))
    ]


def events_around(
    overlap: Overlap, events: Iterable[LifeEvent], before_ms: int
) -> list[LifeEvent]:
    """Return the events of both executors from `before_ms` before the first run on."""
    executors = (overlap.first.executor, overlap.second.executor)
    first_ms = overlap.first.start_ms - before_ms
    last_ms = overlap.parts[-1][1] + WAKE_MS
    return [
        event
        for event in sorted(events, key=_event_time)
        if event.executor in executors and first_ms <= event.at_ms <= last_ms
    ]


def actions_before(
    overlap: Overlap, events: Iterable[LifeEvent], before_ms: int
) -> str:
    """Return what was done to both executors in `before_ms` before the later start.

    Times are relative to that start.
    """
    start_ms = overlap.second.start_ms
    rows = events_around(overlap, events, before_ms)
    texts = []
    for span in (overlap.first, overlap.second):
        actions = ", ".join(
            f"{event.kind} {event.detail}".strip() + f" {event.at_ms - start_ms} ms"
            for event in rows
            if event.executor == span.executor
            and event.kind in REPORTED_KINDS
            and start_ms - before_ms <= event.at_ms <= start_ms
        )
        texts.append(f"{span.executor}: {actions or 'nothing'}")
    return "; ".join(texts)


def _common_parts(
    first: RunSpan, second: RunSpan, stops: dict[str, list[tuple[int, int]]]
) -> tuple[tuple[int, int], ...]:
    start_ms = max(first.start_ms, second.start_ms)
    parts = [(start_ms, min(first.end_ms, second.end_ms))]
    for span in (first, second):
        for stop_ms, wake_ms in stops.get(span.executor, []):
            # Lapsing at the waking is a matter of runs that were at work before it.
            if span.start_ms <= wake_ms:
                parts = [*_without(parts, stop_ms, wake_ms + WAKE_MS)]
    return tuple(part for part in parts if part[0] < part[1])


def _without(
    parts: Iterable[tuple[int, int]], from_ms: int, to_ms: int
) -> Iterator[tuple[int, int]]:
    for start_ms, end_ms in parts:
        yield start_ms, min(end_ms, max(from_ms, start_ms))
        yield max(start_ms, min(to_ms, end_ms)), end_ms


def _span(start: LifeEvent, end_ms: int, kind: str) -> RunSpan:
    return RunSpan(start.task, start.executor, start.at_ms, end_ms, kind, start.attempt)


def _event_time(event: LifeEvent) -> int:
    return event.at_ms


def _span_start(span: RunSpan) -> int:
    return span.start_ms
