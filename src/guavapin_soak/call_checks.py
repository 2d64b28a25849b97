"""The judge of calls: compares the client's replies with what servers have read."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.http.messages import Answered
from guavapin.http.messages import Unanswered

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin.http.messages import CallOutcome

MAX_SHOWN_BYTES = 40


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call, when it was made, and its replies with the time of the first.

    Times are microseconds of the machine's monotonic clock.
    """

    call_id: int
    target: int
    at_us: int
    uses_new_connection: bool
    outcomes: tuple[CallOutcome, ...] = ()
    ended_us: int = 0


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """What a server did: ``listening``, ``closing``, ``closed``, ``read``.

    ``killed`` is noted by whoever kills it, before the kill. A listener was open
    throughout from ``listening`` to ``closing`` or ``killed``.
    """

    at_us: int
    server: str
    target: int
    kind: str
    call_id: int = 0


@dataclass(frozen=True, slots=True)
class _Span:
    """Time in which a server's listener was open."""

    server: str
    target: int
    from_us: int
    until_us: float


def find_violations(
    calls: Sequence[CallRecord], events: Sequence[ServerEvent]
) -> tuple[str, ...]:
    """Return one sentence for each reply that the servers' events contradict."""
    reads: defaultdict[int, list[ServerEvent]] = defaultdict(list)
    closed_us: dict[str, int] = {}
    for event in events:
        if event.kind == "read":
            reads[event.call_id].append(event)
        elif event.kind == "closed":
            closed_us[event.server] = event.at_us
    spans = _listening_spans(events)
    found: list[str] = []
    for call in calls:
        read_by = reads[call.call_id]
        if len(read_by) > 1:
            names = ", ".join(event.server for event in read_by)
            found.append(f"call {call.call_id} was read {len(read_by)} times: {names}")
        if len(call.outcomes) != 1:
            found.append(f"call {call.call_id} got {len(call.outcomes)} replies")
        for outcome in call.outcomes:
            if isinstance(outcome, Answered):
                found += _check_answer(call, outcome, closed_us)
            else:
                found += _check_unanswered(call, outcome, read_by, spans)
    return tuple(found)


def describe_outcome(outcome: CallOutcome) -> str:
    """Return the name under which an outcome is counted."""
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    if outcome.is_refused:
        return "refused"
    return "sent, no answer" if outcome.was_sent else "not sent"


def _check_answer(
    call: CallRecord, outcome: Answered, closed_us: dict[str, int]
) -> list[str]:
    try:
        answer = json.loads(outcome.body)
    except ValueError:
        text = f"status {outcome.status}, body {outcome.body[:MAX_SHOWN_BYTES]!r}"
        return [f"call {call.call_id} got part of an answer as a whole one: {text}"]
    found = []
    if answer["call"] != call.call_id:
        found.append(f"call {call.call_id} got the answer to call {answer['call']}")
    server = answer["server"]
    if call.uses_new_connection and closed_us.get(server, call.at_us) < call.at_us:
        lead_us = call.at_us - closed_us[server]
        found.append(
            f"call {call.call_id} over a new connection was answered by {server}, "
            f"which had stopped listening {lead_us} us earlier"
        )
    return found


def _check_unanswered(
    call: CallRecord,
    outcome: Unanswered,
    read_by: list[ServerEvent],
    spans: list[_Span],
) -> list[str]:
    found = []
    if not outcome.was_sent and read_by:
        event = read_by[0]
        found.append(
            f"call {call.call_id} was reported as not sent ({outcome.detail}) and "
            f"read by {event.server} {event.at_us - call.ended_us} us after the reply"
        )
    if outcome.is_refused:
        found += [
            f"call {call.call_id} was reported as refused while {span.server} listened"
            for span in spans
            if span.target == call.target
            and span.from_us <= call.at_us
            and call.ended_us <= span.until_us
        ]
    return found


def _listening_spans(events: Sequence[ServerEvent]) -> list[_Span]:
    opened: dict[str, ServerEvent] = {}
    spans = []
    for event in sorted(events, key=lambda event: event.at_us):
        if event.kind == "listening":
            opened[event.server] = event
        elif event.kind in ("closing", "killed") and event.server in opened:
            first = opened.pop(event.server)
            spans.append(_Span(first.server, first.target, first.at_us, event.at_us))
    spans += [
        _Span(row.server, row.target, row.at_us, float("inf"))
        for row in opened.values()
    ]
    return spans
