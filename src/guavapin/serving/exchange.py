"""The state machine of one request, from its arrival to the end of its answer.

Pure: each function takes an `Exchange` and an event and returns the new `Exchange`
and the actions to take. The task `exchanges` owns the records and does the sends.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import StartAttempt

if TYPE_CHECKING:
    from guavapin.objects.model import Service
    from guavapin.serving.messages import AttemptBody
    from guavapin.serving.messages import AttemptEnded
    from guavapin.serving.messages import AttemptHead
    from guavapin.serving.messages import Headers

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
CONNECT_MS = 2_000
FIRST_BYTE_MS = 10_000
PROGRESS_MS = 10_000
RETRY_AFTER_S = 1


class Phase(Enum):
    """Step of a request."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    CLAIMING = "claiming"
    SENT = "sent"
    ANSWERING = "answering"
    RECORDED = "recorded"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and where it stands; times are monotonic milliseconds."""

    request_id: int
    service: Service
    method: str
    target: str
    headers: Headers
    received_ms: int
    deadline_ms: int
    body_follows: bool
    phase: Phase = Phase.QUEUED
    attempt_id: int = 0
    host: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice has the same effect as once."""
        return self.service.idempotent or self.method in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class SendToFront:
    """Send `message` to the task `front`."""

    message: AnswerHead | AnswerBody | AnswerEnd | AnswerBroken


@dataclass(frozen=True, slots=True)
class SendToUpstreams:
    """Send `message` to the task `upstreams`."""

    message: StartAttempt | CancelAttempt


Action: TypeAlias = SendToFront | SendToUpstreams
Step: TypeAlias = tuple[Exchange, tuple[Action, ...]]


def start_attempt(
    exchange: Exchange, host: str, address: str, attempt_id: int, now_ms: int
) -> Step:
    """Send the request to the executor at `address`, whose slot is reserved."""
    remaining_ms = max(exchange.deadline_ms - now_ms, 1)
    message = StartAttempt(
        attempt_id=attempt_id,
        address=address,
        method=exchange.method,
        target=exchange.target,
        headers=exchange.headers,
        body=b"",
        body_follows=exchange.body_follows,
        connect_ms=min(CONNECT_MS, remaining_ms),
        first_byte_ms=min(FIRST_BYTE_MS, remaining_ms),
        progress_ms=PROGRESS_MS,
        fresh_connection=not exchange.is_idempotent,
    )
    sent = replace(exchange, phase=Phase.SENT, attempt_id=attempt_id, host=host)
    return sent, (SendToUpstreams(message),)


def on_attempt_head(exchange: Exchange, event: AttemptHead) -> Step:
    """Pass the head of the answer on to the caller."""
    if exchange.phase is not Phase.SENT or event.attempt_id != exchange.attempt_id:
        return exchange, ()
    head = AnswerHead(
        exchange.request_id,
        event.status,
        event.headers,
        announced_length(event.headers),
    )
    return replace(exchange, phase=Phase.ANSWERING), (SendToFront(head),)


def on_attempt_body(exchange: Exchange, event: AttemptBody) -> Step:
    """Pass a part of the body on to the caller."""
    is_current = event.attempt_id == exchange.attempt_id
    if exchange.phase is not Phase.ANSWERING or not is_current:
        return exchange, ()
    return exchange, (SendToFront(AnswerBody(exchange.request_id, event.data)),)


def on_attempt_ended(exchange: Exchange, event: AttemptEnded) -> Step:
    """End the answer, break it off, or refuse the request if nothing was sent."""
    if event.attempt_id != exchange.attempt_id:
        return exchange, ()
    done = replace(exchange, phase=Phase.DONE)
    if exchange.phase is Phase.ANSWERING:
        if event.result is AttemptResult.COMPLETE:
            return done, (SendToFront(AnswerEnd(exchange.request_id)),)
        return done, (SendToFront(AnswerBroken(exchange.request_id)),)
    if event.result is AttemptResult.NOT_SENT:
        return done, refusal(
            exchange.request_id, 503, "not-run", "upstream_unreachable"
        )
    return done, refusal(exchange.request_id, 504, "unknown", event.result.value)


def on_caller_gone(exchange: Exchange) -> Step:
    """Cancel the attempt, so that its slot is free at once."""
    done = replace(exchange, phase=Phase.DONE)
    if exchange.phase in (Phase.SENT, Phase.ANSWERING):
        return done, (SendToUpstreams(CancelAttempt(exchange.attempt_id)),)
    return done, ()


def on_deadline(exchange: Exchange) -> Step:
    """Refuse a request that still waits; a sent one is bounded by its attempt."""
    if exchange.phase is not Phase.QUEUED:
        return exchange, ()
    done = replace(exchange, phase=Phase.DONE)
    return done, refusal(exchange.request_id, 503, "not-run", "deadline")


def refusal(
    request_id: int, status: int, outcome: str, reason: str
) -> tuple[Action, ...]:
    """Return a whole answer that refuses; `outcome` is ``not-run`` or ``unknown``."""
    body = f"{outcome}: {reason}\n".encode()
    headers: list[tuple[bytes, bytes]] = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"guavapin-outcome", outcome.encode()),
        (b"guavapin-reason", reason.encode()),
    ]
    if status in (429, 503):
        headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
    return (
        SendToFront(AnswerHead(request_id, status, tuple(headers), len(body))),
        SendToFront(AnswerBody(request_id, body)),
        SendToFront(AnswerEnd(request_id)),
    )


def announced_length(headers: Headers) -> int:
    """Return the value of Content-Length, -1 if it is absent or malformed."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return -1
