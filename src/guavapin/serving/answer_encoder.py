"""Encodes the answer to one request as an HTTP/1.1 response."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from guavapin.serving.hop_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from guavapin.serving.messages import Headers

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}


class AnswerEncoder:
    """Framing of one answer; `closes` is set if its end closes the connection.

    A body without an announced length is sent in chunks, so that the caller can
    distinguish a complete answer from a broken one. HTTP/1.0 has no chunks, so the end
    of the connection ends the body; `ends_with_connection` is set in this case.
    """

    __slots__ = (
        "_has_body",
        "_is_chunked",
        "_left",
        "closes",
        "ends_with_connection",
        "is_http_10",
        "method",
    )

    def __init__(self, method: str, is_http_10: bool, closes: bool) -> None:
        self.method = method
        self.is_http_10 = is_http_10
        self.closes = closes
        self.ends_with_connection = False
        self._has_body = True
        self._is_chunked = False
        self._left = -1

    def head(self, status: int, headers: Headers, length: int) -> bytes:
        """Return the head; `length` is -1 if the length of the body is not known.

        The encoder replaces framing headers in `headers` with its own. If `length` is
        -1, a ``Content-Length`` in `headers` is used as the length.
        """
        parts = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        for name, value in headers:
            if name == b"content-length":
                if length < 0 and value.isdigit():
                    length = int(value)
            elif name not in HOP_BY_HOP:
                parts.append(name + b": " + value + b"\r\n")
        self._has_body = not (
            self.method == "HEAD" or status < 200 or status in (204, 304)
        )
        parts.append(self._framing(status, length))
        if self.closes:
            parts.append(b"connection: close\r\n")
        elif self.is_http_10:
            parts.append(b"connection: keep-alive\r\n")
        parts.append(b"\r\n")
        return b"".join(parts)

    def body(self, data: bytes) -> bytes | None:
        """Return the encoded part, or None if it exceeds the announced length."""
        if not self._has_body or not data:
            return b""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        if self._left >= 0:
            if len(data) > self._left:
                return None
            self._left -= len(data)
        return data

    def end(self) -> bytes | None:
        """Return the end of the body, or None if the announced length is not met."""
        if not self._has_body:
            return b""
        if self._is_chunked:
            return LAST_CHUNK
        return None if self._left > 0 else b""

    def _framing(self, status: int, length: int) -> bytes:
        if length >= 0 and status >= 200 and status != 204:
            self._left = length
            return b"content-length: %d\r\n" % length
        if not self._has_body:
            return b""
        if self.is_http_10:
            self.closes = True
            self.ends_with_connection = True
            return b""
        self._is_chunked = True
        return b"transfer-encoding: chunked\r\n"


def plain_answer(encoder: AnswerEncoder, status: int, text: str) -> bytes:
    """Return a complete answer whose body is one line of text."""
    data = text.encode() + b"\n"
    headers: Headers = ((b"content-type", b"text/plain; charset=utf-8"),)
    if encoder.closes and status == 503:
        headers = (*headers, (b"retry-after", b"1"))
    head = encoder.head(status, headers, len(data))
    return head + (encoder.body(data) or b"")
