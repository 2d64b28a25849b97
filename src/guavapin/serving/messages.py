"""Messages between the tasks `front`, `exchanges` and `upstreams`.

A process never reuses a `request_id` or an `attempt_id`. Header names are in lower
case, and bodies are bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """From `front`: the head of a request; `body_follows` announces `RequestBody`.

    Headers may hold secrets, so that they are left out of the representation.
    """

    request_id: int
    method: str
    target: str
    headers: Headers = field(repr=False)
    received_ms: int
    body_follows: bool


@dataclass(frozen=True, slots=True)
class RequestBody:
    """From `front`: the next part of a request's body; the last has `is_last` set."""

    request_id: int
    data: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class CallerGone:
    """From `front`: the caller closed the connection before the end of the answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """To `front`: status and headers; `length` is -1 if it is not announced."""

    request_id: int
    status: int
    headers: Headers
    length: int = -1


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """To `front`: a part of the answer's body."""

    request_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """To `front`: the answer is complete."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """To `front`: the answer ended before it was complete.

    The connection must be closed so that the caller detects the incomplete answer.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class FlowControl:
    """Ask the sender of a body to pause or resume; sent by the task that buffers it.

    Request ids and attempt ids are counted separately, so `exchanges` needs
    `is_attempt` to distinguish them.
    """

    id: int
    is_paused: bool
    is_attempt: bool = False


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """To `upstreams`: send one request to one executor.

    `first_byte_ms` limits the time to the head of the answer and `progress_ms` the
    time between two parts of it; 0 means no limit. `fresh_connection` is set for
    non-idempotent requests, because libcurl resends a request on its own if a reused
    connection dies before the first byte of the answer.
    """

    attempt_id: int
    address: str
    method: str
    target: str
    headers: Headers
    body: bytes
    body_follows: bool
    connect_ms: int
    first_byte_ms: int
    progress_ms: int
    fresh_connection: bool


@dataclass(frozen=True, slots=True)
class AttemptRequestBody:
    """To `upstreams`: the next part of the request's body."""

    attempt_id: int
    data: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """To `upstreams`: end the attempt and close its connection.

    `AttemptClosed` follows, also if the attempt has ended already.
    """

    attempt_id: int


@dataclass(frozen=True, slots=True)
class AttemptClosed:
    """From `upstreams`: a cancelled attempt has ended at its upstream too.

    The upstream has closed the connection, never received the request, or has kept the
    connection open for the longest time that is waited for it.
    """

    attempt_id: int


class AttemptResult(Enum):
    """Result of an attempt.

    `NOT_SENT` is used only if no byte of the request left this process.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    FIRST_BYTE_TIMEOUT = "first_byte_timeout"
    PROGRESS_TIMEOUT = "progress_timeout"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """From `upstreams`: status and end-to-end headers of the answer.

    `is_closing` is set if the upstream sent ``Connection: close``, which is removed
    from `headers` as a hop-by-hop header.
    """

    attempt_id: int
    status: int
    headers: Headers
    is_closing: bool = False


@dataclass(frozen=True, slots=True)
class AttemptBody:
    """From `upstreams`: a part of the answer's body."""

    attempt_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """From `upstreams`: the attempt has ended and its slot is free."""

    attempt_id: int
    result: AttemptResult
    detail: str = ""


@dataclass(frozen=True, slots=True)
class SetReady:
    """To `front`: the state that ``/readyz`` reports from now on.

    `is_stopping` is set if the process is about to stop. Answers then ask their callers
    to close the connection.
    """

    is_ready: bool
    is_stopping: bool = False


@dataclass(frozen=True, slots=True)
class SetRequestLimits:
    """To `front`: limits of requests from now on; 0 means the listener's own limit."""

    max_head_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """To `front`: close the listener and idle connections, and finish the others.

    Sent as a `Call`, its future resolves to `Ok` when the last request has ended.
    """


@dataclass(frozen=True, slots=True)
class AnswerPending:
    """To `front` and the service that handles requests: answer all of them now.

    Sent shortly before the process ends. The front refuses requests that have not
    arrived whole. Requests that arrive later are answered at once, too.
    """


@dataclass(frozen=True, slots=True)
class GetCounts:
    """To a task of the path, as a `Call`: the reply is a dict of counters."""
