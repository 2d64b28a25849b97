"""Listeners of executors, which pass their requests to the platform's stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.serving.request_handler import RequestHandler

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.serving.messages import Headers
    from guavapin.serving.request_handler import WholeRequest


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request that the service `reply_to` has got; it expects a `RelayedAnswer`."""

    reply_to: str
    req: WholeRequest


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The whole answer to a relayed request."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


class ExecutorRelayTask(RequestHandler):
    """Service ``executor_relay_N`` behind the listener ``executor_front_N``.

    The product limits its connections to one address, so that each of many executors
    needs a listener of its own, as on hosts of their own.
    """

    def __init__(self, number: int, platform: str) -> None:
        self.name = f"executor_relay_{number}"
        self.front = f"executor_front_{number}"
        super().__init__(self.front)
        self._platform = platform

    def start(self, context: TaskContext) -> Outcome[None]:
        """Keep the context."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a message of the front or an answer of the platform."""
        if isinstance(message, RelayedAnswer):
            answer = message
            self.answer(answer.request_id, answer.status, answer.headers, answer.body)
        elif not self.handle_front_message(message):
            raise InvariantError(f"{self.name}: unexpected {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Pass a request on."""
        self._context.send(self._platform, RelayedRequest(self.name, req))

    def stop(self) -> None:
        """Do nothing: the platform drops its pending requests."""
