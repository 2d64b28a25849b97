"""The server side of one HTTP/1.1 connection, on the event loop of a task."""

from __future__ import annotations

import selectors
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from guavapin.kernel import TaskContext

READ_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class HttpConnection:
    """Reads requests one at a time and writes their answers in order.

    `on_request(conn, request)` is called for each request; the next request is passed
    on only after `answer`. `on_closed(conn)` is called once, when it closes.
    """

    def __init__(
        self,
        context: TaskContext,
        sock: socket.socket,
        source: str,
        on_request: Callable[[HttpConnection, HttpRequest], None],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        self.source = source
        self.zone = ""
        self.is_open = True
        self._context = context
        self._sock = sock
        self._fd = sock.fileno()
        self._on_request = on_request
        self._on_closed = on_closed
        self._out = b""
        self._requests: list[HttpRequest] = []
        self._is_busy = False
        self._parser = httptools.HttpRequestParser(self)
        sock.setblocking(False)
        context.watch(self._fd, selectors.EVENT_READ, self._on_ready)

    def answer(self, status: int, headers: tuple[str, ...], body: bytes) -> None:
        """Send an answer; ignored when the connection has been closed."""
        if not self.is_open:
            return
        lines = [f"HTTP/1.1 {status} {status}", *headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self._out += "\r\n".join([*lines, "", ""]).encode() + body
        self._is_busy = False
        self._write()
        self._serve_next()

    def close(self) -> None:
        """Close the connection, even if an answer is only partly written."""
        if self.is_open:
            self.is_open = False
            self._context.unwatch(self._fd)
            self._sock.close()
            self._on_closed(self)

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the target (parser callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name (parser callback)."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body (parser callback)."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        self._requests.append(
            HttpRequest(
                self._parser.get_method().decode(),
                self._target.decode("latin-1"),
                self._headers,
                b"".join(self._body),
            )
        )

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._write()
        if events & selectors.EVENT_READ and self.is_open:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
            if not data:
                self.close()
                return
            self._parser.feed_data(data)
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError):
            self.close()
            return
        self._serve_next()

    def _serve_next(self) -> None:
        if self.is_open and self._requests and not self._is_busy:
            self._is_busy = True
            self._on_request(self, self._requests.pop(0))

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._out) if self._out else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._out = self._out[sent:]
        events = selectors.EVENT_READ
        if self._out:
            events |= selectors.EVENT_WRITE
        self._context.watch(self._fd, events, self._on_ready)
