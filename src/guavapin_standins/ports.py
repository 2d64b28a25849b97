"""Free loopback ports for processes whose ports must be known before they start."""

from __future__ import annotations

import itertools
import os
import socket

# Below the range of the operating system's ephemeral ports, so that no connection takes
# a port between its choice and its use.
FIRST_PORT = 12_000
PORT_COUNT = 20_000
PORTS_PER_PROCESS = 211

_next_offset = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_ports(count: int) -> list[int]:
    """Return `count` ports that are not in use; no port is returned twice."""
    ports: list[int] = []
    for offset in _next_offset:
        port = FIRST_PORT + offset % PORT_COUNT
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
