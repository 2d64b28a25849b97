"""Start message of an attempt and the verdict on its upstream; pure functions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.routing.verdict import AttemptSummary
from guavapin.routing.verdict import Verdict
from guavapin.routing.verdict import classify_attempt
from guavapin.serving.exchange_headers import with_deadline
from guavapin.serving.messages import StartAttempt

if TYPE_CHECKING:
    from guavapin.routing.run_time import Expectation
    from guavapin.routing.verdict import VerdictRules
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange_upstream import Placement
    from guavapin.serving.messages import AttemptEnded

CONNECT_TIMEOUT_MS = 2_000
PROGRESS_TIMEOUT_MS = 10_000
# The timeout for the first byte is the largest of a multiple of the 95th percentile, a
# multiple of the slowest run observed, and a floor. Without the slowest run, the
# timeout cut off work that shares its path with work 100 times shorter.
FIRST_BYTE_FACTOR = 10
SLOWEST_FACTOR = 4
FIRST_BYTE_FLOOR_MS = 5_000
# With fewer observations, the slowest run may not be among them. At 5% long work, 200
# observations miss it once in 30,000 times.
MIN_OBSERVATIONS = 200
# The task `upstreams` times out this long after the deadline, as a last resort.
DEADLINE_MARGIN_MS = 1_000
# A request of a kind without a known run time counts as late after this time.
UNKNOWN_KIND_LATE_MS = 10_000


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt in progress.

    `placement` is None for an attempt that goes to another zone, and `request_id` is 0
    for an active probe.
    """

    attempt_id: int
    request_id: int
    pool: str
    placement: Placement | None
    sent_ms: int
    expectation: Expectation


def build_start(
    exchange: Exchange,
    attempt: Attempt,
    address: str,
    body: tuple[bytes, bool],
    now_ms: int,
) -> StartAttempt:
    """Return the message that sends `exchange`.

    `body` is the data that has arrived and whether it is the whole body.
    """
    remaining_ms = max(exchange.request.deadline_ms - now_ms, 1)
    hops = exchange.request.hops + (attempt.placement is None)
    data, is_whole = body
    return StartAttempt(
        attempt_id=attempt.attempt_id,
        address=address,
        method=exchange.request.method,
        target=exchange.request.target,
        headers=with_deadline(exchange.request.headers, remaining_ms, hops),
        body=data,
        body_follows=not is_whole,
        connect_ms=min(CONNECT_TIMEOUT_MS, remaining_ms),
        first_byte_ms=first_byte_timeout_ms(exchange.request.expectation, remaining_ms),
        progress_ms=PROGRESS_TIMEOUT_MS,
        fresh_connection=not exchange.request.is_idempotent,
    )


def build_probe(attempt_id: int, address: str, timeout_ms: int) -> StartAttempt:
    """Return an active probe; it passes with any answer but a server error."""
    return StartAttempt(
        attempt_id=attempt_id,
        address=address,
        method="HEAD",
        target="/",
        headers=((b"host", address.encode()),),
        body=b"",
        body_follows=False,
        connect_ms=timeout_ms,
        first_byte_ms=timeout_ms,
        progress_ms=timeout_ms,
        fresh_connection=True,
    )


def first_byte_timeout_ms(expectation: Expectation, remaining_ms: int) -> int:
    """Return the timeout for the head of the answer.

    Only a timeout derived from observed run times may count as a failure of the
    upstream. The request's deadline cancels the attempt instead: under overload,
    requests start shortly before their deadline, and counting these as failures ejected
    healthy upstreams.
    """
    deadline_ms = remaining_ms + DEADLINE_MARGIN_MS
    if expectation.count < MIN_OBSERVATIONS:
        return deadline_ms
    timeout_ms = max(
        expectation.p95_ms * FIRST_BYTE_FACTOR,
        expectation.slowest_ms * SLOWEST_FACTOR,
        FIRST_BYTE_FLOOR_MS,
    )
    return min(int(timeout_ms), deadline_ms)


def verdict_of(
    exchange: Exchange | None,
    ended: AttemptEnded,
    status: int,
    rules: VerdictRules,
) -> Verdict:
    """Return the verdict on the upstream of an attempt that has ended."""
    summary = AttemptSummary(
        ended.result,
        status,
        exchange is not None and exchange.has_answer_body,
        ended.detail,
        expects_body=exchange is not None and exchange.request.method == "GET",
    )
    return classify_attempt(summary, rules)


def verdict_at_deadline(attempt: Attempt, now_ms: int) -> Verdict | None:
    """Return the verdict on the upstream of an attempt that its deadline cancelled.

    A caller may set any deadline, so the attempt counts as a failure only if it has
    run far longer than usual.
    """
    expectation = attempt.expectation
    late_ms = max(2 * expectation.p95_ms, 1_000)
    if not expectation.is_known:
        late_ms = max(late_ms, UNKNOWN_KIND_LATE_MS)
    return Verdict.FAILURE if now_ms - attempt.sent_ms > late_ms else None


def slowness_of(attempt: Attempt, now_ms: int) -> float:
    """Return the ratio of the run time to the expected run time."""
    run_ms = max(now_ms - attempt.sent_ms, 1)
    return run_ms / max(attempt.expectation.run_ms, 1.0)
