"""The `fleet_view` service: follows the fleet record for the serving process."""

from __future__ import annotations

import logging
import random
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.fleet.effective import FollowedFleet
from guavapin.fleet.effective import adopt_leaving
from guavapin.fleet.effective import adopt_record
from guavapin.fleet.effective import diff_views
from guavapin.fleet.messages import FLEET_VIEW
from guavapin.fleet.messages import LeavingRelayed
from guavapin.fleet.messages import QueryFleet
from guavapin.fleet.messages import RecordRelayed
from guavapin.fleet.messages import RequestRelay
from guavapin.fleet.messages import WatchRole
from guavapin.fleet.state import FLEET_KEY
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.task import Call
from guavapin.keyvalue import messages as platform
from guavapin.metrics.messages import QueryCounters

if TYPE_CHECKING:
    from guavapin.fleet.effective import FleetChanged
    from guavapin.kernel.task import TaskContext
    from guavapin.kernel.task import TimerHandle

PLATFORM = "platform"

# A leaving host must take no new work after 3 s. The platform's list lags in addition,
# so one process per zone reads it every second.
HOSTS_INTERVAL_MS = 1_000

# A list of 1,100 hosts has about 36 KB and the control traffic of a node is limited, so
# large fleets are listed less often, but still within the 3 s.
LARGE_FLEET_HOSTS = 400
LARGE_FLEET_INTERVAL_MS = 2_000

# A watch on a silent connection ends only at its deadline, 22 s later. Its holder
# therefore also polls the record's revision, which is a small answer.
CHECK_INTERVAL_MS = 1_000

# Interval at which every process reads the record, in case a relay was lost.
READ_INTERVAL_MS = 30_000

WATCH_WAIT_MS = 20_000

# If more hosts change at once, as with the first record, one line is logged for all.
MAX_LOGGED_CHANGES = 50

log = logging.getLogger("guavapin.fleet_view")

# Delay after a failed call. Jitter is added, so that processes do not send a burst of
# calls when an outage ends.
CALL_RETRY_MS = 1_000


class _Purpose(Enum):
    READ = "read"
    WATCH = "watch"
    CHECK = "check"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class _CallDue:
    """Timer: make the call for this purpose."""

    purpose: _Purpose


@dataclass(frozen=True, slots=True)
class ViewCounters:
    """Counters of the view since its start."""

    adopted: int = 0
    stale: int = 0
    failed_calls: int = 0


