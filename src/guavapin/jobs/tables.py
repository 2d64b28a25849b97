"""The service `tables`: distributes the newest table of queues and pools."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.scheduling.messages import QueueTableChanged

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext

log = logging.getLogger("guavapin.tables")


class TableCodec(Protocol):
    """Decodes the table that the operator has stored; never raises."""

    @property
    def key(self) -> str:
        """Return the key of the newest table."""
        ...

    def decode(self, value: bytes) -> QueueTable | None:
        """Return the table, or None if the value cannot be read."""
        ...


class TablesTask:
    """Service ``tables``; sends each newer table to `listeners` as `QueueTableChanged`.

    A version that is not above the one in force is ignored, so that a late answer of
    the store never reverts a process to an older table.
    """

    name = "tables"

    def __init__(self, codec: TableCodec, listeners: tuple[str, ...]) -> None:
        self._codec = codec
        self._listeners = listeners
        self._version = -1

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for the follower."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Adopt the table from a listing or a change of the store."""
        if not isinstance(message, PrefixListed | PrefixChanged):
            raise InvariantError(f"tables: unexpected message {message!r}")
        for item in message.items:
            if item.key == self._codec.key and item.value is not None:
                self._adopt(item.value)

    def _adopt(self, value: bytes) -> None:
        table = self._codec.decode(value)
        if table is None:
            log.error("table cannot be read", extra={"bytes": len(value)})
            return
        if table.version <= self._version:
            return
        extra = {"version": table.version, "replaced": self._version}
        log.info("table in force", extra={**extra, "queues": len(table.queues)})
        self._version = table.version
        for listener in self._listeners:
            self._context.send(listener, QueueTableChanged(table))
