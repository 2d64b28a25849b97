"""The task `load_report`: writes this process's load for the duty holder to read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.load import LOAD_PREFIX
from guavapin.capacity.load import LoadReport
from guavapin.capacity.load import PoolLoad
from guavapin.capacity.load import encode_load
from guavapin.kernel import Ok
from guavapin.keyvalue.messages import NO_REVISION
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Written
from guavapin.serving.exchange_messages import ReportSupply
from guavapin.serving.exchange_messages import SupplyReported

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

# Lending reacts to peaks of minutes. With 32 entry processes, this interval makes 6
# writes per second at the platform, which handles several hundred.
REPORT_INTERVAL_MS = 5_000


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: report the load."""


class LoadReportTask:
    """Service `load_report`; a failed report is not repeated before the next one."""

    name = "load_report"

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._revision = NO_REVISION
        self._request_id = 0
        self._was_idle = True

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the timer of the reports."""
        self._context = context
        context.set_timer(REPORT_INTERVAL_MS, _Tick())
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle the timer, the supply of `exchanges` or an answer."""
        match message:
            case _Tick():
                self._context.send("exchanges", ReportSupply(self.name))
                self._context.set_timer(REPORT_INTERVAL_MS, _Tick())
            case SupplyReported():
                self._write(message)
            case Reply(request_id, Written(revision) | Conflict(revision)):
                if request_id == self._request_id:
                    self._revision = revision

    def stop(self) -> None:
        """Nothing to close; readers ignore a report that no longer changes."""

    def _write(self, supply: SupplyReported) -> None:
        pools = {
            name: PoolLoad(pool.running, pool.waiting)
            for name, pool in supply.pools.items()
            if pool.running or pool.waiting
        }
        if not pools and self._was_idle:
            return
        self._was_idle = not pools
        self._request_id += 1
        put = Put(
            self.name,
            self._request_id,
            LOAD_PREFIX + self._entry,
            encode_load(LoadReport(self._entry, pools)),
            self._revision,
        )
        self._context.send("platform", put)
