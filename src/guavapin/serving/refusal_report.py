"""Counts refused clients by cause, with one log line for each cause and second."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.kernel import TaskContext

REPORT_INTERVAL_MS = 1_000

CAUSES = {
    408: "not received in time",
    413: "body too large",
    431: "head too large",
    503: "memory short",
}
MALFORMED = "malformed"
IDLE = "idle with all connections in use"

log = logging.getLogger("guavapin.clients")


class ClientObserver(Protocol):
    """Receives the state of a listener's clients for the metrics."""

    def observe_clients(
        self,
        listener: str,
        connections: int,
        held_bytes: int,
        refused: Mapping[str, int],
    ) -> None:
        """Record open connections, held bytes, and refusals since the last call."""
        ...


class NoObserver:
    """Used where the metrics are collected in another way."""

    def observe_clients(
        self,
        listener: str,
        connections: int,
        held_bytes: int,
        refused: Mapping[str, int],
    ) -> None:
        """Do nothing."""


NO_OBSERVER = NoObserver()


class RefusalReport:
    """Collects refusals; `report_message` is delivered to the task once a second.

    The task must then call `write`. Without refusals no timer runs.
    """

    def __init__(
        self, context: TaskContext, report_message: object, listener: str
    ) -> None:
        self._context = context
        self._report_message = report_message
        self._listener = listener
        self._refused: Counter[str] = Counter()

    def add(self, cause: str) -> None:
        """Count a refusal, and write it within a second."""
        if not self._refused:
            self._context.set_timer(REPORT_INTERVAL_MS, self._report_message)
        self._refused[cause] += 1

    def write(self, connections: int, held_bytes: int) -> Counter[str]:
        """Write one line for each cause; return the counts of this second."""
        refused, self._refused = self._refused, Counter()
        for cause, count in refused.items():
            extra = {
                "listener": self._listener,
                "cause": cause,
                "count": count,
                "connections": connections,
                "held_bytes": held_bytes,
            }
            log.warning("clients refused", extra=extra)
        return refused
