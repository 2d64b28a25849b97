"""The task `pool_demand`: computes the hosts that each pool's load needs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.load import LOAD_PREFIX
from guavapin.capacity.load import LoadReport
from guavapin.capacity.load import decode_load
from guavapin.capacity.load import hosts_needed
from guavapin.duties.messages import FLEET_DUTY
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import PoolDemand
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.kernel import Ok
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Reply

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.objects.model import ObjectSet

POLL_INTERVAL_MS = 5_000
# A stopped process leaves its last report in the store. A report that has not changed
# for this long is ignored.
MAX_REPORT_AGE_MS = 20_000


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: list the reports."""


@dataclass(frozen=True, slots=True)
class _TrackedReport:
    """A report, its revision and the monotonic time at which its change was read."""

    report: LoadReport
    revision: int
    seen_ms: int


class PoolDemandTask:
    """Service `pool_demand`; active only while this process holds the duty."""

    name = "pool_demand"

    def __init__(self) -> None:
        self._objects: ObjectSet | None = None
        self._is_held = False
        self._is_ticking = False
        self._reports: dict[str, _TrackedReport] = {}
        self._reads: dict[int, str] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; nothing is read without the duty."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a change of the duty, the timer, an answer or new objects."""
        match message:
            case DutyHeld():
                self._is_held = True
                self._start_poll()
            case DutyLost():
                self._is_held = False
                self._reports.clear()
            case ObjectsUpdate(objects):
                self._objects = objects
            case _Tick():
                self._is_ticking = False
                self._send_demand()
                self._start_poll()
            case Reply(request_id, outcome):
                self._on_reply(self._reads.pop(request_id, ""), outcome)

    def stop(self) -> None:
        """Nothing to close."""

    def _start_poll(self) -> None:
        if not self._is_held or self._is_ticking:
            return
        self._is_ticking = True
        self._context.set_timer(POLL_INTERVAL_MS, _Tick())
        request_id = self._next_read_id(LOAD_PREFIX)
        self._context.send("platform", ListPrefix(self.name, request_id, LOAD_PREFIX))

    def _on_reply(self, key: str, outcome: PlatformOutcome) -> None:
        match outcome:
            case Listed(keys):
                for item in keys:
                    known = self._reports.get(item.key)
                    if known is None or known.revision != item.revision:
                        request_id = self._next_read_id(item.key)
                        self._context.send(
                            "platform", Get(self.name, request_id, item.key)
                        )
            case Found(value, revision):
                decoded = decode_load(value)
                if isinstance(decoded, Ok):
                    now_ms = self._context.now_ms()
                    self._reports[key] = _TrackedReport(decoded.value, revision, now_ms)

    def _send_demand(self) -> None:
        if self._objects is None or not self._is_held:
            return
        oldest_ms = self._context.now_ms() - MAX_REPORT_AGE_MS
        fresh = [
            known.report
            for known in self._reports.values()
            if known.seen_ms >= oldest_ms
        ]
        demand = PoolDemand(hosts_needed(fresh, self._objects))
        self._context.send(FLEET_DUTY, demand)

    def _next_read_id(self, key: str) -> int:
        self._request_id += 1
        self._reads[self._request_id] = key
        return self._request_id
