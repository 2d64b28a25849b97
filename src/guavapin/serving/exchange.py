"""The state machine of one request, from its arrival to the end of its answer.

The functions are pure: each takes an `Exchange` and an event and returns the new
`Exchange` and the actions to take. The task `exchanges` owns the records and executes
the actions.

Transitions that every request goes through construct the next `Exchange` directly,
because `dataclasses.replace` takes more than twice as long. Rare ones use `replace`.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.retries.policy import EndedAttempt
from guavapin.retries.policy import has_not_run
from guavapin.retries.policy import may_repeat
from guavapin.serving.exchange_headers import OUTCOME
from guavapin.serving.exchange_headers import REASON
from guavapin.serving.exchange_headers import announced_length
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptResult

if TYPE_CHECKING:
    from guavapin.serving.exchange_request import CallerRequest
    from guavapin.serving.messages import Headers

RETRY_AFTER_S = 1
# Reason of the refusal of a request that outlasts the stop of its process.
PROCESS_ENDS = "process_ends"


class Phase(Enum):
    """Phase that a request is in."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    CLAIMING = "claiming"
    SENT = "sent"
    ANSWERING = "answering"
    RECORDED = "recorded"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Exchange:
    """State of one request.

    `may_have_run` is set when an attempt ends that may have run the request. A refusal
    may say "not-run" only while it is unset. `tried` holds the hosts of all attempts
    so far, and `attempt_id` identifies the last attempt.
    """

    request: CallerRequest
    phase: Phase = Phase.QUEUED
    attempt_id: int = 0
    host: str = ""
    tried: tuple[str, ...] = ()
    has_answer_body: bool = False
    may_have_run: bool = False
    is_claimed: bool = False

    @property
    def request_id(self) -> int:
        """Id of the request, unique in its process."""
        return self.request.request_id

    @property
    def attempts(self) -> int:
        """Number of attempts started so far."""
        return len(self.tried)


@dataclass(frozen=True, slots=True)
class SendToFront:
    """Send `message` to the task `front`."""

    message: AnswerHead | AnswerBody | AnswerEnd | AnswerBroken


@dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancel the attempt in progress, which frees its slot at once.

    `is_late` is set if the request's deadline has passed.
    """

    attempt_id: int
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim the idempotency key; the slot stays reserved during the claim."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to the host on which its slot is reserved."""


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release the claimed key, because the request has certainly not run."""


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """Record that the outcome of the claimed request is unknown."""


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Record the whole answer under the claimed key."""


Action: TypeAlias = (
    SendToFront
    | CancelSend
    | Claim
    | Send
    | ReleaseClaim
    | RecordUnknown
    | RecordAnswer
)
Transition: TypeAlias = tuple[Exchange, tuple[Action, ...]]

_CLAIM = (Claim(),)
_SEND = (Send(),)


def on_admitted(exchange: Exchange, host: str) -> Transition:
    """Claim the key, or send at once, after a slot on `host` has been reserved."""
    if exchange.request.key and not exchange.is_claimed:
        return replace(exchange, phase=Phase.CLAIMING, host=host), _CLAIM
    admitted = Exchange(
        exchange.request,
        Phase.ADMITTED,
        exchange.attempt_id,
        host,
        exchange.tried,
        exchange.has_answer_body,
        exchange.may_have_run,
        exchange.is_claimed,
    )
    return admitted, _SEND


def on_claimed(exchange: Exchange) -> Transition:
    """Send the request after this process has claimed its key."""
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    return replace(exchange, phase=Phase.ADMITTED, is_claimed=True), _SEND


def on_claim_refused(exchange: Exchange, status: int, reason: str) -> Transition:
    """Refuse a request whose key could not be claimed.

    Status 504 means that another request with the same key may have run. With any
    other status, this request did not run.
    """
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    outcome = "unknown" if status == 504 else "not-run"
    return _done(exchange), refusal(exchange.request_id, status, outcome, reason)


