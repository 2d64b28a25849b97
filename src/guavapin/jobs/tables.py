"""The service `tables`: keeps the newest queues and pools in force."""

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


class TableWire(Protocol):
    """Decodes what the operator has written; never raises."""

    @property
    def key(self) -> str:
        """Return the key of the newest table."""
        ...

    def decode(self, value: bytes) -> QueueTable | None:
        """Return the table, None if it cannot be read."""
        ...


class TablesTask:
    """Service ``tables``; `listeners` get `QueueTableChanged`.

    A version lower than the one in force is ignored, so that a late answer of the
    store never takes a process back.
    """

    name = "tables"

    def __init__(self, wire: TableWire, listeners: tuple[str, ...]) -> None:
        self._wire = wire
        self._listeners = listeners
        self._version = -1

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for the follower."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Nothing to close."""

    def handle(self, message: object) -> None:
        """Take the table as listed or changed."""
        if not isinstance(message, PrefixListed | PrefixChanged):
            raise InvariantError(f"tables: unexpected message {message!r}")
        for item in message.items:
            if item.key == self._wire.key and item.value is not None:
                self._take(item.value)

    def _take(self, value: bytes) -> None:
        table = self._wire.decode(value)
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
