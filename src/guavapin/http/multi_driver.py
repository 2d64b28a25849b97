"""Drives one libcurl multi handle from the selector and the timers of a task."""

from __future__ import annotations

import selectors
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.task import TaskContext
    from guavapin.kernel.task import TimerHandle

_SELECTOR_EVENTS = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


@dataclass(frozen=True, slots=True)
class MultiTimer:
    """Timer message of a driver; its task calls `MultiDriver.on_timer` on it."""


class MultiDriver:
    """One multi handle; belongs to one task and is used on that task's loop only.

    `on_done(curl, code, detail)` is called once for each added transfer that ends;
    `code` is 0 or a ``pycurl.E_`` number. By then the transfer is removed from the
    multi handle and no libcurl function is active, so the callback may add transfers.
    For example, in a task::

        def start(self, context):
            self._driver = MultiDriver(context, self._on_done)

        def handle(self, message):
            if isinstance(message, MultiTimer):
                self._driver.on_timer()

    A transfer's own callbacks (write, header, prerequest) run inside libcurl and must
    neither add nor remove transfers.
    """

    def __init__(
        self,
        context: TaskContext,
        on_done: Callable[[Any, int, str], None],
        max_cached_connections: int = 64,
        max_host_connections: int = 0,
    ) -> None:
        self._context = context
        self._on_done = on_done
        self._timer: TimerHandle | None = None
        self._active: set[Any] = set()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timeout)
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_cached_connections)
        # 0 means no limit.
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)

    def __len__(self) -> int:
        return len(self._active)

    def add(self, curl: Any) -> None:
        """Start a transfer; libcurl begins it when the loop next runs its timer."""
        self._active.add(curl)
        self._multi.add_handle(curl)

    def remove(self, curl: Any) -> None:
        """Cancel a transfer and close its connection; `on_done` is not called."""
        if curl in self._active:
            self._active.discard(curl)
            self._multi.remove_handle(curl)

    def pause(self, curl: Any, mask: int) -> None:
        """Set the pause state (``pycurl.PAUSE_``) and let libcurl act on it."""
        if curl in self._active:
            curl.pause(mask)
            self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def on_timer(self) -> None:
        """Let libcurl handle its timeouts; a late timer is harmless."""
        self._timer = None
        self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def close(self) -> None:
        """Cancel all transfers and close all connections."""
        for curl in list(self._active):
            self.remove(curl)
        self._multi.close()
        self._cancel_timer()

    def _on_socket(self, action: int, fd: int, _multi: Any, _data: Any) -> None:
        if action == pycurl.POLL_REMOVE:
            self._context.unwatch(fd)
            return
        self._context.watch(
            fd, _SELECTOR_EVENTS[action], lambda ready: self._on_ready(fd, ready)
        )

    def _on_ready(self, fd: int, ready: int) -> None:
        bitmask = 0
        if ready & selectors.EVENT_READ:
            bitmask |= pycurl.CSELECT_IN
        if ready & selectors.EVENT_WRITE:
            bitmask |= pycurl.CSELECT_OUT
        self._socket_action(fd, bitmask)

    def _on_timeout(self, timeout_ms: int) -> None:
        self._cancel_timer()
        if timeout_ms >= 0:
            self._timer = self._context.set_timer(timeout_ms, MultiTimer())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._context.cancel_timer(self._timer)
            self._timer = None

    def _socket_action(self, fd: int, bitmask: int) -> None:
        self._multi.socket_action(fd, bitmask)
        remaining = 1
        while remaining:
            remaining, done, failed = self._multi.info_read()
            for curl in done:
                self._finish(curl, 0, "")
            for curl, code, detail in failed:
                self._finish(curl, code, detail)

    def _finish(self, curl: Any, code: int, detail: str) -> None:
        if curl in self._active:
            self._active.discard(curl)
            self._multi.remove_handle(curl)
            self._on_done(curl, code, detail)
