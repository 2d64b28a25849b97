"""Calls that must not reach their receiver after a time are never delivered late."""

from __future__ import annotations

import queue
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pycurl
import pytest

from guavapin.http.client import HttpClientTask
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.http.transfer import Transfer
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

# Timeout after which a wait fails its test.
WAIT_TIMEOUT_S = 5.0


class Caller:
    """Service ``caller``, which records the replies to its calls."""

    name = "caller"

    def __init__(self) -> None:
        self.replies: queue.Queue[PeerReply] = queue.Queue()

    def start(self, context: TaskContext) -> Outcome[None]:
        return Ok(None)

    def handle(self, message: object) -> None:
        assert isinstance(message, PeerReply)
        self.replies.put(message)

    def stop(self) -> None:
        """Nothing to close."""


@dataclass
class Site:
    kernel: Kernel
    caller: Caller
    clock: SystemClock
    listener: socket.socket
    address: str

    def call(
        self,
        request_id: int,
        not_after_ms: int = 0,
        uses_new_connection: bool = False,
        receiver: str = "",
    ) -> None:
        call = PeerCall(
            "caller",
            request_id,
            self.address,
            "POST",
            "/",
            b"{}",
            timeout_ms=4_000,
            not_after_ms=not_after_ms,
            uses_new_connection=uses_new_connection,
            receiver=receiver,
        )
        self.kernel.deliver("http", call)

    def accept(self) -> socket.socket:
        """Accept a connection and read the request."""
        conn, _ = self.listener.accept()
        conn.settimeout(WAIT_TIMEOUT_S)
        assert conn.recv(65_536).startswith(b"POST / ")
        return conn

    def reply(self) -> PeerReply:
        return self.caller.replies.get(timeout=WAIT_TIMEOUT_S)


@pytest.fixture
def site() -> Iterator[Site]:
    clock, caller = SystemClock(), Caller()
    kernel = Kernel(clock)
    kernel.register(caller)
    kernel.register(HttpClientTask())
    kernel.start()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(WAIT_TIMEOUT_S)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        yield Site(kernel, caller, clock, listener, address)
    assert kernel.stop() == ()
    assert kernel.wait_for_failure(0) is None


def test_the_connection_of_an_overdue_call_is_reset(site: Site) -> None:
    # Guards against an order that the kernel delivers at the end of a partition, after
    # its sender has ended its term: in qlsc-tubeworks-grown trouble-3, such an order
    # for a machine arrived with a lower token than an earlier one.
    site.call(1, site.clock.now_ms() + 300)
    with site.accept() as conn:
        reply = site.reply()
        assert reply.outcome == Unanswered(True, "the call is overdue")
        with pytest.raises(ConnectionResetError):
            conn.recv(1)


def test_the_connection_of_a_call_that_timed_out_is_reset(site: Site) -> None:
    # Guards against a start that the kernel delivers at the end of a partition, after
    # its lease has ended and its subtask has started elsewhere.
    call = PeerCall(
        "caller",
        1,
        site.address,
        "POST",
        "/",
        b"{}",
        timeout_ms=300,
        resets_connection=True,
    )
    site.kernel.deliver("http", call)
    with site.accept() as conn:
        outcome = site.reply().outcome
        assert isinstance(outcome, Unanswered)
        assert outcome.was_sent
        with pytest.raises(ConnectionResetError):
            conn.recv(1)


def test_the_connection_of_an_aborted_call_is_reset(site: Site) -> None:
    # Guards against an order in flight that outlives the term of its sender.
    site.call(1, site.clock.now_ms() + 4_000)
    with site.accept() as conn:
        site.kernel.deliver("http", AbortCalls("caller"))
        with pytest.raises(ConnectionResetError):
            conn.recv(1)
    assert site.caller.replies.empty()


def test_an_overdue_call_is_not_transmitted(site: Site) -> None:
    # Guards against an order that is sent although its time has passed.
    site.call(1, site.clock.now_ms() - 1)
    assert site.reply().outcome in (
        Unanswered(False, "the call is overdue"),
        Unanswered(False, "operation aborted by pre-request callback"),
    )
    conn, _ = site.listener.accept()
    with conn:
        conn.settimeout(WAIT_TIMEOUT_S)
        try:
            received = conn.recv(65_536)
        except ConnectionResetError:
            received = b""
        assert received == b""


def test_a_call_that_became_overdue_while_connecting_is_not_transmitted() -> None:
    # Guards against an order that is sent after a suspension of the host: libcurl's
    # clock stands still meanwhile, so its timeout has not passed.
    transfer = Transfer("owner", is_sent_once=True, may_transmit=lambda: False)
    assert transfer.on_transmission() == pycurl.PREREQFUNC_ABORT
    assert transfer.transmissions == 0


