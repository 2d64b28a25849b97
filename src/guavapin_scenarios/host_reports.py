"""Connects the upstream stand-ins to the platform's stand-in, as real hosts are."""

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

# Usage reaches the platform with this lag, as on a real one.
REPORT_INTERVAL_MS = 100
# A real host is up again before the platform reports the end of the reboot.
REBOOT_DOWN_MS = REBOOT_MS // 2


@dataclass(frozen=True, slots=True)
class _ReportDue:
    pass


@dataclass(frozen=True, slots=True)
class _RebootDone:
    host: str


class HostReportsTask:
    """Service `host_reports`: reports the hosts' usage and reboots their stand-ins.

    `standins` maps each host to the service of its stand-in. A reboot that the
    platform was asked for closes the stand-in's connections. `cut_off` names each
    host that had requests in progress at its reboot, and their number.
    """

    name = "host_reports"

    def __init__(self, platform: RunningPlatform, standins: Mapping[str, str]) -> None:
        self.cut_off: list[str] = []
        self._platform = platform
        self._standins = standins
        self._reboots: dict[str, int] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Set the timer of the first report."""
        self._context = context
        context.set_timer(REPORT_INTERVAL_MS, _ReportDue())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle the timer of a report or of the end of a reboot."""
        match message:
            case _ReportDue():
                self._report()
                self._reboot()
                self._context.set_timer(REPORT_INTERVAL_MS, _ReportDue())
            case _RebootDone(host):
                self._context.send(self._standins[host], SetBehaviour(Behaviour()))

    def stop(self) -> None:
        """Do nothing; the task owns no socket."""

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
