"""The task that serves the platform's stand-in (`guavapin_standins.platform`)."""

from __future__ import annotations

import selectors
import socket
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import msgspec

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin_standins.http_connection import HttpConnection
from guavapin_standins.http_connection import HttpRequest
from guavapin_standins.platform_codec import READS
from guavapin_standins.platform_codec import PlatformAnswer
from guavapin_standins.platform_codec import PlatformCall
from guavapin_standins.platform_codec import encode_changes
from guavapin_standins.platform_codec import execute
from guavapin_standins.platform_codec import parse_call
from guavapin_standins.platform_controls import BreakHost
from guavapin_standins.platform_controls import Counters
from guavapin_standins.platform_controls import Faults
from guavapin_standins.platform_controls import GetLiveHosts
from guavapin_standins.platform_controls import Limits
from guavapin_standins.platform_controls import SetFaults
from guavapin_standins.platform_controls import SetHost
from guavapin_standins.platform_controls import SetUsage
from guavapin_standins.platform_store import PlatformStore
from guavapin_standins.platform_store import RateLimit

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.kernel import TimerHandle

MAX_WATCH_MS = 60_000


@dataclass(frozen=True, slots=True)
class _Send:
    conn: HttpConnection
    answer: PlatformAnswer


@dataclass(frozen=True, slots=True)
class _EndWatch:
    watch_id: int


@dataclass(frozen=True, slots=True)
class _Expire:
    pass


@dataclass(frozen=True, slots=True)
class _PendingWatch:
    conn: HttpConnection
    prefix: str
    after: int


