"""A loopback proxy whose connections can be delayed, silenced, cut one way or reset."""

from __future__ import annotations

import selectors
import socket
import struct
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.kernel import Call
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext

READ_BYTES = 65_536

# Delay of data in each direction of a delayed link; 20 times the time that the
# platform's store takes.
LINK_DELAY_MS = 80

# Delay of starts on a link that delays no other order; shorter than the 700 ms in which
# an order must be answered.
START_DELAY_MS = 500
_START = b"POST /guavapin/run-start"

# Linger option that makes `close` send a reset instead of an orderly end.
_RESET = struct.pack("ii", 1, 0)


class LinkMode(Enum):
    """Treatment of data and new connections by the proxy."""

    OPEN = "open"
    DELAYED = "delayed"
    STARTS_DELAYED = "starts delayed"
    ONE_WAY = "one way"
    CUT = "cut"
    HELD_BACK = "held back"
    WAITING = "new connections wait"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class SetLink:
    """As a `Call`: change the mode, also of open connections."""

    mode: LinkMode


@dataclass(frozen=True, slots=True)
class SetTarget:
    """As a `Call`: lead new connections to `port`; open ones stay as they are."""

    port: int


@dataclass(frozen=True, slots=True)
class CountStarts:
    """As a `Call`: the reply is the number of starts that were delayed so far."""


@dataclass(frozen=True, slots=True)
class SilenceConnections:
    """As a `Call`: drop all data of the open connections without closing them."""


@dataclass(frozen=True, slots=True)
class ResetConnections:
    """As a `Call`: reset the open connections."""


@dataclass(frozen=True, slots=True)
class _DelayedData:
    """Timer: delayed data is due."""

    endpoint: _Endpoint
    data: bytes


@dataclass(frozen=True, slots=True)
class _HeldData:
    """Data of a link that is held back; empty data stands for the end."""

    endpoint: _Endpoint
    data: bytes


class _Endpoint:
    """One socket of a proxied connection, and the data not yet sent on it."""

    def __init__(self, sock: socket.socket, is_caller: bool) -> None:
        self.sock = sock
        self.is_caller = is_caller
        self.peer: _Endpoint | None = None
        self.unsent = bytearray()
        self.is_silent = False
        self.is_closed = False
        # Number of pieces of data to this socket that are delayed.
        self.delayed = 0