def on_recorded_answer(
    exchange: Exchange, status: int, headers: Headers, body: bytes
) -> Transition:
    """Send the caller the whole answer that is already recorded under the key."""
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    head = AnswerHead(exchange.request_id, status, headers, len(body))
    return _done(exchange), _whole_answer(head, body)


def on_recorded(exchange: Exchange) -> Transition:
    """End the request after its answer has been sent to the claims service."""
    return (_done(exchange) if exchange.phase is Phase.RECORDED else exchange), ()


def on_sent(exchange: Exchange, attempt_id: int) -> Exchange:
    """Return the exchange with the attempt that has just been started."""
    return Exchange(
        exchange.request,
        Phase.SENT,
        attempt_id,
        exchange.host,
        (*exchange.tried, exchange.host),
        exchange.has_answer_body,
        exchange.may_have_run,
        exchange.is_claimed,
    )


def can_retry(exchange: Exchange, ended: EndedAttempt, has_body: bool) -> bool:
    """Return whether another attempt is safe and possible.

    `has_body` is set if the request's body can be sent again.
    """
    if exchange.phase is not Phase.SENT or not has_body:
        return False
    is_safe = exchange.request.is_idempotent
    return may_repeat(ended, is_safe, exchange.attempts, answer_started=False)


def on_retry(exchange: Exchange, ended: EndedAttempt) -> Exchange:
    """Return the exchange, queued again after an attempt that did not succeed."""
    may_have_run = exchange.may_have_run or not has_not_run(ended)
    return replace(exchange, phase=Phase.QUEUED, host="", may_have_run=may_have_run)


def on_answer_head(exchange: Exchange, status: int, headers: Headers) -> Transition:
    """Forward the head of the answer to the caller."""
    if exchange.phase is not Phase.SENT:
        return exchange, ()
    length = announced_length(headers)
    head = AnswerHead(exchange.request_id, status, headers, length)
    return _with_phase(exchange, Phase.ANSWERING), (SendToFront(head),)


def on_answer_body(exchange: Exchange, data: bytes) -> Transition:
    """Forward a part of the answer's body to the caller."""
    if exchange.phase is not Phase.ANSWERING:
        return exchange, ()
    if not exchange.has_answer_body and data:
        exchange = Exchange(
            exchange.request,
            exchange.phase,
            exchange.attempt_id,
            exchange.host,
            exchange.tried,
            True,
            exchange.may_have_run,
            exchange.is_claimed,
        )
    return exchange, (SendToFront(AnswerBody(exchange.request.request_id, data)),)


def on_attempt_ended(
    exchange: Exchange, ended: EndedAttempt, reason: str
) -> Transition:
    """Complete the answer, abort it, or refuse the request; no retry is made."""
    if exchange.phase is Phase.ANSWERING:
        return _end_answer(exchange, ended)
    if exchange.phase is not Phase.SENT:
        return exchange, ()
    may_have_run = exchange.may_have_run or not has_not_run(ended)
    ended_exchange = replace(exchange, may_have_run=may_have_run)
    return refuse(ended_exchange, 503, reason)


def refuse(exchange: Exchange, status: int, reason: str) -> Transition:
    """Refuse a request, with 504 and an unknown outcome if it may have run."""
    outcome = "not-run"
    # A claim in progress may still be granted, so it is released as well.
    has_claim = exchange.is_claimed or exchange.phase is Phase.CLAIMING
    claim: tuple[Action, ...] = (ReleaseClaim(),) if has_claim else ()
    if exchange.may_have_run:
        status, outcome = 504, "unknown"
        claim = (RecordUnknown(),) if exchange.is_claimed else ()
    actions = refusal(exchange.request_id, status, outcome, reason)
    return _done(exchange), (*actions, *claim)


def on_caller_gone(exchange: Exchange) -> Transition:
    """Cancel the attempt of a caller that disconnected, to free its slot at once."""
    return _done(exchange), _cancel_actions(exchange)


