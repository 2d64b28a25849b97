"""A keep-alive connection of a caller that tells a lost request from an unread one."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from guavapin_soak.answer_checks import SILENCE_SLACK_MS
from guavapin_soak.answer_checks import Exchange
from guavapin_soak.answer_checks import ExchangeEnd
from guavapin_soak.processor_wait import ProcessorWait

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536

# Time in which the reset of a request that was sent to a closed connection arrives.
RESET_WAIT_S = 0.02


class OpenConnection:
    """One connection to the front of `host`, with one request at a time.

    With the `pid` of the process, a caller waits longer for an answer by the time for
    which the process got no processor.

    The connection is unusable once `is_open` is unset.
    """

    def __init__(
        self, host: str, port: int, now_ms: Callable[[], int], pid: int = 0
    ) -> None:
        self.is_open = True
        self._pid = pid
        # Patience beyond the usual one in the request in progress.
        self._granted_ms = 0
        self._host = host
        self._now_ms = now_ms
        self._sock = socket.create_connection(("127.0.0.1", port), timeout=2.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pause = threading.Event()

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._sock.close()

    def ask(
        self, name: str, request: bytes, deadline_ms: int, held_back: tuple[int, float]
    ) -> tuple[Exchange, bytes]:
        """Send a request and return its end and the body of its answer.

        The last bytes of the request, the number in `held_back`, are sent after its
        time in seconds.
        """
        self._granted_ms = 0
        count, pause_s = held_back
        cut_at = len(request) - count
        answer = b""
        try:
            self._sock.settimeout(2.0)
            self._sock.sendall(request[:cut_at])
            if count:
                self._pause.wait(pause_s)
                self._sock.sendall(request[cut_at:])
        except OSError:
            # The process had closed the connection before the request was complete.
            return self._end(name, self._now_ms(), ExchangeEnd.NOT_READ), b""
        sent_ms = self._now_ms()
        wait = ProcessorWait(self._pid)
        self._sock.settimeout((deadline_ms + SILENCE_SLACK_MS) / 1_000)
        try:
            while (whole := split_answer(answer)) is None:
                data = self._receive(wait)
                if not data:
                    return self._end(name, sent_ms, self._judge_end(answer)), b""
                answer += data
        except TimeoutError:
            return self._end(name, sent_ms, ExchangeEnd.SILENT), b""
        except OSError:
            # The kernel of the process resets a connection if the process closed it
            # with unread bytes, or before the request arrived. A request whose answer
            # had begun was read.
            end = ExchangeEnd.CUT if answer else ExchangeEnd.NOT_READ
            return self._end(name, sent_ms, end), b""
        status, closes, body = whole
        if closes:
            self.close()
        ended_ms = self._now_ms()
        end = ExchangeEnd.ANSWERED
        wait_ms = self._granted_ms
        return Exchange(self._host, name, sent_ms, ended_ms, end, status, wait_ms), body

    def _receive(self, wait: ProcessorWait) -> bytes:
        """Return what has arrived; TimeoutError at the end of the caller's patience.

        The patience grows by the time for which the process got no processor.
        """
        while True:
            try:
                return self._sock.recv(READ_BYTES)
            except TimeoutError:
                waited_ms = wait.measure_ms()
                if waited_ms <= self._granted_ms:
                    raise
                self._sock.settimeout((waited_ms - self._granted_ms) / 1_000)
                self._granted_ms = waited_ms

    def _judge_end(self, answer: bytes) -> ExchangeEnd:
        """Return how a request ended whose connection the process has closed.

        A process that closes a connection after it has read everything ends it without
        a reset. If the request arrived after the close, or was not read, the kernel of
        the process answers it with a reset, which is stored as the socket's error.
        """
        if answer:
            return ExchangeEnd.CUT
        self._pause.wait(RESET_WAIT_S)
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return ExchangeEnd.NOT_READ if error else ExchangeEnd.CUT

    def _end(self, name: str, sent_ms: int, end: ExchangeEnd) -> Exchange:
        ended_ms = self._now_ms()
        self.close()
        wait_ms = self._granted_ms
        return Exchange(self._host, name, sent_ms, ended_ms, end, 0, wait_ms)


def split_answer(data: bytes) -> tuple[int, bool, bytes] | None:
    """Return status, whether the connection closes, and body; None if incomplete.

    Every answer of the front announces its length.
    """
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    lines = head.lower().split(b"\r\n")
    length = next(
        (int(row[15:]) for row in lines if row.startswith(b"content-length:")), 0
    )
    if len(body) < length:
        return None
    return int(lines[0].split(b" ")[1]), b"connection: close" in lines, body[:length]
