from __future__ import annotations

import contextlib
import socket
import time

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import SetReady
from guavapin.serving.messages import StopAccepting
from tests.serving.support import WAIT_S
from tests.serving.support import PassThrough
from tests.serving.support import ServingPath
from tests.serving.support import wait_until


def start_request(path, run_ms):
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: %d\r\n\r\n" % run_ms)
    return caller


def test_stop_finishes_requests_in_progress_and_closes_the_rest(path):
    idle = path.connect()
    assert idle.get("/").status == 200
    unused = path.connect()
    busy = [start_request(path, 400) for _ in range(4)]
    wait_until(lambda: path.record().running == 4)
    path.send_to_front(SetReady(True))
    fut = path.kernel.ask("front", StopAccepting())
    assert idle.is_closed()
    assert not fut.done()
    with pytest.raises(ConnectionRefusedError):
        path.connect()
    for caller in busy:
        answer = caller.read_answer()
        assert answer.status == 200
        assert answer.headers[b"connection"] == b"close"
        assert caller.is_closed()
    # It may still send its first request until shortly after it was accepted.
    assert unused.is_closed()
    assert fut.result(WAIT_S) == Ok(None)
    assert not [m for m in path.exchanges.received if isinstance(m, CallerGone)]
    assert path.counts()["open_connections"] == 0


def test_new_connection_is_not_closed_before_its_first_request_arrives(path):
    # A client that has connected but not sent yet got an empty reply.
    caller = path.connect()
    wait_until(lambda: path.counts()["open_connections"] == 1)
    fut = path.kernel.ask("front", StopAccepting())
    path.counts()
    answer = caller.get("/late")
    assert answer.status == 200
    assert answer.headers[b"connection"] == b"close"
    assert caller.is_closed()
    assert fut.result(WAIT_S) == Ok(None)


def test_connection_without_a_request_does_not_hold_up_the_stop(path):
    caller = path.connect()
    wait_until(lambda: path.counts()["open_connections"] == 1)
    assert path.kernel.ask("front", StopAccepting()).result(WAIT_S) == Ok(None)
    assert caller.is_closed()


def test_first_request_that_is_late_by_most_of_a_second_is_answered(path):
    # Guards against a time that has passed before the stop begins.
    caller = path.connect()
    wait_until(lambda: path.counts()["open_connections"] == 1)
    time.sleep(0.8)
    fut = path.kernel.ask("front", StopAccepting())
    time.sleep(0.5)
    assert caller.get("/late").status == 200
    assert fut.result(WAIT_S) == Ok(None)


def test_empty_lines_before_a_request_do_not_hold_up_the_stop(path):
    # Guards against a deadline that each received byte moves.
    caller = path.connect()
    wait_until(lambda: path.counts()["open_connections"] == 1)
    fut = path.kernel.ask("front", StopAccepting())
    for _ in range(10):
        with contextlib.suppress(ConnectionError):
            caller.send(b"\r\n")
        time.sleep(0.2)
    assert fut.done()


def test_request_whose_head_or_body_is_still_arriving_is_finished(path):
    head = path.connect()
    head.send(b"GET /head HTTP/1.1\r\n")
    body = path.connect()
    body.send(b"POST /body HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\na")
    wait_until(lambda: path.counts()["requests_in_progress"] == 1)
    wait_until(lambda: path.counts()["open_connections"] == 2)
    fut = path.kernel.ask("front", StopAccepting())
    path.counts()
    head.send(b"Host: t\r\n\r\n")
    assert head.read_answer().body == b"/head"
    assert not fut.done()
    body.send(b"bc")
    assert body.read_answer().body == b"/body"
    assert fut.result(WAIT_S) == Ok(None)


def test_requests_that_are_still_arriving_when_the_process_ends_are_refused():
    # Their connections ended without an answer, and one of them held up the stop.
    path = ServingPath(FrontConfig(holds_bodies=True))
    head, body = path.connect(), path.connect()
    head.send(b"GET /head HTTP/1.1\r\n")
    body.send(b"POST /body HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\na")
    wait_until(lambda: path.counts()["requests_in_progress"] == 1)
    wait_until(lambda: path.counts()["open_connections"] == 2)
    fut = path.kernel.ask("front", StopAccepting())
    path.send_to_front(AnswerPending())
    assert [caller.read_answer().status for caller in (head, body)] == [408, 408]
    assert fut.result(WAIT_S) == Ok(None)
    path.close()


def test_requests_that_wait_in_the_listeners_queue_are_answered(small_path):
    # Closing a listener resets the connections in its queue.
    callers = [start_request(small_path, 100) for _ in range(2)]
    wait_until(lambda: small_path.record().running == 2)
    queued = start_request(small_path, 0)
    fut = small_path.kernel.ask("front", StopAccepting())
    for caller in (*callers, queued):
        assert caller.read_answer().status == 200
    assert fut.result(WAIT_S) == Ok(None)


def test_stop_answers_the_current_request_but_no_pipelined_one(path):
    caller = start_request(path, 200)
    caller.send(b"GET /second HTTP/1.1\r\nHost: t\r\n\r\n")
    wait_until(lambda: path.record().running == 1)
    fut = path.kernel.ask("front", StopAccepting())
    # The first answer announces the close of the connection, so the second request
    # counts as not received and may be sent to another server (RFC 9112, 9.6).
    assert caller.read_answer().headers[b"connection"] == b"close"
    assert caller.is_closed()
    assert fut.result(WAIT_S) == Ok(None)
    assert len(path.record().runs) == 1


def test_stop_without_requests_resolves_at_once_and_may_be_repeated(path):
    assert path.kernel.ask("front", StopAccepting()).result(WAIT_S) == Ok(None)
    assert path.kernel.ask("front", StopAccepting()).result(WAIT_S) == Ok(None)


def test_two_processes_may_share_the_port_and_a_taken_one_is_refused():
    def start(port):
        kernel = Kernel(SystemClock())
        front = FrontTask(FrontConfig(port=port))
        kernel.register(PassThrough())
        kernel.register(front, requires=("exchanges",))
        return kernel, front, kernel.start()

    kernel, front, outcome = start(0)
    assert outcome == Ok(None)
    second, _, outcome = start(front.port)
    assert outcome == Ok(None)
    second.stop()
    kernel.stop()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        _, _, outcome = start(port)
    assert isinstance(outcome, Refused)
    assert f"127.0.0.1:{port}" in outcome.detail
