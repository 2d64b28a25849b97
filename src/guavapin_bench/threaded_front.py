"""A front with a thread per connection, for comparison with the event loop."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

import httptools

from guavapin.kernel import Ok

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

STUB_BODY = b"x" * 1_000


class _Request:
    """Parser callbacks that collect the identity and the end of a request."""

    def __init__(self) -> None:
        self.identity = b""
        self.is_whole = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"guavapin-request-id":
            self.identity = value

    def on_message_complete(self) -> None:
        self.is_whole = True


class ThreadedFront:
    """Answers every request at once, with a thread for each connection.

    A comparison favours it, since it lacks the limits and messages of `FrontTask`.
    """

    name = "front"

    def __init__(self) -> None:
        self.port = 0
        self._listener = socket.socket()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener and accept connections on a thread."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(1_024)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Ignore the message."""

    def stop(self) -> None:
        """Close the listener; each thread ends when its connection closes."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=_serve, args=(sock,), daemon=True).start()


def _serve(sock: socket.socket) -> None:
    request = _Request()
    parser = httptools.HttpRequestParser(request)
    with sock:
        while data := sock.recv(65_536):
            parser.feed_data(data)
            if request.is_whole:
                request.is_whole = False
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nguavapin-request-id: %b\r\n"
                    b"content-length: %d\r\n\r\n%b"
                    % (request.identity, len(STUB_BODY), STUB_BODY)
                )
