"""Hop-by-hop headers, which an intermediary must not forward (RFC 9110, 7.6.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.serving.messages import Headers

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

# A sender could list these in Connection to have them removed, which would change the
# meaning of the message for the next hop.
PROTECTED = frozenset((b"host", b"content-length"))


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the lower-case options of all ``Connection`` headers."""
    options = [
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    ]
    return frozenset(options)


def end_to_end(headers: Headers) -> Headers:
    """Return `headers` without the hop-by-hop ones; names must be in lower case."""
    for name, _ in headers:
        if name in HOP_BY_HOP:
            break
    else:
        return headers
    dropped = HOP_BY_HOP | (connection_options(headers) - PROTECTED)
    return tuple(header for header in headers if header[0] not in dropped)
