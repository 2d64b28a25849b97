"""Parses the bytes of one connection into requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

import httptools

from guavapin.serving.hop_headers import connection_options

if TYPE_CHECKING:
    from guavapin.serving.messages import Headers


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request, with all its headers."""

    method: str
    target: str
    headers: Headers
    body_follows: bool
    keep_alive: bool
    is_http_10: bool
    expects_continue: bool


@dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of a request's body."""

    data: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class ParseFault:
    """Input that cannot be parsed any further; it is answered with `status`."""

    status: int
    detail: str


ParserEvent: TypeAlias = RequestHead | BodyPart | ParseFault


class RequestParser:
    """Feeds bytes to the C parser and queues the results in `events`.

    The C parser rejects ambiguous framing: both ``Content-Length`` and
    ``Transfer-Encoding``, repeated lengths, bare line feeds and folded headers. Request
    smuggling relies on requests that two parsers split differently.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.events: deque[ParserEvent] = deque()
        self._max_head_bytes = max_head_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._unproductive_bytes = 0
        self._fed_bytes = 0
        self._request_bytes = 0
        self._has_failed = False
        self._parts: list[bytes] = []
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Whether no byte of another request has been read."""
        return self._is_idle and not self.events

    def feed(self, data: bytes) -> None:
        """Parse `data`; after a fault, all input is ignored."""
        if self._has_failed:
            return
        before = len(self.events)
        self._fed_bytes = len(data)
        self._request_bytes += len(data)
        rest = data
        while rest and not self._has_failed:
            rest = self._feed_once(rest)
        self._flush_body()
        self._check_progress(len(data), len(self.events) > before)

    def _feed_once(self, data: bytes) -> bytes:
        """Parse `data` up to a request for an upgrade; returns the bytes after it."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            # An upgrade may be ignored (RFC 9110, 7.8), but the C parser stops at it.
            self._parser = httptools.HttpRequestParser(self)
            return data[exc.args[0] :]
        except httptools.HttpParserInvalidMethodError:
            self._fail(501, "method not supported")
        except httptools.HttpParserError as exc:
            self._fail(400, str(exc) or "malformed request")
        return b""

    def on_message_begin(self) -> None:
        self._reset()
        self._is_idle = False
        # An upper bound of the request's bytes so far: all data of this `feed` call.
        self._request_bytes = self._fed_bytes

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Headers after the head are trailers and are dropped.
        if not self._is_head_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._is_head_done = True
        if self._has_failed:
            return
        self._flush_body()
        event = self._read_head()
        if isinstance(event, ParseFault):
            self._fail(event.status, event.detail)
            return
        self._body_follows = event.body_follows
        self.events.append(event)

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

    def on_message_complete(self) -> None:
        self._is_idle = True
        if self._body_follows and not self._has_failed:
            self.events.append(BodyPart(b"".join(self._parts), True))
        self._parts = []

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts = []
        self._is_head_done = False
        self._is_idle = True
        self._body_follows = False

    def _read_head(self) -> RequestHead | ParseFault:
        headers = tuple(self._headers)
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            return ParseFault(505, "only HTTP/1.1 and HTTP/1.0 are supported")
        # The sum is needed only if more bytes were read than a head may have.
        is_long = self._request_bytes > self._max_head_bytes
        if is_long and self._head_bytes() > self._max_head_bytes:
            return ParseFault(431, "request head too large")
        hosts = length = chunked = 0
        expects_continue = False
        options: frozenset[bytes] = frozenset()
        for name, value in headers:
            if name == b"host":
                hosts += 1
            elif name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked += 1
                if value.lower() != b"chunked" or chunked > 1 or version == "1.0":
                    return ParseFault(501, "transfer encoding not supported")
            elif name == b"expect":
                expects_continue = value.lower() == b"100-continue"
            elif name == b"connection":
                options = connection_options(headers)
        if hosts > 1 or (not hosts and version == "1.1"):
            return ParseFault(400, "exactly one Host header is needed")
        method = self._parser.get_method().decode("ascii")
        target = _origin_form(method, self._url)
        if target is None:
            return ParseFault(400, "request target not supported")
        body_follows = bool(length or chunked)
        if body_follows and self._parser.should_upgrade():
            # The C parser does not parse the body of a request with an upgrade, so the
            # body would be parsed as the next request.
            return ParseFault(501, "upgrade with a body is not supported")
        return RequestHead(
            method=method,
            target=target,
            headers=headers,
            body_follows=body_follows,
            keep_alive=_keeps_alive(options, version),
            is_http_10=version == "1.0",
            expects_continue=expects_continue and version == "1.1",
        )

    def _head_bytes(self) -> int:
        return len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._headers)

    def _flush_body(self) -> None:
        if self._parts and not self._has_failed:
            self.events.append(BodyPart(b"".join(self._parts), False))
            self._parts = []

    def _check_progress(self, length: int, has_events: bool) -> None:
        # Counts bytes without a resulting event: an endless head, trailer or extension.
        self._unproductive_bytes = (
            0 if has_events else self._unproductive_bytes + length
        )
        if self._unproductive_bytes > self._max_head_bytes:
            self._fail(431, "request head too large")

    def _fail(self, status: int, detail: str) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._parts = []
            self.events.append(ParseFault(status, detail))


def _keeps_alive(options: frozenset[bytes], version: str) -> bool:
    if version == "1.0":
        return b"keep-alive" in options and b"close" not in options
    return b"close" not in options


def _origin_form(method: str, url: bytes) -> str | None:
    """Return the target as a path, or None if it is not one.

    The absolute form must be accepted (RFC 9112, 3.2.2). Its authority is dropped, and
    ``Host`` is used instead.
    """
    target = url.decode("latin-1")
    if method == "CONNECT":
        return None
    if target.startswith("/") or (target == "*" and method == "OPTIONS"):
        return target
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return None
    authority = rest.replace("?", "/").partition("/")[0]
    path = rest[len(authority) :]
    return path if path.startswith("/") else f"/{path}"
