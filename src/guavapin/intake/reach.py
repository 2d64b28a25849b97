"""The service `reach`: is this entry host of use to callers?

A process that reaches neither the store nor a scheduler can only refuse. It then
answers the platform that it is not ready, so that callers are sent to others.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue.reach import ReachNoted
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

# Failures in a row after which nothing counts as reached. One call may be lost alone.
MAX_FAILURES = 3

log = logging.getLogger("guavapin.reach")


@dataclass(frozen=True, slots=True)
class Reach:
    """Whether a table is in force, and failures since the last answer."""

    has_table: bool = False
    failures: int = 0

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.has_table and self.failures < MAX_FAILURES

    def noted(self, is_answered: bool) -> Reach:
        """Return the state after a call."""
        return replace(self, failures=0 if is_answered else self.failures + 1)


class ReachTask:
    """Service ``reach``; tells `front` when readiness changes."""

    name = "reach"

    def __init__(self, front: str) -> None:
        self._front = front
        self._reach = Reach()
        self._is_ready = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for news."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Nothing to close."""

    def handle(self, message: object) -> None:
        """Take news."""
        if isinstance(message, ReachNoted):
            self._reach = self._reach.noted(message.is_answered)
        elif isinstance(message, QueueTableChanged):
            self._reach = replace(self._reach, has_table=True)
        else:
            raise InvariantError(f"reach: unexpected message {message!r}")
        if self._reach.is_ready != self._is_ready:
            self._is_ready = self._reach.is_ready
            extra = {"ready": self._is_ready, "failures": self._reach.failures}
            log.info("readiness changed", extra=extra)
            self._context.send(self._front, SetReady(self._is_ready))
