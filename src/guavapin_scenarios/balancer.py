"""Stand-in for the platform's load balancer, which sends callers to ready entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl

from guavapin.http.multi_driver import MultiDriver
from guavapin.http.multi_driver import MultiTimer
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin_demo.callers import SetEntries

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

PROBE_INTERVAL_MS = 100
PROBE_TIMEOUT_MS = 2_000
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class QueryReadyAddresses:
    """Asked as a `Call`; the reply is the set of addresses that were ready last."""


@dataclass(frozen=True, slots=True)
class _Probe:
    address: str


class BalancerTask:
    """Service `balancer`: probes ``/readyz`` and sends the ready addresses to callers.

    If no entry process is ready, callers keep the addresses that were ready last: a
    load balancer without a healthy target also falls back to its last choice.
    """

    name = "balancer"

    def __init__(self, addresses: tuple[str, ...], callers: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._callers = callers
        self._ready: frozenset[str] = frozenset()
        self._probes: dict[Any, str] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Send all addresses to the callers and start a probe of each."""
        self._context = context
        self._driver = MultiDriver(context, self._on_done)
        self._notify_callers(self._addresses)
        for address in self._addresses:
            self._probe(address)
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a timer, or a query from the running scenario."""
        match message:
            case MultiTimer():
                self._driver.on_timer()
            case _Probe(address):
                self._probe(address)
            case Call(QueryReadyAddresses(), fut):
                fut.set_result(self._ready)

    def stop(self) -> None:
        """Cancel the probes in progress."""
        self._driver.close()

    def _probe(self, address: str) -> None:
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://{address}/readyz")
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, PROBE_TIMEOUT_MS)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.WRITEFUNCTION, len)
        self._probes[curl] = address
        self._driver.add(curl)

    def _on_done(self, curl: Any, code: int, detail: str) -> None:
        address = self._probes.pop(curl)
        is_ready = code == 0 and curl.getinfo(pycurl.RESPONSE_CODE) == HTTP_OK
        curl.close()
        ready = self._ready | {address} if is_ready else self._ready - {address}
        if ready != self._ready:
            self._ready = ready
            if ready:
                self._notify_callers(
                    tuple(item for item in self._addresses if item in ready)
                )
        self._context.set_timer(PROBE_INTERVAL_MS, _Probe(address))

    def _notify_callers(self, addresses: tuple[str, ...]) -> None:
        for callers in self._callers:
            self._context.send(callers, SetEntries(addresses))
