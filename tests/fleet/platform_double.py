"""In-memory platform that answers messages, with a fault chosen for each write."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from guavapin.keyvalue import messages as platform

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.harness import TaskHarness
    from guavapin.kernel.task import Task

OK = "ok"
LOST = "lost"  # took effect, no answer
DROPPED = "dropped"  # had no effect, no answer
LATE = "late"  # no answer, takes effect at `deliver_late`
NOT_SENT = "not_sent"
RATE_LIMITED = "rate_limited"

WRITES = (platform.Put, platform.Delete, platform.LeaseGrant, platform.LeaseRenew)


class PlatformDouble:
    """Holds keys, leases and hosts; each write consumes the next of `faults`."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[bytes, int]] = {}
        self.key_leases: dict[str, str] = {}
        self.leases: set[str] = set()
        self.hosts: dict[str, str] = {}
        self.faults: deque[str] = deque()
        self.is_down = False
        self.late: list[platform.PlatformRequest] = []
        self.before: Callable[[platform.PlatformRequest], None] | None = None
        self.calls = 0
        self.watches: list[platform.Watch] = []

    def answer(self, req: platform.PlatformRequest) -> platform.PlatformOutcome:
        self.calls += 1
        if self.before is not None:
            hook, self.before = self.before, None
            hook(req)
        if self.is_down:
            return platform.NotSent("connection refused")
        fault = self.faults.popleft() if self.faults and isinstance(req, WRITES) else OK
        if fault == NOT_SENT:
            return platform.NotSent("connection refused")
        if fault == RATE_LIMITED:
            return platform.RateLimited()
        if fault == LATE:
            self.late.append(req)
        if fault in (DROPPED, LATE):
            return platform.Unknown("deadline")
        outcome = self.execute(req)
        return platform.Unknown("deadline") if fault == LOST else outcome

    def deliver_late(self) -> None:
        while self.late:
            self.execute(self.late.pop(0))

    def lapse(self, lease_id: str) -> None:
        self.leases.discard(lease_id)
        for key in [k for k, lease in self.key_leases.items() if lease == lease_id]:
            self.keys.pop(key, None)
            del self.key_leases[key]

    def execute(self, req: platform.PlatformRequest) -> platform.PlatformOutcome:
        match req:
            case platform.Get(key=key):
                if key not in self.keys:
                    return platform.Missing()
                return platform.Found(*self.keys[key])
            case platform.Put():
                return self._put(req)
            case platform.Delete(key=key, expected=expected):
                found = self.keys.get(key, (b"", 0))[1]
                if found != expected:
                    return platform.Conflict(found)
                del self.keys[key]
                self.revision += 1
                return platform.Written(self.revision)
            case platform.ListPrefix(prefix=prefix):
                keys = [
                    platform.KeyRevision(key, revision)
                    for key, (_, revision) in sorted(self.keys.items())
                    if key.startswith(prefix)
                ]
                return platform.Listed(tuple(keys), self.revision)
            case platform.Watch(prefix=prefix, after_revision=after):
                changed = [
                    platform.KeyRevision(key, revision)
                    for key, (_, revision) in sorted(self.keys.items())
                    if key.startswith(prefix) and revision > after
                ]
                return platform.Changed(tuple(changed), self.revision)
            case platform.LeaseGrant(ttl_ms=ttl_ms):
                self.revision += 1
                lease_id = f"lease-{self.revision}"
                self.leases.add(lease_id)
                return platform.Leased(lease_id, ttl_ms)
            case platform.LeaseRenew(lease_id=lease_id):
                if lease_id not in self.leases:
                    return platform.Missing()
                return platform.Leased(lease_id, 5_000)
            case platform.LeaseRevoke(lease_id=lease_id):
                self.lapse(lease_id)
                return platform.Written(self.revision)
            case platform.ListHosts():
                states = (platform.HostState(*item) for item in self.hosts.items())
                return platform.Hosts(tuple(states))

    def _put(self, req: platform.Put) -> platform.PlatformOutcome:
        found = self.keys.get(req.key, (b"", 0))[1]
        if found != req.expected:
            return platform.Conflict(found)
        if req.lease_id and req.lease_id not in self.leases:
            return platform.Missing()
        self.revision += 1
        self.keys[req.key] = (req.value, self.revision)
        if req.lease_id:
            self.key_leases[req.key] = req.lease_id
        return platform.Written(self.revision)


def pump(harness: TaskHarness, task: Task, double: PlatformDouble) -> list[object]:
    """Answer platform calls except watches; return the other messages sent.

    A watch is kept in `double.watches` until a test answers it.
    """
    others = []
    while harness.sent:
        for sent in harness.take_sent():
            if sent.service != "platform":
                others.append(sent.message)
                continue
            request = sent.message
            assert isinstance(request, platform.PlatformRequest)
            if isinstance(request, platform.Watch):
                double.watches.append(request)
                continue
            outcome = double.answer(request)
            task.handle(platform.Reply(request.request_id, outcome))
    return others
