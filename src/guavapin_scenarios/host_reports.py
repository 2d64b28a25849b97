"""Links the upstream stand-ins to the platform's stand-in, as hosts are in reality."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin_standins.platform_controls import SetUsage
from guavapin_standins.platform_hosts import REBOOT_MS
from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import GetRunning
from guavapin_standins.upstream_messages import SetBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_standins.platform import RunningPlatform

# The platform reports usage with a lag.
REPORT_INTERVAL_MS = 100
# The host is up again before the platform says so.
REBOOT_DOWN_MS = REBOOT_MS // 2


@dataclass(frozen=True, slots=True)
class _ReportDue:
    pass


@dataclass(frozen=True, slots=True)
class _RebootDone:
    host: str


class HostReportsTask:
    """Service `host_reports`: reports what each host runs, and reboots stand-ins.

    `standins` maps host to the stand-in's service. A reboot ordered at the platform
    closes the stand-in's connections; `cut_off` lists the hosts that then had
    requests in progress, with their number.
    """

    name = "host_reports"

    def __init__(self, platform: RunningPlatform, standins: Mapping[str, str]) -> None:
        self.cut_off: list[str] = []
        self._platform = platform
        self._standins = standins
        self._reboots: dict[str, int] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Begin to report."""
        self._context = context
        context.set_timer(REPORT_INTERVAL_MS, _ReportDue())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a timer."""
        match message:
            case _ReportDue():
                self._report()
                self._reboot()
                self._context.set_timer(REPORT_INTERVAL_MS, _ReportDue())
            case _RebootDone(host):
                self._context.send(self._standins[host], SetBehaviour(Behaviour()))

    def stop(self) -> None:
        """Nothing to close."""

    def _report(self) -> None:
        for host in self._standins:
            self._ask_running(host, self._report_usage)

    def _report_usage(self, host: str, running: int) -> None:
        self._platform.deliver(SetUsage(host, running))

    def _reboot(self) -> None:
        for host, count in list(self._platform.task.store.host_steps.reboots.items()):
            if count == self._reboots.get(host, 0):
                continue
            self._reboots[host] = count
            self._ask_running(host, self._record_cut_off)
            down = SetBehaviour(Behaviour(is_down=True))
            self._context.send(self._standins[host], down)
            self._context.set_timer(REBOOT_DOWN_MS, _RebootDone(host))

    def _record_cut_off(self, host: str, running: int) -> None:
        if running:
            self.cut_off.append(f"{host} was rebooted while it ran {running} requests")

    def _ask_running(self, host: str, on_reply: Callable[[str, int], None]) -> None:
        fut: Future[Any] = Future()
        fut.add_done_callback(lambda done: on_reply(host, done.result()))
        self._context.send(self._standins[host], Call(GetRunning(), fut))
