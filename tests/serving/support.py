"""Serving path for tests: front, pass-through exchanges and upstreams on one loop."""

from __future__ import annotations

import itertools
import socket
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeVar

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import GetCounts
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt
from guavapin.serving.upstreams import UpstreamsTask
from guavapin.serving.upstreams_config import UpstreamsConfig
from guavapin_standins.upstream import UpstreamStandIn
from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import GetRecord
from guavapin_standins.upstream_messages import Record
from guavapin_standins.upstream_messages import SetBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

WAIT_S = 10
T = TypeVar("T")


class PassThrough:
    """Service `exchanges` that makes one attempt per request, to one upstream."""

    name = "exchanges"

    def __init__(self) -> None:
        self.address = ""
        self.timeouts_ms = {
            "connect_ms": 2_000,
            "first_byte_ms": 5_000,
            "progress_ms": 0,
        }
        self.fresh: bool | None = None
        self.is_mute = False
        self.received: list[object] = []
        self._attempts: dict[int, int] = {}
        self._requests: dict[int, int] = {}
        self._attempt_ids = itertools.count(1_000_000)
        self._context: TaskContext

    def start(self, context: TaskContext) -> Outcome[None]:
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        pass

    def handle(self, message: object) -> None:
        self.received.append(message)
        if self.is_mute:
            return
        send = self._context.send
        match message:
            case RequestReceived():
                self._start(message)
            case RequestBody(request_id, data, is_last):
                attempt_id = self._attempts.get(request_id)
                if attempt_id is not None:
                    send("upstreams", AttemptRequestBody(attempt_id, data, is_last))
            case CallerGone(request_id):
                attempt_id = self._attempts.pop(request_id, None)
                if attempt_id is not None:
                    del self._requests[attempt_id]
                    send("upstreams", CancelAttempt(attempt_id))
            case FlowControl(attempt_id, is_paused, True):
                if attempt_id in self._requests:
                    send("front", FlowControl(self._requests[attempt_id], is_paused))
            case FlowControl(request_id, is_paused, False):
                if request_id in self._attempts:
                    attempt_id = self._attempts[request_id]
                    send("upstreams", FlowControl(attempt_id, is_paused))
            case AttemptHead(attempt_id, status, headers):
                if attempt_id in self._requests:
                    request_id = self._requests[attempt_id]
                    send("front", AnswerHead(request_id, status, headers))
            case AttemptBody(attempt_id, data):
                if attempt_id in self._requests:
                    send("front", AnswerBody(self._requests[attempt_id], data))
            case AttemptEnded():
                self._on_ended(message)

    def _start(self, request: RequestReceived) -> None:
        attempt_id = next(self._attempt_ids)
        self._attempts[request.request_id] = attempt_id
        self._requests[attempt_id] = request.request_id
        is_fresh = request.method == "POST" if self.fresh is None else self.fresh
        start = StartAttempt(
            attempt_id=attempt_id,
            address=self.address,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=b"",
            body_follows=request.body_follows,
            fresh_connection=is_fresh,
            **self.timeouts_ms,
        )
        self._context.send("upstreams", start)

    def _on_ended(self, message: AttemptEnded) -> None:
        request_id = self._requests.pop(message.attempt_id, None)
        if request_id is None:
            return
        del self._attempts[request_id]
        end = AnswerEnd if message.result is AttemptResult.COMPLETE else AnswerBroken
        self._context.send("front", end(request_id))


