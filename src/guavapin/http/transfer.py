"""One HTTP call over libcurl: its options and its answer."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

import pycurl

from guavapin.http.answer_memory import AnswerMemory
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

# The largest answers are pages of a store's items, which hold about 1 MB of values.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

# Length from which an answer counts as long: on the slowest link it takes 0.1 s.
LONG_ANSWER_BYTES = 64 * 1024

# Rate of the slowest link.
MIN_LINK_BYTES_PER_S = 600_000

# An answer that is slower than this rate for this time has stalled: its connection is
# dead.
STALL_BYTES_PER_S = 2_000
STALL_S = 1

# Time after which the kernel drops a connection whose data is not acknowledged, if late
# delivery must be prevented. It also applies while the process is suspended.
UNACKNOWLEDGED_TIMEOUT_MS = 1_000

# Reason of the failure of a call whose answer ended before the end of its head.
SHORT_HEAD = "the answer ended within its head"

# `struct linger` that makes closing a socket send a reset and drop unsent data.
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A call to another process; `timeout_ms` limits the whole call.

    `connects_to` is the address to connect to instead of the host of the URL, "" for
    that host. With `aborts_stalled` the call ends earlier if its answer stalls. With
    `resets_connection` a new connection is reset instead of closed when it ends.
    """

    method: str
    url: str
    headers: tuple[str, ...]
    body: bytes
    timeout_ms: int
    connect_timeout_ms: int
    uses_new_connection: bool = False
    aborts_stalled: bool = False
    resets_connection: bool = False
    connects_to: str = ""


class Transfer(Generic[T]):
    """A call in flight on behalf of `owner`; collects the answer from libcurl.

    With `is_sent_once` the call is never transmitted a second time. It is not
    transmitted either if `may_transmit` returns False when its connection is ready. The
    body counts in `memory` until `release`; without room there the call is aborted, as
    if its answer had been lost. `on_long` is called once, during the transfer, if the
    answer is longer than `LONG_ANSWER_BYTES`.
    """

    def __init__(
        self,
        owner: T,
        is_sent_once: bool,
        may_transmit: Callable[[], bool] | None = None,
        memory: AnswerMemory | None = None,
        on_long: Callable[[], None] | None = None,
    ) -> None:
        self.owner = owner
        self._on_long = on_long
        self._may_transmit = may_transmit
        self.transmissions = 0
        # libcurl reports success if a connection is closed within the head.
        self.is_head_complete = False
        self.revision = b""
        self.body = bytearray()
        # Whether the transfer ended because the answer exceeds `MAX_ANSWER_BYTES`.
        self.is_too_long = False
        self._is_sent_once = is_sent_once
        self._memory = memory or AnswerMemory()

    def on_transmission(self, *_: object) -> int:
        """Allow the first transmission only.

        libcurl sends a request again if a reused connection dies before the first
        byte of the answer. If the first transmission of a write has taken effect, the
        second one reports a conflict with it. libcurl calls this function before each
        transmission. Aborting the second one keeps connections reusable, which
        ``FRESH_CONNECT`` would not.
        """
        if self._may_transmit is not None and not self._may_transmit():
            return int(pycurl.PREREQFUNC_ABORT)
        self.transmissions += 1
        if self.transmissions > 1 and self._is_sent_once:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)

    def on_header(self, line: bytes) -> None:
        """Record the end of the head and the value of the ``x-revision`` header."""
        if line.startswith(b"HTTP/"):
            # An interim answer has a head of its own.
            self.is_head_complete = False
        elif not line.strip():
            self.is_head_complete = True
        name, _, value = line.partition(b":")
        if name.lower() == b"x-revision":
            self.revision = value.strip()

    def on_body(self, data: bytes) -> int:
        """Collect the body; a short count makes libcurl abort the transfer."""
        if len(self.body) + len(data) > MAX_ANSWER_BYTES:
            self.is_too_long = True
            return 0
        if not self._memory.take(len(data)):
            return 0
        self.body += data
        if self._on_long is not None and len(self.body) > LONG_ANSWER_BYTES:
            self._on_long()
            self._on_long = None
        return len(data)

    def release(self) -> None:
        """Stop counting the body; called once when the transfer has ended."""
        self._memory.release(len(self.body))


def transfer_ms(length: int) -> int:
    """Return the time that the slowest link takes for this number of bytes."""
    return length * 1_000 // MIN_LINK_BYTES_PER_S


def prepare(curl: Any, transfer: Transfer[T], req: HttpRequest) -> Outcome[None]:
    """Set the options of `curl` for one call, clearing those of an earlier one.

    Returns `Refused` for a request that libcurl does not take, for example because its
    URL is not ASCII. Parts of a request come from other processes, and none of them may
    end this one.
    """
    curl.reset()
    try:
        _set_options(curl, transfer, req)
    except (pycurl.error, ValueError, TypeError, OverflowError) as exc:
        return Refused(Reason.BAD_INPUT, f"libcurl does not take the call: {exc!r}")
    return Ok(None)


def _set_options(curl: Any, transfer: Transfer[T], req: HttpRequest) -> None:
    curl.setopt(pycurl.URL, req.url)
    curl.setopt(pycurl.CUSTOMREQUEST, req.method)
    if req.method != "GET" and req.body:
        curl.setopt(pycurl.POSTFIELDSIZE, len(req.body))
        curl.setopt(pycurl.POSTFIELDS, req.body)
    curl.setopt(pycurl.HTTPHEADER, list(req.headers))
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.TIMEOUT_MS, req.timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, req.connect_timeout_ms)
    if req.connects_to:
        # Two empty fields stand for any host and port of the URL.
        curl.setopt(pycurl.CONNECT_TO, [f"::{req.connects_to}"])
    if req.uses_new_connection:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
    if req.aborts_stalled:
        curl.setopt(pycurl.LOW_SPEED_LIMIT, STALL_BYTES_PER_S)
        curl.setopt(pycurl.LOW_SPEED_TIME, STALL_S)
    if req.resets_connection:
        curl.setopt(pycurl.SOCKOPTFUNCTION, _reset_on_close)
    curl.setopt(pycurl.PREREQFUNCTION, transfer.on_transmission)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.on_header)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body)


def _reset_on_close(fd: int, _purpose: int) -> int:
    """Set the options of a new socket that prevent late delivery of its data."""
    sock = socket.socket(fileno=fd)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
    finally:
        sock.detach()
    return int(pycurl.SOCKOPT_OK)
