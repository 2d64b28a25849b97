from __future__ import annotations

import contextlib
import pathlib
import socket
import ssl
import struct
import threading

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import StopAccepting
from tests.serving.support import WAIT_S
from tests.serving.support import Caller
from tests.serving.support import PassThrough
from tests.serving.support import ServingPath
from tests.serving.support import wait_until

FILES = pathlib.Path(__file__).parent / "tls"
CERTIFICATE = str(FILES / "certificate.pem")


@pytest.fixture
def tls_path():
    cfg = FrontConfig(
        certificate_file=CERTIFICATE,
        key_file=str(FILES / "key.pem"),
        header_timeout_ms=300,
    )
    path = ServingPath(cfg)
    yield path
    path.close()


def connect(front):
    context = ssl.create_default_context(cafile=CERTIFICATE)
    sock = socket.create_connection(("127.0.0.1", front.port), WAIT_S)
    return Caller(0, context.wrap_socket(sock, server_hostname="localhost"))


def test_requests_and_large_bodies_pass_over_tls(tls_path):
    caller = connect(tls_path.front)
    assert caller.get("/a").body == b"/a"
    body = b"b" * 1_000_000
    answer = caller.ask("PUT", "/", body, Guavapin_Answer_Bytes="3000000")
    assert answer.body == b"x" * 3_000_000
    assert tls_path.record().runs[1].body_bytes == len(body)


def test_silent_and_failing_handshakes_do_not_delay_others(tls_path):
    silent = tls_path.connect()
    plain = tls_path.connect()
    plain.send(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
    assert connect(tls_path.front).get("/a").status == 200
    # The server sends a TLS alert or a reset, but never an answer.
    with contextlib.suppress(ConnectionError):
        while data := plain.sock.recv(100):
            assert not data.startswith(b"HTTP/")
    assert silent.is_closed()
    assert tls_path.counts()["failed_handshakes"] == 1


def test_slow_reader_over_tls_gets_the_whole_answer(tls_path):
    caller = connect(tls_path.front)
    caller.send(b"GET / HTTP/1.1\r\nHost: t\r\nGuavapin-Answer-Bytes: 30000000\r\n\r\n")
    wait_until(lambda: tls_path.counts().get("answer_pauses", 0) >= 1)
    assert len(caller.read_answer().body) == 30_000_000


def test_body_larger_than_one_read_is_not_left_in_the_tls_layer(tls_path):
    # Decrypted bytes in the buffer of the TLS layer do not make the socket readable.
    tls_path.mute_exchanges()
    caller = connect(tls_path.front)
    body = b"c" * 200_000
    caller.send(b"PUT / HTTP/1.1\r\nHost: t\r\nContent-Length: 200000\r\n\r\n" + body)
    wait_until(
        lambda: (
            sum(
                len(m.data)
                for m in list(tls_path.exchanges.received)
                if hasattr(m, "data")
            )
            == len(body)
        )
    )


def test_disconnect_and_stop_over_tls(tls_path):
    caller = connect(tls_path.front)
    caller.send(b"GET / HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: 60000\r\n\r\n")
    wait_until(lambda: tls_path.record().running == 1)
    caller.close()
    wait_until(lambda: tls_path.record().running == 0)
    idle = connect(tls_path.front)
    assert idle.get("/").status == 200
    tls_path.kernel.ask("front", StopAccepting()).result(WAIT_S)
    with pytest.raises((ssl.SSLEOFError, EOFError, ConnectionError)):
        idle.get("/")


def test_unusable_certificate_is_refused_at_start():
    kernel = Kernel(SystemClock())
    kernel.register(PassThrough())
    kernel.register(FrontTask(FrontConfig(certificate_file=__file__)))
    outcome = kernel.start()
    assert isinstance(outcome, Refused)
    assert __file__ in outcome.detail


def test_stop_does_not_end_a_handshake_that_has_just_begun():
    path = ServingPath(
        FrontConfig(certificate_file=CERTIFICATE, key_file=str(FILES / "key.pem"))
    )
    sock = socket.create_connection(("127.0.0.1", path.front.port), WAIT_S)
    wait_until(lambda: path.counts().get("open_connections") == 1)
    fut = path.kernel.ask("front", StopAccepting())
    path.counts()
    context = ssl.create_default_context(cafile=CERTIFICATE)
    caller = Caller(0, context.wrap_socket(sock, server_hostname="localhost"))
    assert caller.get("/late").status == 200
    assert fut.result(WAIT_S) == Ok(None)
    path.close()


class Pause:
    """Service that blocks its loop until `released` is set."""

    name = "pause"

    def __init__(self) -> None:
        self.begun, self.released = threading.Event(), threading.Event()

    def start(self, context):
        return Ok(None)

    def stop(self) -> None:
        pass

    def handle(self, message) -> None:
        self.begun.set()
        self.released.wait(WAIT_S)


@pytest.mark.parametrize("data", [b"", b"x"])
def test_connection_that_is_reset_before_its_accept_ends_no_other(data):
    # Guards against a client that ends the listener's loop with one reset connection.
    pause, kernel = Pause(), Kernel(SystemClock())
    front = FrontTask(
        FrontConfig(certificate_file=CERTIFICATE, key_file=str(FILES / "key.pem"))
    )
    for task in (pause, PassThrough(), front):
        kernel.register(task)
    kernel.start()
    kernel.deliver("pause", None)
    assert pause.begun.wait(WAIT_S)
    with socket.create_connection(("127.0.0.1", front.port), WAIT_S) as sock:
        sock.sendall(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    pause.released.set()
    try:
        assert connect(front).get("/healthz").status == 200
    finally:
        kernel.stop()
