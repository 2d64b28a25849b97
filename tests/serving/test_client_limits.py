"""Limits of clients at a listener: configured limits, slow bodies, a full listener."""

from __future__ import annotations

import select
import socket
import time

import pytest

from guavapin.http.answer_memory import AnswerMemory
from guavapin.http.transfer import Transfer
from guavapin.jobs.caller_limits import CallerLimits
from guavapin.jobs.caller_limits_task import CallerLimitsTask
from guavapin.jobs.queues import QueueTable
from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin.kernel.harness import TaskHarness
from guavapin.platform.settings import parse_settings
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving import client_guard
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import GetCounts
from guavapin.serving.messages import SetRequestLimits
from guavapin.serving.ops_pages import OpsPagesTask
from tests.platform.test_settings import SETTINGS

WAIT_S = 10.0
POST = b"POST /page HTTP/1.1\r\nHost: h\r\n"
GET = b"GET /page HTTP/1.1\r\nHost: h\r\n"


class Listener:
    def __init__(self, **limits) -> None:
        cfg = FrontConfig(
            health_path="",
            ready_path="",
            holds_bodies=True,
            kept_headers=frozenset(),
            **limits,
        )
        self.front = FrontTask(cfg, "front", "desk")
        self.kernel = Kernel(SystemClock())
        self.kernel.register(OpsPagesTask("desk", "front", {"/page": lambda: b"x"}))
        self.kernel.register(self.front)
        self.kernel.start()

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.front.port), WAIT_S)
        sock.sendall(data)
        return sock

    def count(self, name: str) -> int:
        return self.kernel.ask("front", GetCounts()).result(WAIT_S).get(name, 0)

    def wait_for_connections(self, count: int) -> None:
        """Wait until this many were accepted and what they hold has settled."""
        before, end_s = -1, time.monotonic() + WAIT_S
        while self.count("connections") < count or before != self.count("held_bytes"):
            assert time.monotonic() < end_s
            before = self.count("held_bytes")
            time.sleep(0.02)


@pytest.fixture
def listen():
    listeners: list[Listener] = []

    def start(**limits) -> Listener:
        listeners.append(Listener(**limits))
        return listeners[-1]

    yield start
    for listener in listeners:
        listener.kernel.stop()


def status(sock: socket.socket) -> int:
    line = sock.makefile("rb").readline()
    return int(line.split()[1]) if line else 0


def test_configured_limits_apply_to_open_connections(listen):
    # Guards against limits of the configuration that no listener applies.
    listener = listen(max_body_bytes=100_000)
    before = listener.connect(POST + b"Content-Length: 500\r\n\r\n" + b"x" * 500)
    assert status(before) == 404
    silent, late = listener.connect(), listener.connect(GET)
    listener.kernel.deliver("front", SetRequestLimits(200, 400, 300, 300))
    long_head = listener.connect(GET + b"a:b\r\n" * 50 + b"\r\n")
    large_body = listener.connect(POST + b"Content-Length: 500\r\n\r\n")
    assert (status(long_head), status(large_body)) == (431, 413)
    assert status(late) == 408
    assert status(silent) == 0


def test_bodies_that_arrive_too_slowly_are_refused(listen):
    # Guards against a body that holds its memory by a byte from time to time.
    listener = listen(idle_timeout_ms=200, min_body_bytes_per_s=10_000)
    caller = listener.connect(POST + b"Content-Length: 500\r\n\r\n")
    caller.settimeout(0.05)
    answer = b""
    end_s = time.monotonic() + WAIT_S
    while not answer and time.monotonic() < end_s:
        caller.send(b"x")
        try:
            answer = caller.recv(1_000)
        except TimeoutError:
            continue
    assert answer.startswith(b"HTTP/1.1 408")


def test_incomplete_requests_are_refused_when_memory_is_short(listen):
    # Guards against unfinished bodies without a limit for all of them together.
    listener = listen(held_bytes=300_000, max_body_bytes=200_000)
    stalled = [
        listener.connect(POST + b"Content-Length: 90000\r\n\r\n" + b"x" * 80_000)
        for _ in range(6)
    ]
    caller = listener.connect(GET + b"\r\n")
    assert status(caller) == 200
    end_s = time.monotonic() + WAIT_S
    while listener.count("refused: memory short") < 3:
        assert time.monotonic() < end_s
        time.sleep(0.02)
    assert listener.count("held_bytes") <= 300_000
    refused, _, _ = select.select(stalled, [], [], WAIT_S)
    answer = refused[0].recv(1_000)
    assert answer.startswith(b"HTTP/1.1 503") and b"retry-after: 1" in answer


def test_complete_requests_are_served_shortly_after_a_choice(listen, monkeypatch):
    # Guards against a 503 to a caller while stalled requests hold the memory.
    monkeypatch.setattr(client_guard, "CHOICE_INTERVAL_MS", 60_000)
    listener = listen(held_bytes=300_000, max_body_bytes=200_000)
    stalled, silent = [], []
    for _ in range(4):
        for _ in range(3):
            data = POST + b"Content-Length: 90000\r\n\r\n" + b"x" * 50_000
            stalled.append(listener.connect(data))
            listener.wait_for_connections(len(stalled) + len(silent))
        # Connections without a request exceed the budget too.
        silent += [listener.connect() for _ in range(5)]
        listener.wait_for_connections(len(stalled) + len(silent))
        silent.append(listener.connect(GET + b"\r\n"))
        assert status(silent[-1]) == 200


def test_full_listener_closes_silent_connections(listen):
    # Guards against connections without a request that keep all callers out.
    listener = listen(max_connections=4)
    silent = [listener.connect() for _ in range(4)]
    caller = listener.connect(GET + b"\r\n")
    assert status(caller) == 200
    assert listener.count("connections") == 5
    closed, _, _ = select.select(silent, [], [], WAIT_S)
    assert status(closed[0]) == 0


def test_limits_of_a_table_are_sent_once_to_the_front():
    # Guards against limits that take effect at the next start only.
    task = CallerLimitsTask("front")
    harness = TaskHarness(task)
    harness.start()
    table = QueueTable(1, (), (), limits=CallerLimits(1_000, 2_000, 300, 400))
    for _ in range(2):
        task.handle(QueueTableChanged(table))
    assert [sent.message for sent in harness.take_sent()] == [
        SetRequestLimits(1_000, 2_000, 300, 400)
    ]


def test_answers_in_progress_share_one_budget():
    # Guards against many answers of 4 MB that are collected at once.
    memory = AnswerMemory(1_000)
    first, second = (Transfer("x", True, memory=memory) for _ in range(2))
    assert first.on_body(b"x" * 700) == 700
    assert second.on_body(b"x" * 400) == 0
    first.release()
    assert memory.held_bytes == 0
    assert second.on_body(b"x" * 400) == 400


@pytest.mark.parametrize(
    "line",
    [
        "limits.memory-mb=-1",
        "limits.max-fds=many",
        "limits.clients-mb=1e9",
        "limits.min-body-bytes-per-s=-5",
    ],
)
def test_limits_out_of_range_are_named(line):
    # Guards against a process that starts with a limit that nobody meant.
    assert line.partition("=")[0] in str(parse_settings(SETTINGS + line + "\n"))
