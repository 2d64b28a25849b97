"""A `peers` service without peers, for processes that use only the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.kernel import Ok

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext


class IsolatedPeersTask:
    """Discards every message to the `peers` service and sends none.

    Used by `guavapin-control`, which must not act without the platform and therefore
    has no use for a configuration from peers.
    """

    name = "peers"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Do nothing, since there is no listener."""
        return Ok(None)

    def handle(self, message: object) -> None:
        """Discard the message."""

    def stop(self) -> None:
        """Do nothing, since no socket is open."""
