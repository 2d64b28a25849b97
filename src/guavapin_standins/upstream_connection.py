"""One connection of the upstream stand-in."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import Run

if TYPE_CHECKING:
    import socket

    import httptools

    from guavapin.kernel import TimerHandle


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """State of one connection; the parser calls its `on_` methods."""

    sock: socket.socket
    fd: int
    parser: httptools.HttpRequestParser | None = None
    url: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    requests: deque[Run] = field(default_factory=deque)
    out: bytearray = field(default_factory=bytearray)
    parts: deque[bytes] = field(default_factory=deque)
    is_running: bool = False
    timer: TimerHandle | None = None
    is_silent: bool = False
    closes: bool = False
    behaviour: Behaviour = field(default_factory=Behaviour)

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
