"""Connections of cancelled attempts that the upstream has not closed yet."""

from __future__ import annotations

import os
import selectors
import socket
from typing import TYPE_CHECKING

import pycurl

from guavapin.serving.deadlines import DeadlineTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext

READ_BYTES = 65_536
# An upstream that goes on answering after the end of the request's connection is
# stopped by a reset after this many bytes.
MAX_DISCARDED_BYTES = 262_144


def duplicate_connection(curl: pycurl.Curl) -> socket.socket | None:
    """Return a second descriptor of the connection of a transfer in progress.

    It stays open when libcurl closes its own. Returns None if there is no connection,
    or no free descriptor.
    """
    fd = curl.getinfo(pycurl.ACTIVESOCKET)
    if fd < 0:
        return None
    try:
        return socket.socket(fileno=os.dup(fd))
    except OSError:
        return None


class ClosingConnections:
    """Half-closes connections and waits until the upstream has closed them too.

    An upstream that is busy may accept a request, or go on running it, after this
    process has closed the connection. Only the upstream's own close shows that it has
    seen the end of the connection. `on_closed` is called with the attempt's id then, or
    after `timeout_ms`. `timer_message` is delivered to the task, which must then call
    `on_timer`.
    """

    def __init__(
        self,
        context: TaskContext,
        timer_message: object,
        timeout_ms: int,
        on_closed: Callable[[int], None],
    ) -> None:
        self._context = context
        self._timeout_ms = timeout_ms
        self._on_closed = on_closed
        self._deadlines = DeadlineTimer(context, timer_message)
        self._socks: dict[int, socket.socket] = {}
        self._discarded_bytes: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._socks)

    def add(self, attempt_id: int, sock: socket.socket) -> None:
        """Close the sending side of `sock` and wait for the upstream's close."""
        self._socks[attempt_id] = sock
        self._discarded_bytes[attempt_id] = 0
        try:
            sock.setblocking(False)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(attempt_id)
            return
        self._deadlines.set(attempt_id, self._timeout_ms)
        self._context.watch(
            sock.fileno(), selectors.EVENT_READ, lambda ready: self._read(attempt_id)
        )

    def on_timer(self) -> int:
        """Reset the connections whose time has passed; return their number."""
        due = self._deadlines.pop_due()
        for attempt_id in due:
            self._close(attempt_id)
        return len(due)

    def close(self) -> None:
        """Close all connections without a call of `on_closed`."""
        for sock in self._socks.values():
            self._context.unwatch(sock.fileno())
            sock.close()
        self._socks.clear()

    def _read(self, attempt_id: int) -> None:
        try:
            data = self._socks[attempt_id].recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._discarded_bytes[attempt_id] += len(data)
        if not data or self._discarded_bytes[attempt_id] > MAX_DISCARDED_BYTES:
            self._close(attempt_id)

    def _close(self, attempt_id: int) -> None:
        sock = self._socks.pop(attempt_id)
        del self._discarded_bytes[attempt_id]
        self._deadlines.discard(attempt_id)
        self._context.unwatch(sock.fileno())
        sock.close()
        self._on_closed(attempt_id)
