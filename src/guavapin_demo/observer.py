"""Samples the budgets' margins and the spare hosts while the demo runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.report import capacity_reports
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.messages import QueryFleet
from guavapin.kernel import Call
from guavapin.kernel import Ok

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_demo.embedded import EmbeddedSite

OBSERVE_INTERVAL_MS = 250
MS_PER_HOUR = 3_600_000
REPLY_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class GetObserved:
    """As a `Call`: the reply is `Observed`."""


@dataclass(frozen=True, slots=True)
class Observed:
    """Lowest margin of each pool in hosts, and spare hosts integrated over time."""

    margins: dict[str, int]
    spare_host_hours: float


@dataclass(frozen=True, slots=True)
class _Observe:
    pass


class ObserverTask:
    """Service ``observer``; reads the fleet record and the true state of the hosts."""

    name = "observer"

    def __init__(self, site: EmbeddedSite) -> None:
        self._site = site
        self._lowest_margins: dict[str, int] = {}
        self._spare_ms = 0.0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Set the timer of the first sample."""
        self._context = context
        context.set_timer(OBSERVE_INTERVAL_MS, _Observe())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Take a sample, or answer a query."""
        match message:
            case _Observe():
                self._observe()
                self._context.set_timer(OBSERVE_INTERVAL_MS, _Observe())
            case Call(GetObserved(), fut):
                hours = self._spare_ms / MS_PER_HOUR
                fut.set_result(Observed(dict(self._lowest_margins), hours))

    def stop(self) -> None:
        """Do nothing: the task owns no resources."""

    def _observe(self) -> None:
        entry = next(iter(self._site.entries.values()))
        fleet = entry.kernel.ask("fleet_view", QueryFleet()).result(REPLY_TIMEOUT_S)
        objects = self._site.objects
        liveness = Liveness(self._site.platform.live_hosts())
        for name, status in pool_statuses(fleet.state, objects, liveness).items():
            budget = objects.budgets[objects.pools[name].budget]
            margin = status.available - required_available(budget, status.size)
            self._lowest_margins[name] = min(
                margin, self._lowest_margins.get(name, margin)
            )
        reports = capacity_reports(fleet.state, objects, liveness)
        spare = sum(max(report.spare, 0) for report in reports)
        self._spare_ms += spare * OBSERVE_INTERVAL_MS
