"""Steps: loads begin, callers give up, and states are awaited."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin_scenarios.protocols import Condition
    from guavapin_scenarios.world import World

CONNECT_TIMEOUT_S = 10
CANCELLED_RUN_MS = 30_000
LEAVING_MS = 3_000


@dataclass(frozen=True, slots=True)
class BeginLoad:
    """The callers of a load begin to send."""

    load: str

    def perform(self, world: World) -> Outcome[str]:
        """Start the load's task."""
        return Ok(f"{world.begin_load(self.load)} requests begin")


@dataclass(frozen=True, slots=True)
class CancelWave:
    """Callers send `count` long requests and all hang up once `running` of them run.

    The requests carry no identity of a load, so that only their slots matter.
    """

    service: str
    count: int
    running: int = 1
    within_ms: int = 30_000

    def perform(self, world: World) -> Outcome[str]:
        """Open the connections, wait, close them all."""
        socks = [self._send(world, index) for index in range(self.count)]
        try:
            came = world.wait_until(
                lambda: world.site.running() >= self.running, self.within_ms
            )
        finally:
            for sock in socks:
                sock.close()
        if not came:
            return Refused(Reason.TIMEOUT, f"never ran {self.running} at once")
        return Ok(f"{self.count} requests cancelled")

    def _send(self, world: World, index: int) -> socket.socket:
        addresses = world.site.addresses
        host, _, port = addresses[index % len(addresses)].callers.rpartition(":")
        sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        sock.sendall(
            f"GET /{self.service}/cancelled-{index} HTTP/1.1\r\nHost: scenario\r\n"
            f"Guavapin-Request-Id: cancelled-{index}\r\n"
            f"Guavapin-Run-Ms: {CANCELLED_RUN_MS}\r\n\r\n".encode()
        )
        return sock


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Wait for a state; that it does not come in time is a fault."""

    words: str
    condition: Condition
    within_s: int = 60

    def perform(self, world: World) -> Outcome[str]:
        """Look at the state until it holds."""
        if world.wait_until(lambda: self.condition.holds(world), self.within_s * 1_000):
            return Ok(f"{self.words}: {self.condition}")
        detail = f"{self.words} did not come within {self.within_s} s: "
        return Refused(Reason.TIMEOUT, f"{detail}{self.condition}")


@dataclass(frozen=True, slots=True)
class NoNewWork:
    """A leaving upstream gets no new work after 3 s, for `watch_ms` at least."""

    host: str
    watch_ms: int = 3_000

    def perform(self, world: World) -> Outcome[str]:
        """Let the bound pass, then compare the counts of runs."""
        world.wait_until(lambda: False, LEAVING_MS)
        before = len(world.site.record(self.host).runs)
        world.wait_until(lambda: False, self.watch_ms)
        after = len(world.site.record(self.host).runs)
        if after > before:
            detail = f"{self.host} began {after - before} requests 3 s after it left"
            return Refused(Reason.CONFLICT, detail)
        return Ok(f"{self.host} began no request, {before} before")


CALLER_STEPS = {
    "begin load": StepKind(BeginLoad, {"load": NameRule()}, frozenset({"load"})),
    "callers give up": StepKind(
        CancelWave,
        {
            "service": NameRule(),
            "count": IntegerRule(1, 1_000),
            "running": IntegerRule(1, 1_000),
            "within_ms": IntegerRule(1, 120_000),
        },
        frozenset({"service", "count"}),
    ),
    "expect no new work": StepKind(
        NoNewWork,
        {"host": NameRule(), "watch_ms": IntegerRule(1, 60_000)},
        frozenset({"host"}),
    ),
}
