"""The task `readiness`: decides whether this process should receive requests."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.serving.messages import SetReady
from guavapin.serving.route_table import RouteTableChanged

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

log = logging.getLogger("guavapin.readiness")


@dataclass(frozen=True, slots=True)
class BeginStop:
    """Report not ready from now on, because the process stops; also as a `Call`."""


@dataclass(frozen=True, slots=True)
class QueryReady:
    """Query, sent as a `Call`; the reply is True if this process is ready."""


class ReadinessTask:
    """Service `readiness`: ready once there is a route to at least one upstream.

    A process without configuration, or whose fleet record names no upstream, can only
    refuse requests, so the load balancer should not send any to it.
    """

    name = "readiness"

    def __init__(self) -> None:
        self.is_ready = False
        self._is_stopping = False
        self._generation = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; the process is not ready yet."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a new route table, a query, or the start of the stop."""
        match message:
            case RouteTableChanged(table):
                self._generation = table.generation
                has_upstreams = any(table.upstreams.values())
                self._set_ready(table.generation > 0 and has_upstreams)
            case BeginStop():
                self._begin_stop()
            case Call(QueryReady(), fut):
                fut.set_result(self.is_ready)
            case Call(BeginStop(), fut):
                self._begin_stop()
                fut.set_result(Ok(None))

    def stop(self) -> None:
        """Do nothing; this task has no sockets."""

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self.is_ready = False
        self._context.send("front", SetReady(is_ready=False, is_stopping=True))

    def _set_ready(self, is_ready: bool) -> None:
        is_ready = is_ready and not self._is_stopping
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            text = "ready" if is_ready else "unready"
            log.info(text, extra={"generation": self._generation})
            self._context.send("front", SetReady(is_ready))
