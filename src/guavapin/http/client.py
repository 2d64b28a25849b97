"""The service `http`: calls to hosts and other processes over libcurl."""

from __future__ import annotations

import errno
import hashlib
import logging
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl

from guavapin.http.address import is_address
from guavapin.http.address import is_header_value
from guavapin.http.answer_memory import DEFAULT_ANSWER_BYTES
from guavapin.http.answer_memory import AnswerMemory
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.http.multi_driver import MultiDriver
from guavapin.http.multi_driver import MultiTimer
from guavapin.http.transfer import SHORT_HEAD
from guavapin.http.transfer import HttpRequest
from guavapin.http.transfer import Transfer
from guavapin.http.transfer import prepare
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.http.messages import CallOutcome
    from guavapin.kernel.task import TaskContext

# Limits the time to open a connection. Within a region it takes a few milliseconds; a
# lost SYN is retransmitted after one second.
CONNECT_TIMEOUT_MS = 600

# Idle connections kept for all addresses: three for each of a hundred hosts.
MAX_CACHED_CONNECTIONS = 300

# A long poll, a start and a stop may be in progress at one host at the same time.
MAX_HOST_CONNECTIONS = 4

log = logging.getLogger("guavapin.http")


@dataclass(frozen=True, slots=True)
class _NotAfter:
    """Timer: a call must not reach its receiver any more."""

    call: PeerCall


class HttpClientTask:
    """Service ``http``: handles `PeerCall`, answers with `PeerReply`.

    A dead connection is detected only by a timeout. After a timeout, the next calls to
    the address open new connections, as many as may be kept for it, so that no call is
    sent on another dead connection. All answers in progress have at most `answer_bytes`
    together.
    """

    name = "http"

    def __init__(self, answer_bytes: int = DEFAULT_ANSWER_BYTES) -> None:
        self._memory = AnswerMemory(answer_bytes)
        self.counters: Counter[tuple[str, str]] = Counter()
        self._transfers: dict[Any, Transfer[PeerCall]] = {}
        self._idle: list[Any] = []
        self._reconnects_left: Counter[str] = Counter()
        self._is_stopped = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Create the multi handle; no connection is made."""
        self._context = context
        self._driver = MultiDriver(
            context,
            self._on_done,
            MAX_CACHED_CONNECTIONS,
            max_host_connections=MAX_HOST_CONNECTIONS,
        )
        return Ok(None)

    def handle(self, message: object) -> None:
        """Send a call, or let libcurl handle its timeouts."""
        if isinstance(message, MultiTimer):
            if not self._is_stopped:
                self._driver.on_timer()
        elif isinstance(message, PeerCall):
            self._accept(message)
        elif isinstance(message, AbortCalls):
            self._abort(message.reply_to)
        elif isinstance(message, _NotAfter):
            self._end_overdue(message.call)
        else:
            raise InvariantError(f"http: unexpected message {message!r}")

    def stop(self) -> None:
        """Abandon the calls in flight."""
        self._is_stopped = True
        self._driver.close()
        self._transfers.clear()

    def _accept(self, call: PeerCall) -> None:
        """Send a call, unless its address or a header cannot be put on the wire."""
        if self._is_stopped:
            self._reply(call, Unanswered(False, "the client stopped"))
        elif not is_address(call.address):
            self._refuse(call, "the address is malformed")
        elif not all(is_header_value(value) for _, value in call.headers):
            self._refuse(call, "a header value is malformed")
        else:
            self._send(call)

    def _refuse(self, call: PeerCall, detail: str) -> None:
        extra = {"address": call.address, "path": call.path, "detail": detail}
        log.warning("call cannot be sent", extra=extra)
        self._reply(call, Unanswered(False, detail))

    def _send(self, call: PeerCall) -> None:
        transfer = Transfer(
            call,
            is_sent_once=True,
            may_transmit=lambda: not self._is_overdue(call),
            memory=self._memory,
        )
        is_reconnect = self._reconnects_left[call.address] > 0
        if is_reconnect:
            self._reconnects_left[call.address] -= 1
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        headers = tuple(f"{name}: {value}" for name, value in call.headers)
        host = call.address
        if call.receiver:
            # libcurl shares connections by the host of the URL.
            host = f"r{hashlib.sha256(call.receiver.encode()).hexdigest()[:40]}"
            headers = (f"Host: {call.address}", *headers)
        prepared = prepare(
            curl,
            transfer,
            HttpRequest(
                method=call.method,
                url=f"http://{host}{call.path}",
                headers=("Expect:", "Accept:", "User-Agent:", *headers),
                body=call.body,
                timeout_ms=max(call.timeout_ms, 1),
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                uses_new_connection=is_reconnect or call.uses_new_connection,
                resets_connection=call.resets_connection or call.not_after_ms > 0,
                connects_to=call.address if call.receiver else "",
            ),
        )
        if isinstance(prepared, Refused):
            self._keep_idle(curl)
            self._refuse(call, prepared.detail)
            return
        self._transfers[curl] = transfer
        self._driver.add(curl)
        if call.not_after_ms:
            # libcurl's clock stands still while the host is suspended, so its own
            # timeout may be late.
            delay_ms = max(call.not_after_ms - self._context.clock.now_ms(), 0)
            self._context.set_timer(delay_ms, _NotAfter(call))

    def _is_overdue(self, call: PeerCall) -> bool:
        now_ms = self._context.clock.now_ms()
        return bool(call.not_after_ms) and now_ms >= call.not_after_ms

    def _abort(self, service: str) -> None:
        """Remove the calls of a service, which closes their connections."""
        for curl, transfer in [*self._transfers.items()]:
            if transfer.owner.reply_to == service:
                self._remove(curl)

    def _end_overdue(self, call: PeerCall) -> None:
        for curl, transfer in [*self._transfers.items()]:
            if transfer.owner is call:
                self._remove(curl)
                was_sent = transfer.transmissions > 0
                self._reply(call, Unanswered(was_sent, "the call is overdue"))

    def _remove(self, curl: Any) -> None:
        self._transfers.pop(curl).release()
        self._driver.remove(curl)
        self._keep_idle(curl)

    def _on_done(self, curl: Any, code: int, detail: str) -> None:
        transfer = self._transfers.pop(curl)
        transfer.release()
        call = transfer.owner
        outcome: CallOutcome
        if code == 0 and not transfer.is_head_complete:
            outcome = Unanswered(True, SHORT_HEAD)
        elif code == 0:
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            outcome = Answered(status, bytes(transfer.body))
            self._reconnects_left.pop(call.address, None)
        else:
            is_refused = (
                code == pycurl.E_COULDNT_CONNECT
                and curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
            )
            outcome = Unanswered(transfer.transmissions > 0, detail, is_refused)
            if code == pycurl.E_OPERATION_TIMEDOUT:
                self._reconnects_left[call.address] = MAX_HOST_CONNECTIONS
        self._keep_idle(curl)
        self._reply(call, outcome)

    def _keep_idle(self, curl: Any) -> None:
        if len(self._idle) < MAX_CACHED_CONNECTIONS:
            self._idle.append(curl)

    def _reply(self, call: PeerCall, outcome: CallOutcome) -> None:
        self.counters[call.path, type(outcome).__name__] += 1
        self._context.send(call.reply_to, PeerReply(call.request_id, outcome))
