from __future__ import annotations

import pytest


def test_requests_on_one_connection_get_their_own_answers(path):
    caller = path.connect()
    for number in range(5):
        answer = caller.get(f"/r{number}", Guavapin_Request_Id=f"id{number}")
        assert answer.status == 200
        assert answer.body == f"/r{number}".encode()
        assert answer.headers[b"guavapin-request-id"] == f"id{number}".encode()
    caller.close()
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
    assert [run.body_bytes for run in path.record().runs] == [size, size]
    caller.close()


@pytest.mark.parametrize("is_chunked", [False, True])
def test_large_answer_arrives_whole(path, is_chunked):
    path.behave(is_chunked=is_chunked)
    caller = path.connect()
    answer = caller.get("/", Guavapin_Answer_Bytes="3000000")
    assert answer.body == b"x" * 3_000_000
    assert (b"transfer-encoding" in answer.headers) == is_chunked
    caller.close()
