"""Properties of the request parser: parts, limits and held memory."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.serving.request_parser import BodyPart
from guavapin.serving.request_parser import ParseFault
from guavapin.serving.request_parser import ParserLimits
from guavapin.serving.request_parser import RequestHead
from guavapin.serving.request_parser import RequestParser

FIXED = settings(derandomize=True, max_examples=300, deadline=None)
KEPT = frozenset((b"host", b"authorization"))
LIMITS = ParserLimits(1_024, 4_096, KEPT)
LINES = st.lists(
    st.tuples(
        st.sampled_from([b"a", b"Authorization", b"X-Odd~|!", b"Accept"]),
        st.sampled_from([b"", b"v", b" \t", b"\xff" * 20]),
    ),
    max_size=30,
)


def request(lines, chunks) -> bytes:
    head = b"POST /q/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    head += b"".join(name + b":" + value + b"\r\n" for name, value in lines)
    body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in chunks)
    return head + b"\r\n" + body + b"0\r\n\r\n"


def cut(data: bytes, cuts) -> list[bytes]:
    places = sorted({min(place, len(data)) for place in cuts} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(places)]


def read_all(parser: RequestParser, parts) -> list[tuple[RequestHead, bytes]]:
    """Feed the parts as a connection does, and return the requests."""
    requests: list[tuple[RequestHead, bytes]] = []
    for part in parts:
        parser.feed(part)
        while parser.events or parser.has_rest:
            if not parser.events:
                parser.resume()
            # A pile of parsed requests would take far more memory than their bytes.
            assert sum(isinstance(e, RequestHead) for e in parser.events) <= 2
            while parser.events:
                event = parser.events.popleft()
                if isinstance(event, RequestHead):
                    requests.append((event, b""))
                elif isinstance(event, BodyPart):
                    head, body = requests[-1]
                    requests[-1] = (head, body + event.data)
                else:
                    raise AssertionError(event)
    return requests


@FIXED
@given(
    st.lists(
        st.tuples(LINES, st.lists(st.binary(min_size=1, max_size=60), max_size=9)),
        min_size=1,
        max_size=4,
    ),
    st.lists(st.integers(0, 3_000), max_size=9),
)
def test_requests_do_not_depend_on_how_they_are_cut(requests, cuts):
    # Guards against requests that are lost or joined where a part ends.
    data = b"".join(request(lines, chunks) for lines, chunks in requests)
    read = read_all(RequestParser(LIMITS), cut(data, cuts))
    assert [body for _, body in read] == [b"".join(chunks) for _, chunks in requests]
    for (head, _), (lines, _) in zip(read, requests, strict=True):
        keys = [name for name, _ in lines if name == b"Authorization"]
        names = [name for name, _ in head.headers]
        assert names == [b"host"] + [b"authorization"] * len(keys)


@FIXED
@given(st.integers(0, 300), st.integers(0, 700), st.booleans())
def test_heads_are_refused_by_their_limit_only(lines, length, is_whole):
    # Guards against a refused head within the limit, and a kept one above it.
    filler = b"a:\r\n" * lines + b"long:" + b"x" * length + b"\r\n"
    head = b"Host: h\r\n" + filler
    parser = RequestParser(LIMITS)
    data = b"GET / HTTP/1.1\r\n" + head + b"\r\n"
    for part in [data] if is_whole else cut(data, range(0, len(data), 50)):
        parser.feed(part)
    event = parser.events[0]
    if len(head) + 2 <= LIMITS.max_head_bytes:
        assert isinstance(event, RequestHead)
    elif len(head) > LIMITS.max_head_bytes + 5:
        assert isinstance(event, ParseFault) and event.status == 431


@FIXED
@given(st.binary(max_size=3_000), st.lists(st.integers(0, 3_000), max_size=5))
def test_arbitrary_bytes_never_raise_and_hold_little(data, cuts):
    # Guards against input whose objects take many times the memory of its bytes.
    parser = RequestParser(LIMITS)
    for part in cut(b"GET / HTTP/1.1\r\n" + data, cuts):
        parser.feed(part)
        assert parser.held_bytes <= 200 * len(data) + 2_000
    parser.discard()
    assert parser.held_bytes == 0 and not parser.has_rest


@pytest.mark.parametrize("repeated", [b"a:\r\n", b"a", b"\r\n"])
def test_input_without_an_end_is_refused_and_dropped(repeated):
    # Guards against heads and empty lines that are collected without a limit.
    parser = RequestParser(LIMITS)
    parser.feed(b"" if repeated == b"\r\n" else b"GET / HTTP/1.1\r\nHost: h\r\n")
    for _ in range(3):
        parser.feed(repeated * 1_000)
    assert [event.status for event in parser.events] == [431]
    assert not parser.has_rest


@pytest.mark.parametrize(
    ("framing", "data", "status"),
    [
        (b"Content-Length: 4097", b"", 413),
        (b"Transfer-Encoding: chunked", b"3e8\r\n%b\r\n" % (b"x" * 1_000), 413),
        (b"Transfer-Encoding: chunked", b"1;%b\r\nx\r\n" % (b"e" * 400), 431),
    ],
)
def test_bodies_above_the_limit_are_refused(framing, data, status):
    # Guards against bodies and chunk extensions that are collected without a limit.
    parser = RequestParser(LIMITS)
    parser.feed(b"POST / HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n")
    for _ in range(8):
        parser.feed(data)
    faults = [event for event in parser.events if isinstance(event, ParseFault)]
    assert [fault.status for fault in faults] == [status]


@FIXED
@given(st.integers(1, 4_096))
def test_bodies_in_chunks_of_one_byte_are_within_the_limits(length):
    # Guards against a limit of chunk framing that an ordinary client reaches.
    parser = RequestParser(LIMITS)
    (read,) = read_all(parser, [request([], [b"x"] * length)])
    assert read[1] == b"x" * length