@pytest.mark.parametrize(
    ("address", "headers"),
    [
        ("\ufeff127.0.0.1:80", ()),
        ("127.0.0.1\x00:80", ()),
        ("127.0.0.1", ()),
        ("127.0.0.1:80", (("X-Expect-Instance", "i-\u00e9"),)),
        ("127.0.0.1:80", (("X-Expect-Instance", "i-1\r\nX: 1"),)),
    ],
)
def test_a_malformed_call_is_refused(
    site: Site, address: str, headers: tuple[tuple[str, str], ...]
) -> None:
    # Guards against an address or a header from outside that ends the process: libcurl
    # raises for characters outside ASCII.
    call = PeerCall("caller", 1, address, "GET", "/", b"", 500, headers)
    site.kernel.deliver("http", call)
    outcome = site.reply().outcome
    assert isinstance(outcome, Unanswered) and not outcome.was_sent
    assert outcome.detail.endswith("is malformed")
    assert site.kernel.wait_for_failure(0) is None


@pytest.mark.parametrize("path", ["/r\u00e9seau", "/a\x00b"])
def test_a_call_that_libcurl_does_not_take_is_refused(site: Site, path: str) -> None:
    # Guards against any other part of a call from outside that ends the process, as the
    # address of a registration did.
    address = f"127.0.0.1:{site.listener.getsockname()[1]}"
    site.kernel.deliver("http", PeerCall("caller", 1, address, "GET", path, b"", 500))
    outcome = site.reply().outcome
    assert isinstance(outcome, Unanswered) and not outcome.was_sent
    assert "libcurl does not take the call" in outcome.detail
    assert site.kernel.wait_for_failure(0) is None


@pytest.mark.parametrize("host", ["[::1%reseau]", "[:::::]"])
def test_an_address_that_names_no_host_gets_no_answer(site: Site, host: str) -> None:
    # Guards against an address that has the form of one and ends the process.
    call = PeerCall("caller", 1, f"{host}:9", "GET", "/", b"", 500)
    site.kernel.deliver("http", call)
    assert isinstance(site.reply().outcome, Unanswered)
    assert site.kernel.wait_for_failure(0) is None


def answer(conn: socket.socket, status: int) -> None:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
    conn.sendall(head.encode())


def test_a_call_over_a_new_connection_reaches_who_listens_now(site: Site) -> None:
    # Guards against an answer of a process that has stopped listening and still serves
    # the connections that it accepted, where its successor is asked.
    site.call(1)
    with site.accept() as former:
        answer(former, 200)
        assert site.reply().outcome == Answered(200, b"")
        site.call(2, uses_new_connection=True)
        with site.accept() as present:
            answer(present, 421)
            assert site.reply().outcome == Answered(421, b"")
        site.call(3)
        assert former.recv(65_536).startswith(b"POST / ")
        answer(former, 200)
        assert site.reply().outcome == Answered(200, b"")


def test_calls_for_two_receivers_at_one_address_share_no_connection(
    site: Site,
) -> None:
    # Guards against a call for an executor that goes to its predecessor at the address,
    # which serves the connections that it accepted until it has stopped.
    site.call(1, receiver="i-1")
    with site.accept() as former:
        answer(former, 200)
        assert site.reply().outcome == Answered(200, b"")
        site.call(2, receiver="i-2")
        with site.accept() as present:
            answer(present, 200)
            assert site.reply().outcome == Answered(200, b"")
            for request_id, receiver, conn in (
                (3, "i-1", former),
                (4, "i-2", present),
            ):
                site.call(request_id, receiver=receiver)
                head = conn.recv(65_536)
                assert f"Host: {site.address}\r\n".encode() in head
                answer(conn, 200)
                assert site.reply().outcome == Answered(200, b"")


def test_a_refused_connection_is_told_from_other_failures(site: Site) -> None:
    # Guards against a silent address that counts as one where nobody listens.
    site.call(1)
    with site.accept():
        pass
    outcome = site.reply().outcome
    assert isinstance(outcome, Unanswered)
    assert outcome.was_sent
    assert not outcome.is_refused
    site.listener.close()
    address = site.address
    call = PeerCall("caller", 2, address, "POST", "/", b"{}", timeout_ms=4_000)
    site.kernel.deliver("http", call)
    outcome = site.reply().outcome
    assert isinstance(outcome, Unanswered)
    assert not outcome.was_sent
    assert outcome.is_refused


@pytest.mark.parametrize("status", [200, 409, 503])
@pytest.mark.parametrize("part", ["", "Content-Le", "Content-Length: 2", "X: 1\r\n"])
def test_an_answer_that_ends_within_its_head_is_no_answer(
    site: Site, status: int, part: str
) -> None:
    # Guards against part of an answer that is taken for a whole one without a body: of
    # a poll, it is a report that lists no run, so that the executor's runs that are at
    # work are given up at once and start again beside the first ones.
    site.call(1)
    with site.accept() as conn:
        conn.sendall(f"HTTP/1.1 {status} X\r\n{part}".encode())
    outcome = site.reply().outcome
    assert isinstance(outcome, Unanswered)
    assert outcome.was_sent
