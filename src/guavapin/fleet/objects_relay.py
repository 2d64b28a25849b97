"""The task `objects_relay`: forwards the objects in force to the fleet services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.fleet.messages import ObjectsUpdate
from guavapin.kernel import Ok
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import SubscribeConfiguration

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext


class ObjectsRelayTask:
    """Service `objects_relay`; sends `ObjectsUpdate` to `subscribers`."""

    name = "objects_relay"

    def __init__(self, subscribers: tuple[str, ...]) -> None:
        self._subscribers = subscribers

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the configuration."""
        self._context = context
        context.send("configuration", SubscribeConfiguration(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Forward a newly adopted configuration."""
        if isinstance(message, ConfigurationAdopted):
            update = ObjectsUpdate(message.objects, message.generation)
            for service in self._subscribers:
                self._context.send(service, update)

    def stop(self) -> None:
        """Nothing to close."""
