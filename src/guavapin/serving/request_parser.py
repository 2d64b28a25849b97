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

# Memory of a header besides its bytes: a tuple, two bytes objects and a list slot.
HEADER_OBJECT_BYTES = 160
# Memory of a request besides its headers: events, messages and the encoder.
REQUEST_OBJECT_BYTES = 1_024

# Bytes of chunk sizes and extensions that a body may have for each byte of its own.
# Chunks of one byte take five.
FRAMING_PER_BODY_BYTE = 8

# Bytes of a request line that do not count as bytes of the head's limit, which is often
# understood as that of the header lines.
REQUEST_LINE_BYTES = 256

# Headers that the parser itself reads.
FRAMING_HEADERS = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"expect", b"connection")
)
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ParserLimits:
    """Limits of one request; a `max_body_bytes` of 0 means no limit.

    The header lines have at most `max_head_bytes`; each counts four bytes or more, so
    that this limits their number too. A request line of usual length is not counted.
    Only the headers in `kept_headers` are kept, or all if it is None.
    """

    max_head_bytes: int
    max_body_bytes: int = 0
    kept_headers: frozenset[bytes] | None = None


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request, with the headers that are kept.

    `held_bytes` is the memory that it takes.
    """

    method: str
    target: str
    headers: Headers
    body_follows: bool
    keep_alive: bool
    is_http_10: bool
    expects_continue: bool
    held_bytes: int = 0


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

    def __init__(self, limits: ParserLimits) -> None:
        self.events: deque[ParserEvent] = deque()
        self.set_limits(limits)
        self._parser = httptools.HttpRequestParser(self)
        self._rest = b""
        self._offset = 0
        self._unproductive_bytes = 0
        self._has_failed = False
        self._reset()

    def set_limits(self, limits: ParserLimits) -> None:
        """Apply other limits from the next header on."""
        self.limits = limits
        self._max_head_bytes = limits.max_head_bytes
        kept = limits.kept_headers
        self._kept_names = None if kept is None else kept | FRAMING_HEADERS

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # A body is collected in one growing buffer, since a small object for each chunk
        # would take many times the memory of its bytes.
        self._part: bytes | bytearray = b""
        self._head_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._length_left = 0
        self._is_head_done = False
        self._is_idle = True
        self._body_follows = False

    @property
    def is_between_requests(self) -> bool:
        """Whether no byte of another request has been read."""
        return self._is_idle and not self.events and not self._rest

    @property
    def has_rest(self) -> bool:
        """Whether bytes behind a complete request have not been parsed yet."""
        return bool(self._rest)

    @property
    def held_bytes(self) -> int:
        """Return the memory that unprocessed input takes."""
        # Bytes of dropped headers count too; a sum over the kept ones at each part that
        # arrives would cost more than they hold.
        held = len(self._rest) + len(self._part) + self._head_bytes
        held += HEADER_OBJECT_BYTES * len(self._headers)
        for event in self.events:
            if isinstance(event, RequestHead):
                held += event.held_bytes
        return held

    def feed(self, data: bytes) -> None:
        """Parse `data` up to the end of a request; the rest waits for `resume`.

        After a fault, all input is ignored.
        """
        if self._has_failed:
            return
        is_whole = data.find(HEAD_END) == len(data) - len(HEAD_END)
        if is_whole and not (self._rest or self._length_left):
            # The usual input, one head, needs no search for the end of a request.
            before = len(self.events)
            self._feed_once(data)
            if not self._rest:
                self._flush_body()
                self._check_progress(len(data), len(self.events) > before)
                return
            data = b""
        self._rest = self._rest[self._offset :] + data if self._rest else data
        self._offset = 0
        self.resume()

    def resume(self) -> None:
        """Parse the rest of the input up to the end of a request."""
        before = len(self.events)
        length = len(self._rest) - self._offset
        while self._rest and not self._has_failed:
            data = self._next_slice()
            self._feed_once(data)
            if self._is_idle and self.events:
                break
        self._flush_body()
        left = len(self._rest) - self._offset
        self._check_progress(length - left, len(self.events) > before)

    def discard(self) -> None:
        """Drop all input; what follows is ignored too."""
        self._has_failed = True
        self.events.clear()
        self._reset()
        self._clear_rest()

    def _next_slice(self) -> bytes:
        """Take the bytes up to the next place at which a request can end.

        A request ends with an empty line or with its announced length, so that a slice
        holds the end of one request and at most one more. Parsed requests therefore do
        not accumulate.
        """
        rest, begin = self._rest, self._offset
        if self._length_left:
            end = begin + self._length_left
        else:
            found = rest.find(HEAD_END, begin)
            end = found + len(HEAD_END) if found >= 0 else len(rest)
        if end < len(rest):
            self._offset = end
            return rest[begin:end]
        self._clear_rest()
        return rest[begin:] if begin else rest

    def _clear_rest(self) -> None:
        self._rest = b""
        self._offset = 0

    def _feed_once(self, data: bytes) -> None:
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            # An upgrade may be ignored (RFC 9110, 7.8), but the C parser stops at it.
            self._parser = httptools.HttpRequestParser(self)
            self._rest = data[exc.args[0] :] + self._rest[self._offset :]
            self._offset = 0
        except httptools.HttpParserInvalidMethodError:
            self._fail(501, "method not supported")
        except httptools.HttpParserError as exc:
            self._fail(400, str(exc) or "malformed request")
        # A smaller number belongs to the next request.
        if 0 < body_bytes <= self._body_bytes:
            self._count_framing(len(data) - (self._body_bytes - body_bytes))

    def _count_framing(self, length: int) -> None:
        # Counted only once a body has begun, so that heads do not count.
        if self._is_idle:
            return
        self._framing_bytes += length
        allowed = FRAMING_PER_BODY_BYTE * self._body_bytes + self.limits.max_head_bytes
        if self._framing_bytes > allowed:
            self._fail(431, "chunk extensions too large")

    def on_message_begin(self) -> None:
        self._reset()
        self._is_idle = False

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Headers after the head are trailers and are dropped.
        if self._is_head_done:
            return
        # A line has a colon and a line end at least, so that each counts four bytes or
        # more, and this limit is also one on the number of lines.
        self._head_bytes += len(name) + len(value) + 3
        if self._head_bytes > self._max_head_bytes:
            self._fail(431, "request head too large")
            return
        name = name.lower()
        kept = self._kept_names
        if kept is None or name in kept:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._is_head_done = True
        if self._has_failed:
            return
        self._flush_body()
        event = self._read_head()
        self._headers = []
        self._head_bytes = 0
        if isinstance(event, ParseFault):
            self._fail(event.status, event.detail)
            return
        self._body_follows = event.body_follows
        self.events.append(event)

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._length_left:
            self._length_left -= len(data)
        if self._has_failed:
            return
        max_bytes = self.limits.max_body_bytes
        if max_bytes and self._body_bytes > max_bytes:
            self._fail(413, "request body too large")
        elif not self._part:
            self._part = data
        elif isinstance(self._part, bytearray):
            self._part += data
        else:
            self._part = bytearray(self._part)
            self._part += data

    def on_message_complete(self) -> None:
        self._is_idle = True
        if self._body_follows and not self._has_failed:
            self.events.append(BodyPart(bytes(self._part), True))
        self._part = b""

    def _read_head(self) -> RequestHead | ParseFault:
        headers = tuple(self._headers)
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            return ParseFault(505, "only HTTP/1.1 and HTTP/1.0 are supported")
        if len(self._url) > self.limits.max_head_bytes:
            return ParseFault(431, "request target too large")
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
        max_body_bytes = self.limits.max_body_bytes
        if max_body_bytes and length > max_body_bytes:
            return ParseFault(413, "request body too large")
        self._length_left = length
        held_bytes = REQUEST_OBJECT_BYTES + len(self._url)
        kept = self.limits.kept_headers
        if kept is None:
            held_bytes += self._head_bytes
        else:
            headers = tuple(header for header in headers if header[0] in kept)
            held_bytes += sum(len(name) + len(value) for name, value in headers)
        return RequestHead(
            method=method,
            target=target,
            headers=headers,
            body_follows=body_follows,
            keep_alive=_keeps_alive(options, version),
            is_http_10=version == "1.0",
            expects_continue=expects_continue and version == "1.1",
            held_bytes=held_bytes + HEADER_OBJECT_BYTES * len(headers),
        )

    def _flush_body(self) -> None:
        if self._part and not self._has_failed:
            self.events.append(BodyPart(bytes(self._part), False))
            self._part = b""

    def _check_progress(self, length: int, has_events: bool) -> None:
        # Counts bytes without a resulting event: an endless head, trailer or extension.
        self._unproductive_bytes = (
            0 if has_events else self._unproductive_bytes + length
        )
        if self._unproductive_bytes > self.limits.max_head_bytes + REQUEST_LINE_BYTES:
            self._fail(431, "request head too large")

    def _fail(self, status: int, detail: str) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._part = b""
            self._clear_rest()
            self._headers = []
            self._head_bytes = 0
            self._is_head_done = True
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
