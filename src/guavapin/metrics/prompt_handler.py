"""A log handler that never waits for the reader of its lines."""

from __future__ import annotations

import logging
import os
import select

# A pipe that is ready for writing takes this many bytes without a wait.
CHUNK_BYTES = select.PIPE_BUF

# Lines that wait for a reader, beyond what its pipe holds.
MAX_WAITING_BYTES = 262_144

# Time that the end of a process gives its reader for the lines that wait.
CLOSE_TIMEOUT_MS = 200


class PromptHandler(logging.Handler):
    """Writes lines to the descriptor `fd` and keeps what it does not take yet.

    A pipe whose reader has stopped is full after some hundred lines, and an event loop
    that waited for it would serve nothing. Lines beyond `MAX_WAITING_BYTES` are
    dropped; the next line carries their number in ``lines_lost``. What is kept is
    written with the next line, or when the handler is flushed or closed.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._waiting = bytearray()
        self._lost_count = 0
        self._is_cut = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as lost."""
        self._write(0)
        if self._lost_count:
            record.lines_lost = self._lost_count
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting and len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._lost_count += 1
            return
        if self._is_cut:
            # A line of which a part was written must not join this one.
            line = b"\n" + line
        self._lost_count, self._is_cut = 0, False
        self._waiting += line
        self._write(0)

    def flush(self) -> None:
        """Write as much of what is kept as the descriptor takes."""
        self.acquire()
        try:
            self._write(0)
        finally:
            self.release()

    def close(self) -> None:
        """Write what is kept while the reader takes it."""
        self.acquire()
        try:
            self._write(CLOSE_TIMEOUT_MS)
        finally:
            self.release()
        super().close()

    def _write(self, timeout_ms: int) -> None:
        while self._waiting and self._poll.poll(timeout_ms):
            try:
                written = os.write(self._fd, self._waiting[:CHUNK_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, or the disk is full.
                self._lost_count += self._waiting.count(b"\n")
                self._waiting.clear()
                self._is_cut = True
                return
            del self._waiting[:written]
