from __future__ import annotations

import queue
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl
import pytest

from guavapin.http.multi_driver import MultiDriver
from guavapin.http.multi_driver import MultiTimer
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import SystemClock
from guavapin.kernel import TaskContext

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


@dataclass(frozen=True)
class Run:
    function: Callable[[Fetcher], None]


class Fetcher:
    name = "fetcher"

    def __init__(self) -> None:
        self.ended: queue.Queue[tuple[int, bytes]] = queue.Queue()
        self.bodies: dict[Any, bytearray] = {}
        self.next: list[Any] = []

    def start(self, context: TaskContext) -> Outcome[None]:
        self.driver = MultiDriver(context, self.on_done)
        return Ok(None)

    def handle(self, message: object) -> None:
        if isinstance(message, MultiTimer):
            self.driver.on_timer()
        elif isinstance(message, Run):
            message.function(self)

    def stop(self) -> None:
        self.driver.close()

    def on_done(self, curl: Any, code: int, detail: str) -> None:
        self.ended.put((code, bytes(self.bodies.pop(curl))))
        if self.next:
            self.driver.add(self.next.pop())

    def get(self, url: str, write: Callable[[bytes], Any] | None = None) -> Any:
        curl = pycurl.Curl()
        self.bodies[curl] = bytearray()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.WRITEFUNCTION, write or self.bodies[curl].extend)
        return curl


@pytest.fixture
def fetcher() -> Iterator[tuple[Kernel, Fetcher]]:
    kernel, task = Kernel(SystemClock()), Fetcher()
    kernel.register(task)
    kernel.start()
    yield kernel, task
    assert kernel.stop() == ()
    assert kernel.wait_for_failure(0) is None


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        sock.settimeout(5)
        yield sock


def url_of(listener: socket.socket) -> str:
    return f"http://127.0.0.1:{listener.getsockname()[1]}/"


def accept(listener: socket.socket) -> socket.socket:
    conn, _ = listener.accept()
    conn.settimeout(5)
    conn.recv(65536)
    return conn


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


def test_transfer_added_when_another_ends(
    fetcher: tuple[Kernel, Fetcher], listener: socket.socket
) -> None:
    # Guards against transfers that are added but never started.
    kernel, task = fetcher

    def begin(task: Fetcher) -> None:
        task.next.append(task.get(url_of(listener)))
        task.driver.add(task.get(url_of(listener)))

    kernel.deliver("fetcher", Run(begin))
    with accept(listener) as conn:
        conn.sendall(ANSWER)
        assert task.ended.get(timeout=5) == (0, b"hello")
        conn.recv(65536)
        conn.sendall(ANSWER)
        assert task.ended.get(timeout=5) == (0, b"hello")


def test_removed_transfer_closes_its_connection(
    fetcher: tuple[Kernel, Fetcher], listener: socket.socket
) -> None:
    # Guards against cancelled transfers that keep their upstream connection.
    kernel, task = fetcher
    started: list[Any] = []

    def begin(task: Fetcher) -> None:
        started.append(task.get(url_of(listener)))
        task.driver.add(started[0])

    kernel.deliver("fetcher", Run(begin))
    with accept(listener) as conn:
        kernel.deliver("fetcher", Run(lambda task: task.driver.remove(started[0])))
        assert conn.recv(1) == b""
    assert task.ended.empty()


def test_paused_transfer_resumes(
    fetcher: tuple[Kernel, Fetcher], listener: socket.socket
) -> None:
    # Guards against a body that never resumes after a slow receiver paused it.
    kernel, task = fetcher
    paused: queue.Queue[Any] = queue.Queue()

    def begin(task: Fetcher) -> None:
        parts = bytearray()
        refusals = [True]

        def write(data: bytes) -> int:
            if refusals:
                refusals.pop()
                paused.put(curl)
                return int(pycurl.WRITEFUNC_PAUSE)
            parts.extend(data)
            return len(data)

        curl = task.get(url_of(listener), write)
        task.bodies[curl] = parts
        task.driver.add(curl)

    kernel.deliver("fetcher", Run(begin))
    with accept(listener) as conn:
        conn.sendall(ANSWER)
        curl = paused.get(timeout=5)
        assert task.ended.empty()
        resume = Run(lambda task: task.driver.pause(curl, pycurl.PAUSE_CONT))
        kernel.deliver("fetcher", resume)
        assert task.ended.get(timeout=5) == (0, b"hello")


def test_failure_and_timeout_are_reported(
    fetcher: tuple[Kernel, Fetcher], listener: socket.socket
) -> None:
    # Guards against libcurl timers that the loop does not run.
    kernel, task = fetcher

    def begin(task: Fetcher) -> None:
        curl = task.get(url_of(listener))
        curl.setopt(pycurl.TIMEOUT_MS, 100)
        task.driver.add(curl)

    kernel.deliver("fetcher", Run(begin))
    with accept(listener):
        code, _ = task.ended.get(timeout=5)
        assert code == pycurl.E_OPERATION_TIMEDOUT
    refused = socket.create_server(("127.0.0.1", 0))
    url = url_of(refused)
    refused.close()
    kernel.deliver("fetcher", Run(lambda task: task.driver.add(task.get(url))))
    assert task.ended.get(timeout=5)[0] == pycurl.E_COULDNT_CONNECT