def on_deadline(exchange: Exchange) -> Transition:
    """Refuse the request, or abort its answer if the answer has begun."""
    return _end_unfinished(exchange, "deadline", is_late=True)


def on_process_end(exchange: Exchange) -> Transition:
    """End a request as at its deadline, because the process is about to end."""
    return _end_unfinished(exchange, PROCESS_ENDS, is_late=False)


def on_body_too_large(exchange: Exchange) -> Transition:
    """Refuse a request whose body exceeds the limit of its service."""
    if exchange.phase is Phase.SENT:
        answer = refusal(exchange.request_id, 413, "unknown", "body_too_large")
        return _done(exchange), (*answer, *_cancel_actions(exchange))
    if exchange.phase is Phase.ANSWERING:
        return on_deadline(exchange)
    return refuse(exchange, 413, "body_too_large")


def refusal(
    request_id: int,
    status: int,
    outcome: str,
    reason: str,
    retry_after_s: int = RETRY_AFTER_S,
) -> tuple[Action, ...]:
    """Return a complete refusal; `outcome` is ``not-run`` or ``unknown``."""
    body = f"{outcome}: {reason}\n".encode()
    headers: list[tuple[bytes, bytes]] = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME, outcome.encode()),
        (REASON, reason.encode()),
    ]
    if status in (429, 503):
        headers.append((b"retry-after", str(retry_after_s).encode()))
    return _whole_answer(
        AnswerHead(request_id, status, tuple(headers), len(body)), body
    )


def _end_unfinished(exchange: Exchange, reason: str, is_late: bool) -> Transition:
    if exchange.phase is Phase.ANSWERING:
        broken = SendToFront(AnswerBroken(exchange.request_id))
        return _done(exchange), (broken, *_cancel_actions(exchange))
    if exchange.phase is Phase.SENT:
        answer = refusal(exchange.request_id, 504, "unknown", reason)
        return _done(exchange), (*answer, *_cancel_actions(exchange, is_late))
    return refuse(exchange, 503, reason)


def _end_answer(exchange: Exchange, ended: EndedAttempt) -> Transition:
    if ended.result is not AttemptResult.COMPLETE:
        claim = (RecordUnknown(),) if exchange.is_claimed else ()
        broken = SendToFront(AnswerBroken(exchange.request_id))
        return _done(exchange), (broken, *claim)
    end = SendToFront(AnswerEnd(exchange.request_id))
    if exchange.is_claimed:
        return replace(exchange, phase=Phase.RECORDED), (end, RecordAnswer())
    return _done(exchange), (end,)


def _cancel_actions(exchange: Exchange, is_late: bool = False) -> tuple[Action, ...]:
    """Return the actions that cancel the attempt or the claim in progress."""
    if exchange.phase in (Phase.SENT, Phase.ANSWERING):
        cancel = CancelSend(exchange.attempt_id, is_late)
        return (cancel, RecordUnknown()) if exchange.is_claimed else (cancel,)
    # A claim in progress may still be granted, so it is released as well.
    if exchange.is_claimed or exchange.phase is Phase.CLAIMING:
        return (RecordUnknown() if exchange.may_have_run else ReleaseClaim(),)
    return ()


def _whole_answer(head: AnswerHead, body: bytes) -> tuple[Action, ...]:
    request_id = head.request_id
    return (
        SendToFront(head),
        SendToFront(AnswerBody(request_id, body)),
        SendToFront(AnswerEnd(request_id)),
    )


def _done(exchange: Exchange) -> Exchange:
    return _with_phase(exchange, Phase.DONE)


def _with_phase(exchange: Exchange, phase: Phase) -> Exchange:
    return Exchange(
        exchange.request,
        phase,
        exchange.attempt_id,
        exchange.host,
        exchange.tried,
        exchange.has_answer_body,
        exchange.may_have_run,
        exchange.is_claimed,
    )
