"""A crowd of hostile clients on one thread, and what it costs a process."""

from __future__ import annotations

import os
import selectors
import socket
import time
from dataclasses import dataclass
from pathlib import Path

# Time for which the crowd sends, and time for which it then stays connected. Nothing is
# checked against these times; they only end the sending of input without an end.
SEND_S = 1.5
STAY_S = 0.4
SEND_BYTES = 32_768


@dataclass(frozen=True, slots=True)
class Input:
    """What one client sends: `first`, then `repeated` this often, then `last`."""

    first: bytes = b""
    repeated: bytes = b""
    times: int = 0
    last: bytes = b""

    def data(self) -> bytes:
        """Return all bytes that a client sends."""
        return self.first + self.repeated * self.times + self.last


@dataclass(frozen=True, slots=True)
class Peak:
    """Highest resident memory and number of open descriptors of a process."""

    memory_kb: int
    descriptors: int


def peak_memory_kb(pid: int) -> int:
    """Return the highest resident memory (VmHWM) of a process so far."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(row for row in status.splitlines() if row.startswith("VmHWM:"))
    return int(line.split()[1])


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class Crowd:
    """Clients that send the same input on many connections and never read."""

    def __init__(self, port: int, clients: int, sent: Input) -> None:
        self._data = memoryview(sent.data())
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, int] = {}
        for _ in range(clients):
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect_ex(("127.0.0.1", port))
            self._sent[sock] = 0
            self._selector.register(sock, selectors.EVENT_WRITE)

    def press(self, pid: int) -> Peak:
        """Send the input, stay connected, and return the peak of process `pid`."""
        descriptors = 0
        stop_s = time.monotonic() + SEND_S
        while self._selector.get_map() and time.monotonic() < stop_s:
            for key, _ in self._selector.select(0.05):
                assert isinstance(key.fileobj, socket.socket)
                self._send(key.fileobj)
            descriptors = max(descriptors, open_descriptors(pid))
        stop_s = time.monotonic() + STAY_S
        while time.monotonic() < stop_s:
            descriptors = max(descriptors, open_descriptors(pid))
            time.sleep(0.05)
        return Peak(peak_memory_kb(pid), descriptors)

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for sock in self._sent:
            sock.close()

    def _send(self, sock: socket.socket) -> None:
        begin = self._sent[sock]
        part = self._data[begin : begin + SEND_BYTES]
        try:
            self._sent[sock] += sock.send(part)
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(sock)
            return
        if self._sent[sock] == len(self._data):
            self._selector.unregister(sock)
