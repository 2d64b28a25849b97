"""The site of a scenario, whose processes can be replaced, crashed and paused."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeVar

from guavapin.composition import CONTROL
from guavapin.composition import compose_control
from guavapin.composition import compose_entry
from guavapin.daemons.entry import drain_entry
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin_demo.embedded import EmbeddedSite
from guavapin_scenarios.host_reports import HostReportsTask
from guavapin_standins.upstream_messages import GetRunning

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_demo.embedded import EntryAddresses
    from guavapin_demo.sites import Site

T = TypeVar("T")

REPLY_TIMEOUT_S = 10
# Several probes of the scenarios' balancer, which come every 100 ms.
UNREADY_NOTICE_MS = 1_000
# Longer than the longest run time in a script.
DRAIN_TIMEOUT_S = 60
START_ATTEMPTS = 20
START_RETRY_DELAY_S = 0.5
MAX_HOLD_S = 60


class ZoneFilter:
    """Blocks messages between the peers of isolated zones and those of other zones."""

    def __init__(self) -> None:
        self.isolated_zones: frozenset[str] = frozenset()

    def allows(self, sender: str, receiver: str) -> bool:
        """Return whether both are in the same zone or neither zone is isolated."""
        zones = {name.rpartition("-e")[0] for name in (sender, receiver)}
        return len(zones) == 1 or not zones & self.isolated_zones


@dataclass(frozen=True, slots=True)
class _Hold:
    released: threading.Event


class HoldTask:
    """Service `hold`: blocks its event loop, as a pause of the whole process does.

    Meanwhile sockets stay open, the clock advances and answers of the platform stay
    unread.
    """

    name = "hold"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Do nothing; the task waits for messages only."""
        return Ok(None)

    def handle(self, message: object) -> None:
        """Block until released, for `MAX_HOLD_S` at most so that no run hangs."""
        assert isinstance(message, _Hold)
        message.released.wait(MAX_HOLD_S)

    def stop(self) -> None:
        """Do nothing; the task owns no socket."""


class ScenarioSite(EmbeddedSite):
    """An embedded site whose hosts report to the platform and reboot on its order."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.zone_filter = ZoneFilter()
        self.reports: HostReportsTask
        self._pauses: dict[str, threading.Event] = {}
        super().__init__(site, folder, self.zone_filter)

    def start_entry(self, address: EntryAddresses) -> None:
        """Start an entry process; after a crash, the seat holds off using its slots."""

        def compose() -> Outcome[None]:
            process = _expect(
                compose_entry(
                    self._entry_settings(address), peer_filter=self.zone_filter
                )
            )
            outcome = process.kernel.start()
            if isinstance(outcome, Ok):
                self.entries[address.name] = process
            return outcome

        _start_with_retries(compose)

    def start_control(self, address: EntryAddresses) -> None:
        """Start a control process that can be paused."""

        def compose() -> Outcome[None]:
            process = _expect(compose_control(self._control_settings(address)))
            process.kernel.register(HoldTask(), CONTROL)
            outcome = process.kernel.start()
            if isinstance(outcome, Ok):
                self.controls[address.name] = process
            return outcome

        _start_with_retries(compose)

    def address(self, name: str) -> EntryAddresses:
        """Return the addresses of the processes of one entry host."""
        return next(item for item in self.addresses if item.name == name)

    def drain_entry(self, name: str) -> None:
        """Stop an entry process gracefully, as `guavapin.daemons.entry` does."""
        settings = self._entry_settings(self.address(name))
        limits = replace(settings.limits, unready_notice_ms=UNREADY_NOTICE_MS)
        drain_entry(self.entries[name], replace(settings, limits=limits))
        self.stop_entry(name)

    def stop_entry(self, name: str) -> None:
        """Stop an entry process at once."""
        self.entries.pop(name).kernel.stop()

    def stop_control(self, name: str) -> None:
        """Stop a control process."""
        self.controls.pop(name).kernel.stop()

    def pause_control(self, name: str) -> None:
        """Pause a control process until `resume_controls`."""
        self._pauses[name] = threading.Event()
        self.controls[name].kernel.deliver("hold", _Hold(self._pauses[name]))

    def resume_controls(self) -> None:
        """Resume all paused control processes."""
        for released in self._pauses.values():
            released.set()

    def count_running(self) -> int:
        """Return the number of requests in progress at all upstreams."""
        futs = [
            self._upstreams.ask(standin.name, GetRunning())
            for standin in self._standins.values()
        ]
        return sum(fut.result(REPLY_TIMEOUT_S) for fut in futs)

    def _start_upstreams(self) -> None:
        names = {host: f"upstream-{host}" for host in self.objects.hosts}
        self.reports = HostReportsTask(self.platform, names)
        self._upstreams.register(self.reports, "reports")
        super()._start_upstreams()


def _expect(outcome: Outcome[T]) -> T:
    if isinstance(outcome, Refused):
        raise RuntimeError(str(outcome))
    return outcome.value


def _start_with_retries(compose: Callable[[], Outcome[None]]) -> None:
    """Start a process; retry while its port is in use, as the platform does.

    Raises RuntimeError if the last attempt fails too.
    """
    outcome = compose()
    for _ in range(START_ATTEMPTS):
        if isinstance(outcome, Ok):
            return
        threading.Event().wait(START_RETRY_DELAY_S)
        outcome = compose()
    _expect(outcome)
