"""A server process that misbehaves on command and writes each request it has read.

A line of standard input is a JSON object: ``trouble`` with ``on`` begins or ends a
fault, ``close`` closes the listener, while accepted connections go on. Each line of the
file is a JSON object with the machine's monotonic time ``at`` in microseconds, ``kind``
and ``call``. The process ends when its standard input ends.
"""

from __future__ import annotations

import argparse
import json
import random
import selectors
import socket
import struct
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Outcome
from guavapin_soak.call_plan import CallFaultKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.task import TaskContext

# Share of the connections or requests that a fault hits while it is on.
HIT_SHARE = 0.5

BACKLOG = 128
# With this value Linux queues two connections.
FULL_BACKLOG = 1

ACCEPT_DELAY_MS = (50, 900)
HOLD_MS = (50, 1_500)
IDLE_CLOSE_MS = (0, 30)

# Time after which a port that another process still holds is tried again.
BIND_RETRY_MS = 5

# Small, so that a long request is read in many parts.
RECEIVE_BUFFER_BYTES = 8_192

# Less than the head of a request, which is therefore not read in full.
PART_OF_REQUEST_BYTES = 64

_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class SetTrouble:
    """Message: begin or end a fault; one that began twice ends twice."""

    kind: CallFaultKind
    is_on: bool


@dataclass(frozen=True, slots=True)
class CloseListener:
    """Message: accept no more connections."""


@dataclass(frozen=True, slots=True)
class _Due:
    """Timer with what is to be done."""

    action: Callable[[], None]


class _Connection:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        self.buffer = b""
        self.served = 0
        self.is_open = True


