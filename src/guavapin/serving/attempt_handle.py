"""A libcurl handle that sends an attempt and turns callbacks into messages."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

import pycurl

from guavapin.serving.hop_headers import connection_options
from guavapin.serving.hop_headers import end_to_end
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult

if TYPE_CHECKING:
    from guavapin.serving.messages import StartAttempt
    from guavapin.serving.upstreams_config import UpstreamsConfig

# Water marks of a request body that waits for the upstream (design, section 6.8).
LOW_WATER_BYTES = 65_536
HIGH_WATER_BYTES = 262_144
# An attempt delivers at most this much before other messages of the loop are handled.
# Otherwise a fast upstream could exceed the high water mark before the pause arrives.
READ_BATCH_BYTES = 32_768

METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))

# Headers that libcurl sets itself or that are left out because it frames the body.
REPLACED_HEADERS = frozenset((b"content-length", b"expect"))

CONNECT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_OPERATION_TIMEDOUT,
        pycurl.E_URL_MALFORMAT,
    )
)


class AttemptOwner(Protocol):
    """Interface of the task that owns a handle."""

    def forward(self, message: object) -> None:
        """Send a message to `exchanges`."""
        ...

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        ...

    def on_head(self, handle: AttemptHandle) -> None:
        """Handle the arrival of the answer's head."""
        ...

    def on_batch_full(self, handle: AttemptHandle) -> None:
        """Schedule `start_next_batch`; the answer is paused until then."""
        ...

    def on_body_needed(self, handle: AttemptHandle) -> None:
        """Handle an attempt that waits for more of the caller's body."""
        ...

    def pause_request(self, attempt_id: int, is_paused: bool) -> None:
        """Request that the sender of the request's body pause or resume it."""
        ...

    def record_body_size(self, size_bytes: int) -> None:
        """Record the size of a waiting body above the high water mark."""
        ...


