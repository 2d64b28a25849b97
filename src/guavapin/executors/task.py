"""The service `executors`: sends orders to executors and returns their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.executors.model import HostAnswer
from guavapin.executors.model import HostOrder
from guavapin.http.messages import PeerReply
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome

if TYPE_CHECKING:
    from guavapin.executors.model import Order
    from guavapin.executors.model import OrderOutcome
    from guavapin.http.messages import CallOutcome
    from guavapin.http.messages import PeerCall
    from guavapin.kernel.task import TaskContext


class ExecutorCodec(Protocol):
    """Translates orders to HTTP calls of an executor and its answers; never raises."""

    def encode(self, reply_to: str, request_id: int, order: HostOrder) -> PeerCall:
        """Return the HTTP call that carries an order."""
        ...

    def decode(self, order: Order, outcome: CallOutcome) -> OrderOutcome:
        """Return the outcome of an order; an unreadable answer is `NoAnswer`."""
        ...


class ExecutorsTask:
    """Service ``executors``; every `HostOrder` gets one `HostAnswer`."""

    name = "executors"

    def __init__(self, codec: ExecutorCodec) -> None:
        self._codec = codec
        self._orders: dict[int, HostOrder] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for orders."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop the orders in flight; their senders get no answer."""
        self._orders.clear()

    def handle(self, message: object) -> None:
        """Send an order to its executor, or return an outcome to the sender."""
        if isinstance(message, HostOrder):
            self._request_id += 1
            self._orders[self._request_id] = message
            call = self._codec.encode(self.name, self._request_id, message)
            self._context.send("http", call)
        elif isinstance(message, PeerReply):
            order = self._orders.pop(message.request_id, None)
            if order is not None:
                outcome = self._codec.decode(order.order, message.outcome)
                answer = HostAnswer(order.request_id, outcome)
                self._context.send(order.reply_to, answer)
        else:
            raise InvariantError(f"executors: unexpected message {message!r}")
