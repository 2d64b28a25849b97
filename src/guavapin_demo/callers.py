"""The callers of the demo: send planned requests and classify each answer."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import pycurl

from guavapin.http.multi_driver import MultiDriver
from guavapin.http.multi_driver import MultiTimer
from guavapin.kernel import Call
from guavapin.kernel import Ok

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin_demo.demand import PlannedRequest

REQUEST_TIMEOUT_MS = 40_000
HTTP_OK = 200


class Result(Enum):
    """Outcome of a request as its caller sees it."""

    WHOLE = "answered whole"
    NOT_RUN = "refused as not run"
    UNKNOWN = "outcome unknown"
    LOST = "lost"
    WRONG = "wrong answer"


@dataclass(frozen=True, slots=True)
class CallerRecord:
    """One request's result; `elapsed_ms` includes the run time at the upstream."""

    request: PlannedRequest
    result: Result
    elapsed_ms: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RunLoad:
    """As a `Call`: send `requests`; the reply is the list of `CallerRecord`."""

    requests: tuple[PlannedRequest, ...]


@dataclass(frozen=True, slots=True)
class SetEntries:
    """Replace the entry addresses that the platform's balancer sends to."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _SendDue:
    pass


class _Transfer:
    def __init__(self, request: PlannedRequest, sent_ms: int) -> None:
        self.request = request
        self.sent_ms = sent_ms
        self.outcome = b""
        self.body = bytearray()

    def on_header(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name.lower() == b"guavapin-outcome":
            self.outcome = value.strip()


class CallersTask:
    """Service `name`: an open loop, which sends without waiting for answers."""

    def __init__(self, name: str = "callers") -> None:
        self.name = name
        self.result_counts: Counter[Result] = Counter()
        self._entry_addresses: tuple[str, ...] = ()
        self._next_entry = 0
        self._pending: list[PlannedRequest] = []
        self._transfers: dict[Any, _Transfer] = {}
        self._records: list[CallerRecord] = []
        self._reply_fut: Future[Any] | None = None
        self._started_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Create the driver of the transfers."""
        self._context = context
        self._driver = MultiDriver(context, self._on_done, 256)
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a load to run, a change of the entries or a timer."""
        match message:
            case Call(RunLoad(requests), fut):
                self._pending = sorted(requests, key=lambda r: -r.at_ms)
                self._reply_fut = fut
                self._started_ms = self._context.now_ms()
                self._send_due()
            case SetEntries(addresses):
                self._entry_addresses = addresses
            case MultiTimer():
                self._driver.on_timer()
            case _SendDue():
                self._send_due()

    def stop(self) -> None:
        """Cancel the transfers in progress."""
        self._driver.close()

    def _send_due(self) -> None:
        now_ms = self._context.now_ms() - self._started_ms
        while self._pending and self._pending[-1].at_ms <= now_ms:
            self._send(self._pending.pop())
        if self._pending:
            delay_ms = max(self._pending[-1].at_ms - now_ms, 1)
            self._context.set_timer(delay_ms, _SendDue())
        else:
            self._finish_if_done()

    def _send(self, request: PlannedRequest) -> None:
        address = self._entry_addresses[self._next_entry % len(self._entry_addresses)]
        self._next_entry += 1
        transfer = _Transfer(request, self._context.now_ms())
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://{address}{expected_target(request)}")
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, REQUEST_TIMEOUT_MS)
        curl.setopt(pycurl.HTTPHEADER, request_headers(request))
        curl.setopt(pycurl.HEADERFUNCTION, transfer.on_header)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.body.extend)
        if request.method == "POST":
            curl.setopt(pycurl.POSTFIELDS, request_body(request))
            # On a reused connection, libcurl may resend without the caller knowing.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        self._transfers[curl] = transfer
        self._driver.add(curl)

    def _on_done(self, curl: Any, code: int, detail: str) -> None:
        transfer = self._transfers.pop(curl)
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        result = classify(transfer.request, code, status, transfer)
        elapsed_ms = self._context.clock.now_ms() - transfer.sent_ms
        curl.close()
        # A late request shows that the callers themselves were held up.
        late_ms = transfer.sent_ms - self._started_ms - transfer.request.at_ms
        text = f"{status} {detail} {bytes(transfer.body[:80])!r}"
        text += f" (sent {late_ms} ms late, ended after {elapsed_ms} ms)"
        self._records.append(CallerRecord(transfer.request, result, elapsed_ms, text))
        self.result_counts[result] += 1
        self._finish_if_done()

    def _finish_if_done(self) -> None:
        if self._reply_fut is not None and not self._pending and not self._transfers:
            fut, self._reply_fut = self._reply_fut, None
            records, self._records = self._records, []
            fut.set_result(records)


def expected_target(request: PlannedRequest) -> str:
    """Return the target, which the upstream stand-in echoes in its answer.

    Requests with the same idempotency key have the same target, since the second one
    gets the answer to the first.
    """
    return f"/{request.service}/{request.idempotency_key or request.identity}"


def request_body(request: PlannedRequest) -> str:
    """Return the body of a POST.

    Requests with the same idempotency key must have the same body.
    """
    return expected_target(request)


def request_headers(request: PlannedRequest) -> list[str]:
    """Return the headers that identify a request to the upstream stand-in."""
    headers = [
        f"Guavapin-Request-Id: {request.identity}",
        f"Guavapin-Run-Ms: {request.run_ms}",
        "Expect:",
    ]
    if request.idempotency_key:
        headers.append(f"Idempotency-Key: {request.idempotency_key}")
    return headers


def classify(
    request: PlannedRequest, code: int, status: int, transfer: _Transfer
) -> Result:
    """Return the result of a transfer; a truncated answer is `LOST`, never whole."""
    if code != 0:
        return Result.LOST
    if status == HTTP_OK:
        is_own = bytes(transfer.body) == expected_target(request).encode()
        return Result.WHOLE if is_own else Result.WRONG
    if transfer.outcome == b"not-run":
        return Result.NOT_RUN
    return Result.UNKNOWN
