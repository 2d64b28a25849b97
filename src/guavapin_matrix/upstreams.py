"""Simulated upstreams that count runs by the caller's request and idempotency key."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import StartAttempt

if TYPE_CHECKING:
    from guavapin_matrix.simulation import Node
    from guavapin_matrix.simulation import SimulatedLoop

TAG_HEADER = b"x-tag"
KEY_HEADER = b"idempotency-key"
CONNECT_MS = 2
CLOSE_MS = 1
RUN_MS = 50
PART_INTERVAL_MS = 10
# The factor by which a run exceeds its declared time under the fault RUN_TIME_OFF.
LONG_FACTOR = 100


class FakeHost:
    """Behaviour of one executor.

    `left_ms` is the time at which the entries were told that the host leaves.
    """

    def __init__(
        self, is_up: bool = True, fails: bool = False, left_ms: int | None = None
    ) -> None:
        self.is_up = is_up
        self.fails = fails
        self.left_ms = left_ms


class Attempt:
    """One request in progress at an executor; `last_ms` is its last progress."""

    def __init__(
        self,
        node: Node,
        start: StartAttempt,
        has_head: bool = False,
        is_silent: bool = False,
        last_ms: int = 0,
    ) -> None:
        self.node = node
        self.start = start
        self.has_head = has_head
        self.is_silent = is_silent
        self.last_ms = last_ms


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """Record of a request that an executor received, for the checks."""

    at_ms: int
    address: str
    entry: str
    tag: str


def answer_body(tag: str, key: str) -> bytes:
    """Return the whole answer to a request; requests with one key get the same."""
    return f"answer to {key or tag};".encode() * 3


class FakeUpstreams:
    """The executors of all hosts, and a fake of the entries' service `upstreams`."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self.hosts: dict[str, FakeHost] = {}
        self.runs_by_tag: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.starts: list[AttemptStart] = []
        self.never_ending: set[str] = set()
        self.run_factor = 1
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self._loop = loop

    def on_message(self, node: Node, message: object) -> None:
        """Handle a message that `exchanges` sent to `upstreams`."""
        match message:
            case StartAttempt():
                attempt = Attempt(node, message, last_ms=self._loop.now_ms())
                attempt_key = (node.name, message.attempt_id)
                self.attempts[attempt_key] = attempt
                self._loop.after(CONNECT_MS, lambda: self._connect(attempt_key))
                self._watch_progress(attempt_key)
            case CancelAttempt(attempt_id):
                self.attempts.pop((node.name, attempt_id), None)
                closed = AttemptClosed(attempt_id)
                self._loop.after(CLOSE_MS, lambda: node.deliver("exchanges", closed))

    def take_down(self, addresses: list[str]) -> None:
        """Take hosts down and break the connections of their attempts."""
        for address in addresses:
            self.hosts[address].is_up = False
        for attempt_key, attempt in list(self.attempts.items()):
            if attempt.start.address in addresses and not attempt.is_silent:
                self._end(attempt_key, AttemptResult.BROKEN)

    def silence(self) -> None:
        """Stop all output on the open connections; new connections work."""
        for attempt in self.attempts.values():
            attempt.is_silent = True

    def _connect(self, attempt_key: tuple[str, int]) -> None:
        attempt = self.attempts.get(attempt_key)
        if attempt is None:
            return
        start, host = attempt.start, self.hosts[attempt.start.address]
        if not host.is_up:
            self._end(attempt_key, AttemptResult.NOT_SENT)
            return
        headers = dict(start.headers)
        tag = headers.get(TAG_HEADER, b"").decode()
        key = headers.get(KEY_HEADER, b"").decode()
        if tag:
            self._record_start(attempt, tag, key)
        if host.fails:
            self._begin_answer(attempt_key, 200, b"")
        elif tag not in self.never_ending:
            delay_ms = RUN_MS * self.run_factor if tag else 1
            body = answer_body(tag, key)
            self._loop.after(
                delay_ms, lambda: self._begin_answer(attempt_key, 200, body)
            )

    def _record_start(self, attempt: Attempt, tag: str, key: str) -> None:
        self.runs_by_tag[tag] += 1
        if key:
            self.runs_by_key[key] += 1
        start = attempt.start
        seen = AttemptStart(self._loop.now_ms(), start.address, attempt.node.name, tag)
        self.starts.append(seen)

    def _begin_answer(
        self, attempt_key: tuple[str, int], status: int, body: bytes
    ) -> None:
        attempt = self._responding_attempt(attempt_key)
        if attempt is None:
            return
        if self.hosts[attempt.start.address].fails:
            status, body = 500, b"failed"
        attempt.has_head, attempt.last_ms = True, self._loop.now_ms()
        headers = ((b"content-length", b"%d" % len(body)),)
        head = AttemptHead(attempt_key[1], status, headers)
        attempt.node.deliver("exchanges", head)
        middle = len(body) // 2
        self._loop.after(
            PART_INTERVAL_MS, lambda: self._send_part(attempt_key, body[:middle])
        )
        self._loop.after(
            2 * PART_INTERVAL_MS, lambda: self._send_part(attempt_key, body[middle:])
        )
        self._loop.after(3 * PART_INTERVAL_MS, lambda: self._complete(attempt_key))

    def _send_part(self, attempt_key: tuple[str, int], data: bytes) -> None:
        attempt = self._responding_attempt(attempt_key)
        if attempt is not None:
            attempt.last_ms = self._loop.now_ms()
            attempt.node.deliver("exchanges", AttemptBody(attempt_key[1], data))

    def _complete(self, attempt_key: tuple[str, int]) -> None:
        if self._responding_attempt(attempt_key) is not None:
            self._end(attempt_key, AttemptResult.COMPLETE)

    def _responding_attempt(self, attempt_key: tuple[str, int]) -> Attempt | None:
        attempt = self.attempts.get(attempt_key)
        return None if attempt is None or attempt.is_silent else attempt

    def _end(self, attempt_key: tuple[str, int], result: AttemptResult) -> None:
        attempt = self.attempts.pop(attempt_key, None)
        if attempt is not None:
            attempt.node.deliver("exchanges", AttemptEnded(attempt_key[1], result))

    def _watch_progress(self, attempt_key: tuple[str, int]) -> None:
        """End an attempt without progress for longer than its timeout, polled."""
        attempt = self.attempts.get(attempt_key)
        if attempt is None:
            return
        start = attempt.start
        limit_ms = start.progress_ms if attempt.has_head else start.first_byte_ms
        left_ms = attempt.last_ms + limit_ms - self._loop.now_ms()
        if limit_ms and left_ms <= 0:
            result = AttemptResult.FIRST_BYTE_TIMEOUT
            if attempt.has_head:
                result = AttemptResult.PROGRESS_TIMEOUT
            self._end(attempt_key, result)
            return
        delay_ms = left_ms if limit_ms else 50
        self._loop.after(
            min(max(delay_ms, 1), 50), lambda: self._watch_progress(attempt_key)
        )
