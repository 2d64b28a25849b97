"""The service `advice`: requests tickets for hosts from the platform's adviser."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.http.messages import PeerReply
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.scheduling.messages import AdviceReply
from guavapin.scheduling.messages import AdviceRequest

if TYPE_CHECKING:
    from guavapin.http.messages import CallOutcome
    from guavapin.http.messages import PeerCall
    from guavapin.jobs.model import Subtask
    from guavapin.kernel.task import TaskContext

# Calls in flight to the adviser. It serves the calls of a process one after the other,
# so a second one hides the latency of the connection.
MAX_IN_FLIGHT = 2

# Limit of the queue. A request beyond it is dropped, and the scheduler repeats the
# request for its step.
MAX_QUEUED = 64

log = logging.getLogger("guavapin.advice")


class AdviceCodec(Protocol):
    """Translates requests to the adviser and its answers; never raises."""

    def encode(
        self,
        reply_to: str,
        request_id: int,
        address: str,
        step: Subtask,
        executors: tuple[str, ...],
        timeout_ms: int,
    ) -> PeerCall:
        """Return the call that requests tickets of `executors` for a step."""
        ...

    def decode(self, outcome: CallOutcome) -> dict[str, str] | None:
        """Return tickets by executor, or None if there is no readable answer."""
        ...


class AdviceTask:
    """Service ``advice``; every `AdviceRequest` gets one `AdviceReply`."""

    name = "advice"

    def __init__(self, codec: AdviceCodec, address: str) -> None:
        self._codec = codec
        self._address = address
        self._queue: deque[AdviceRequest] = deque()
        self._in_flight: dict[int, AdviceRequest] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; requests arrive as messages."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop the queued requests."""
        self._queue.clear()

    def handle(self, message: object) -> None:
        """Queue a request, or pass an answer to the scheduler.

        Without an adviser, or with a full queue, a request is answered with None.
        """
        if isinstance(message, AdviceRequest):
            if not self._address or len(self._queue) >= MAX_QUEUED:
                extra = {"job": message.step.job_id, "address": self._address}
                log.warning("question dropped", extra=extra)
                self._send_tickets(message, None)
                return
            self._queue.append(message)
            self._send_next()
        elif isinstance(message, PeerReply):
            request = self._in_flight.pop(message.request_id, None)
            if request is not None:
                self._send_tickets(request, self._codec.decode(message.outcome))
            self._send_next()
        else:
            raise InvariantError(f"advice: unexpected message {message!r}")

    def _send_next(self) -> None:
        while self._queue and len(self._in_flight) < MAX_IN_FLIGHT:
            request = self._queue.popleft()
            self._request_id += 1
            self._in_flight[self._request_id] = request
            call = self._codec.encode(
                self.name,
                self._request_id,
                self._address,
                request.step,
                request.executors,
                request.timeout_ms,
            )
            self._context.send("http", call)

    def _send_tickets(
        self, request: AdviceRequest, tickets: dict[str, str] | None
    ) -> None:
        extra = {
            "job": request.step.job_id,
            "step": request.step.step,
            "asked": len(request.executors),
            "allowed": -1 if tickets is None else len(tickets),
        }
        log.info("advice given", extra=extra)
        self._context.send("scheduler", AdviceReply(request, tickets))
