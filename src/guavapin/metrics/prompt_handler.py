"""A log handler that never waits for the reader of its lines."""

from __future__ import annotations

import logging
import os
import select

# A pipe that is ready for writing takes this many bytes without a wait.
CHUNK_BYTES = select.PIPE_BUF


class PromptHandler(logging.Handler):
    """Writes lines to the descriptor `fd` and drops them while it takes no more.

    A pipe whose reader has stopped is full after some hundred lines, and an event loop
    that waited for it would serve nothing. The next line that is written carries the
    number of dropped ones in ``lines_lost``.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        # The end of a line of which a part is written.
        self._rest = b""
        self._lost_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as lost."""
        if not self._write_rest() or not self._poll.poll(0):
            self._lost_count += 1
            return
        if self._lost_count:
            record.lines_lost, self._lost_count = self._lost_count, 0
        try:
            self._rest = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
        self._write_rest()

    def _write_rest(self) -> bool:
        """Write as much as the descriptor takes; return whether nothing is left."""
        while self._rest and self._poll.poll(0):
            try:
                written = os.write(self._fd, self._rest[:CHUNK_BYTES])
            except BlockingIOError:
                return False
            except OSError:
                # The reader has gone, or the disk is full: the line is lost.
                self._rest = b""
                self._lost_count += 1
                return True
            self._rest = self._rest[written:]
        return not self._rest
