"""The task `operators`: listener of the operators' HTTP interface.

The listening socket is watched on the task's loop; each connection is served by
werkzeug on a small executor, since a call may wait for other tasks. TLS handshakes
run there too, so that a slow client cannot block the loop.
"""

from __future__ import annotations

import selectors
import ssl
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

from werkzeug.serving import BaseWSGIServer
from werkzeug.serving import WSGIRequestHandler

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.settings.parts import ListenerSettings

MAX_WORKERS = 8
CONNECTION_TIMEOUT_S = 30


class _QuietHandler(WSGIRequestHandler):
    """Logs no request: counters cover them, and lines would hide changes of state."""

    timeout = CONNECTION_TIMEOUT_S

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing."""


class _PooledServer(BaseWSGIServer):
    """Serves each accepted connection on an executor."""

    multithread = True

    def __init__(
        self,
        host: str,
        port: int,
        app: Callable[..., Any],
        tls: ssl.SSLContext | None,
    ) -> None:
        super().__init__(host, port, app, handler=_QuietHandler)
        self._tls = tls
        self._executor = ThreadPoolExecutor(MAX_WORKERS, thread_name_prefix="operators")
        self.socket.setblocking(False)

    def accept_ready(self) -> None:
        """Accept one pending connection; the loop calls this when there is one."""
        try:
            conn, address = self.socket.accept()
        except OSError:
            return
        conn.setblocking(True)
        conn.settimeout(CONNECTION_TIMEOUT_S)
        self._executor.submit(self._serve, conn, address)

    def close(self) -> None:
        """Close the listener; connections in progress are left to end."""
        self.server_close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _serve(self, conn: socket.socket, address: Any) -> None:
        try:
            if self._tls is not None:
                conn = self._tls.wrap_socket(conn, server_side=True)
            self.finish_request(conn, address)
        except OSError:
            # The client disconnected or failed the handshake and gets no answer.
            pass
        finally:
            self.shutdown_request(conn)


class OperatorsTask:
    """Service `operators`; `app` is a WSGI application."""

    name = "operators"

    def __init__(self, settings: ListenerSettings, app: Callable[..., Any]) -> None:
        self._settings = settings
        self._app = app
        self._server: _PooledServer | None = None

    @property
    def port(self) -> int:
        """Return the bound port, after `start`."""
        return 0 if self._server is None else int(self._server.server_port)

    def start(self, context: TaskContext) -> Outcome[None]:
        """Bind the listener; a bad certificate or a port in use is refused."""
        host, _, port = self._settings.address.rpartition(":")
        try:
            tls = build_tls(self._settings)
            server = _PooledServer(host.strip("[]"), int(port), self._app, tls)
        except (OSError, SystemExit) as exc:
            detail = f"operators' listener {self._settings.address}: {exc}"
            return Refused(Reason.START_FAILED, detail)
        self._server = server
        self._context = context
        context.watch(
            server.socket.fileno(),
            selectors.EVENT_READ,
            lambda _: server.accept_ready(),
        )
        return Ok(None)

    def handle(self, message: object) -> None:
        """Ignore the message; no service sends one to this task."""

    def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._context.unwatch(self._server.socket.fileno())
            self._server.close()


def build_tls(settings: ListenerSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, None if it has no certificate."""
    if not settings.tls_certificate_file:
        return None
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls.minimum_version = ssl.TLSVersion.TLSv1_2
    tls.load_cert_chain(settings.tls_certificate_file, settings.tls_key_file)
    if settings.tls_client_ca_file:
        tls.verify_mode = ssl.CERT_REQUIRED
        tls.load_verify_locations(settings.tls_client_ca_file)
    return tls
