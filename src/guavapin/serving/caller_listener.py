"""The listening socket of the callers' port."""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext

MAX_ACCEPTS_PER_EVENT = 64
# Wait after a failed accept, so that a lack of descriptors does not cause a busy loop.
ACCEPT_RETRY_MS = 100


class CallerListener:
    """Accepts connections and hands each socket to `on_socket`.

    `resume_message` is delivered to the owning task when it has to call `resume`
    after a failed accept.
    """

    def __init__(
        self,
        context: TaskContext,
        resume_message: object,
        on_socket: Callable[[socket.socket], None],
    ) -> None:
        self._context = context
        self._resume_message = resume_message
        self._on_socket = on_socket
        self._socket: socket.socket | None = None
        self._is_watched = False

    def open(self, address: str, port: int) -> int:
        """Listen and return the port; raises OSError if the address is not usable.

        The port may be shared with other processes of this host (design, section 3).
        """
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind((address, port))
            listener.listen(socket.SOMAXCONN)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self.resume()
        bound_port: int = listener.getsockname()[1]
        return bound_port

    def resume(self) -> None:
        """Accept connections."""
        if self._socket is not None and not self._is_watched:
            self._is_watched = True
            self._context.watch(
                self._socket.fileno(), selectors.EVENT_READ, self._on_ready
            )

    def pause(self) -> None:
        """Leave new connections in the queue of the operating system."""
        if self._socket is not None and self._is_watched:
            self._is_watched = False
            self._context.unwatch(self._socket.fileno())

    def close(self) -> None:
        """Accept what is queued, which closing would reset, and close the socket."""
        if self._socket is None:
            return
        self.pause()
        for _ in range(socket.SOMAXCONN):
            if not self._accept():
                break
        self._socket.close()
        self._socket = None

    def _on_ready(self, events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._is_watched or not self._accept():
                return

    def _accept(self) -> bool:
        """Hand on one connection; False when none is waiting."""
        assert self._socket is not None
        try:
            sock, _ = self._socket.accept()
        except BlockingIOError:
            return False
        except OSError:
            self.pause()
            self._context.set_timer(ACCEPT_RETRY_MS, self._resume_message)
            return False
        self._on_socket(sock)
        return True
