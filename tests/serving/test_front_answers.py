from __future__ import annotations

import pytest

from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import RequestReceived
from tests.serving.support import wait_until


def received_ids(path, count):
    return {r.target: r.request_id for r in path.received(RequestReceived, count)}


def whole_answer(request_id, body):
    return (
        AnswerHead(request_id, 200, (), len(body)),
        AnswerBody(request_id, body),
        AnswerEnd(request_id),
    )


def test_answers_out_of_order_reach_their_own_callers(path):
    path.mute_exchanges()
    callers = [path.connect() for _ in range(8)]
    for number, caller in enumerate(callers):
        caller.send(b"GET /%d HTTP/1.1\r\nHost: t\r\n\r\n" % number)
    ids = received_ids(path, 8)
    messages = [whole_answer(ids[f"/{n}"], b"answer %d" % n) for n in range(8)]
    # The parts are interleaved, in reverse order of the requests.
    for part in range(3):
        path.send_to_front(*(message[part] for message in reversed(messages)))
    for number, caller in enumerate(callers):
        assert caller.read_answer().body == b"answer %d" % number


def test_late_and_duplicate_answers_are_dropped_and_counted(path):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
    first = received_ids(path, 1)["/a"]
    path.send_to_front(*whole_answer(first, b"first"), *whole_answer(first, b"again"))
    assert caller.read_answer().body == b"first"
    caller.send(b"GET /b HTTP/1.1\r\nHost: t\r\n\r\n")
    second = received_ids(path, 2)["/b"]
    path.send_to_front(
        *whole_answer(first, b"late"), AnswerBroken(first), *whole_answer(second, b"b")
    )
    assert caller.read_answer().body == b"b"
    assert path.counts()["late_messages"] == 7


def test_answer_to_a_caller_that_left_reaches_no_later_caller(path):
    path.mute_exchanges()
    first_caller = path.connect()
    first_caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
    first = received_ids(path, 1)["/a"]
    first_caller.close()
    path.received(CallerGone)
    # The operating system is likely to reuse the descriptor for the new connection.
    caller = path.connect()
    caller.send(b"GET /b HTTP/1.1\r\nHost: t\r\n\r\n")
    second = received_ids(path, 2)["/b"]
    path.send_to_front(*whole_answer(first, b"of a"), *whole_answer(second, b"of b"))
    assert caller.read_answer().body == b"of b"


@pytest.mark.parametrize(
    ("length", "ending"), [(10, AnswerBroken), (-1, AnswerBroken), (10, AnswerEnd)]
)
def test_caller_can_tell_that_an_answer_is_broken(path, length, ending):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
    request_id = received_ids(path, 1)["/a"]
    path.send_to_front(
        AnswerHead(request_id, 200, (), length),
        AnswerBody(request_id, b"abc"),
        ending(request_id),
    )
    with pytest.raises(EOFError):
        caller.read_answer()
    assert not [m for m in path.exchanges.received if isinstance(m, CallerGone)]


def test_broken_answer_of_http_10_resets_the_connection(path):
    # The end of the connection ends the body, so a normal close looks like success.
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.0\r\n\r\n")
    request_id = received_ids(path, 1)["/a"]
    path.send_to_front(AnswerHead(request_id, 200, ()), AnswerBody(request_id, b"abc"))
    assert caller._until(b"abc")
    path.send_to_front(AnswerBroken(request_id))
    with pytest.raises(ConnectionResetError):
        caller.sock.recv(10)


def test_answer_above_its_announced_length_is_broken_off(path):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /b HTTP/1.1\r\nHost: t\r\n\r\n")
    request_id = received_ids(path, 1)["/a"]
    path.send_to_front(
        AnswerHead(request_id, 200, (), 3), AnswerBody(request_id, b"abcdef")
    )
    with pytest.raises(EOFError):
        caller.read_answer()
    assert path.received(CallerGone) == [CallerGone(request_id)]


def test_answer_without_length_is_sent_in_chunks(path):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
    request_id = received_ids(path, 1)["/a"]
    path.send_to_front(
        AnswerHead(request_id, 200, ((b"transfer-encoding", b"gzip"),)),
        AnswerBody(request_id, b"abc"),
        AnswerBody(request_id, b""),
        AnswerBody(request_id, b"def"),
        AnswerEnd(request_id),
    )
    answer = caller.read_answer()
    assert answer.headers == {b"transfer-encoding": b"chunked"}
    assert answer.body == b"abcdef"


def test_first_part_is_written_before_the_answer_ends(path):
    path.mute_exchanges()
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
    request_id = received_ids(path, 1)["/a"]
    path.send_to_front(AnswerHead(request_id, 200, ()), AnswerBody(request_id, b"abc"))
    assert caller._until(b"abc\r\n")
    path.send_to_front(AnswerEnd(request_id))
    assert caller._until(b"0\r\n\r\n")


def test_disconnect_cancels_the_work_at_the_upstream(path):
    caller = path.connect()
    caller.send(b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Run-Ms: 60000\r\n\r\n")
    wait_until(lambda: path.record().running == 1)
    caller.close()
    wait_until(lambda: path.record().running == 0)
    assert path.record().abandoned == 1
    assert path.counts("upstreams")["attempts_in_progress"] == 0
    assert path.counts()["requests_in_progress"] == 0
