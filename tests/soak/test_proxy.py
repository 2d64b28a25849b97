"""A link that is cut, held back or waiting treats data as such a network does."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin_soak.proxy import LinkMode
from guavapin_soak.proxy import ProxyTask
from guavapin_soak.proxy import SetLink
from guavapin_soak.proxy import SetTarget

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 5.0
SILENCE_S = 0.2


class Link:
    """A proxy in front of a listener."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self._kernel = Kernel(SystemClock())
        self._proxy = ProxyTask("link", self.listener.getsockname()[1])
        self._kernel.register(self._proxy)
        assert isinstance(self._kernel.start(), Ok)

    def connect(self) -> socket.socket:
        """Return a caller's connection to the proxy."""
        return socket.create_connection(("127.0.0.1", self._proxy.port), TIMEOUT_S)

    def accept(self) -> socket.socket:
        """Return the server's side of the next connection."""
        sock, _ = self.listener.accept()
        sock.settimeout(TIMEOUT_S)
        return sock

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode of the link."""
        self._kernel.ask("link", SetLink(mode)).result(TIMEOUT_S)

    def set_target(self, port: int) -> None:
        """Lead new connections to another port."""
        self._kernel.ask("link", SetTarget(port)).result(TIMEOUT_S)

    def stop(self) -> None:
        """Close the sockets of both."""
        self.listener.close()
        self._kernel.stop()


@pytest.fixture
def link() -> Iterator[Link]:
    """Yield a link and close it."""
    made = Link()
    yield made
    made.stop()


def is_silent(sock: socket.socket) -> bool:
    """Return whether nothing arrives on a socket for a while."""
    sock.settimeout(SILENCE_S)
    try:
        sock.recv(100)
    except TimeoutError:
        return True
    finally:
        sock.settimeout(TIMEOUT_S)
    return False


def test_data_held_back_arrives_late_although_the_caller_has_gone(link: Link) -> None:
    # Guards against soaks in which no order reaches an executor after newer ones.
    with link.connect() as caller, link.accept() as server:
        link.set_mode(LinkMode.HELD_BACK)
        caller.sendall(b"order")
        caller.close()
        assert is_silent(server)
        link.set_mode(LinkMode.OPEN)
        assert server.recv(100) == b"order"
        assert server.recv(100) == b""


def test_data_of_a_cut_link_is_lost_for_good(link: Link) -> None:
    # Guards against cuts that deliver orders, or that show an end of the connection.
    with link.connect() as caller, link.accept() as server:
        link.set_mode(LinkMode.CUT)
        caller.sendall(b"order")
        assert is_silent(server)
        server.sendall(b"answer")
        assert is_silent(caller)
        link.set_mode(LinkMode.OPEN)
        caller.sendall(b"more")
        assert is_silent(server)


def test_connections_wait_for_the_next_life_of_an_executor(link: Link) -> None:
    # Guards against restarts that the scheduler sees by refused connections.
    link.set_mode(LinkMode.WAITING)
    with link.connect() as caller:
        caller.sendall(b"order")
        assert is_silent(caller)
        link.set_mode(LinkMode.OPEN)
        with link.accept() as server:
            assert server.recv(100) == b"order"


def test_a_connection_to_a_process_that_is_down_is_reset(link: Link) -> None:
    # Guards against a proxy that ends with the process behind it.
    link.listener.close()
    # The reset may arrive before `connect` has returned.
    with pytest.raises(ConnectionResetError), link.connect() as caller:
        caller.recv(100)
    # The proxy serves on.
    with pytest.raises(ConnectionResetError), link.connect() as caller:
        caller.recv(100)


def test_new_connections_lead_to_the_new_target(link: Link) -> None:
    # Guards against a next life that is never reached while the former one answers.
    with socket.create_server(("127.0.0.1", 0)) as following:
        following.settimeout(TIMEOUT_S)
        with link.connect() as first, link.accept() as former:
            link.set_target(following.getsockname()[1])
            with link.connect() as second, following.accept()[0] as present:
                first.sendall(b"to the former")
                second.sendall(b"to the present")
                assert former.recv(100) == b"to the former"
                assert present.recv(100) == b"to the present"


def test_only_starts_are_delayed(link: Link) -> None:
    # Guards against polls that wait with the starts, so that none can overtake one.
    link.set_mode(LinkMode.STARTS_DELAYED)
    with (
        link.connect() as start,
        link.accept() as started,
        link.connect() as poll,
        link.accept() as polled,
    ):
        start.sendall(b"POST /guavapin/run-start HTTP/1.1")
        start.sendall(b"the rest")
        poll.sendall(b"POST /guavapin/hold HTTP/1.1")
        assert polled.recv(100).startswith(b"POST /guavapin/hold")
        started.setblocking(False)
        with pytest.raises(BlockingIOError):
            started.recv(100)
        started.settimeout(TIMEOUT_S)
        assert started.recv(100).startswith(b"POST /guavapin/run-start")
