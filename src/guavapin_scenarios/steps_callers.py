"""Steps that start loads, cancel requests, and wait for or check a state."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin_scenarios.protocols import Condition
    from guavapin_scenarios.scenario_run import ScenarioRun

CONNECT_TIMEOUT_S = 10
CANCELLED_RUN_MS = 30_000
LEAVING_LIMIT_MS = 3_000


@dataclass(frozen=True, slots=True)
class BeginLoad:
    """Start the callers of a load."""

    load: str

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Send the load's requests to its callers."""
        return Ok(f"{run.begin_load(self.load)} requests begin")


@dataclass(frozen=True, slots=True)
class CancelRequests:
    """Send `count` long requests and close all connections once `running` of them run.

    The requests belong to no load, so that they only occupy slots.
    """

    service: str
    count: int
    running: int = 1
    within_ms: int = 30_000

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Open the connections, wait for the runs, close all connections."""
        socks = [self._send(run, index) for index in range(self.count)]
        try:
            is_reached = run.wait_until(
                lambda: run.site.count_running() >= self.running, self.within_ms
            )
        finally:
            for sock in socks:
                sock.close()
        if not is_reached:
            return Refused(Reason.TIMEOUT, f"never ran {self.running} at once")
        return Ok(f"{self.count} requests cancelled")

    def _send(self, run: ScenarioRun, index: int) -> socket.socket:
        addresses = run.site.addresses
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
    """Wait for a condition for `within_s`; a timeout fails the step."""

    state: str
    condition: Condition
    within_s: int = 60

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Poll the condition until it holds."""
        if run.wait_until(lambda: self.condition.holds(run), self.within_s * 1_000):
            return Ok(f"{self.state}: {self.condition}")
        detail = f"{self.state} did not come within {self.within_s} s: "
        return Refused(Reason.TIMEOUT, f"{detail}{self.condition}")


@dataclass(frozen=True, slots=True)
class ExpectNoNewWork:
    """Check that an upstream gets no new work from 3 s after it began to leave.

    The check lasts `watch_ms`.
    """

    host: str
    watch_ms: int = 3_000

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Wait for the limit, then compare the counts of runs over `watch_ms`."""
        run.wait_until(lambda: False, LEAVING_LIMIT_MS)
        before = len(run.site.record(self.host).runs)
        run.wait_until(lambda: False, self.watch_ms)
        after = len(run.site.record(self.host).runs)
        if after > before:
            detail = f"{self.host} began {after - before} requests 3 s after it left"
            return Refused(Reason.CONFLICT, detail)
        return Ok(f"{self.host} began no request, {before} before")


CALLER_STEPS = {
    "begin load": KindSpec(BeginLoad, {"load": NameRule()}, frozenset({"load"})),
    "callers give up": KindSpec(
        CancelRequests,
        {
            "service": NameRule(),
            "count": IntegerRule(1, 1_000),
            "running": IntegerRule(1, 1_000),
            "within_ms": IntegerRule(1, 120_000),
        },
        frozenset({"service", "count"}),
    ),
    "expect no new work": KindSpec(
        ExpectNoNewWork,
        {"host": NameRule(), "watch_ms": IntegerRule(1, 60_000)},
        frozenset({"host"}),
    ),
}
