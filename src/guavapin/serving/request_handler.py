"""Base class of the services behind a front that answer requests themselves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.serving.messages import Headers

# The front refuses larger bodies unless the configuration sets another limit. The
# largest jobs have a few dozen steps and a short text.
MAX_BODY_BYTES = 262_144

# Bodies above this are refused whatever the configuration allows: the store does not
# take records of that size.
LARGEST_BODY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class WholeRequest:
    """A request together with its complete body.

    Headers may hold secrets, so that they are left out of the representation.
    """

    request_id: int
    method: str
    target: str
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)
    received_ms: int

    def header(self, name: bytes) -> str:
        """Return a header's value, "" if it is missing; `name` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


class RequestHandler:
    """Collects the bodies of requests from the service `front`.

    A subclass implements `handle_request` and calls `answer` once for each request.
    """

    def __init__(self, front: str) -> None:
        self._front = front
        self._heads: dict[int, RequestReceived] = {}
        self._bodies: dict[int, bytearray] = {}
        self._context: TaskContext

    def handle_front_message(self, message: object) -> bool:
        """Handle a message of the front; returns False for any other message."""
        match message:
            case RequestReceived():
                if message.body_follows:
                    self._heads[message.request_id] = message
                    self._bodies[message.request_id] = bytearray()
                else:
                    self.handle_request(_whole(message, b""))
            case RequestBody(request_id=request_id, data=data, is_last=is_last):
                self._add_body(request_id, data, is_last)
            case CallerGone(request_id=request_id):
                self._heads.pop(request_id, None)
                self._bodies.pop(request_id, None)
                self.handle_caller_gone(request_id)
            case FlowControl():
                # Answers are short and sent whole, so they are never paused.
                pass
            case _:
                return False
        return True

    def handle_request(self, req: WholeRequest) -> None:
        """Handle a request; it may be answered now or later."""
        raise NotImplementedError

    def handle_caller_gone(self, request_id: int) -> None:
        """Handle a caller that disconnected; its request needs no answer."""

    def answer(
        self, request_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send the whole answer to a request."""
        send = self._context.send
        send(self._front, AnswerHead(request_id, status, headers, len(body)))
        if body:
            send(self._front, AnswerBody(request_id, body))
        send(self._front, AnswerEnd(request_id))

    def _add_body(self, request_id: int, data: bytes, is_last: bool) -> None:
        body = self._bodies.get(request_id)
        if body is None:
            return
        body += data
        if len(body) > LARGEST_BODY_BYTES:
            self._heads.pop(request_id, None)
            del self._bodies[request_id]
            self.answer(request_id, 413)
        elif is_last:
            del self._bodies[request_id]
            self.handle_request(_whole(self._heads.pop(request_id), bytes(body)))


def _whole(head: RequestReceived, body: bytes) -> WholeRequest:
    return WholeRequest(
        head.request_id, head.method, head.target, head.headers, body, head.received_ms
    )
