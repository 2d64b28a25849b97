"""The service `reach`: decides whether this entry host is ready for callers.

A process that reaches neither the store nor a scheduler can only refuse calls. It then
reports to the platform that it is not ready, so that callers are sent to other hosts.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

# Consecutive failed calls after which the host counts as cut off; a single call may be
# lost at any time.
MAX_FAILURES = 3

log = logging.getLogger("guavapin.reach")


@dataclass(frozen=True, slots=True)
class Reachability:
    """Conditions of readiness: a table in force, and `failures` since an answer."""

    has_table: bool = False
    failures: int = 0

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.has_table and self.failures < MAX_FAILURES

    def after_call(self, is_answered: bool) -> Reachability:
        """Return the state after one more call to the store or a scheduler."""
        return replace(self, failures=0 if is_answered else self.failures + 1)


class ReachabilityTask:
    """Service ``reach``; sends `SetReady` to `front` when readiness changes."""

    name = "reach"

    def __init__(self, front: str) -> None:
        self._front = front
        self._reachability = Reachability()
        self._is_ready = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for a table and for reports of calls."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Apply a report of a call or a table, and notify `front` of a change."""
        if isinstance(message, ReachabilityReport):
            self._reachability = self._reachability.after_call(message.is_answered)
        elif isinstance(message, QueueTableChanged):
            self._reachability = replace(self._reachability, has_table=True)
        else:
            raise InvariantError(f"reach: unexpected message {message!r}")
        if self._reachability.is_ready != self._is_ready:
            self._is_ready = self._reachability.is_ready
            extra = {"ready": self._is_ready, "failures": self._reachability.failures}
            log.info("readiness changed", extra=extra)
            self._context.send(self._front, SetReady(self._is_ready))