class FleetViewTask:
    """Keeps the newest fleet record and notifies subscribers of changes.

    The holder of the zone's watch follows the record and the host list and sends both
    to `relay_to`. Other processes receive them from `relay_to`, and read the record at
    a longer interval. If neither platform nor peers can be reached, the last view stays
    in effect.
    """

    def __init__(
        self,
        subscribers: tuple[str, ...],
        relay_to: str = "",
        seed: int = 0,
        name: str = FLEET_VIEW,
    ) -> None:
        self.name = name
        self.counters = ViewCounters()
        self._subscribers = subscribers
        self._relay_to = relay_to
        self._random = random.Random(seed)
        self._fleet = FollowedFleet()
        self._value = b""
        self._is_holder = False
        self._pending: dict[int, _Purpose] = {}
        self._timers: dict[_Purpose, TimerHandle] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Read the record and the host list, and follow them from then on."""
        self._context = context
        self._call(_Purpose.READ)
        self._call(_Purpose.HOSTS)
        return Ok(None)

    def stop(self) -> None:
        """Drop pending calls and cancel the timers."""
        self._pending.clear()
        for handle in self._timers.values():
            self._context.cancel_timer(handle)
        self._timers.clear()

    def handle(self, message: object) -> None:
        """Handle a reply, a relay, a query, a change of the watch role or a timer."""
        if isinstance(message, platform.Reply):
            self._on_reply(message)
        elif isinstance(message, RecordRelayed):
            self._adopt(message.revision, message.value, is_relayed=True)
        elif isinstance(message, LeavingRelayed):
            self._update_view(adopt_leaving(self._fleet, message.hosts))
        elif isinstance(message, Call) and isinstance(message.body, QueryFleet):
            message.fut.set_result(self._fleet)
        elif isinstance(message, Call) and isinstance(message.body, QueryCounters):
            message.fut.set_result(asdict(self.counters))
        elif isinstance(message, RequestRelay):
            self._relay()
        elif isinstance(message, WatchRole):
            self._set_role(message.is_holder)
        elif isinstance(message, _CallDue):
            self._timers.pop(message.purpose, None)
            self._call(message.purpose)
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    @property
    def fleet(self) -> FollowedFleet:
        """The view in effect."""
        return self._fleet

    def _set_role(self, is_holder: bool) -> None:
        if is_holder == self._is_holder:
            return
        self._is_holder = is_holder
        if is_holder:
            self._call(_Purpose.WATCH)
            self._call(_Purpose.HOSTS)
            self._schedule(_Purpose.CHECK, CHECK_INTERVAL_MS)

    def _call(self, purpose: _Purpose) -> None:
        if purpose in self._pending.values():
            return
        if purpose in (_Purpose.WATCH, _Purpose.CHECK) and not self._is_holder:
            return
        self._request_id += 1
        request_id = self._request_id
        self._pending[request_id] = purpose
        self._context.send(PLATFORM, self._build_request(purpose, request_id))

    def _build_request(
        self, purpose: _Purpose, request_id: int
    ) -> platform.PlatformRequest:
        if purpose is _Purpose.READ:
            return platform.Get(self.name, request_id, FLEET_KEY)
        if purpose is _Purpose.HOSTS:
            return platform.ListHosts(self.name, request_id)
        if purpose is _Purpose.CHECK:
            return platform.ListPrefix(self.name, request_id, FLEET_KEY)
        return platform.Watch(
            self.name, request_id, FLEET_KEY, self._fleet.revision, WATCH_WAIT_MS
        )

    def _on_reply(self, reply: platform.Reply) -> None:
        purpose = self._pending.pop(reply.request_id, None)
        if purpose is None:
            return
        match reply.outcome:
            case platform.Found(value, revision):
                self._adopt(revision, value, is_relayed=False)
                self._schedule_read()
            case platform.Missing():
                self._schedule_read()
            case platform.Changed(keys):
                self._on_changed(keys)
            case platform.Listed(keys):
                self._schedule(_Purpose.CHECK, CHECK_INTERVAL_MS)
                if self._has_newer_record(keys):
                    self._call(_Purpose.READ)
            case platform.Hosts(hosts):
                self._on_hosts(hosts)
            case _:
                failed = self.counters.failed_calls + 1
                self.counters = replace(self.counters, failed_calls=failed)
                self._schedule(purpose, CALL_RETRY_MS)

    def _schedule_read(self) -> None:
        self._schedule(_Purpose.READ, READ_INTERVAL_MS)
        if self._is_holder:
            self._call(_Purpose.WATCH)

    def _on_changed(self, keys: tuple[platform.KeyRevision, ...]) -> None:
        """Read the record if it changed; the watch continues after the read."""
        self._call(_Purpose.READ if self._has_newer_record(keys) else _Purpose.WATCH)

    def _has_newer_record(self, keys: tuple[platform.KeyRevision, ...]) -> bool:
        return any(
            item.key == FLEET_KEY and item.revision > self._fleet.revision
            for item in keys
        )

    def _on_hosts(self, hosts: tuple[platform.HostState, ...]) -> None:
        leaving = frozenset(item.host for item in hosts if item.state == "leaving")
        fleet = adopt_leaving(self._fleet, leaving)
        if fleet is not self._fleet and self._relay_to and self._is_holder:
            self._context.send(self._relay_to, LeavingRelayed(leaving))
        self._update_view(fleet)
        interval_ms = READ_INTERVAL_MS
        if self._is_holder:
            is_large = len(hosts) >= LARGE_FLEET_HOSTS
            interval_ms = LARGE_FLEET_INTERVAL_MS if is_large else HOSTS_INTERVAL_MS
        self._schedule(_Purpose.HOSTS, interval_ms)

    def _adopt(self, revision: int, value: bytes, is_relayed: bool) -> None:
        fleet = adopt_record(self._fleet, revision, value)
        if fleet is self._fleet:
            self.counters = replace(self.counters, stale=self.counters.stale + 1)
            return
        self.counters = replace(self.counters, adopted=self.counters.adopted + 1)
        self._value = value
        self._update_view(fleet)
        if self._is_holder and not is_relayed:
            self._relay()

    def _update_view(self, fleet: FollowedFleet) -> None:
        old, self._fleet = self._fleet, fleet
        message = diff_views(old, fleet)
        if message is not None:
            _log_changes(old, message)
            for service in self._subscribers:
                self._context.send(service, message)

    def _relay(self) -> None:
        if self._relay_to and self._fleet.revision:
            relayed = RecordRelayed(self._fleet.revision, self._value)
            self._context.send(self._relay_to, relayed)
            self._context.send(self._relay_to, LeavingRelayed(self._fleet.leaving))

    def _schedule(self, purpose: _Purpose, delay_ms: int) -> None:
        handle = self._timers.pop(purpose, None)
        if handle is not None:
            self._context.cancel_timer(handle)
        if purpose is not _Purpose.HOSTS or not self._is_holder:
            delay_ms = round(delay_ms * self._random.uniform(0.75, 1.25))
        self._timers[purpose] = self._context.set_timer(delay_ms, _CallDue(purpose))


def _log_changes(old: FollowedFleet, message: FleetChanged) -> None:
    if not old.hosts or len(message.changed) > MAX_LOGGED_CHANGES:
        summary = {"revision": message.revision, "hosts": len(message.changed)}
        log.info("fleet view changed for many hosts", extra=summary)
        return
    for name in message.changed:
        view = message.hosts.get(name)
        extra: dict[str, object] = {"revision": message.revision, "host": name}
        if view is None:
            log.info("host removed", extra=extra)
            continue
        extra |= {"pool": view.pool, "reason": view.reason}
        text = (
            "host takes new work" if view.takes_new_work else "host takes no new work"
        )
        log.info(text, extra=extra)
