"""An idle connection is closed only if no request has arrived on it."""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Ok
from guavapin.kernel.harness import TaskHarness
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import SetRequestLimits

if TYPE_CHECKING:
    from collections.abc import Iterator

IDLE_MS = 1_000
REQUEST = b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n"


class Rig:
    """A front whose sockets are polled by the test, and one connection to it."""

    def __init__(self) -> None:
        self.front = FrontTask(FrontConfig(port=0, idle_timeout_ms=IDLE_MS))
        self.harness = TaskHarness(self.front)
        assert self.harness.start() == Ok(None)
        (accept,) = self.harness.watched.values()
        self.caller = socket.create_connection(("127.0.0.1", self.front.port))
        accept(selectors.EVENT_READ)

    def requests(self) -> list[RequestReceived]:
        messages = [row.message for row in self.harness.sent]
        return [row for row in messages if isinstance(row, RequestReceived)]

    def close(self) -> None:
        self.caller.close()
        self.front.stop()


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.close()


def test_a_request_that_arrives_at_the_idle_timeout_is_served(rig: Rig) -> None:
    # Guards against a request that is reset unread, because its connection is closed as
    # idle in the moment of its arrival.
    rig.caller.sendall(REQUEST)
    rig.harness.advance(IDLE_MS)
    assert [row.target for row in rig.requests()] == ["/a"]


def test_a_request_that_arrives_beside_shorter_limits_is_served(rig: Rig) -> None:
    # Guards against requests that are reset unread when a new table shortens the idle
    # timeout, which closes all idle connections at once.
    rig.harness.advance(IDLE_MS - 1)
    rig.caller.sendall(REQUEST)
    rig.front.handle(SetRequestLimits(0, 0, 0, IDLE_MS // 2))
    rig.harness.advance(0)
    assert [row.target for row in rig.requests()] == ["/a"]


def test_an_idle_connection_is_closed_at_its_timeout(rig: Rig) -> None:
    # Guards against idle connections that are kept for good.
    rig.harness.advance(IDLE_MS)
    assert rig.caller.recv(1) == b""
