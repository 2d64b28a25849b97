from __future__ import annotations

import pytest

from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import SetReady
from tests.serving.support import wait_until


def test_requests_on_one_connection_get_their_own_answers(path):
    caller = path.connect()
    for number in range(5):
        answer = caller.get(f"/r{number}", Guavapin_Request_Id=f"id{number}")
        assert answer.status == 200
        assert answer.body == f"/r{number}".encode()
        assert answer.headers[b"guavapin-request-id"] == f"id{number}".encode()
    assert path.record().highest_connections == 1


@pytest.mark.parametrize("size", [1, 100_000, 1_500_000])
def test_body_by_length_and_in_chunks_arrives_whole(path, size):
    caller = path.connect()
    body = b"b" * size
    assert caller.ask("POST", "/length", body).status == 200
    caller.send(
        b"PUT /chunks HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for start in range(0, size, 70_000):
        part = body[start : start + 70_000]
        caller.send(b"%x\r\n%b\r\n" % (len(part), part))
    caller.send(b"0\r\nTrailer-Field: dropped\r\n\r\n")
    assert caller.read_answer().body == b"/chunks"
    runs = path.record().runs
    assert [run.body_bytes for run in runs] == [size, size]
    assert b"trailer-field" not in dict(runs[1].headers)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_large_answer_arrives_whole(path, is_chunked):
    path.set_behaviour(is_chunked=is_chunked)
    caller = path.connect()
    answer = caller.get("/", Guavapin_Answer_Bytes="3000000")
    assert answer.body == b"x" * 3_000_000
    assert (b"transfer-encoding" in answer.headers) == is_chunked


@pytest.mark.parametrize("is_chunked", [False, True])
def test_answer_to_head_has_no_body_and_the_connection_stays_usable(path, is_chunked):
    path.set_behaviour(is_chunked=is_chunked)
    caller = path.connect()
    answer = caller.ask("HEAD", "/", Guavapin_Answer_Bytes="50")
    assert answer.headers.get(b"content-length") == (None if is_chunked else b"50")
    assert caller.get("/next").body == b"/next"


def test_empty_post_and_header_without_value_reach_the_upstream(path):
    caller = path.connect()
    caller.send(b"POST /p HTTP/1.1\r\nHost: t\r\nEmpty:\r\nContent-Length: 0\r\n\r\n")
    assert caller.read_answer().status == 200
    headers = dict(path.record().runs[0].headers)
    assert headers[b"empty"] == b""
    assert headers[b"content-length"] == b"0"
    assert not headers.keys() & {b"content-type", b"accept", b"expect", b"user-agent"}


def test_method_and_target_are_forwarded_as_given(path):
    caller = path.connect()
    for target in ("/a/../b/./c?x=%20", "/?q=1"):
        caller.ask("REPORT", target)
    caller.ask("GET", "http://elsewhere/abs?x=1")
    caller.ask("OPTIONS", "*")
    runs = path.record().runs
    assert [run.target for run in runs] == [
        "/a/../b/./c?x=%20",
        "/?q=1",
        "/abs?x=1",
        "*",
    ]
    assert [run.method for run in runs] == ["REPORT", "REPORT", "GET", "OPTIONS"]


def test_hop_by_hop_headers_are_removed_both_ways(path):
    path.set_behaviour(is_leaving=True)
    caller = path.connect()
    answer = caller.get(
        "/",
        Connection="X-Private, Host",
        X_Private="1",
        TE="trailers",
        Keep_Alive="9",
        X_Kept="2",
    )
    headers = dict(path.record().runs[0].headers)
    assert headers[b"x-kept"] == b"2"
    assert headers[b"host"] == b"test"
    assert not headers.keys() & {b"x-private", b"te", b"keep-alive", b"connection"}
    # The upstream closes its connection, which `exchanges` is notified of. The caller's
    # connection stays open.
    assert b"connection" not in answer.headers
    assert answer.headers[b"guavapin-leaving"] == b"true"
    assert path.received(AttemptHead)[0].is_closing
    assert caller.get("/again").status == 200


def test_expect_continue_is_answered_before_the_body(path):
    caller = path.connect()
    head = b"POST /e HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n"
    caller.send(head + b"Expect: 100-continue\r\n\r\n")
    assert caller.read_answer().status == 100
    caller.send(b"abc")
    assert caller.read_answer().body == b"/e"


def test_upgrade_is_ignored_without_a_body(path):
    # Some clients offer HTTP/2 with the first request of each connection.
    caller = path.connect()
    answer = caller.get("/u", Connection="Upgrade", Upgrade="h2c")
    assert answer.body == b"/u"
    assert caller.get("/v").body == b"/v"


def test_http_10_is_answered_without_chunks_and_closed(path):
    path.set_behaviour(is_chunked=True)
    caller = path.connect()
    caller.send(b"GET /old HTTP/1.0\r\n\r\n")
    head = caller._until(b"\r\n\r\n")
    assert b"transfer-encoding" not in head
    assert caller._exactly(4) == b"/old"
    assert caller.is_closed()


def test_connection_close_is_honoured(path):
    caller = path.connect()
    answer = caller.get("/", Connection="close")
    assert answer.headers[b"connection"] == b"close"
    assert caller.is_closed()


def test_health_checks_are_answered_by_the_front(path):
    caller = path.connect()
    assert caller.get("/healthz").status == 200
    assert caller.get("/readyz").status == 503
    path.send_to_front(SetReady(True))
    path.counts()
    assert caller.get("/readyz").status == 200
    assert caller.ask("HEAD", "/readyz").status == 200
    path.send_to_front(SetReady(False))
    path.counts()
    assert caller.get("/readyz?from=balancer").status == 503
    assert not path.exchanges.received


def test_connections_above_the_bound_wait_for_a_free_one(small_path):
    callers = [small_path.connect() for _ in range(3)]
    assert callers[0].get("/a").status == 200
    assert callers[1].get("/b").status == 200
    callers[2].send(b"GET /c HTTP/1.1\r\nHost: t\r\n\r\n")
    assert small_path.counts()["open_connections"] == 2
    callers[0].close()
    assert callers[2].read_answer().body == b"/c"


def test_ids_are_never_used_twice(path):
    callers = [path.connect() for _ in range(4)]
    for _ in range(3):
        for caller in callers:
            caller.get("/")
    ids = [received.request_id for received in path.received(RequestReceived, 12)]
    assert len(set(ids)) == 12
    for caller in callers:
        caller.close()
    wait_until(lambda: path.counts()["open_connections"] == 0)
