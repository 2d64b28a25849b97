"""Simulation of several claim stores on one platform; the test chooses each event."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import ClaimOutcome
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import SendAnswer
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.kernel import ManualClock
from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import PlatformRequest
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Watch
from guavapin_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.claims.store import Actions
    from guavapin.claims.store import ClaimStore


RETENTION_MS = 24 * 3_600_000


@dataclass
class Process:
    store: ClaimStore
    is_alive: bool = True
    wakes: list[tuple[int, Wake]] = field(default_factory=list)
    calls: list[PlatformRequest] = field(default_factory=list)
    answers: list[tuple[int, PlatformOutcome]] = field(default_factory=list)
    watches: list[tuple[int, Watch]] = field(default_factory=list)


@dataclass
class Request:
    process: int
    claim: ClaimKey
    refusal: ClaimOutcome | None = None
    is_granted: bool = False
    granted_ms: int = 0
    finished: object = None


class Simulation:
    """Processes, the platform and the messages in the network between them.

    `delayed_calls` holds calls that the platform has not received yet although their
    sender got `Unknown` or was killed. They may take effect at any later time.
    """

    def __init__(self, make_store: Callable[[str], ClaimStore], processes: int) -> None:
        self.clock = ManualClock(1_000)
        self.platform = PlatformStore(self.clock)
        self.requests: dict[int, Request] = {}
        self.delayed_calls: list[PlatformRequest] = []
        self.writes = 0
        self.reads = 0
        self.processes = [Process(make_store(f"p{i}")) for i in range(processes)]
        for index, process in enumerate(self.processes):
            self.perform(index, process.store.on_start(self.clock.now_ms()))

    def claim(
        self, process: int, key: str, digest: bytes = b"d", wait_ms: int = 5_000
    ) -> int:
        """Claim `key` for a new request of a process and return the request's id."""
        request_id = len(self.requests) + 1
        deadline_ms = self.clock.now_ms() + wait_ms
        claim = ClaimKey(request_id, "renewals", key, digest, deadline_ms)
        self.requests[request_id] = Request(process, claim)
        now_ms = self.clock.now_ms()
        self.perform(process, self.processes[process].store.on_claim(claim, now_ms))
        return request_id

    def finish(
        self, request_id: int, msg: RecordAnswer | RecordUnknown | ReleaseClaim
    ) -> None:
        """Report the end of a request to the store of its process."""
        req = self.requests[request_id]
        store, now_ms = self.processes[req.process].store, self.clock.now_ms()
        if isinstance(msg, ReleaseClaim):
            req.finished = msg
            self.perform(req.process, store.on_release(msg, now_ms))
        else:
            assert req.is_granted and req.finished is None
            req.finished = msg
            self.perform(req.process, store.on_outcome(msg, now_ms))

    def execute(self, process: int, index: int = 0, fault: str = "") -> None:
        """Let the platform handle a call in flight, or apply a fault to the call.

        `not_sent`: the call does not leave the process. `limited`: the platform
        refuses it by its rate limit. `late`: it takes effect later, its answer is
        lost. `lost`: it takes effect now, its answer is lost.
        """
        caller = self.processes[process]
        req = caller.calls.pop(index)
        outcome: PlatformOutcome
        if fault == "not_sent":
            outcome = NotSent("refused")
        elif fault == "limited":
            outcome = RateLimited()
        elif fault == "late":
            self.delayed_calls.append(req)
            outcome = Unknown("timed out")
        elif fault == "lost":
            self.apply(req)
            outcome = Unknown("timed out")
        else:
            outcome = self.apply(req)
        caller.answers.append((req.request_id, outcome))

    def apply(self, req: PlatformRequest) -> PlatformOutcome:
        """Apply a call to the platform and return the answer."""
        if isinstance(req, Put):
            self.writes += 1
        else:
            self.reads += 1
        match req:
            case Get(key=key):
                return self.platform.get(key)
            case Put():
                return self.platform.put(req.key, req.value, req.expected, req.lease_id)
            case Watch(prefix=prefix, after_revision=after):
                keys = self.platform.changes(prefix, after)
                return Changed(keys, self.platform.revision)
            case ListPrefix(prefix=prefix):
                keys = self.platform.list_prefix(prefix)
                return Listed(keys, self.platform.revision)
            case LeaseGrant(ttl_ms=ttl_ms):
                return self.platform.grant(ttl_ms)
        raise AssertionError(f"claims do not use {req!r}")

    def deliver(self, process: int, index: int = 0) -> None:
        """Deliver an answer of the platform to a process."""
        target = self.processes[process]
        call_id, outcome = target.answers.pop(index)
        now_ms = self.clock.now_ms()
        self.perform(process, target.store.on_reply(call_id, outcome, now_ms))

    def wake(self, process: int, index: int = 0) -> None:
        """Fire a timer of a process, at its time or later."""
        target = self.processes[process]
        due_ms, wake = target.wakes.pop(index)
        self.clock.advance(max(due_ms - self.clock.now_ms(), 0))
        self.perform(process, target.store.on_wake(wake, self.clock.now_ms()))

    def kill(self, process: int) -> None:
        """End a process; its calls in flight may still reach the platform."""
        dead = self.processes[process]
        self.delayed_calls.extend(dead.calls)
        dead.is_alive = False
        dead.calls, dead.answers, dead.wakes, dead.watches = [], [], [], []

    def exchange_calls(self, process: int, fault: str = "") -> None:
        """Execute all calls of a process and deliver their answers."""
        target = self.processes[process]
        for _ in range(200):
            if target.answers:
                self.deliver(process)
            elif not target.calls:
                return
            elif isinstance(watch := target.calls[0], Watch) and not fault:
                target.watches.append((self.clock.now_ms() + watch.wait_ms, watch))
                del target.calls[0]
            else:
                self.execute(process, fault=fault)

    def run_until(self, end_ms: int, fault: str = "") -> None:
        """Execute all calls and timers until `end_ms`, in the order of time."""
        for _ in range(20_000):
            for index in range(len(self.processes)):
                self.exchange_calls(index, fault)
            if self._end_watches(fault):
                continue
            due = [
                (due_ms, index, position)
                for index, process in enumerate(self.processes)
                for position, (due_ms, _) in enumerate(process.wakes)
            ]
            ends = [at_ms for item in self.processes for at_ms, _ in item.watches]
            if min([due_ms for due_ms, _, _ in due] + ends, default=end_ms) >= end_ms:
                break
            if not due or min(ends, default=end_ms) < min(due)[0]:
                self.clock.advance(max(min(ends) - self.clock.now_ms(), 0))
                continue
            _, index, position = min(due)
            self.wake(index, position)
        self.clock.advance(max(end_ms - self.clock.now_ms(), 0))

    def _end_watches(self, fault: str) -> bool:
        """Answer the watches with a change and those whose wait time has passed.

        With a fault all watches are answered with `Unknown`.
        """
        has_ended = False
        for process in self.processes:
            for item in list(process.watches):
                due_ms, watch = item
                keys = self.platform.changes(watch.prefix, watch.after_revision)
                if keys or due_ms <= self.clock.now_ms() or fault:
                    process.watches.remove(item)
                    process.answers.append(
                        (
                            watch.request_id,
                            Unknown("cut") if fault else self.apply(watch),
                        )
                    )
                    has_ended = True
        return has_ended

    def run_for(self, delta_ms: int, fault: str = "") -> None:
        """Execute all calls and timers for `delta_ms` from now."""
        self.run_until(self.clock.now_ms() + delta_ms, fault)

    def perform(self, process: int, actions: Actions) -> None:
        """Perform the actions that the store of a process returned."""
        target = self.processes[process]
        for action in actions:
            match action:
                case CallPlatform(request):
                    target.calls.append(request)
                case WakeAfter(delay_ms, wake):
                    target.wakes.append((self.clock.now_ms() + delay_ms, wake))
                case SendAnswer(ClaimGranted(request_id)):
                    self._grant(request_id)
                case SendAnswer(ClaimRefused(request_id, outcome)):
                    self._refuse(request_id, outcome)

    def _grant(self, request_id: int) -> None:
        req = self.requests[request_id]
        assert req.refusal is None and not req.is_granted, "answered twice"
        for other in self.requests.values():
            is_kept = self.clock.now_ms() - other.granted_ms < RETENTION_MS
            if other.claim.key == req.claim.key and other.is_granted and is_kept:
                assert isinstance(other.finished, ReleaseClaim), "key granted twice"
        req.is_granted, req.granted_ms = True, self.clock.now_ms()

    def _refuse(self, request_id: int, outcome: ClaimOutcome) -> None:
        req = self.requests[request_id]
        assert req.refusal is None and not req.is_granted, "answered twice"
        req.refusal = outcome
        if isinstance(outcome, RecordedAnswer):
            answers = [
                (msg.status, msg.headers, msg.body)
                for other in self.requests.values()
                if other.claim.key == req.claim.key
                and isinstance(msg := other.finished, RecordAnswer)
            ]
            assert (outcome.status, outcome.headers, outcome.body) in answers
        if isinstance(outcome, NotRun):
            assert not req.is_granted


def answer_to(request_id: int) -> RecordAnswer:
    """Return an answer whose header carries the request id, so each one differs."""
    return RecordAnswer(request_id, 201, ((b"x", b"%d" % request_id),), b"done")


def make_timers_due(sim: Simulation, process: int) -> None:
    """Make all timers of a process due, as after a long pause of the process."""
    target = sim.processes[process]
    target.wakes = [(sim.clock.now_ms(), wake) for _, wake in target.wakes]