@dataclass
class ServingPath:
    """A running serving path; `close` stops it."""

    front_cfg: FrontConfig = field(default_factory=FrontConfig)
    upstreams_cfg: UpstreamsConfig = field(default_factory=UpstreamsConfig)

    def __post_init__(self) -> None:
        self.kernel = Kernel(SystemClock())
        self.front = FrontTask(self.front_cfg)
        self.exchanges = PassThrough()
        self.standin = UpstreamStandIn()
        self.kernel.register(self.standin, loop="standin")
        self.kernel.register(self.exchanges, loop="serving")
        self.kernel.register(UpstreamsTask(self.upstreams_cfg), loop="serving")
        self.kernel.register(self.front, loop="serving", requires=("upstreams",))
        assert self.kernel.start() == Ok(None)
        self.exchanges.address = f"127.0.0.1:{self.standin.port}"

    def close(self) -> None:
        assert self.kernel.wait_for_failure(0) is None
        assert self.kernel.stop() == ()

    def connect(self) -> Caller:
        return Caller(self.front.port)

    def set_behaviour(self, **switches: object) -> None:
        message = SetBehaviour(Behaviour(**switches))
        self.kernel.ask("upstream_standin", message).result(WAIT_S)

    def record(self) -> Record:
        record: Record = self.kernel.ask("upstream_standin", GetRecord()).result(WAIT_S)
        return record

    def counts(self, service: str = "front") -> dict[str, int]:
        counts: dict[str, int] = self.kernel.ask(service, GetCounts()).result(WAIT_S)
        return counts

    def mute_exchanges(self) -> None:
        """Stop forwarding, so that the test answers requests with `send_to_front`."""
        self.exchanges.is_mute = True

    def send_to_front(self, *messages: object) -> None:
        for message in messages:
            self.kernel.deliver("front", message)

    def received(self, kind: type[T], count: int = 1) -> list[T]:
        """Wait until `exchanges` has received `count` messages of a type."""

        def found() -> list[T]:
            return [m for m in list(self.exchanges.received) if isinstance(m, kind)]

        wait_until(lambda: len(found()) >= count)
        return found()

    def results(self, count: int = 1) -> list[AttemptResult]:
        """Wait until `count` attempts have ended."""
        return [ended.result for ended in self.received(AttemptEnded, count)]


def wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
    """Wait for an effect on another loop; the timeout only ends a hung test."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.005)


@dataclass(frozen=True)
class Answer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Caller:
    """A caller on a socket that reads answers strictly by their framing."""

    def __init__(self, port: int, sock: socket.socket | None = None) -> None:
        self.sock = sock or socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.sock.settimeout(WAIT_S)
        self.buffer = bytearray()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def get(self, target: str = "/", **headers: str) -> Answer:
        return self.ask("GET", target, **headers)

    def ask(self, method: str, target: str, body: bytes = b"", **headers: str):
        lines = [f"{method} {target} HTTP/1.1", "Host: test"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return self.read_answer(method == "HEAD")

    def read_answer(self, is_head: bool = False) -> Answer:
        head = self._until(b"\r\n\r\n")
        status_line, *lines = head[:-4].split(b"\r\n")
        pairs = (line.partition(b":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        status = int(status_line.split()[1])
        if is_head or status < 200 or status in (204, 304):
            return Answer(status, headers, b"")
        if headers.get(b"transfer-encoding") == b"chunked":
            return Answer(status, headers, self._chunks())
        assert b"content-length" in headers, "answer without framing"
        return Answer(status, headers, self._exactly(int(headers[b"content-length"])))

    def is_closed(self) -> bool:
        """Wait for the end of the connection; returns False if data arrives instead."""
        try:
            return not self.buffer and not self.sock.recv(1)
        except ConnectionError:
            return True

    def close(self) -> None:
        self.sock.close()

    def _chunks(self) -> bytes:
        parts = []
        while True:
            size = int(self._until(b"\r\n"), 16)
            data = self._exactly(size + 2)
            assert data.endswith(b"\r\n")
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])

    def _until(self, end: bytes) -> bytes:
        while end not in self.buffer:
            self._more()
        cut = self.buffer.index(end) + len(end)
        data = bytes(self.buffer[:cut])
        del self.buffer[:cut]
        return data

    def _exactly(self, size: int) -> bytes:
        while len(self.buffer) < size:
            self._more()
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def _more(self) -> None:
        data = self.sock.recv(262_144)
        if not data:
            raise EOFError("connection closed inside an answer")
        self.buffer += data
