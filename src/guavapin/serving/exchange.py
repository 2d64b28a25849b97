"""The state machine of one request, from its arrival to the end of its answer.

Pure: each function takes an `Exchange` and an event and returns the new `Exchange`
and the actions to take. The task `exchanges` owns the records and does the sends.

The steps of every request construct the next `Exchange` directly, since
`dataclasses.replace` takes more than twice as long; rare steps use `replace`.
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
    """One request and where it stands.

    `may_have_run` is set once an attempt ended that may have run the request; only
    without it may a refusal say that nothing ran. `tried` are the hosts of all
    attempts so far, `attempt_id` is the last one.
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
        """Number of the request."""
        return self.request.request_id

    @property
    def attempts(self) -> int:
        """Number of attempts made."""
        return len(self.tried)


@dataclass(frozen=True, slots=True)
class SendToFront:
    """Send `message` to the task `front`."""

    message: AnswerHead | AnswerBody | AnswerEnd | AnswerBroken


@dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancel the attempt in progress; its slot is free at once.

    `is_late` tells that the request's deadline has passed.
    """

    attempt_id: int
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim the idempotency key; the slot stays reserved meanwhile."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to the host on which its slot is reserved."""


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Give the key up: the request has certainly not run."""


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
    """A slot on `host` is reserved: claim the key first, or send at once."""
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
    """The key is claimed by this process: send the request."""
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    return replace(exchange, phase=Phase.ADMITTED, is_claimed=True), _SEND


def on_claim_refused(exchange: Exchange, status: int, reason: str) -> Transition:
    """The key could not be claimed.

    Only with status 504 may another request of the same key have run; with any other
    the request did not run.
    """
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    outcome = "unknown" if status == 504 else "not-run"
    return _done(exchange), refusal(exchange.request_id, status, outcome, reason)


def on_recorded_answer(
    exchange: Exchange, status: int, headers: Headers, body: bytes
) -> Transition:
    """The key has an answer already: give it to the caller, whole."""
    if exchange.phase is not Phase.CLAIMING:
        return exchange, ()
    head = AnswerHead(exchange.request_id, status, headers, len(body))
    return _done(exchange), _whole_answer(head, body)


def on_recorded(exchange: Exchange) -> Transition:
    """The answer has been handed to the claims service."""
    return (_done(exchange) if exchange.phase is Phase.RECORDED else exchange), ()


def on_sent(exchange: Exchange, attempt_id: int) -> Exchange:
    """Record that an attempt has been started."""
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


def wants_retry(exchange: Exchange, ended: EndedAttempt, has_body: bool) -> bool:
    """Tell whether a further attempt is safe and possible.

    `has_body` tells whether the request's body can be sent again.
    """
    if exchange.phase is not Phase.SENT or not has_body:
        return False
    is_safe = exchange.request.is_idempotent
    return may_repeat(ended, is_safe, exchange.attempts, answer_started=False)


def on_retry(exchange: Exchange, ended: EndedAttempt) -> Exchange:
    """Queue the request again after an attempt that did not succeed."""
    may_have_run = exchange.may_have_run or not has_not_run(ended)
    return replace(exchange, phase=Phase.QUEUED, host="", may_have_run=may_have_run)


def on_answer_head(exchange: Exchange, status: int, headers: Headers) -> Transition:
    """Pass the head of the answer on to the caller."""
    if exchange.phase is not Phase.SENT:
        return exchange, ()
    length = announced_length(headers)
    head = AnswerHead(exchange.request_id, status, headers, length)
    return _with_phase(exchange, Phase.ANSWERING), (SendToFront(head),)


def on_answer_body(exchange: Exchange, data: bytes) -> Transition:
    """Pass a part of the body on to the caller."""
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
    """End the answer, break it off, or refuse the request; nothing is repeated."""
    if exchange.phase is Phase.ANSWERING:
        return _end_answer(exchange, ended)
    if exchange.phase is not Phase.SENT:
        return exchange, ()
    may_have_run = exchange.may_have_run or not has_not_run(ended)
    ended_exchange = replace(exchange, may_have_run=may_have_run)
    return refuse(ended_exchange, 503, reason)


def refuse(exchange: Exchange, status: int, reason: str) -> Transition:
    """Refuse a request; if it may have run, the outcome is unknown and 504 is sent."""
    outcome = "not-run"
    claim: tuple[Action, ...] = (ReleaseClaim(),) if exchange.is_claimed else ()
    if exchange.may_have_run:
        status, outcome = 504, "unknown"
        claim = (RecordUnknown(),) if exchange.is_claimed else ()
    actions = refusal(exchange.request_id, status, outcome, reason)
    return _done(exchange), (*actions, *claim)


def on_caller_gone(exchange: Exchange) -> Transition:
    """Cancel the attempt, so that its slot is free at once."""
    return _done(exchange), _cancel_actions(exchange)


def on_deadline(exchange: Exchange) -> Transition:
    """Refuse the request, or break its answer off if that has begun."""
    if exchange.phase is Phase.ANSWERING:
        broken = SendToFront(AnswerBroken(exchange.request_id))
        return _done(exchange), (broken, *_cancel_actions(exchange))
    if exchange.phase is Phase.SENT:
        answer = refusal(exchange.request_id, 504, "unknown", "deadline")
        return _done(exchange), (*answer, *_cancel_actions(exchange, is_late=True))
    return refuse(exchange, 503, "deadline")


def on_body_too_large(exchange: Exchange) -> Transition:
    """Refuse a request whose body turned out larger than the service takes."""
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
    """Return a whole answer that refuses; `outcome` is ``not-run`` or ``unknown``."""
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
    """Return the actions that end what is in progress, without an answer."""
    if exchange.phase in (Phase.SENT, Phase.ANSWERING):
        cancel = CancelSend(exchange.attempt_id, is_late)
        return (cancel, RecordUnknown()) if exchange.is_claimed else (cancel,)
    # A claim in progress may still succeed; releasing it covers both cases.
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
