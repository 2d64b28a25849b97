"""A `peers` service without peers, for processes that follow the platform alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.kernel import Ok

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext


class IsolatedPeersTask:
    """Takes every message of the `peers` service and sends none.

    `guavapin-control` uses it: without the platform it must not act, so a
    configuration from peers would be of no use to it.
    """

    name = "peers"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open nothing."""
        return Ok(None)

    def handle(self, message: object) -> None:
        """Drop the message."""

    def stop(self) -> None:
        """Close nothing."""
