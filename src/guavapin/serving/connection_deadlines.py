"""Timeouts of the callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.serving.deadlines import DeadlineTimer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.kernel import TaskContext
    from guavapin.serving.caller_connection import CallerConnection
    from guavapin.serving.front_config import FrontConfig

LINGER_TIMEOUT_MS = 2_000
# Time from the begin of a stop to the first request of a connection. A client whose new
# connection ends without an answer cannot tell whether its request was received. It
# counts from the stop, since bytes that belong to no request must not extend it, and
# since a client may have been held up between its connect and its request.
FIRST_REQUEST_TIMEOUT_MS = 1_000


class ConnectionDeadlines:
    """Limits how long a connection may be inactive, depending on its state.

    Progress of a request only records the time, and the deadline is moved when it is
    due. A request that ends in time therefore changes no timer.
    """

    def __init__(self, context: TaskContext, message: object, cfg: FrontConfig) -> None:
        self._context = context
        self._timer = DeadlineTimer(context, message)
        self._min_body_rate = cfg.min_body_bytes_per_s
        self._timeouts_ms = {
            "linger": LINGER_TIMEOUT_MS,
            "head": cfg.header_timeout_ms,
            "progress": cfg.idle_timeout_ms,
        }
        self._first_requests_end_ms: int | None = None

    def set_timeouts(
        self, header_ms: int, idle_ms: int, conns: Iterable[CallerConnection]
    ) -> None:
        """Apply other timeouts, to the open connections too."""
        self._timeouts_ms["head"] = header_ms
        self._timeouts_ms["progress"] = idle_ms
        self._set_timers(conns)

    def begin_stop(self, conns: Iterable[CallerConnection]) -> None:
        """Limit how long connections without a request so far stay open."""
        if self._first_requests_end_ms is None:
            now_ms = self._context.now_ms()
            self._first_requests_end_ms = now_ms + FIRST_REQUEST_TIMEOUT_MS
        self._set_timers(conns)

    def record_progress(self, conn: CallerConnection) -> None:
        """Record progress of `conn`, and start another timeout if its state changed."""
        if conn.is_lingering:
            kind = "linger"
        elif conn.is_handshaking or conn.is_reading_head:
            kind = "head"
        else:
            kind = "progress"
        if kind != conn.deadline_kind:
            conn.deadline_kind = kind
            conn.last_progress_ms = self._context.now_ms()
            self._set_timers((conn,))
        elif kind == "progress":
            # A head that arrives byte by byte must not extend its deadline.
            conn.last_progress_ms = self._context.now_ms()

    def restart(self, conn: CallerConnection) -> None:
        """Set a timeout again for a connection that was returned as expired."""
        # Without a recorded state, the next progress starts the timeout of its state.
        conn.deadline_kind = ""
        self.record_progress(conn)

    def discard(self, conn: CallerConnection) -> None:
        """Remove the deadline of a closed connection."""
        self._timer.discard(conn.conn_id)

    def pop_expired(self, conns: dict[int, CallerConnection]) -> list[CallerConnection]:
        """Return the connections that were inactive for too long."""
        now_ms = self._context.now_ms()
        expired = []
        for conn_id in self._timer.pop_due():
            conn = conns[conn_id]
            due_ms = self._due_ms(conn, now_ms)
            if due_ms > now_ms:
                self._timer.set(conn_id, due_ms - now_ms)
            else:
                expired.append(conn)
        return expired

    def _set_timers(self, conns: Iterable[CallerConnection]) -> None:
        now_ms = self._context.now_ms()
        for conn in conns:
            self._timer.set(conn.conn_id, max(self._due_ms(conn, now_ms) - now_ms, 0))

    def _due_ms(self, conn: CallerConnection, now_ms: int) -> int:
        if self._first_requests_end_ms is not None and conn.is_unused:
            return self._first_requests_end_ms
        timeout_ms = self._timeouts_ms[conn.deadline_kind]
        is_progress = conn.deadline_kind == "progress"
        if is_progress and (conn.is_waiting_for_answer or conn.is_body_paused):
            return now_ms + timeout_ms
        due_ms = conn.last_progress_ms + timeout_ms
        if is_progress and self._min_body_rate and conn.is_receiving_body:
            # Two idle times on top let a body begin slowly or pause once.
            allowed_ms = conn.received_bytes * 1_000 // self._min_body_rate
            allowed_ms += 2 * timeout_ms
            due_ms = min(due_ms, conn.request_started_ms + allowed_ms)
        return due_ms
