from __future__ import annotations

import pytest

from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived

HOST = b"Host: t\r\n"
SMUGGLED = b"GET /smuggled HTTP/1.1\r\n" + HOST + b"\r\n"

# Servers differ on whether each of these has a body, or whether it is one request or
# two.
AMBIGUOUS = {
    "length and chunks": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks and length": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Content-Length: 0\r\nContent-Length: 50\r\n\r\n",
    "list of lengths": b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 0, 50\r\n\r\n",
    "signed length": b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +0\r\n\r\n",
    "hidden chunks": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: xchunked\r\n\r\n",
    "chunks not last": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "two encodings": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks in HTTP/1.0": b"POST / HTTP/1.0\r\n"
    + HOST
    + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "space before colon": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding : chunked\r\n\r\n",
    "folded header": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding:\r\n chunked\r\n\r\n",
    "bare line feeds": b"GET / HTTP/1.1\nHost: t\n\n",
    "bare carriage return": b"GET / HTTP/1.1\r\n" + HOST + b"A: b\rC: d\r\n\r\n",
    "upgrade with body": b"POST / HTTP/1.1\r\n"
    + HOST
    + b"Connection: Upgrade\r\nUpgrade: x\r\nContent-Length: 50\r\n\r\n",
}

MALFORMED = {
    "tls without tls": (b"\x16\x03\x01\x02\x00\x01\x00\x01", 501),
    "unknown method": (b"BREW / HTTP/1.1\r\n" + HOST + b"\r\n", 501),
    "connect": (b"CONNECT a:1 HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
    "http 2": (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 505),
    "no path": (b"GET ftp://a/b HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    "nul": (b"GET / HTTP/1.1\r\n" + HOST + b"A: \0\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_ambiguous_framing_is_refused_and_nothing_after_it_is_read(path, name):
    caller = path.connect()
    caller.send(AMBIGUOUS[name] + SMUGGLED)
    answer = caller.read_answer()
    assert answer.status in (400, 501)
    assert answer.headers[b"connection"] == b"close"
    assert caller.is_closed()
    assert not [m for m in path.exchanges.received if isinstance(m, RequestReceived)]


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused(path, name):
    data, status = MALFORMED[name]
    caller = path.connect()
    caller.send(data)
    assert caller.read_answer().status == status
    assert caller.is_closed()
    assert not path.exchanges.received


def test_malformed_request_after_a_good_one_is_refused(path):
    caller = path.connect()
    assert caller.get("/a").status == 200
    caller.send(b"GET / HTTP/1.1\r\n\r\n")
    assert caller.read_answer().status == 400


def test_malformed_chunk_ends_the_request_and_notifies_exchanges(path):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n")
    (received,) = path.received(RequestReceived)
    caller.send(b"3\r\nabcXX")
    assert caller.read_answer().status == 400
    assert caller.is_closed()
    assert path.received(CallerGone) == [CallerGone(received.request_id)]


@pytest.mark.parametrize("parts", [1, 40])
def test_head_above_the_bound_is_refused(small_path, parts):
    caller = small_path.connect()
    data = b"GET / HTTP/1.1\r\nHost: t\r\nLong: " + b"a" * 2_500
    size = len(data) // parts
    for start in range(0, len(data), size):
        caller.send(data[start : start + size])
    assert caller.read_answer().status == 431
    assert caller.is_closed()


def test_head_above_the_bound_is_refused_behind_another_request(small_path):
    caller = small_path.connect()
    caller.send(b"GET /healthz HTTP/1.1\r\nHost: t\r\n\r\nGET / HTTP/1.1\r\n")
    assert caller.read_answer().status == 200
    caller.send(b"Host: t\r\nLong: " + b"a" * 2_000 + b"\r\n\r\n")
    assert caller.read_answer().status == 431


def test_endless_trailer_is_refused(small_path):
    # The C parser buffers a trailer without reporting it.
    small_path.mute_exchanges()
    caller = small_path.connect()
    caller.send(
        b"POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
    )
    small_path.received(RequestReceived)
    caller.send(b"T: " + b"a" * 2_500)
    assert caller.read_answer().status == 431
    assert caller.is_closed()


def test_pipelined_requests_wait_and_are_answered_in_order(path):
    path.mute_exchanges()
    caller = path.connect()
    head = b"Host: t\r\nContent-Length: 2\r\n\r\n"
    caller.send(
        b"POST /1 HTTP/1.1\r\n%bab" % head
        + b"GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n"
        + b"POST /2 HTTP/1.1\r\n%bcd" % head
    )
    (first,) = path.received(RequestReceived)
    assert path.received(RequestBody) == [RequestBody(first.request_id, b"ab", True)]
    path.send_to_front(AnswerHead(first.request_id, 200, (), 1))
    path.counts()
    assert len(path.received(RequestReceived)) == 1
    path.send_to_front(AnswerBody(first.request_id, b"1"), AnswerEnd(first.request_id))
    assert caller.read_answer().body == b"1"
    assert caller.read_answer().body == b"ok\n"
    second = path.received(RequestReceived, 2)[1]
    assert second.target == "/2"
    path.send_to_front(
        AnswerHead(second.request_id, 204, ()), AnswerEnd(second.request_id)
    )
    assert caller.read_answer().status == 204


def test_pipelined_bytes_are_bounded(path):
    path.mute_exchanges()
    caller = path.connect()
    request = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
    caller.sock.settimeout(0.3)
    with pytest.raises(TimeoutError):
        caller.send(request * 4_000_000)
    assert len(path.received(RequestReceived)) == 1


def test_head_byte_by_byte_passes_and_a_slow_one_times_out(small_path):
    caller = small_path.connect()
    for byte in b"GET /slow HTTP/1.1\r\nHost: t\r\n\r\n":
        caller.send(bytes((byte,)))
    assert caller.read_answer().body == b"/slow"
    caller.send(b"GET /slow HTTP/1.1\r\n")
    assert caller.read_answer().status == 408
    assert caller.is_closed()


def test_idle_connection_is_closed_without_an_answer(small_path):
    caller = small_path.connect()
    assert caller.is_closed()
    assert small_path.counts()["timeouts"] == 1


def test_caller_that_stops_sending_its_body_is_refused(small_path):
    small_path.mute_exchanges()
    caller = small_path.connect()
    caller.send(b"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nabc")
    assert caller.read_answer().status == 408
    assert len(small_path.received(CallerGone)) == 1


def test_waiting_for_a_long_answer_does_not_time_out(small_path):
    caller = small_path.connect()
    assert caller.get("/long", Guavapin_Run_Ms="900").body == b"/long"


def test_refusal_before_the_end_of_the_body_reaches_the_caller(path):
    # Closing at once resets the connection, and the caller may lose the answer.
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 900000\r\n\r\nabc")
    (received,) = path.received(RequestReceived)
    path.send_to_front(
        AnswerHead(received.request_id, 413, (), 0), AnswerEnd(received.request_id)
    )
    answer = caller.read_answer()
    assert answer.status == 413
    assert answer.headers[b"connection"] == b"close"
    caller.send(b"a" * 800_000)
    assert caller.is_closed()
