"""One connection of the upstream stand-in."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import Run

if TYPE_CHECKING:
    import socket

    import httptools

    from guavapin.kernel import TimerHandle


class UpstreamConnection:
    """State of one connection; the HTTP parser calls the `on_` methods."""

    def __init__(
        self,
        sock: socket.socket,
        fd: int,
        parser: httptools.HttpRequestParser | None = None,
        url: bytes = b"",
        is_running: bool = False,
        timer: TimerHandle | None = None,
        is_silent: bool = False,
        closes: bool = False,
    ) -> None:
        self.sock = sock
        self.fd = fd
        self.parser = parser
        self.url = url
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytearray = bytearray()
        self.requests: deque[Run] = deque()
        self.out: bytearray = bytearray()
        self.parts: deque[bytes] = deque()
        self.is_running = is_running
        self.timer = timer
        self.is_silent = is_silent
        self.closes = closes
        self.behaviour: Behaviour = Behaviour()

    def on_message_begin(self) -> None:
        self.url, self.headers = b"", []
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        assert self.parser is not None
        headers = dict(self.headers)
        self.requests.append(
            Run(
                headers.get(b"guavapin-request-id", b"").decode("latin-1"),
                headers.get(b"idempotency-key", b"").decode("latin-1"),
                self.parser.get_method().decode("ascii"),
                self.url.decode("latin-1"),
                tuple(self.headers),
                len(self.body),
            )
        )
