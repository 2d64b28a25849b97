"""Timeouts of the callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.serving.deadlines import DeadlineTimer

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.serving.caller_connection import CallerConnection
    from guavapin.serving.front_config import FrontConfig

LINGER_TIMEOUT_MS = 2_000


class ConnectionDeadlines:
    """Limits how long a connection may be inactive, depending on its state.

    Progress of a request only records the time, and the deadline is moved when it is
    due. A request that ends in time therefore changes no timer.
    """

    def __init__(self, context: TaskContext, message: object, cfg: FrontConfig) -> None:
        self._context = context
        self._timer = DeadlineTimer(context, message)
        self._timeouts_ms = {
            "linger": LINGER_TIMEOUT_MS,
            "head": cfg.header_timeout_ms,
            "progress": cfg.idle_timeout_ms,
        }

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
            self._timer.set(conn.conn_id, self._timeouts_ms[kind])
        elif kind == "progress":
            # A head that arrives byte by byte must not extend its deadline.
            conn.last_progress_ms = self._context.now_ms()

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

    def _due_ms(self, conn: CallerConnection, now_ms: int) -> int:
        timeout_ms = self._timeouts_ms[conn.deadline_kind]
        is_progress = conn.deadline_kind == "progress"
        if is_progress and (conn.is_waiting_for_answer or conn.is_body_paused):
            return now_ms + timeout_ms
        return conn.last_progress_ms + timeout_ms
