"""Keeps the connections of one listener within its memory and descriptors."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.serving.refusal_choice import ClientLoad
from guavapin.serving.refusal_choice import IdleClient
from guavapin.serving.refusal_choice import choose_idle
from guavapin.serving.refusal_choice import choose_refusals
from guavapin.serving.refusal_report import CAUSES
from guavapin.serving.refusal_report import IDLE
from guavapin.serving.refusal_report import MALFORMED
from guavapin.serving.refusal_report import RefusalReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext
    from guavapin.serving.caller_connection import CallerConnection
    from guavapin.serving.front_config import FrontConfig
    from guavapin.serving.refusal_report import ClientObserver

# A choice frees this part of the budget, so that one search serves many requests.
FREED_SHARE = 0.125

# Minimum time between two searches through all connections, if the first one has freed
# little. In between, only the connection that exceeds the budget is refused. A search
# that has freed its part is paid for by the input that fills the budget again.
CHOICE_INTERVAL_MS = 20

# Interval of the checks for idle connections while all connections are in use.
IDLE_CHECK_MS = 200

NO_REFUSALS: Counter[str] = Counter()


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Timer: close idle connections if all connections are still in use."""


@dataclass(frozen=True, slots=True)
class ReportClients:
    """Timer: write the refusals of the last second."""


class ClientGuard:
    """Account of what the connections of a listener hold, and their refusals.

    The owner registers each connection in `conns`, calls `count` after each step of it
    and `discard` when it is closed. It delivers the timers `CloseIdle` and
    `ReportClients` to `close_idle` and `report`. `sync` is called for each connection
    that the guard has changed.
    """

    def __init__(
        self,
        context: TaskContext,
        listener: str,
        cfg: FrontConfig,
        observer: ClientObserver,
        conns: dict[int, CallerConnection],
        sync: Callable[[CallerConnection], None],
    ) -> None:
        self.held_bytes = 0
        self._context = context
        self._listener = listener
        self._budget_bytes = cfg.held_bytes
        self._max_connections = cfg.max_connections
        self._observer = observer
        self._conns = conns
        self._sync = sync
        self._report = RefusalReport(context, ReportClients(), listener)
        self._last_choice_ms = context.now_ms() - CHOICE_INTERVAL_MS
        self._has_freed = False
        self._is_idle_check_set = False

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be accepted."""
        return len(self._conns) >= self._max_connections

    @property
    def stop_room(self) -> int:
        """Return how many queued connections to accept when the listener closes.

        Closing it resets the others. Some more than usual are accepted, so that a full
        listener does not reset those that are next in its queue.
        """
        room = max(self._max_connections - len(self._conns), 0)
        return room + max(self._max_connections // 16, 1)

    def count(self, conn: CallerConnection) -> None:
        """Update what `conn` holds, and refuse requests if the budget is exceeded."""
        self._update(conn)
        if self.held_bytes > self._budget_bytes:
            self._relieve(conn)

    def discard(self, conn: CallerConnection) -> None:
        """Remove a closed connection from the account."""
        self.held_bytes -= conn.counted_bytes
        conn.counted_bytes = 0

    def admits(self, conn: CallerConnection, held_bytes: int) -> bool:
        """Whether a request of `conn` may begin that takes this memory."""
        if self.held_bytes + held_bytes > self._budget_bytes:
            self._relieve(conn)
        return self.held_bytes + held_bytes <= self._budget_bytes

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused with `status`."""
        self._report.add(CAUSES.get(status, MALFORMED))

    def on_full(self) -> None:
        """Close idle connections soon if all connections stay in use."""
        if not self._is_idle_check_set:
            self._is_idle_check_set = True
            self._context.set_timer(IDLE_CHECK_MS, CloseIdle())

    def close_idle(self) -> None:
        """Close idle connections, so that waiting clients can be accepted."""
        self._is_idle_check_set = False
        if not self.is_full:
            return
        now_ms = self._context.now_ms()
        idle = [
            IdleClient(conn.conn_id, now_ms - conn.last_progress_ms, conn.has_served)
            for conn in self._conns.values()
            if not (conn.is_busy or conn.is_lingering or conn.is_handshaking)
        ]
        count = max(int(len(self._conns) * FREED_SHARE), 1)
        for conn_id in choose_idle(idle, count):
            conn = self._conns[conn_id]
            # A request that has arrived meanwhile is served.
            conn.read()
            if not (conn.is_busy or conn.is_closed):
                self._report.add(IDLE)
                conn.close()
            self._sync(conn)
        self.on_full()

    def report(self) -> Counter[str]:
        """Write one log line for each cause; return the refusals of the last second."""
        refused = self._report.write(len(self._conns), self.held_bytes)
        self.observe(refused)
        return refused

    def observe(self, refused: Counter[str] = NO_REFUSALS) -> None:
        """Pass the state to the metrics."""
        connections = len(self._conns)
        self._observer.observe_clients(
            self._listener, connections, self.held_bytes, refused
        )

    def _relieve(self, current: CallerConnection) -> None:
        """Refuse incomplete requests until the budget suffices again.

        `current` is being processed, and its caller synchronizes it.
        """
        now_ms = self._context.now_ms()
        is_recent = now_ms - self._last_choice_ms < CHOICE_INTERVAL_MS
        if is_recent and not self._has_freed:
            if current.is_refusable:
                current.refuse(503, "memory is short")
            return
        self._last_choice_ms = now_ms
        # Synchronizing a refused connection may call this again.
        self._has_freed = False
        loads = [
            ClientLoad(
                conn.conn_id,
                conn.counted_bytes,
                conn.received_bytes,
                now_ms - conn.request_started_ms,
                conn.is_refusable,
            )
            for conn in self._conns.values()
        ]
        excess = self.held_bytes - int(self._budget_bytes * (1 - FREED_SHARE))
        for conn_id in choose_refusals(loads, excess):
            conn = self._conns[conn_id]
            conn.refuse(503, "memory is short")
            if conn is not current:
                self._sync(conn)
        self._update(current)
        # Refused connections hold some memory until they are closed.
        enough_bytes = self._budget_bytes * (1 - FREED_SHARE / 2)
        self._has_freed = self.held_bytes <= enough_bytes

    def _update(self, conn: CallerConnection) -> None:
        held_bytes = conn.held_bytes
        self.held_bytes += held_bytes - conn.counted_bytes
        conn.counted_bytes = held_bytes
