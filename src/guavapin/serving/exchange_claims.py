"""Client of the claims service for the requests in progress."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.serving import exchange as state_machine

if TYPE_CHECKING:
    from guavapin.claims.messages import ClaimAnswer
    from guavapin.kernel import TaskContext
    from guavapin.serving.exchange import Action
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange import Transition
    from guavapin.serving.messages import Headers

# A larger answer is not recorded, and a second request with the key gets an unknown
# outcome. Values of the platform's service hold at most 1 MB.
MAX_ANSWER_BYTES = 262_144


class _CollectedAnswer:
    def __init__(self, status: int, headers: Headers, size: int = 0) -> None:
        self.status = status
        self.headers = headers
        self.parts: list[bytes] = []
        self.size = size


class ClaimClient:
    """Sends claims and collects the answers to record, for the task `exchanges`."""

    def __init__(self, context: TaskContext, service: str) -> None:
        self._context = context
        self._service = service
        self._answers: dict[int, _CollectedAnswer] = {}

    def claim(self, exchange: Exchange, body: bytes) -> str:
        """Claim the key; returns a reason if there is no claims service, else "".

        `body` is the result of `RequestBodies.claim_prefix`.
        """
        if not self._service:
            return "cut_off"
        message = ClaimKey(
            exchange.request_id,
            exchange.request.service.name,
            exchange.request.key,
            _digest(exchange, body),
            exchange.request.deadline_ms - int(exchange.request.expectation.run_ms),
        )
        self._context.send(self._service, message)
        return ""

    def start_answer(self, request_id: int, status: int, headers: Headers) -> None:
        """Start to collect the answer of a claimed request, from its head on."""
        self._answers[request_id] = _CollectedAnswer(status, headers)

    def add_body(self, request_id: int, data: bytes) -> None:
        """Collect a part of an answer's body, up to `MAX_ANSWER_BYTES` in total."""
        answer = self._answers.get(request_id)
        if answer is None:
            return
        answer.size += len(data)
        if answer.size <= MAX_ANSWER_BYTES:
            answer.parts.append(data)
        else:
            answer.parts.clear()

    def report_outcome(self, exchange: Exchange, action: Action) -> None:
        """Send the outcome of a claimed request to the claims service."""
        request_id = exchange.request_id
        message: object = RecordUnknown(request_id)
        answer = self._answers.get(request_id)
        if isinstance(action, state_machine.ReleaseClaim):
            message = ReleaseClaim(request_id)
        elif isinstance(action, state_machine.RecordAnswer) and answer is not None:
            if answer.size <= MAX_ANSWER_BYTES:
                body = b"".join(answer.parts)
                message = RecordAnswer(request_id, answer.status, answer.headers, body)
            else:
                message = RecordUnknown(request_id, "answer too large to record")
        self._context.send(self._service, message)

    def drop(self, request_id: int) -> None:
        """Remove the collected answer of a request."""
        self._answers.pop(request_id, None)


def on_claim_answer(exchange: Exchange, answer: ClaimAnswer) -> Transition:
    """Return the transition of the request for an answer of the claims service."""
    if isinstance(answer, ClaimGranted):
        return state_machine.on_claimed(exchange)
    match answer.outcome:
        case RecordedAnswer(status, headers, body):
            return state_machine.on_recorded_answer(exchange, status, headers, body)
        case OutcomeUnknown():
            return state_machine.on_claim_refused(exchange, 504, "outcome_unknown")
        case NotRun(reason, _):
            return state_machine.on_claim_refused(exchange, 503, reason.value)
        case KeyReused():
            return state_machine.on_claim_refused(exchange, 422, "key_reused")


def _digest(exchange: Exchange, body: bytes) -> bytes:
    """Return the digest that distinguishes two requests with the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        exchange.request.method.encode(),
        exchange.request.target.encode("latin-1"),
        body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
