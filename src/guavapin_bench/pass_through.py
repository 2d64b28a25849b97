"""Minimal `exchanges` service: every request is one attempt at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext


class PassThrough:
    """Service `exchanges`; the id of an attempt is the id of its request.

    It decides nothing, so that only the cost of `front` and `upstreams` is measured.
    """

    name = "exchanges"

    def __init__(self, address: str) -> None:
        self._address = address

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context that messages are sent by."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing: the service owns no resources."""

    def handle(self, message: object) -> None:
        """Convert a message of `front` or `upstreams` and send it to the other."""
        send = self._context.send
        match message:
            case AttemptHead(request_id, status, headers):
                send("front", AnswerHead(request_id, status, headers))
            case AttemptBody(request_id, data):
                send("front", AnswerBody(request_id, data))
            case AttemptEnded(request_id, result):
                is_whole = result is AttemptResult.COMPLETE
                send(
                    "front",
                    AnswerEnd(request_id) if is_whole else AnswerBroken(request_id),
                )
            case RequestReceived():
                send("upstreams", self._build_attempt(message))
            case RequestBody(request_id, data, is_last):
                send("upstreams", AttemptRequestBody(request_id, data, is_last))
            case CallerGone(request_id):
                send("upstreams", CancelAttempt(request_id))
            case FlowControl(_, _, is_attempt):
                send("front" if is_attempt else "upstreams", message)

    def _build_attempt(self, request: RequestReceived) -> StartAttempt:
        return StartAttempt(
            attempt_id=request.request_id,
            address=self._address,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=b"",
            body_follows=request.body_follows,
            connect_ms=2_000,
            first_byte_ms=10_000,
            progress_ms=10_000,
            fresh_connection=request.method == "POST",
        )
