"""The service `executors`: carries orders to hosts and their answers back."""

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
    """Translates orders to calls of an executor; never raises."""

    def encode(self, reply_to: str, request_id: int, order: HostOrder) -> PeerCall:
        """Return the call of an order."""
        ...

    def decode(self, order: Order, outcome: CallOutcome) -> OrderOutcome:
        """Return the outcome of a call."""
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
        """Forget the orders on their way."""
        self._orders.clear()

    def handle(self, message: object) -> None:
        """Send an order, or hand an answer on."""
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
