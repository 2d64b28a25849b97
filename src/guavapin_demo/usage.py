"""Reports the upstreams' usage to the platform stand-in, as host agents would."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin_standins.platform_controls import SetUsage
from guavapin_standins.upstream_messages import GetRunning

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_standins.platform import RunningPlatform

REPORT_INTERVAL_MS = 250


@dataclass(frozen=True, slots=True)
class _Report:
    pass


class UsageTask:
    """Service ``usage``; `services` maps a host to the service of its stand-in."""

    name = "usage"

    def __init__(self, services: Mapping[str, str], platform: RunningPlatform) -> None:
        self._services = services
        self._platform = platform

    def start(self, context: TaskContext) -> Outcome[None]:
        """Set the timer of the first report."""
        self._context = context
        context.set_timer(REPORT_INTERVAL_MS, _Report())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Query the requests in progress of every upstream and report them."""
        for host, service in self._services.items():
            fut: Future[Any] = Future()
            fut.add_done_callback(self._reporter(host))
            self._context.send(service, Call(GetRunning(), fut))
        self._context.set_timer(REPORT_INTERVAL_MS, _Report())

    def stop(self) -> None:
        """Do nothing: the task owns no resources."""

    def _reporter(self, host: str) -> Any:
        return lambda fut: self._platform.deliver(SetUsage(host, fut.result()))
