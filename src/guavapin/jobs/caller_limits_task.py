"""The service `caller_limits`: applies the configured limits to the callers' front."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.caller_limits import NO_CALLER_LIMITS
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetRequestLimits

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext


class CallerLimitsTask:
    """Sends `SetRequestLimits` to `front` when a table with other limits is in force.

    The front knows nothing of tables, so that other processes can use it.
    """

    name = "caller_limits"

    def __init__(self, front: str) -> None:
        self._front = front
        self._limits = NO_CALLER_LIMITS

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for tables."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Apply the limits of a table."""
        if not isinstance(message, QueueTableChanged):
            raise InvariantError(f"{self.name}: unexpected message {message!r}")
        limits = message.table.limits
        if limits != self._limits:
            self._limits = limits
            self._context.send(
                self._front,
                SetRequestLimits(
                    max_head_bytes=limits.max_head_bytes,
                    max_body_bytes=limits.max_body_bytes,
                    header_timeout_ms=limits.head_timeout_ms,
                    idle_timeout_ms=limits.idle_timeout_ms,
                ),
            )
