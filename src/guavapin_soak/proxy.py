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

# Added to each piece of data in each direction on a delayed link, in milliseconds:
# twenty times what the platform's store takes.
DELAY_MS = 80

# Makes `close` send a reset instead of an orderly end.
_RESET = struct.pack("ii", 1, 0)


class LinkMode(Enum):
    """How the proxy treats data from now on."""

    OPEN = "open"
    DELAYED = "delayed"
    ONE_WAY = "one way"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class SetLink:
    """As a `Call`: change the mode, of open connections too."""

    mode: LinkMode


@dataclass(frozen=True, slots=True)
class SilenceConnections:
    """As a `Call`: open connections carry nothing any more, without an end."""


@dataclass(frozen=True, slots=True)
class ResetConnections:
    """As a `Call`: open connections are reset."""


@dataclass(frozen=True, slots=True)
class _Deliver:
    """Timer: data that was delayed is due."""

    side: _Side
    data: bytes


class _Side:
    """One socket of a connection with the data that it has not taken yet."""

    def __init__(self, sock: socket.socket, is_caller: bool) -> None:
        self.sock = sock
        self.is_caller = is_caller
        self.peer: _Side | None = None
        self.waiting = bytearray()
        self.is_silent = False
        self.is_closed = False


class ProxyTask:
    """Service `name`: forwards connections to `port` of the loopback address."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = 0
        self._target = port
        self._mode = LinkMode.OPEN
        self._sides: set[_Side] = set()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener; `port` is set from then on."""
        self._context = context
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._context.watch(self._listener.fileno(), selectors.EVENT_READ, self._accept)
        return Ok(None)

    def stop(self) -> None:
        """Close all sockets."""
        self._context.unwatch(self._listener.fileno())
        self._listener.close()
        for side in [*self._sides]:
            self._close(side)

    def handle(self, message: object) -> None:
        """Take a command or data that is due."""
        match message:
            case _Deliver(side=side, data=data):
                self._write(side, data)
            case Call(body=SetLink(mode=mode), fut=fut):
                self._mode = mode
                fut.set_result(Ok(None))
            case Call(body=SilenceConnections(), fut=fut):
                for side in self._sides:
                    side.is_silent = True
                fut.set_result(Ok(None))
            case Call(body=ResetConnections(), fut=fut):
                for side in [*self._sides]:
                    self._close(side, is_reset=True)
                fut.set_result(Ok(None))
            case _:
                raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _accept(self, events: int) -> None:
        sock, _ = self._listener.accept()
        if self._mode is LinkMode.REFUSED:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            sock.close()
            return
        upstream = socket.create_connection(("127.0.0.1", self._target))
        caller, target = _Side(sock, True), _Side(upstream, False)
        caller.peer, target.peer = target, caller
        for side in (caller, target):
            side.sock.setblocking(False)
            side.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sides.add(side)
            self._watch(side)

    def _watch(self, side: _Side) -> None:
        events = selectors.EVENT_READ
        if side.waiting:
            events |= selectors.EVENT_WRITE
        self._context.watch(
            side.sock.fileno(), events, lambda ready: self._on_ready(side, ready)
        )

    def _on_ready(self, side: _Side, ready: int) -> None:
        if ready & selectors.EVENT_WRITE and not side.is_closed:
            self._write(side, b"")
        if ready & selectors.EVENT_READ and not side.is_closed:
            self._read(side)

    def _read(self, side: _Side) -> None:
        try:
            data = side.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        assert side.peer is not None
        if not data:
            # A silent connection has no end either, from where the other side stands.
            self._close(side, with_peer=not side.is_silent)
            return
        if self._mode is LinkMode.ONE_WAY and not side.is_caller:
            # Bytes that follow lost ones would be read as part of another answer.
            side.is_silent = True
        if side.is_silent:
            return
        if self._mode is LinkMode.DELAYED:
            self._context.set_timer(DELAY_MS, _Deliver(side.peer, data))
        else:
            self._write(side.peer, data)

    def _write(self, side: _Side, data: bytes) -> None:
        if side.is_closed:
            return
        side.waiting += data
        try:
            sent = side.sock.send(side.waiting)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(side)
            return
        del side.waiting[:sent]
        self._watch(side)

    def _close(
        self, side: _Side, is_reset: bool = False, with_peer: bool = True
    ) -> None:
        if side.is_closed:
            return
        side.is_closed = True
        self._sides.discard(side)
        self._context.unwatch(side.sock.fileno())
        if is_reset:
            side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        side.sock.close()
        if with_peer and side.peer is not None:
            self._close(side.peer, is_reset)
