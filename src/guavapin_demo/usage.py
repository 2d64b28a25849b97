"""Reports the upstreams' usage to the platform stand-in, in place of its agents."""

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
    """Service ``usage``; `services` maps host to the name of its stand-in."""

    name = "usage"

    def __init__(self, services: Mapping[str, str], platform: RunningPlatform) -> None:
        self._services = services
        self._platform = platform

    def start(self, context: TaskContext) -> Outcome[None]:
        """Begin to report."""
        self._context = context
        context.set_timer(REPORT_INTERVAL_MS, _Report())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Ask every upstream how many requests it runs."""
        for host, service in self._services.items():
            fut: Future[Any] = Future()
            fut.add_done_callback(self._reporter(host))
            self._context.send(service, Call(GetRunning(), fut))
        self._context.set_timer(REPORT_INTERVAL_MS, _Report())

    def stop(self) -> None:
        """Nothing to close."""

    def _reporter(self, host: str) -> Any:
        return lambda fut: self._platform.deliver(SetUsage(host, fut.result()))
