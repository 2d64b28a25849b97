"""Stand-in of the platform's key-value service over HTTP.

It runs as a task beside others, on a thread of its own (`RunningPlatform`) or as
``python -m guavapin_standins.platform --port N``. Test controls are the messages
`SetFaults` and `SetHost` or, for other processes, ``PUT /standin/faults`` (the fields
of `Faults` as JSON), ``PUT /standin/hosts/NAME?state=S`` and
``GET /standin/counters``.
"""

from __future__ import annotations

import argparse

from guavapin.kernel import Kernel
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin_standins.platform_controls import BreakHost
from guavapin_standins.platform_controls import Faults
from guavapin_standins.platform_controls import GetLiveHosts
from guavapin_standins.platform_controls import Limits
from guavapin_standins.platform_controls import SetFaults
from guavapin_standins.platform_controls import SetHost
from guavapin_standins.platform_controls import SetUsage
from guavapin_standins.platform_task import PlatformStandIn


class RunningPlatform:
    """Runs the stand-in on a thread of its own; use it as a context manager."""

    def __init__(
        self, port: int = 0, limits: Limits | None = None, hosts_lag_ms: int = 2_000
    ) -> None:
        self.task = PlatformStandIn(port, limits, hosts_lag_ms)
        self._kernel = Kernel(SystemClock())
        self._kernel.register(self.task)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.task.url

    def __enter__(self) -> RunningPlatform:
        """Start the thread; raises RuntimeError if the port is taken."""
        outcome = self._kernel.start()
        if isinstance(outcome, Refused):
            raise RuntimeError(str(outcome))
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the thread."""
        self._kernel.stop()

    def set_faults(self, faults: Faults) -> None:
        """Replace the fault switches; they are in effect when this returns."""
        self._kernel.ask(self.task.name, SetFaults(faults)).result(5)

    def set_host(self, host: str, state: str) -> None:
        """Set a host's state: ``live``, ``leaving`` or ``gone``."""
        self._kernel.ask(self.task.name, SetHost(host, state)).result(5)

    def live_hosts(self) -> frozenset[str]:
        """Return the hosts that are live now."""
        hosts: frozenset[str] = self._kernel.ask(self.task.name, GetLiveHosts()).result(
            5
        )
        return hosts

    def deliver(self, message: SetUsage | BreakHost) -> None:
        """Send a test control without waiting for its effect."""
        self._kernel.deliver(self.task.name, message)

    def wait(self) -> None:
        """Block until the thread fails, and raise its failure."""
        failure = self._kernel.wait_for_failure()
        if failure is not None:
            raise failure


def main() -> None:
    """Run the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser(description="stand-in of the platform's service")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--writes-per-second", type=float, default=500.0)
    parser.add_argument("--reads-per-second", type=float, default=2_000.0)
    args = parser.parse_args()
    limits = Limits(args.writes_per_second, args.reads_per_second)
    with RunningPlatform(args.port, limits) as platform:
        print(f"platform stand-in listens on {platform.url}", flush=True)
        try:
            platform.wait()
        except KeyboardInterrupt:
            return


if __name__ == "__main__":
    main()