class CallServerTask:
    """Service ``server``; `note(kind, call id)` writes what it did."""

    name = "server"

    def __init__(
        self,
        server: str,
        port: int,
        rng: random.Random,
        note: Callable[[str, int], None],
    ) -> None:
        self._server = server
        self._port = port
        self._rng = rng
        self._note = note
        self._troubles: Counter[CallFaultKind] = Counter()
        self._listener: socket.socket | None = None
        self._may_listen = True
        self._connections: set[_Connection] = set()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Listen, as soon as no other process does."""
        self._context = context
        self._listen()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Begin or end a fault, or carry out what is due."""
        if isinstance(message, SetTrouble):
            self._troubles[message.kind] += 1 if message.is_on else -1
            if message.kind is CallFaultKind.QUEUE_FULL:
                self._watch_listener()
        elif isinstance(message, CloseListener):
            self._may_listen = False
            self._close_listener()
        elif isinstance(message, _Due):
            message.action()
        else:
            raise InvariantError(f"server: unexpected message {message!r}")

    def stop(self) -> None:
        """Close all sockets."""
        self._may_listen = False
        self._close_listener()
        for conn in [*self._connections]:
            self._close(conn)

    def _is_hit(self, kind: CallFaultKind) -> bool:
        return self._troubles[kind] > 0 and self._rng.random() < HIT_SHARE

    def _later(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._context.set_timer(delay_ms, _Due(action))

    def _listen(self) -> None:
        if not self._may_listen:
            return
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            sock.bind(("127.0.0.1", self._port))
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            self._later(BIND_RETRY_MS, self._listen)
            return
        self._note("listening", 0)
        self._listener = sock
        self._watch_listener()

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._note("closing", 0)
            self._context.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None
            self._note("closed", 0)

    def _watch_listener(self) -> None:
        """Watch the listener, unless its queue is to fill."""
        if self._listener is None:
            return
        is_full = self._troubles[CallFaultKind.QUEUE_FULL] > 0
        self._listener.listen(FULL_BACKLOG if is_full else BACKLOG)
        fd = self._listener.fileno()
        if is_full:
            self._context.unwatch(fd)
        else:
            self._context.watch(fd, selectors.EVENT_READ, lambda _: self._on_waiting())

    def _on_waiting(self) -> None:
        if self._listener is not None and self._is_hit(CallFaultKind.ACCEPT_LATE):
            self._context.unwatch(self._listener.fileno())
            self._later(self._rng.randint(*ACCEPT_DELAY_MS), self._accept)
        else:
            self._accept()

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                break
            except OSError:
                continue
            sock.setblocking(False)
            conn = _Connection(sock)
            self._connections.add(conn)
            if self._is_hit(CallFaultKind.RESET_ACCEPTED):
                self._reset(conn)
            else:
                self._watch(conn)
        self._watch_listener()

    def _watch(self, conn: _Connection) -> None:
        self._context.watch(
            conn.fd, selectors.EVENT_READ, lambda _: self._on_readable(conn)
        )

    def _on_readable(self, conn: _Connection) -> None:
        if conn.served and self._is_hit(CallFaultKind.CLOSE_AS_REUSED):
            self._close(conn)
            return
        is_cut = self._is_hit(CallFaultKind.RESET_IN_REQUEST)
        try:
            data = conn.sock.recv(PART_OF_REQUEST_BYTES if is_cut else 65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if is_cut:
            self._reset(conn)
        elif data:
            conn.buffer += data
            self._serve(conn)
        else:
            self._close(conn)

    def _serve(self, conn: _Connection) -> None:
        """Write and answer a request if it has been read in full."""
        head, separator, body = conn.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = (line.partition(":") for line in head.decode().split("\r\n")[1:])
        headers = {name.lower(): value.strip() for name, _, value in lines}
        call_id = int(headers["x-call"])
        if len(body) < int(headers["content-length"]):
            if self._is_hit(CallFaultKind.REFUSE):
                self._send(conn, call_id, 503)
                self._close(conn)
            return
        conn.buffer = b""
        request = json.loads(body)
        self._note("read", request["call"])
        self._answer(conn, request["call"], request["wait-ms"])

    def _answer(self, conn: _Connection, call_id: int, wait_ms: int) -> None:
        if self._is_hit(CallFaultKind.RESET_UNANSWERED):
            self._reset(conn)
        elif self._is_hit(CallFaultKind.CLOSE_UNANSWERED):
            self._close(conn)
        elif self._is_hit(CallFaultKind.CUT_ANSWER):
            self._send(conn, call_id, 200, self._rng.random())
            self._close(conn)
        else:
            is_refused = self._is_hit(CallFaultKind.REFUSE)
            status = self._rng.choice((429, 503)) if is_refused else 200
            delay_ms = 0 if is_refused else wait_ms
            if self._is_hit(CallFaultKind.HOLD):
                delay_ms += self._rng.randint(*HOLD_MS)
            if delay_ms:
                self._later(delay_ms, lambda: self._finish(conn, call_id, status))
            else:
                self._finish(conn, call_id, status)

    def _finish(self, conn: _Connection, call_id: int, status: int) -> None:
        self._send(conn, call_id, status)
        conn.served += 1
        if self._is_hit(CallFaultKind.CLOSE_IDLE):
            delay_ms = self._rng.randint(*IDLE_CLOSE_MS)
            self._later(delay_ms, lambda: self._close(conn))

    def _send(
        self, conn: _Connection, call_id: int, status: int, share: float = 1.0
    ) -> None:
        """Send the first `share` of an answer."""
        if not conn.is_open:
            return
        body = json.dumps({"call": call_id, "server": self._server})
        head = f"HTTP/1.1 {status} {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = (head + body).encode()
        try:
            conn.sock.send(answer[: int(len(answer) * share)])
        except OSError:
            self._close(conn)

    def _reset(self, conn: _Connection) -> None:
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._close(conn)

    def _close(self, conn: _Connection) -> None:
        if conn.is_open:
            conn.is_open = False
            self._connections.discard(conn)
            self._context.unwatch(conn.fd)
            conn.sock.close()


def main(arguments: list[str] | None = None) -> int:
    """Serve until standard input ends."""
    parser = argparse.ArgumentParser(prog="call_server", description=__doc__)
    parser.add_argument("--server", required=True, help="the server's name")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", required=True, help="fixes what the faults hit")
    parser.add_argument("--file", type=Path, required=True, help="what it has done")
    options = parser.parse_args(arguments)
    with options.file.open("a", buffering=1) as file:

        def note(kind: str, call_id: int) -> None:
            row = {"at": time.monotonic_ns() // 1_000, "kind": kind, "call": call_id}
            file.write(json.dumps(row) + "\n")

        kernel = Kernel(SystemClock())
        rng = random.Random(options.seed)
        kernel.register(CallServerTask(options.server, options.port, rng, note))
        kernel.start()
        for line in sys.stdin:
            command = json.loads(line)
            if "close" in command:
                kernel.deliver("server", CloseListener())
            else:
                kind = CallFaultKind[command["trouble"]]
                kernel.deliver("server", SetTrouble(kind, command["on"]))
        failure = kernel.failure
        kernel.stop()
    if failure is not None:
        raise failure
    return 0


if __name__ == "__main__":
    sys.exit(main())
