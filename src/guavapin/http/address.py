"""Syntax of the addresses and header values that a call may carry."""

from __future__ import annotations

import re

MAX_PORT = 65_535

# A host name, an IPv4 address, or an IPv6 address in brackets, and a port. Anything
# else in the place of the host, such as "/" or "@", would change the meaning of a URL.
_ADDRESS = re.compile(
    r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+(?:%[A-Za-z0-9._~-]+)?\]):([0-9]{1,5})",
)


def is_address(text: str) -> bool:
    """Return whether `text` is ``HOST:PORT`` with a port from 1 to 65535.

    For example, ``10.0.0.7:8080`` and ``[::1]:8080`` are addresses; ``10.0.0.7``,
    ``10.0.0.7:0`` and ``user@10.0.0.7:8080`` are not.
    """
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def is_header_value(text: str) -> bool:
    """Return whether `text` is printable ASCII, so that one header line can carry it.

    A line break would end the header and begin another one.
    """
    return text.isascii() and text.isprintable()