class AttemptHandle:
    """A libcurl easy handle that is reused for one attempt after another."""

    is_waiting_for_body: bool
    _body_bytes: int
    _is_request_paused: bool

    def __init__(self, cfg: UpstreamsConfig, owner: AttemptOwner) -> None:
        self.attempt_id = 0
        self.last_progress_ms = 0
        self.curl = pycurl.Curl()
        self.start: StartAttempt
        self.is_head_done = False
        self.is_answer_paused = False
        self.is_batch_full = False
        self._owner = owner
        # Current values of the handle's options. Setting an option costs 1 us.
        self._address = ""
        self._connect_ms = -1
        self._uses_fresh_connection: bool | None = None
        self._bodiless_method = ""
        self._reset_state()
        self._set_fixed_options(cfg)

    def prepare(self, start: StartAttempt) -> None:
        """Configure the handle for `start`; raises pycurl.error if libcurl refuses."""
        self.attempt_id = start.attempt_id
        self.start = start
        self.last_progress_ms = self._owner.now_ms()
        curl = self.curl
        curl.setopt(pycurl.REQUEST_TARGET, start.target)
        if start.address != self._address:
            self._address = ""
            curl.setopt(pycurl.URL, f"http://{start.address}/")
            self._address = start.address
        if start.connect_ms != self._connect_ms:
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, start.connect_ms)
            self._connect_ms = start.connect_ms
        # libcurl resends a request if a reused connection dies before the first byte of
        # the answer, but never on a fresh connection. The fresh connection is not kept,
        # because each such request would add one idle connection.
        if start.fresh_connection is not self._uses_fresh_connection:
            curl.setopt(pycurl.FRESH_CONNECT, int(start.fresh_connection))
            curl.setopt(pycurl.FORBID_REUSE, int(start.fresh_connection))
            self._uses_fresh_connection = start.fresh_connection
        self._set_body(start)
        curl.setopt(pycurl.HTTPHEADER, self._header_lines(start))

    def add_body(self, data: bytes, is_last: bool) -> None:
        """Add a part of the body; request a pause above the high water mark."""
        if data:
            self._body.append(data)
            self._body_bytes += len(data)
        self._is_body_whole = is_last
        if self._body_bytes > HIGH_WATER_BYTES:
            self._owner.record_body_size(self._body_bytes)
            if not self._is_request_paused:
                self._is_request_paused = True
                self._owner.pause_request(self.attempt_id, True)
        if self.is_waiting_for_body:
            self.is_waiting_for_body = False
            self._apply_pauses()

    def pause_answer(self, is_paused: bool) -> None:
        """Pause or resume the reading of the answer."""
        if is_paused != self.is_answer_paused:
            self.is_answer_paused = is_paused
            self._apply_pauses()

    def start_next_batch(self) -> None:
        """Start the next batch after the messages of the last one are handled."""
        self._batch_bytes = 0
        if self.is_batch_full:
            self.is_batch_full = False
            if not self.is_answer_paused:
                self._apply_pauses()

    def result(self, code: int) -> AttemptResult:
        """Return the result for libcurl's error code, which is 0 for success."""
        if code == 0:
            return AttemptResult.COMPLETE if self._is_framed() else AttemptResult.BROKEN
        if code in CONNECT_ERRORS and not self.has_sent():
            return AttemptResult.NOT_SENT
        return AttemptResult.BROKEN

    def has_sent(self) -> bool:
        """Return whether any byte of the request may have left this process."""
        # libcurl counts both over all connections of the transfer. If a resend fails to
        # connect, the request has been sent before.
        return self._is_connected or bool(self.curl.getinfo(pycurl.REQUEST_SIZE))

    def release(self) -> None:
        """Reset the state of the attempt, so that the handle can be reused."""
        self._reset_state()
        self.attempt_id = 0

    def _reset_state(self) -> None:
        self.is_head_done = False
        self.is_answer_paused = False
        self.is_batch_full = False
        self.is_waiting_for_body = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._batch_bytes = 0
        self._body: deque[bytes] = deque()
        self._body_bytes = 0
        self._is_body_whole = False
        self._is_request_paused = False
        self._has_length = False
        self._is_connected = False

    def _set_fixed_options(self, cfg: UpstreamsConfig) -> None:
        curl = self.curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        # An empty proxy also disables proxies set in environment variables.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.USERAGENT, "")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, cfg.keepalive_idle_s)
        curl.setopt(pycurl.TCP_KEEPINTVL, cfg.keepalive_interval_s)
        curl.setopt(pycurl.MAXAGE_CONN, cfg.max_idle_s)
        curl.setopt(pycurl.MAXLIFETIME_CONN, cfg.max_age_s)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        curl.setopt(pycurl.READFUNCTION, self._on_read)

    def _set_body(self, start: StartAttempt) -> None:
        curl = self.curl
        has_body = bool(
            start.body_follows or start.body or start.method in METHODS_WITH_BODY
        )
        if not has_body and start.method == self._bodiless_method:
            return
        self._bodiless_method = ""
        # HTTPGET resets the body options of the previous attempt.
        curl.setopt(pycurl.NOBODY, 0)
        curl.setopt(pycurl.UPLOAD, 0)
        curl.setopt(pycurl.HTTPGET, 1)
        if start.body_follows:
            curl.setopt(pycurl.UPLOAD, 1)
            curl.setopt(pycurl.INFILESIZE_LARGE, _announced_length(start))
            if start.body:
                self._body.append(start.body)
                self._body_bytes = len(start.body)
        elif has_body:
            curl.setopt(pycurl.POSTFIELDS, start.body)
        elif start.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, start.method)
        if not has_body:
            self._bodiless_method = start.method

    def _header_lines(self, start: StartAttempt) -> list[bytes]:
        headers = end_to_end(start.headers)
        lines = [
            name + b": " + value if value else name + b";"
            for name, value in headers
            if name not in REPLACED_HEADERS
        ]
        # A name without a value stops libcurl from adding its own header.
        names = {name for name, _ in headers}
        lines.append(b"Expect:")
        if b"accept" not in names:
            lines.append(b"Accept:")
        if b"content-type" not in names:
            lines.append(b"Content-Type:")
        return lines

    def _on_connected(self, *addresses: object) -> int:
        self._is_connected = True
        return int(pycurl.PREREQFUNC_OK)

    def _on_header(self, line: bytes) -> None:
        if self.is_head_done:
            return
        name, colon, value = line.partition(b":")
        if colon and not line.startswith(b"HTTP/"):
            self._headers.append((name.strip().lower(), value.strip()))
        elif line.startswith(b"HTTP/"):
            self._status = int(line.split(None, 2)[1])
            self._headers = []
        elif not line.strip() and self._status >= 200:
            self._end_head()

    def _end_head(self) -> None:
        self.is_head_done = True
        raw = tuple(self._headers)
        is_closing = False
        for name, _ in raw:
            if name == b"content-length" or name == b"transfer-encoding":
                self._has_length = True
            elif name == b"connection":
                is_closing = b"close" in connection_options(raw)
        self._owner.forward(
            AttemptHead(self.attempt_id, self._status, end_to_end(raw), is_closing)
        )
        self.last_progress_ms = self._owner.now_ms()
        self._owner.on_head(self)

    def _on_body(self, data: bytes) -> int | None:
        if self.is_answer_paused or self.is_batch_full:
            return int(pycurl.WRITEFUNC_PAUSE)
        if self._batch_bytes and self._batch_bytes + len(data) > READ_BATCH_BYTES:
            self.is_batch_full = True
            self._owner.on_batch_full(self)
            return int(pycurl.WRITEFUNC_PAUSE)
        self._batch_bytes += len(data)
        self._owner.forward(AttemptBody(self.attempt_id, data))
        self.last_progress_ms = self._owner.now_ms()
        return None

    def _on_read(self, size: int) -> bytes | int:
        if not self._body:
            if self._is_body_whole:
                return b""
            self.is_waiting_for_body = True
            self._owner.on_body_needed(self)
            return int(pycurl.READFUNC_PAUSE)
        data = self._body.popleft()
        if len(data) > size:
            self._body.appendleft(data[size:])
            data = data[:size]
        self._body_bytes -= len(data)
        if self._is_request_paused and self._body_bytes < LOW_WATER_BYTES:
            self._is_request_paused = False
            self._owner.pause_request(self.attempt_id, False)
        return data

    def _apply_pauses(self) -> None:
        pauses = pycurl.PAUSE_CONT
        if self.is_answer_paused or self.is_batch_full:
            pauses |= pycurl.PAUSE_RECV
        if self.is_waiting_for_body:
            pauses |= pycurl.PAUSE_SEND
        self.curl.pause(pauses)

    def _is_framed(self) -> bool:
        # Without a length or chunks, the end of the body cannot be distinguished from a
        # lost connection, so such an answer never counts as complete.
        return (
            self._has_length
            or self.start.method == "HEAD"
            or self._status in (204, 304)
            or not self.is_head_done
        )


def _announced_length(start: StartAttempt) -> int:
    for name, value in start.headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return -1
