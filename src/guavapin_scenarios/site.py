"""The site of a scenario: replaces, crashes and pauses its processes."""

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
# The balancer of the scenarios probes every 100 ms; several probes fit.
UNREADY_NOTICE_MS = 1_000
# Above the longest run time in a script.
DRAIN_TIMEOUT_S = 60
START_ATTEMPTS = 20
START_RETRY_DELAY_S = 0.5
MAX_HOLD_S = 60


class ZoneFilter:
    """Cuts the peers of zones off from those of other zones."""

    def __init__(self) -> None:
        self.isolated_zones: frozenset[str] = frozenset()

    def allows(self, sender: str, receiver: str) -> bool:
        """Return whether both are in one zone or neither is cut off."""
        zones = {name.rpartition("-e")[0] for name in (sender, receiver)}
        return len(zones) == 1 or not zones & self.isolated_zones


@dataclass(frozen=True, slots=True)
class _Hold:
    released: threading.Event


class HoldTask:
    """Service `hold`: holds its loop, as a pause of the whole process does.

    Sockets stay open, the clock goes on and the platform's answers wait unread.
    """

    name = "hold"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Nothing to open."""
        return Ok(None)

    def handle(self, message: object) -> None:
        """Hold the loop until released; bounded, so that no run hangs."""
        assert isinstance(message, _Hold)
        message.released.wait(MAX_HOLD_S)

    def stop(self) -> None:
        """Nothing to close."""


class ScenarioSite(EmbeddedSite):
    """An embedded site whose hosts report to the platform and obey its reboots."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.zone_filter = ZoneFilter()
        self.reports: HostReportsTask
        self._pauses: dict[str, threading.Event] = {}
        super().__init__(site, folder, self.zone_filter)

    def start_entry(self, address: EntryAddresses) -> None:
        """Start an entry process; after a crash its seat holds its slots off."""

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
        """Start a control process that can be held."""

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
        """Pause a control process."""
        self._pauses[name] = threading.Event()
        self.controls[name].kernel.deliver("hold", _Hold(self._pauses[name]))

    def resume_controls(self) -> None:
        """Let all paused control processes go on."""
        for released in self._pauses.values():
            released.set()

    def count_running(self) -> int:
        """Return how many requests the upstreams run now."""
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
    """Try again while a port is taken, as the platform does with its processes."""
    outcome = compose()
    for _ in range(START_ATTEMPTS):
        if isinstance(outcome, Ok):
            return
        threading.Event().wait(START_RETRY_DELAY_S)
        outcome = compose()
    _expect(outcome)