class PlatformStandIn:
    """The stand-in as a task; `port` is the port in use after `start`."""

    name = "platform_standin"

    def __init__(
        self,
        port: int = 0,
        limits: Limits | None = None,
        hosts_lag_ms: int = 2_000,
        address: str = "127.0.0.1",
    ) -> None:
        self.port = port
        self.counters = Counters()
        self._address = address
        self._limits = limits or Limits()
        self._hosts_lag_ms = hosts_lag_ms
        self._faults = Faults()
        self._listener: socket.socket | None = None
        self._connections: set[HttpConnection] = set()
        self._watches: dict[int, _PendingWatch] = {}
        self._next_watch_id = 1
        self._expiry: TimerHandle | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._address}:{self.port}"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the listener; refused if the port is taken."""
        self._context = context
        self.store = PlatformStore(context.clock, self._hosts_lag_ms)
        self._rate_limits = {
            True: self._rate_limit(self._limits.reads_per_second),
            False: self._rate_limit(self._limits.writes_per_second),
        }
        try:
            self._listen()
        except OSError as exc:
            return Refused(Reason.START_FAILED, f"port {self.port}: {exc}")
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a timer or a test control."""
        if isinstance(message, Call) and isinstance(message.body, GetLiveHosts):
            message.fut.set_result(self.store.live_now())
        elif isinstance(message, Call):
            self.handle(message.body)
            message.fut.set_result(True)
        elif isinstance(message, SetFaults):
            self._set_faults(message.faults)
        elif isinstance(message, SetHost):
            self.store.set_host(message.host, message.state)
        elif isinstance(message, SetUsage):
            self.store.host_steps.usage[message.host] = message.running
        elif isinstance(message, BreakHost):
            self.store.host_steps.broken.add(message.host)
        elif isinstance(message, _Send):
            self._respond(message.conn, message.answer)
        elif isinstance(message, _EndWatch):
            watch = self._watches.pop(message.watch_id, None)
            if watch is not None:
                answer = PlatformAnswer(204, revision=self.store.revision)
                self._send(watch.conn, answer)
        elif isinstance(message, _Expire):
            self._answer_watches()
            self._schedule_expiry()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._close_all()

    def _rate_limit(self, rate: float) -> RateLimit:
        return RateLimit(self._context.clock, rate, max(rate / 10, 1))

    def _listen(self) -> None:
        listener = socket.create_server((self._address, self.port), backlog=512)
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        self._listener = listener
        self._context.watch(listener.fileno(), selectors.EVENT_READ, self._accept)

    def _accept(self, _events: int) -> None:
        assert self._listener is not None
        try:
            sock, address = self._listener.accept()
        except OSError:
            return
        self._connections.add(
            HttpConnection(
                self._context, sock, address[0], self._serve, self._connections.discard
            )
        )

    def _close_all(self) -> None:
        if self._listener is not None:
            self._context.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for conn in list(self._connections):
            conn.close()
        self._watches.clear()

    def _set_faults(self, faults: Faults) -> None:
        was_closed = self._faults.outage == "closed"
        self._faults = faults
        if faults.outage == "closed":
            self._close_all()
        elif was_closed:
            self._listen()
        for watch_id, watch in list(self._watches.items()):
            if self._is_cut_off(watch.conn):
                del self._watches[watch_id]
                watch.conn.close()

    def _is_cut_off(self, conn: HttpConnection) -> bool:
        return (
            conn.zone in self._faults.cut_off_zones
            or conn.source in self._faults.cut_off_sources
        )

    def _serve(self, conn: HttpConnection, req: HttpRequest) -> None:
        try:
            url = urlsplit(req.target)
        except ValueError:
            conn.answer(400, (), b"")
            return
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        call = parse_call(req.method, unquote(url.path), query, req.body)
        if url.path.startswith("/standin/"):
            conn.answer(*self._handle_control(req, unquote(url.path), query))
            return
        conn.zone = req.headers.get("guavapin-zone", "")
        self.counters.by_kind[call.kind] += 1
        self.counters.by_zone[conn.zone] += 1
        self.counters.bytes_in += len(req.body)
        is_read = call.kind in READS
        if self._drops_call(conn, is_read):
            return
        if self._faults.outage == "error":
            self._send(conn, PlatformAnswer(503))
        elif not self._rate_limits[is_read].allows():
            self._send(conn, PlatformAnswer(429))
        elif call.kind == "watch":
            self._watch(conn, query)
        else:
            self._execute(conn, call)

    def _drops_call(self, conn: HttpConnection, is_read: bool) -> bool:
        """Apply the faults; return whether one drops the call without an effect."""
        if self._is_cut_off(conn):
            if not self._faults.is_cut_off_silent:
                conn.close()
            return True
        if not is_read and self._faults.lost_requests > 0:
            lost = self._faults.lost_requests - 1
            self._faults = replace(self._faults, lost_requests=lost)
            conn.close()
            return True
        return self._faults.outage == "silent"

    def _execute(self, conn: HttpConnection, call: PlatformCall) -> None:
        answer = execute(self.store, call)
        if call.kind not in READS:
            self._answer_watches()
            self._schedule_expiry()
            if self._faults.lost_answers > 0:
                lost = self._faults.lost_answers - 1
                self._faults = replace(self._faults, lost_answers=lost)
                conn.close()
                return
        self._send(conn, answer)

    def _send(self, conn: HttpConnection, answer: PlatformAnswer) -> None:
        if self._faults.delay_ms:
            self._context.set_timer(self._faults.delay_ms, _Send(conn, answer))
        else:
            self._respond(conn, answer)

    def _respond(self, conn: HttpConnection, answer: PlatformAnswer) -> None:
        self.counters.by_status[answer.status] += 1
        self.counters.bytes_out += len(answer.body)
        headers = () if answer.revision is None else (f"X-Revision: {answer.revision}",)
        conn.answer(answer.status, headers, answer.body)

    def _watch(self, conn: HttpConnection, query: dict[str, str]) -> None:
        try:
            prefix, after = query.get("prefix", ""), int(query["after"])
            wait_ms = min(int(query["wait_ms"]), MAX_WATCH_MS)
        except (KeyError, ValueError):
            self._send(conn, PlatformAnswer(400))
            return
        changes = self.store.changes(prefix, after)
        if changes:
            self._send(conn, encode_changes(changes, self.store.revision))
            return
        watch_id = self._next_watch_id
        self._next_watch_id += 1
        self._watches[watch_id] = _PendingWatch(conn, prefix, after)
        self._context.set_timer(wait_ms, _EndWatch(watch_id))

    def _answer_watches(self) -> None:
        """Answer the watches whose prefix has changed, after expiring leases."""
        self.store.expire_leases()
        for watch_id, watch in list(self._watches.items()):
            if not watch.conn.is_open:
                del self._watches[watch_id]
                continue
            changes = self.store.changes(watch.prefix, watch.after)
            if changes:
                del self._watches[watch_id]
                self._send(watch.conn, encode_changes(changes, self.store.revision))

    def _schedule_expiry(self) -> None:
        due_ms = self.store.next_expiry_ms()
        if self._expiry is not None:
            self._context.cancel_timer(self._expiry)
            self._expiry = None
        if due_ms is not None:
            delay_ms = due_ms - self._context.clock.now_ms()
            self._expiry = self._context.set_timer(delay_ms, _Expire())

    def _handle_control(
        self, req: HttpRequest, path: str, query: dict[str, str]
    ) -> tuple[int, tuple[str, ...], bytes]:
        if path == "/standin/counters":
            return 200, (), msgspec.json.encode(vars(self.counters))
        if path == "/standin/faults" and req.method == "PUT":
            try:
                self._set_faults(msgspec.json.decode(req.body, type=Faults))
            except msgspec.MsgspecError as exc:
                return 400, (), str(exc).encode()
            return 200, (), b""
        if path.startswith("/standin/hosts/") and req.method == "PUT":
            self.store.set_host(path.rsplit("/", 1)[1], query.get("state", "live"))
            return 200, (), b""
        return 404, (), b""
