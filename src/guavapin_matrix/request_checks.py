"""Checks of guarantees 3 to 7 on the callers' answers and the upstreams' runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_matrix.callers import TIMEOUT_MS
from guavapin_matrix.upstreams import answer_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin_matrix.callers import CallerRequest
    from guavapin_matrix.callers import Callers
    from guavapin_matrix.upstreams import FakeUpstreams

# The limit of guarantee 6 of the design page.
LEAVING_LIMIT_MS = 3_000
# Covers the timer of a deadline and the delivery of one answer.
LATE_TOLERANCE_MS = 100


def check_answers(callers: Callers) -> Iterator[str]:
    """Guarantee 3: an answer ends once; a complete one belongs to its request."""
    for request in callers.requests:
        for fault in request.faults:
            yield f"3: {request.tag} got {fault}"
        if len(request.ends) > 1:
            yield f"3: {request.tag} got {len(request.ends)} ends"
        if not request.is_whole or not request.heads:
            continue
        length = request.heads[0].length
        if length >= 0 and length != len(request.body):
            yield f"3: {request.tag} got {len(request.body)} of {length} bytes as whole"
        expected = answer_body(request.tag, request.key)
        if request.status == 200 and request.body != expected:
            yield f"3: {request.tag} got another answer: {request.body!r}"


def check_ends(callers: Callers, pauses: list[tuple[str, int]]) -> Iterator[str]:
    """Guarantee 3: each request ends before its timeout, unless its caller left.

    A paused process can answer only after its pause, so the limit is extended to that.
    """
    for request in callers.requests:
        if request.is_gone:
            continue
        limit_ms = request.sent_ms + TIMEOUT_MS
        for name, until_ms in pauses:
            if name == request.node.name:
                limit_ms = max(limit_ms, until_ms)
        if not request.ends:
            yield f"3: {request.tag} got no answer"
        elif request.ended_ms > limit_ms + LATE_TOLERANCE_MS:
            yield f"3: {request.tag} ended {request.ended_ms - limit_ms} ms late"


def check_not_run(callers: Callers, upstreams: FakeUpstreams) -> Iterator[str]:
    """Guarantee 4: a request that was refused as not run has not run."""
    for request in callers.requests:
        runs = upstreams.runs_by_tag[request.tag]
        if request.outcome == "not-run" and runs:
            yield f"4: {request.tag} was refused as not run but ran {runs} times"


def check_at_most_once(callers: Callers, upstreams: FakeUpstreams) -> Iterator[str]:
    """Guarantee 5: each idempotency key and each POST request runs at most once."""
    for key, runs in upstreams.runs_by_key.items():
        if runs > 1:
            yield f"5: key {key} ran {runs} times"
    for request in callers.requests:
        runs = upstreams.runs_by_tag[request.tag]
        if request.method == "POST" and runs > 1:
            yield f"5: {request.tag} ran {runs} times"


def check_leaving(upstreams: FakeUpstreams) -> Iterator[str]:
    """Guarantee 6: a leaving host gets no new work after `LEAVING_LIMIT_MS`."""
    for start in upstreams.starts:
        left_ms = upstreams.hosts[start.address].left_ms
        if left_ms is not None and start.at_ms > left_ms + LEAVING_LIMIT_MS:
            late_ms = start.at_ms - left_ms
            yield f"6: {start.address} got {start.tag} {late_ms} ms after it left"


def check_served(requests: list[CallerRequest]) -> Iterator[str]:
    """Guarantee 7: these requests were answered.

    Requests sent after all faults have ended also show that the service recovers.
    """
    for request in requests:
        if not request.is_whole or request.status != 200:
            got = request.outcome or request.ends or "nothing"
            yield f"7: {request.tag} was not answered: {request.status} {got}"
