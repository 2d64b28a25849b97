"""The protocol through which a duty performs steps on hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.duties.messages import HOST_ACTIONS

if TYPE_CHECKING:
    from guavapin.duties.messages import PerformHostStep
    from guavapin.kernel.task import TaskContext


class HostActions(Protocol):
    """Begins steps on hosts; the results come back as `HostStepDone`."""

    def begin(self, context: TaskContext, step: PerformHostStep) -> None:
        """Begin a step; a repeated `step_id` denotes the same step."""
        ...


class ServiceHostActions:
    """Sends each step as a message to a service."""

    def __init__(self, service: str = HOST_ACTIONS) -> None:
        self._service = service

    def begin(self, context: TaskContext, step: PerformHostStep) -> None:
        """Send the step to the service."""
        context.send(self._service, step)
