"""Stand-in of an upstream: an HTTP server that records the requests it ran.

It runs on the kernel's event loop and shares no code with `guavapin.serving`.
"""

from __future__ import annotations

import argparse
import selectors
import signal
import socket
import struct
import threading
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import httptools

from guavapin.kernel import Call
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin_standins.upstream_connection import UpstreamConnection
from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import GetRecord
from guavapin_standins.upstream_messages import GetRunning
from guavapin_standins.upstream_messages import Record
from guavapin_standins.upstream_messages import Run
from guavapin_standins.upstream_messages import SetBehaviour

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext


@dataclass(frozen=True, slots=True)
class _Finish:
    conn: UpstreamConnection
    run: Run


@dataclass(frozen=True, slots=True)
class _NextPart:
    conn: UpstreamConnection


class UpstreamStandIn:
    """Service `upstream_standin`; `port` is the port in use once started.

    A request takes the time in its header `Guavapin-Run-Ms` and is answered with
    `Guavapin-Answer-Bytes` bytes (default: its own target). The header
    `Guavapin-Fail: true` makes a single request fail. A request above the `slots` is
    counted as a violation and run nevertheless.
    """

    name = "upstream_standin"

    def __init__(
        self,
        port: int = 0,
        slots: int = 8,
        connections: int = 64,
        records_runs: bool = True,
        address: str = "127.0.0.1",
    ) -> None:
        self.port = port
        self._address = address
        self._slots = slots
        self._max_connections = connections
        self._records_runs = records_runs
        self._runs: list[Run] = []
        self._conns: dict[int, UpstreamConnection] = {}
        self._record = Record()
        self._running = 0
        self._behaviour = Behaviour()
        self._listener: socket.socket
        self._context: TaskContext

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener."""
        self._context = context
        self._bind()
        self._listen()
        return Ok(None)

    def _bind(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self._address, self.port))
        self.port = self._listener.getsockname()[1]

    def _listen(self) -> None:
        self._listener.listen(1_024)
        self._listener.setblocking(False)
        fd = self._listener.fileno()
        self._context.watch(fd, selectors.EVENT_READ, self._on_accept)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._context.unwatch(self._listener.fileno())
        self._listener.close()
        for conn in list(self._conns.values()):
            self._close(conn)

    def handle(self, message: object) -> None:
        """Handle a test control, a query or a timer."""
        match message:
            case SetBehaviour(behaviour):
                self._set_behaviour(behaviour)
            case Call(SetBehaviour(behaviour), fut):
                self._set_behaviour(behaviour)
                fut.set_result(None)
            case Call(GetRunning(), fut):
                fut.set_result(self._running)
            case Call(GetRecord(), fut):
                fut.set_result(self._read_record())
            case _Finish(conn, run):
                self._finish(conn, run)
            case _NextPart(conn):
                self._write_part(conn)

    def _set_behaviour(self, behaviour: Behaviour) -> None:
        was_down, self._behaviour = self._behaviour.is_down, behaviour
        if behaviour.is_down and not was_down:
            self.stop()
            # Keeps the port bound, so that no other socket takes it meanwhile.
            self._bind()
        elif was_down and not behaviour.is_down:
            self._listen()
        for conn in self._conns.values():
            if behaviour.is_silent and not conn.is_silent:
                conn.is_silent = True
                self._context.unwatch(conn.fd)

    def _read_record(self) -> Record:
        return replace(
            self._record,
            runs=tuple(self._runs),
            running=self._running,
            open_connections=len(self._conns),
        )

    def _on_accept(self, events: int) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = UpstreamConnection(sock, sock.fileno())
            conn.parser = httptools.HttpRequestParser(conn)
            self._conns[conn.fd] = conn
            count = len(self._conns)
            if count > self._record.highest_connections:
                self._record = replace(self._record, highest_connections=count)
            if count > self._max_connections:
                self._count_violation()
            self._watch(conn)

    def _watch(self, conn: UpstreamConnection) -> None:
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if conn.out else 0)
        self._context.watch(conn.fd, events, lambda ready: self._on_ready(conn, ready))

    def _on_ready(self, conn: UpstreamConnection, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._flush(conn)
        if not events & selectors.EVENT_READ or conn.fd not in self._conns:
            return
        try:
            data = conn.sock.recv(262_144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(conn)
            return
        assert conn.parser is not None
        try:
            conn.parser.feed_data(data)
        except httptools.HttpParserError:
            self._close(conn)
            return
        self._start_next(conn)

    def _start_next(self, conn: UpstreamConnection) -> None:
        if conn.is_running or not conn.requests:
            return
        run = conn.requests.popleft()
        conn.is_running = True
        conn.behaviour = self._behaviour
        self._running += 1
        if self._records_runs:
            self._runs.append(run)
        if self._running > self._record.highest_running:
            self._record = replace(self._record, highest_running=self._running)
        if self._running > self._slots:
            self._count_violation()
        headers = dict(run.headers)
        run_ms = int(headers.get(b"guavapin-run-ms", b"0")) + conn.behaviour.slow_ms
        if run_ms and not self._fails(conn, headers):
            conn.timer = self._context.set_timer(run_ms, _Finish(conn, run))
        else:
            self._finish(conn, run)

    def _fails(self, conn: UpstreamConnection, headers: dict[bytes, bytes]) -> bool:
        return conn.behaviour.fails or headers.get(b"guavapin-fail") == b"true"

    def _finish(self, conn: UpstreamConnection, run: Run) -> None:
        conn.timer = None
        self._running -= 1
        if conn.is_silent:
            return
        behaviour = conn.behaviour
        if self._behaviour.close_unanswered > 0:
            left = self._behaviour.close_unanswered - 1
            self._behaviour = replace(self._behaviour, close_unanswered=left)
            self._close(conn)
            return
        headers = dict(run.headers)
        size = headers.get(b"guavapin-answer-bytes")
        body = b"x" * int(size) if size else run.target.encode("latin-1")
        status = b"200 OK"
        if self._fails(conn, headers):
            status, body = b"500 Internal Server Error", b"failed\n"
        self._answer(conn, run, status, body, behaviour)

    def _answer(
        self,
        conn: UpstreamConnection,
        run: Run,
        status: bytes,
        body: bytes,
        behaviour: Behaviour,
    ) -> None:
        head = [b"HTTP/1.1 ", status, b"\r\nguavapin-request-id: "]
        head.append(run.request_identity.encode("latin-1"))
        if behaviour.is_leaving:
            head.append(b"\r\nguavapin-leaving: true\r\nconnection: close")
            conn.closes = True
        if behaviour.is_unframed:
            conn.closes = True
        elif behaviour.is_chunked:
            head.append(b"\r\ntransfer-encoding: chunked")
        else:
            head.append(b"\r\ncontent-length: %d" % len(body))
        conn.out += b"".join(head) + b"\r\n\r\n"
        if run.method == "HEAD":
            body = b""
        if 0 <= behaviour.cut_body_bytes < len(body):
            body, conn.closes = body[: behaviour.cut_body_bytes], True
        size = behaviour.part_bytes or max(len(body), 1)
        for start in range(0, len(body), size):
            part = body[start : start + size]
            conn.parts.append(
                b"%x\r\n%b\r\n" % (len(part), part) if behaviour.is_chunked else part
            )
        is_whole = behaviour.cut_body_bytes < 0
        if behaviour.is_chunked and is_whole and run.method != "HEAD":
            conn.parts.append(b"0\r\n\r\n")
        self._write_part(conn)

    def _write_part(self, conn: UpstreamConnection) -> None:
        if self._conns.get(conn.fd) is not conn or conn.is_silent:
            return
        interval_ms = conn.behaviour.part_interval_ms
        if interval_ms and conn.parts:
            conn.out += conn.parts.popleft()
            self._context.set_timer(interval_ms, _NextPart(conn))
        elif conn.parts:
            conn.out += b"".join(conn.parts)
            conn.parts.clear()
        self._flush(conn)

    def _flush(self, conn: UpstreamConnection) -> None:
        had_output = bool(conn.out)
        try:
            while conn.out:
                sent = conn.sock.send(conn.out)
                del conn.out[:sent]
                total = self._record.bytes_written + sent
                self._record = replace(self._record, bytes_written=total)
        except BlockingIOError:
            self._watch(conn)
            return
        except OSError:
            self._close(conn)
            return
        if conn.parts:
            return
        if conn.closes:
            self._close(conn)
            return
        if had_output:
            self._watch(conn)
        if conn.is_running:
            conn.is_running = False
            self._start_next(conn)

    def _close(self, conn: UpstreamConnection) -> None:
        if self._conns.get(conn.fd) is not conn:
            return
        del self._conns[conn.fd]
        self._context.unwatch(conn.fd)
        if conn.behaviour.resets:
            linger = struct.pack("ii", 1, 0)
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.sock.close()
        if conn.timer is not None:
            # Closing the connection cancels its request and frees the slot.
            self._context.cancel_timer(conn.timer)
            conn.timer = None
            self._running -= 1
            self._record = replace(self._record, abandoned=self._record.abandoned + 1)

    def _count_violation(self) -> None:
        self._record = replace(self._record, violations=self._record.violations + 1)


def main(args: list[str] | None = None) -> int:
    """Run the stand-in as a process until SIGTERM; print its port on one line."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_standins.upstream")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    options = parser.parse_args(args)
    done = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: done.set())
    kernel = Kernel(SystemClock())
    standin = UpstreamStandIn(
        options.port, options.slots, options.connections, records_runs=False
    )
    kernel.register(standin)
    outcome = kernel.start()
    if not isinstance(outcome, Ok):
        print(outcome)
        return 1
    print(standin.port, flush=True)
    done.wait()
    kernel.stop()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
