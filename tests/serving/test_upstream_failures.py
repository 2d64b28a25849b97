from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from guavapin.serving.messages import AttemptResult
from guavapin.serving.upstreams_config import UpstreamsConfig
from tests.serving.support import WAIT_S
from tests.serving.support import ServingPath
from tests.serving.support import wait_until


@pytest.fixture
def wide_path():
    path = ServingPath(upstreams_cfg=UpstreamsConfig(host_connections=64))
    yield path
    path.close()


def warm_up(path):
    """Open a connection to the upstream and leave it idle."""
    caller = path.connect()
    assert caller.get("/warm").status == 200
    path.results(1)
    return caller


def expect_broken_answer(caller, method="GET", target="/x", body=b"", **headers):
    with pytest.raises(EOFError):
        caller.ask(method, target, body, **headers)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("resets", [False, True])
def test_answer_cut_short_is_never_presented_as_whole(path, is_chunked, resets):
    path.set_behaviour(cut_body_bytes=100, is_chunked=is_chunked, resets=resets)
    expect_broken_answer(path.connect(), Guavapin_Answer_Bytes="1000")
    assert path.results() == [AttemptResult.BROKEN]


def test_answer_without_length_does_not_count_as_complete(path):
    # Its end cannot be distinguished from a lost connection.
    path.set_behaviour(is_unframed=True)
    expect_broken_answer(path.connect())
    assert path.results() == [AttemptResult.BROKEN]


def test_error_answer_of_an_upstream_is_forwarded(path):
    path.set_behaviour(fails=True)
    assert path.connect().get("/").status == 500


def test_silent_connection_is_closed_and_not_used_again(path):
    path.exchanges.timeouts_ms["first_byte_ms"] = 200
    warm_up(path)
    path.set_behaviour(is_silent=True)
    expect_broken_answer(path.connect())
    assert path.results(2)[1] is AttemptResult.FIRST_BYTE_TIMEOUT
    path.set_behaviour()
    assert path.connect().get("/new").body == b"/new"
    assert path.record().highest_connections == 2


def test_answer_that_stops_half_way_ends_by_the_progress_timeout(path):
    path.exchanges.timeouts_ms["progress_ms"] = 200
    path.set_behaviour(part_bytes=10, part_interval_ms=60_000)
    expect_broken_answer(path.connect(), Guavapin_Answer_Bytes="100")
    assert path.results() == [AttemptResult.PROGRESS_TIMEOUT]


def test_slow_answer_that_makes_progress_is_not_ended(path):
    path.exchanges.timeouts_ms["progress_ms"] = 1_000
    path.set_behaviour(part_bytes=10, part_interval_ms=20)
    answer = path.connect().get("/", Guavapin_Answer_Bytes="1000")
    assert answer.body == b"x" * 1_000


def test_refused_connection_ends_as_not_sent(path):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        path.exchanges.address = f"127.0.0.1:{unused.getsockname()[1]}"
        expect_broken_answer(path.connect())
    assert path.results() == [AttemptResult.NOT_SENT]


def test_malformed_address_ends_as_not_sent(path):
    path.exchanges.address = "127.0.0.1:x"
    expect_broken_answer(path.connect())
    assert path.results() == [AttemptResult.NOT_SENT]


@pytest.mark.parametrize("bound", ["connect_ms", "first_byte_ms"])
def test_connection_that_is_never_accepted_ends_as_not_sent(path, bound):
    path.exchanges.timeouts_ms[bound] = 200
    with socket.socket() as full, contextlib.ExitStack() as stack:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        # The operating system drops connection requests once the queue is full.
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        path.exchanges.address = f"127.0.0.1:{full.getsockname()[1]}"
        expect_broken_answer(path.connect())
    assert path.results() == [AttemptResult.NOT_SENT]


def test_connection_closed_before_the_answer_may_have_run(path):
    path.set_behaviour(close_unanswered=1)
    expect_broken_answer(path.connect(), "POST")
    assert path.results() == [AttemptResult.BROKEN]


def test_libcurl_resends_on_a_reused_connection_unless_it_is_fresh(path):
    # The first half demonstrates the failure that the second half guards against: a
    # charge that is sent on a reused connection runs twice.
    warm_up(path)
    path.exchanges.fresh = False
    path.set_behaviour(close_unanswered=1)
    caller = path.connect()
    assert caller.ask("POST", "/", Guavapin_Request_Id="reused").status == 200
    path.exchanges.fresh = True
    path.set_behaviour(close_unanswered=1)
    expect_broken_answer(path.connect(), "POST", Guavapin_Request_Id="fresh")
    runs = path.record().count_by_identity()
    assert runs["reused"] == 2
    assert runs["fresh"] == 1


