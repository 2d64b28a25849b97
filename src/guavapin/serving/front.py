"""The task `front`: serves callers over HTTP/1.1 on a non-blocking listener."""

from __future__ import annotations

import itertools
import selectors
import socket
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.serving.caller_connection import CallerConnection
from guavapin.serving.caller_listener import CallerListener
from guavapin.serving.client_guard import ClientGuard
from guavapin.serving.client_guard import CloseIdle
from guavapin.serving.client_guard import ReportClients
from guavapin.serving.connection_deadlines import ConnectionDeadlines
from guavapin.serving.front_config import tls_context
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import GetCounts
from guavapin.serving.messages import SetReady
from guavapin.serving.messages import SetRequestLimits
from guavapin.serving.messages import StopAccepting
from guavapin.serving.refusal_report import NO_OBSERVER
from guavapin.serving.request_parser import ParserLimits

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable
    from concurrent.futures import Future
    from typing import Any

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.serving.front_config import FrontConfig
    from guavapin.serving.refusal_report import ClientObserver


NOT_RECEIVED = (408, "request not received in time")


@dataclass(frozen=True, slots=True)
class _DeadlinePassed:
    """Timer: a deadline of a connection may have passed."""


@dataclass(frozen=True, slots=True)
class _ResumeAccepting:
    """Timer: resume accepting after a failed accept."""


@dataclass(frozen=True, slots=True)
class _FlushAnswer:
    """Write the buffered output; the task queues this behind its pending messages."""

    request_id: int


