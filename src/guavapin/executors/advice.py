"""The service `advice`: asks which hosts a step may run on."""

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

# The adviser serves one call of a process after the other; a second one on its way
# hides the time of the connection.
MAX_IN_FLIGHT = 2

# Questions that wait; the scheduler asks again for a step whose question was dropped.
MAX_WAITING = 64

log = logging.getLogger("guavapin.advice")


class AdviceWire(Protocol):
    """Translates questions to the adviser; never raises."""

    def encode(
        self,
        reply_to: str,
        request_id: int,
        address: str,
        step: Subtask,
        executors: tuple[str, ...],
        timeout_ms: int,
    ) -> PeerCall:
        """Return the call that asks for tickets."""
        ...

    def decode(self, outcome: CallOutcome) -> dict[str, str] | None:
        """Return tickets by executor, None without an answer."""
        ...


class AdviceTask:
    """Service ``advice``; every `AdviceRequest` gets one `AdviceReply`."""

    name = "advice"

    def __init__(self, wire: AdviceWire, address: str) -> None:
        self._wire = wire
        self._address = address
        self._waiting: deque[AdviceRequest] = deque()
        self._asked: dict[int, AdviceRequest] = {}
        self._number = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for questions."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop what waits."""
        self._waiting.clear()

    def handle(self, message: object) -> None:
        """Take a question or an answer."""
        if isinstance(message, AdviceRequest):
            if not self._address or len(self._waiting) >= MAX_WAITING:
                extra = {"job": message.step.job_id, "address": self._address}
                log.warning("question dropped", extra=extra)
                self._tell(message, None)
                return
            self._waiting.append(message)
            self._send()
        elif isinstance(message, PeerReply):
            ask = self._asked.pop(message.request_id, None)
            if ask is not None:
                self._tell(ask, self._wire.decode(message.outcome))
            self._send()
        else:
            raise InvariantError(f"advice: unexpected message {message!r}")

    def _send(self) -> None:
        while self._waiting and len(self._asked) < MAX_IN_FLIGHT:
            ask = self._waiting.popleft()
            self._number += 1
            self._asked[self._number] = ask
            call = self._wire.encode(
                self.name,
                self._number,
                self._address,
                ask.step,
                ask.executors,
                ask.timeout_ms,
            )
            self._context.send("http", call)

    def _tell(self, ask: AdviceRequest, tickets: dict[str, str] | None) -> None:
        extra = {
            "job": ask.step.job_id,
            "step": ask.step.step,
            "asked": len(ask.executors),
            "allowed": -1 if tickets is None else len(tickets),
        }
        log.info("advice given", extra=extra)
        self._context.send("scheduler", AdviceReply(ask, tickets))