def test_fresh_connections_are_not_kept(path):
    # If kept, each would stay idle and count as one of the executor's connections.
    caller = path.connect()
    for _ in range(10):
        caller.ask("POST", "/", b"x")
    wait_until(lambda: path.record().open_connections == 0)


def test_resend_that_cannot_connect_may_have_run(path):
    # The request was sent on the reused connection. Only its resend was refused.
    listener = socket.create_server(("127.0.0.1", 0))
    path.exchanges.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def serve():
        conn, _ = listener.accept()
        conn.settimeout(WAIT_S)
        conn.recv(65_536)
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        conn.recv(65_536)
        listener.close()
        conn.close()

    thread = threading.Thread(target=serve)
    thread.start()
    warm_up(path)
    expect_broken_answer(path.connect())
    thread.join(WAIT_S)
    assert path.results(2)[1] is AttemptResult.BROKEN


def test_interim_answers_and_trailers_are_not_passed_on(path):
    listener = socket.create_server(("127.0.0.1", 0))
    path.exchanges.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def serve():
        conn, _ = listener.accept()
        conn.recv(65_536)
        conn.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
        conn.sendall(head + b"2\r\nok\r\n0\r\nTrailing: t\r\n\r\n")
        conn.close()

    thread = threading.Thread(target=serve)
    thread.start()
    answer = path.connect().get("/")
    thread.join(WAIT_S)
    listener.close()
    assert answer.body == b"ok"
    assert answer.headers == {b"transfer-encoding": b"chunked", b"a": b"b"}


def test_redirect_and_compressed_body_are_passed_on_unchanged(path):
    listener = socket.create_server(("127.0.0.1", 0))
    path.exchanges.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def serve():
        conn, _ = listener.accept()
        conn.recv(65_536)
        head = b"HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Encoding: gzip\r\n"
        conn.sendall(head + b"Content-Length: 3\r\n\r\nabc")
        conn.close()

    thread = threading.Thread(target=serve)
    thread.start()
    answer = path.connect().get("/")
    thread.join(WAIT_S)
    listener.close()
    assert (answer.status, answer.body) == (302, b"abc")
    assert answer.headers[b"content-encoding"] == b"gzip"


def test_proxies_of_the_environment_are_not_used(path, monkeypatch):
    for name in ("http_proxy", "all_proxy", "ALL_PROXY"):
        monkeypatch.setenv(name, "http://127.0.0.1:1")
    assert path.connect().get("/direct").status == 200


def test_simultaneous_cancellations_free_every_slot(wide_path):
    path = wide_path
    callers = [path.connect() for _ in range(64)]
    for iteration in range(1, 4):
        for caller in callers:
            caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: 60000\r\n\r\n")
        wait_until(lambda: path.record().running == 64)
        for caller in callers:
            caller.close()
        wait_until(lambda: path.record().running == 0)
        assert path.record().abandoned == 64 * iteration
        callers = [path.connect() for _ in range(64)]
    assert path.counts("upstreams")["attempts_in_progress"] == 0
    assert callers[0].get("/after").status == 200


def test_connections_to_an_executor_stay_within_the_share(path):
    # Attempts above the share of 8 wait, and some are cancelled while they wait.
    callers = [path.connect() for _ in range(24)]
    for caller in callers:
        caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: 300\r\n\r\n")
    wait_until(lambda: path.record().running == 8)
    for caller in callers[16:]:
        caller.close()
    for caller in callers[:8]:
        assert caller.read_answer().status == 200
    record = path.record()
    assert record.highest_connections <= 8
    assert record.violations == 0
    for caller in callers[8:16]:
        assert caller.read_answer().status == 200


def test_messages_for_ended_and_unknown_attempts_are_dropped(path):
    from guavapin.serving.messages import AttemptRequestBody
    from guavapin.serving.messages import CancelAttempt
    from guavapin.serving.messages import FlowControl

    for message in (
        CancelAttempt(7),
        AttemptRequestBody(7, b"late", True),
        FlowControl(7, True),
    ):
        path.kernel.deliver("upstreams", message)
    assert path.counts("upstreams")["late_messages"] == 2
    assert path.connect().get("/").status == 200
