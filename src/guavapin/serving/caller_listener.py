"""The listening socket of the callers' port."""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext

MAX_ACCEPTS_PER_EVENT = 64
# Delay after a failed accept, so that a lack of descriptors causes no busy loop.
ACCEPT_RETRY_MS = 100


class CallerListener:
    """Accepts connections and passes each socket to `on_socket`.

    With `receive_buffer_bytes` above 0, the kernel holds at most this much unread input
    of a connection. After a failed accept, `resume_message` is delivered to the owning
    task, which must then call `resume`.
    """

    def __init__(
        self,
        context: TaskContext,
        resume_message: object,
        on_socket: Callable[[socket.socket], None],
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._context = context
        self._resume_message = resume_message
        self._on_socket = on_socket
        self._receive_buffer_bytes = receive_buffer_bytes
        self._socket: socket.socket | None = None
        self._is_watched = False

    def open(self, address: str, port: int) -> int:
        """Listen and return the port; raises OSError if the address is unusable.

        Other processes of this host may share the port (design, section 3).
        """
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            if self._receive_buffer_bytes:
                # Accepted sockets inherit the size; the kernel doubles it.
                listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes // 2
                )
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
        """Start or continue to accept connections."""
        if self._socket is not None and not self._is_watched:
            self._is_watched = True
            self._context.watch(
                self._socket.fileno(), selectors.EVENT_READ, self._on_ready
            )

    def pause(self) -> None:
        """Stop accepting; new connections wait in the operating system's queue."""
        if self._socket is not None and self._is_watched:
            self._is_watched = False
            self._context.unwatch(self._socket.fileno())

    def close(self, max_accepts: int = 0) -> None:
        """Accept queued connections, which closing would reset; close the socket.

        Connections beyond `max_accepts` are reset; nothing of them has been read.
        """
        if self._socket is None:
            return
        self.pause()
        for _ in range(min(max_accepts, socket.SOMAXCONN)):
            if not self._accept():
                break
        self._socket.close()
        self._socket = None

    def _on_ready(self, events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._is_watched or not self._accept():
                return

    def _accept(self) -> bool:
        """Accept one connection; returns False if none waits or the accept failed."""
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