class ProxyTask:
    """Service `name`: forwards connections to `port` on the loopback address."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = 0
        self._target = port
        self._mode = LinkMode.OPEN
        self._endpoints: set[_Endpoint] = set()
        self._held: list[_HeldData] = []
        self._delayed_starts = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener and set `port` to its port."""
        self._context = context
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._watch_listener()
        return Ok(None)

    def stop(self) -> None:
        """Close all sockets."""
        self._context.unwatch(self._listener.fileno())
        self._listener.close()
        for endpoint in [*self._endpoints]:
            self._close(endpoint)

    def handle(self, message: object) -> None:
        """Handle a test control, or delayed data that is due."""
        match message:
            case _DelayedData(endpoint=endpoint, data=data):
                endpoint.delayed -= 1
                self._write(endpoint, data)
            case Call(body=SetTarget(port=port), fut=fut):
                self._target = port
                fut.set_result(Ok(None))
            case Call(body=SetLink(mode=mode), fut=fut):
                self._mode = mode
                self._watch_listener()
                if mode is not LinkMode.HELD_BACK:
                    self._release()
                fut.set_result(Ok(None))
            case Call(body=CountStarts(), fut=fut):
                fut.set_result(self._delayed_starts)
            case Call(body=SilenceConnections(), fut=fut):
                for endpoint in self._endpoints:
                    endpoint.is_silent = True
                fut.set_result(Ok(None))
            case Call(body=ResetConnections(), fut=fut):
                for endpoint in [*self._endpoints]:
                    self._close(endpoint, is_reset=True)
                fut.set_result(Ok(None))
            case _:
                raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _watch_listener(self) -> None:
        fd = self._listener.fileno()
        self._context.unwatch(fd)
        if self._mode is not LinkMode.WAITING:
            self._context.watch(fd, selectors.EVENT_READ, self._accept)

    def _accept(self, events: int) -> None:
        sock, _ = self._listener.accept()
        if self._mode is LinkMode.REFUSED:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            sock.close()
            return
        try:
            upstream = socket.create_connection(("127.0.0.1", self._target))
        except OSError:
            # The process behind the link is down.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            sock.close()
            return
        caller, target = _Endpoint(sock, True), _Endpoint(upstream, False)
        caller.peer, target.peer = target, caller
        for endpoint in (caller, target):
            endpoint.sock.setblocking(False)
            endpoint.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._endpoints.add(endpoint)
            self._watch(endpoint)

    def _watch(self, endpoint: _Endpoint) -> None:
        events = selectors.EVENT_READ
        if endpoint.unsent:
            events |= selectors.EVENT_WRITE
        self._context.watch(
            endpoint.sock.fileno(),
            events,
            lambda ready: self._on_ready(endpoint, ready),
        )

    def _on_ready(self, endpoint: _Endpoint, ready: int) -> None:
        if ready & selectors.EVENT_WRITE and not endpoint.is_closed:
            self._write(endpoint, b"")
        if ready & selectors.EVENT_READ and not endpoint.is_closed:
            self._read(endpoint)

    def _read(self, endpoint: _Endpoint) -> None:
        try:
            data = endpoint.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        assert endpoint.peer is not None
        if self._mode is LinkMode.HELD_BACK and not endpoint.is_silent:
            self._hold_back(endpoint, data)
            return
        if self._mode is LinkMode.CUT:
            # Neither side learns of the other's end, nor gets later data.
            endpoint.is_silent = endpoint.peer.is_silent = True
        if not data:
            # The peer of a silent connection must not see its end.
            self._close(endpoint, with_peer=not endpoint.is_silent)
            return
        if self._mode is LinkMode.ONE_WAY and not endpoint.is_caller:
            # Data after lost bytes would be read as part of another answer.
            endpoint.is_silent = True
        if endpoint.is_silent:
            return
        delay_ms = self._delay_ms(endpoint, data)
        if delay_ms:
            endpoint.peer.delayed += 1
            self._context.set_timer(delay_ms, _DelayedData(endpoint.peer, data))
        else:
            self._write(endpoint.peer, data)

    def _delay_ms(self, endpoint: _Endpoint, data: bytes) -> int:
        if self._mode is LinkMode.DELAYED:
            return LINK_DELAY_MS
        if self._mode is not LinkMode.STARTS_DELAYED:
            return 0
        assert endpoint.peer is not None
        # The rest of a start follows its delayed head.
        is_start = data.startswith(_START)
        self._delayed_starts += is_start
        return START_DELAY_MS if is_start or endpoint.peer.delayed else 0

    def _hold_back(self, endpoint: _Endpoint, data: bytes) -> None:
        assert endpoint.peer is not None
        self._held.append(_HeldData(endpoint.peer, data))
        if not data:
            self._close(endpoint, with_peer=False)

    def _release(self) -> None:
        held, self._held = self._held, []
        for row in held:
            if row.data:
                self._write(row.endpoint, row.data)
            else:
                self._close(row.endpoint)

    def _write(self, endpoint: _Endpoint, data: bytes) -> None:
        if endpoint.is_closed:
            return
        endpoint.unsent += data
        try:
            sent = endpoint.sock.send(endpoint.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(endpoint)
            return
        del endpoint.unsent[:sent]
        self._watch(endpoint)

    def _close(
        self, endpoint: _Endpoint, is_reset: bool = False, with_peer: bool = True
    ) -> None:
        if endpoint.is_closed:
            return
        endpoint.is_closed = True
        self._endpoints.discard(endpoint)
        self._context.unwatch(endpoint.sock.fileno())
        if is_reset:
            endpoint.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        endpoint.sock.close()
        if with_peer and endpoint.peer is not None:
            self._close(endpoint.peer, is_reset)
