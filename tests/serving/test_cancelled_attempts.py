"""The slot of a cancelled attempt stays in use until the upstream has seen the close.

The upstream of these tests is a plain socket, which the test reads and closes step by
step. So the order of events doesn't depend on the load of the machine.
"""

from __future__ import annotations

import errno
import socket
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import GetCounts
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from guavapin.serving.upstreams import UpstreamsTask
from guavapin.serving.upstreams_config import UpstreamsConfig
from tests.serving.exchange_support import make_objects
from tests.serving.support import WAIT_S
from tests.serving.support import Caller
from tests.serving.support import ServingPath
from tests.serving.support import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST = b"GET /s/x HTTP/1.1\r\nHost: t\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SteppedUpstream:
    """A listener whose connections the test accepts, reads and closes."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT_S)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accept_request(self) -> socket.socket:
        """Accept a connection and read the head of its request."""
        conn, _ = self.listener.accept()
        conn.settimeout(WAIT_S)
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            data += conn.recv(65_536)
        return conn


@pytest.fixture
def upstream() -> Iterator[SteppedUpstream]:
    upstream = SteppedUpstream()
    yield upstream
    upstream.listener.close()


@pytest.fixture
def short_path(upstream: SteppedUpstream) -> Iterator[ServingPath]:
    """Return a path that waits only briefly for the close of an upstream."""
    path = ServingPath(upstreams_cfg=UpstreamsConfig(close_timeout_ms=100))
    path.exchanges.address = upstream.address
    yield path
    path.close()


def cancel_request(path: ServingPath, upstream: SteppedUpstream) -> socket.socket:
    """Let the upstream receive a request whose caller then disconnects."""
    caller = path.connect()
    caller.send(REQUEST)
    conn = upstream.accept_request()
    caller.close()
    return conn


def test_attempt_is_closed_once_the_upstream_has_closed_its_connection(
    path: ServingPath, upstream: SteppedUpstream
) -> None:
    path.exchanges.address = upstream.address
    conn = cancel_request(path, upstream)
    assert conn.recv(1) == b""
    assert path.counts("upstreams")["connections_closing"] == 1
    assert not [m for m in path.exchanges.received if isinstance(m, AttemptClosed)]
    conn.sendall(ANSWER)
    conn.close()
    path.received(AttemptClosed)
    assert path.counts("upstreams")["connections_closing"] == 0


def test_upstream_that_never_closes_does_not_keep_the_attempt(
    short_path: ServingPath, upstream: SteppedUpstream
) -> None:
    conn = cancel_request(short_path, upstream)
    short_path.received(AttemptClosed)
    assert short_path.counts("upstreams")["close_timeouts"] == 1
    conn.close()


def test_upstream_that_goes_on_answering_is_stopped_by_a_reset(
    path: ServingPath, upstream: SteppedUpstream
) -> None:
    # An upstream that ignores the half-close would otherwise send the whole answer.
    path.exchanges.address = upstream.address
    conn = cancel_request(path, upstream)
    assert conn.recv(1) == b""
    with pytest.raises(ConnectionError):
        while True:
            conn.sendall(bytes(65_536))
    path.received(AttemptClosed)
    conn.close()


def test_lack_of_descriptors_does_not_end_the_process(
    path: ServingPath, upstream: SteppedUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(fd: int) -> int:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr("guavapin.serving.closing_connections.os.dup", refuse)
    path.exchanges.address = upstream.address
    conn = cancel_request(path, upstream)
    path.received(AttemptClosed)
    assert conn.recv(1) == b""
    conn.close()


def test_cancelled_attempt_that_was_not_sent_or_has_ended_is_closed_at_once(
    path: ServingPath,
) -> None:
    # Without the reply, its slot would stay in use for ever.
    path.kernel.deliver("upstreams", CancelAttempt(7))
    assert path.received(AttemptClosed) == [AttemptClosed(7)]
    running = [path.connect() for _ in range(8)]
    for caller in running:
        caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: 60000\r\n\r\n")
    wait_until(lambda: path.record().running == 8)
    ninth = path.connect()
    ninth.send(REQUEST)
    wait_until(lambda: path.counts("upstreams")["attempts_in_progress"] == 9)
    ninth.close()
    path.received(AttemptClosed, 2)
    assert path.record().running == 8


def test_next_request_is_not_sent_before_the_upstream_closes_a_cancelled_one(
    upstream: SteppedUpstream,
) -> None:
    """Guards against more requests at an upstream than it has slots.

    A busy upstream reads a close late. A request sent meanwhile ran beside the
    cancelled one.
    """
    kernel = Kernel(SystemClock())
    front = FrontTask(FrontConfig())
    kernel.register(
        ExchangesTask(ExchangeSettings("a", is_first_start=True)), "serving"
    )
    kernel.register(UpstreamsTask(UpstreamsConfig()), "serving")
    kernel.register(front, "serving", requires=("exchanges", "upstreams"))
    assert kernel.start() == Ok(None)

    def count(service: str, name: str) -> int:
        counts: dict[str, int] = kernel.ask(service, GetCounts()).result(WAIT_S)
        return counts.get(name, 0)

    objects = make_objects(hosts=1, slots=1)
    host = replace(objects.hosts["h0"], address=upstream.address)
    objects = replace(objects, hosts={"h0": host})
    table = build_route_table(objects, 1, {"h0": "p"})
    kernel.deliver("exchanges", RouteTableChanged(table))
    first, second = Caller(front.port), Caller(front.port)
    first.send(REQUEST)
    conn = upstream.accept_request()
    second.send(REQUEST)
    wait_until(lambda: count("exchanges", "requests_in_progress") == 2)
    first.close()
    assert conn.recv(1) == b""
    wait_until(lambda: count("upstreams", "cancelled") == 1)
    # A request that followed the cancelled one would have been queued behind it.
    assert count("upstreams", "attempts") == 1
    conn.close()
    conn = upstream.accept_request()
    conn.sendall(ANSWER)
    assert second.read_answer().body == b"ok"
    conn.close()
    second.close()
    assert kernel.stop() == ()