class FrontTask:
    """Service `front`; `port` is the port in use once started.

    A process may run several listeners, each with its own `name`. Requests are sent to
    the service `handler`.
    """

    def __init__(
        self,
        cfg: FrontConfig,
        name: str = "front",
        handler: str = "exchanges",
        observer: ClientObserver = NO_OBSERVER,
    ) -> None:
        self.name = name
        self._handler = handler
        self.port = cfg.port
        self.parser_limits = ParserLimits(
            cfg.max_head_bytes, cfg.max_body_bytes, cfg.kept_headers
        )
        self.holds_bodies = cfg.holds_bodies
        self.receive_buffer_bytes = cfg.receive_buffer_bytes
        self._observer = observer
        self.is_stopping = self.asks_to_close = False
        self.counts: Counter[str] = Counter()
        self._cfg = cfg
        self._is_ready = False
        self._tls: ssl.SSLContext | None = None
        self._conns: dict[int, CallerConnection] = {}
        self._by_request_id: dict[int, CallerConnection] = {}
        self._conn_ids = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._stop_futs: list[Future[Any]] = []
        self._unflushed_ids: set[int] = set()
        # A lookup by type costs less than a chain of class patterns, which would be
        # tested for each of the four messages of an answer.
        self._handlers: dict[type, Callable[[Any], None]] = {
            AnswerHead: self._on_answer_head,
            AnswerBody: self._on_answer_body,
            AnswerEnd: self._on_answer_end,
            AnswerBroken: self._on_answer_broken,
            FlowControl: self._on_flow_control,
            SetReady: self._on_set_ready,
            StopAccepting: lambda message: self._stop_accepting(),
            AnswerPending: lambda message: self._refuse_incomplete(),
            Call: self._on_call,
            _FlushAnswer: self._on_flush,
            _DeadlinePassed: self._on_deadlines,
            _ResumeAccepting: lambda message: self._resume_accepting(),
            CloseIdle: lambda message: self._guard.close_idle(),
            ReportClients: lambda message: self._report_clients(),
            SetRequestLimits: self._on_limits,
        }
        self._context: TaskContext
        self._deadlines: ConnectionDeadlines
        self._listener: CallerListener

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener; refused if the address or the TLS files are unusable."""
        self._context = context
        self._deadlines = ConnectionDeadlines(context, _DeadlinePassed(), self._cfg)
        cfg = self._cfg
        self._guard = ClientGuard(
            context, self.name, cfg, self._observer, self._conns, self.sync_connection
        )
        self._listener = CallerListener(
            context, _ResumeAccepting(), self._open, cfg.receive_buffer_bytes
        )
        try:
            self._tls = tls_context(cfg)
        except OSError as exc:
            detail = f"cannot use certificate {cfg.certificate_file!r}: {exc}"
            return Refused(Reason.BAD_INPUT, detail)
        try:
            self.port = self._listener.open(cfg.address, cfg.port)
        except OSError as exc:
            detail = f"cannot listen on {cfg.address}:{cfg.port}: {exc}"
            return Refused(Reason.UNREACHABLE, detail)
        return Ok(None)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for conn in list(self._conns.values()):
            conn.close()
            self.sync_connection(conn)

    def handle(self, message: object) -> None:
        """Handle a message of `exchanges`, of the process, or a timer."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _on_call(self, call: Call) -> None:
        match call:
            case Call(StopAccepting(), fut):
                self._stop_futs.append(fut)
                self._stop_accepting()
            case Call(GetCounts(), fut):
                fut.set_result(self._read_counts())

    def _on_set_ready(self, message: SetReady) -> None:
        # A stopping process never becomes ready again.
        self._is_ready = message.is_ready and not self.asks_to_close
        self.asks_to_close = self.asks_to_close or message.is_stopping

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self._context.now_ms()

    def open_request(self, conn: CallerConnection) -> int:
        """Register a request of `conn` and return its id."""
        request_id = next(self._request_ids)
        self._by_request_id[request_id] = conn
        self.counts["requests"] += 1
        return request_id

    def close_request(self, conn: CallerConnection, is_caller_gone: bool) -> None:
        """Remove the request of `conn`; reports a caller that has disconnected."""
        self._by_request_id.pop(conn.request_id, None)
        self._unflushed_ids.discard(conn.request_id)
        if is_caller_gone:
            self.counts["callers_gone"] += 1
            self.forward(CallerGone(conn.request_id))

    def forward(self, message: object) -> None:
        """Send a message to the service that handles requests."""
        self._context.send(self._handler, message)

    def answer_local(self, target: str) -> tuple[int, str] | None:
        """Return status and text for a health check, None for any other target."""
        path = target.partition("?")[0]
        if path == self._cfg.health_path:
            return 200, "ok"
        if path == self._cfg.ready_path:
            if self._is_ready and not self.is_stopping:
                return 200, "ready"
            return 503, "not ready"
        return None

    def pause_answer(self, request_id: int, is_paused: bool) -> None:
        """Ask `exchanges` to pause or resume the answer."""
        self.counts["answer_pauses"] += is_paused
        self.forward(FlowControl(request_id, is_paused))

    def record_output_size(self, size_bytes: int) -> None:
        """Record the size of an output buffer if it is the largest so far."""
        if size_bytes > self.counts["largest_output_bytes"]:
            self.counts["largest_output_bytes"] = size_bytes

    def sync_connection(self, conn: CallerConnection) -> None:
        """Update the watch and the deadline from the state of `conn`, or close it."""
        if conn.is_closed:
            self._close(conn)
            return
        events = 0
        if conn.wants_read:
            events = selectors.EVENT_READ
        if conn.wants_write:
            events |= selectors.EVENT_WRITE
        if events != conn.watched_events:
            self._watch(conn, events)
        self._deadlines.record_progress(conn)
        self._guard.count(conn)

    def admits(self, conn: CallerConnection, held_bytes: int) -> bool:
        """Whether a request of `conn` may begin that takes this memory."""
        return self._guard.admits(conn, held_bytes)

    def count_refusal(self, status: int) -> None:
        """Count a request that the front has refused with `status`."""
        self._guard.count_refusal(status)

    def _on_limits(self, message: SetRequestLimits) -> None:
        cfg = self._cfg
        self.parser_limits = ParserLimits(
            message.max_head_bytes or cfg.max_head_bytes,
            message.max_body_bytes or cfg.max_body_bytes,
            cfg.kept_headers,
        )
        for conn in self._conns.values():
            conn.parser.set_limits(self.parser_limits)
        self._deadlines.set_timeouts(
            message.header_timeout_ms or cfg.header_timeout_ms,
            message.idle_timeout_ms or cfg.idle_timeout_ms,
            self._conns.values(),
        )

    def _resume_accepting(self) -> None:
        if not self._guard.is_full:
            self._listener.resume()

    def _report_clients(self) -> None:
        for cause, count in self._guard.report().items():
            self.counts[f"refused: {cause}"] += count

    def _find_answering(self, request_id: int) -> CallerConnection | None:
        conn = self._by_request_id.get(request_id)
        self.counts["late_messages"] += conn is None
        return conn

    def _on_answer_head(self, message: AnswerHead) -> None:
        conn = self._find_answering(message.request_id)
        if conn is not None:
            conn.answer_head(message)
            self._flush_later(message.request_id)

    def _on_answer_body(self, message: AnswerBody) -> None:
        conn = self._find_answering(message.request_id)
        if conn is None:
            return
        conn.answer_body(message.data)
        if conn.is_closed:
            self.sync_connection(conn)
        else:
            self._flush_later(message.request_id)

    def _on_answer_end(self, message: AnswerEnd) -> None:
        conn = self._find_answering(message.request_id)
        if conn is not None:
            conn.answer_end()
            conn.process_events()
            self.sync_connection(conn)

    def _on_answer_broken(self, message: AnswerBroken) -> None:
        conn = self._find_answering(message.request_id)
        if conn is not None:
            self.counts["broken_answers"] += 1
            conn.break_answer(is_ended=True)
            self.sync_connection(conn)

    def _flush_later(self, request_id: int) -> None:
        # Head, body and end of a short answer are usually queued together. Writing them
        # at once takes a third of the system calls.
        if request_id not in self._unflushed_ids:
            self._unflushed_ids.add(request_id)
            self._context.send(self.name, _FlushAnswer(request_id))

    def _on_flush(self, message: _FlushAnswer) -> None:
        request_id = message.request_id
        self._unflushed_ids.discard(request_id)
        conn = self._by_request_id.get(request_id)
        if conn is not None:
            conn.flush()
            self.sync_connection(conn)

    def _on_flow_control(self, message: FlowControl) -> None:
        conn = self._by_request_id.get(message.id)
        if conn is not None:
            conn.is_body_paused = message.is_paused
            if not message.is_paused:
                conn.read()
            self.sync_connection(conn)

    def _on_ready(self, conn: CallerConnection, events: int) -> None:
        if conn.is_handshaking:
            self.counts["failed_handshakes"] += not conn.handshake()
            self.sync_connection(conn)
            return
        if events & selectors.EVENT_WRITE:
            conn.flush()
            conn.process_events()
        if events & selectors.EVENT_READ and conn.wants_read:
            conn.read()
        self.sync_connection(conn)

    def _open(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                # Raises if the client has reset the connection before the accept.
                sock.getpeername()
                sock = self._tls.wrap_socket(
                    sock, server_side=True, do_handshake_on_connect=False
                )
        except OSError:
            self.counts["failed_handshakes"] += self._tls is not None
            sock.close()
            return
        conn = CallerConnection(next(self._conn_ids), sock, self)
        self._conns[conn.conn_id] = conn
        self.counts["connections"] += 1
        self.sync_connection(conn)
        self._guard.observe()
        if self._guard.is_full:
            self._listener.pause()
            self._guard.on_full()

    def _close(self, conn: CallerConnection) -> None:
        if self._conns.pop(conn.conn_id, None) is None:
            return
        self._guard.discard(conn)
        self._deadlines.discard(conn)
        self._context.unwatch(conn.fd)
        conn.sock.close()
        self._guard.observe()
        self._resume_accepting()
        self._resolve_stop()

    def _watch(self, conn: CallerConnection, events: int) -> None:
        conn.watched_events = events
        if events:
            self._context.watch(
                conn.fd, events, lambda ready: self._on_ready(conn, ready)
            )
        else:
            self._context.unwatch(conn.fd)

    def _on_deadlines(self, message: _DeadlinePassed) -> None:
        for conn in self._deadlines.pop_expired(self._conns):
            if not (conn.is_busy or conn.is_lingering or conn.is_handshaking):
                # A request that has arrived meanwhile is served.
                before_ms = conn.request_started_ms
                conn.read()
                if conn.is_busy or conn.request_started_ms != before_ms:
                    self._deadlines.restart(conn)
                    self.sync_connection(conn)
                    continue
            self.counts["timeouts"] += 1
            if conn.is_busy and not (conn.output or conn.is_lingering):
                conn.refuse(*NOT_RECEIVED)
            else:
                conn.close()
            self.sync_connection(conn)

    def _stop_accepting(self) -> None:
        self._listener.close(self._guard.stop_room)
        self.is_stopping = True
        self.asks_to_close = True
        for conn in list(self._conns.values()):
            if not conn.is_busy and not conn.is_handshaking:
                conn.read()
            if not (conn.is_busy or conn.is_lingering or conn.is_unused):
                conn.close()
            self.sync_connection(conn)
        self._deadlines.begin_stop(self._conns.values())
        self._resolve_stop()

    def _refuse_incomplete(self) -> None:
        """Answer the requests that the service behind the front has not received."""
        for conn in list(self._conns.values()):
            if conn.is_refusable:
                conn.refuse(*NOT_RECEIVED)
                self.sync_connection(conn)
        self._resolve_stop()

    def _resolve_stop(self) -> None:
        if any(not conn.is_lingering for conn in self._conns.values()):
            return
        futs, self._stop_futs = self._stop_futs, []
        for fut in futs:
            fut.set_result(Ok(None))

    def _read_counts(self) -> dict[str, int]:
        return {
            **self.counts,
            "open_connections": len(self._conns),
            "held_bytes": self._guard.held_bytes,
            "requests_in_progress": len(self._by_request_id),
        }
