from __future__ import annotations

import threading
import time

from guavapin.serving.attempt_handle import READ_BATCH_BYTES
from guavapin.serving.caller_connection import HIGH_WATER_BYTES
from guavapin.serving.caller_connection import READ_BYTES
from guavapin.serving.messages import AttemptResult
from tests.serving.support import Caller
from tests.serving.support import wait_until

# The pause passes from the front to `upstreams` in four messages, and one part may
# arrive before each of them.
MESSAGES_BEFORE_PAUSE = 4
SIZE = 60_000_000


def wait_until_unchanged(read):
    """Wait until a counter stops changing, and return its value."""
    last = -1
    while (value := read()) != last:
        last = value
        time.sleep(0.2)
    return value


def test_slow_reader_bounds_the_memory_of_its_answer(path):
    path.exchanges.timeouts_ms["progress_ms"] = 1_000
    caller = path.connect()
    caller.send(
        b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Answer-Bytes: %d\r\n\r\n" % SIZE
    )
    written = wait_until_unchanged(lambda: path.record().bytes_written)
    assert written < SIZE
    assert path.counts()["answer_pauses"] >= 1
    # The caller has paused the answer, so the timeout for progress must not end the
    # attempt.
    time.sleep(1.5)
    assert path.connect().get("/other").status == 200
    answer = caller.read_answer()
    assert len(answer.body) == SIZE
    limit = HIGH_WATER_BYTES + MESSAGES_BEFORE_PAUSE * READ_BATCH_BYTES
    assert path.counts()["largest_output_bytes"] <= limit
    assert path.results(2) == [AttemptResult.COMPLETE] * 2


def test_many_slow_readers_bound_their_memory(path):
    callers = [path.connect() for _ in range(8)]
    for caller in callers:
        caller.send(
            b"GET /a HTTP/1.1\r\nHost: t\r\nGuavapin-Answer-Bytes: 20000000\r\n\r\n"
        )
    wait_until_unchanged(lambda: path.record().bytes_written)
    for caller in callers:
        assert len(caller.read_answer().body) == 20_000_000
    limit = HIGH_WATER_BYTES + MESSAGES_BEFORE_PAUSE * READ_BATCH_BYTES
    assert path.counts()["largest_output_bytes"] <= limit


def test_slow_upstream_bounds_the_memory_of_a_request(path):
    path.exchanges.timeouts_ms["first_byte_ms"] = 0
    path.exchanges.fresh = False
    path.connect().get("/warm")
    path.set_behaviour(is_silent=True)
    sent = []
    caller = path.connect()

    def send(caller: Caller) -> None:
        head = b"PUT /a HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n\r\n" % SIZE
        caller.sock.settimeout(None)
        caller.send(head)
        part = b"a" * 100_000
        try:
            for _ in range(SIZE // len(part)):
                caller.send(part)
                sent.append(len(part))
        except OSError:
            return

    thread = threading.Thread(target=send, args=(caller,))
    thread.start()
    wait_until(lambda: path.counts("upstreams").get("request_pauses", 0) >= 1)
    assert wait_until_unchanged(lambda: sum(sent)) < SIZE
    limit = HIGH_WATER_BYTES + MESSAGES_BEFORE_PAUSE * READ_BYTES
    assert path.counts("upstreams")["largest_body_bytes"] <= limit
    caller.sock.shutdown(2)
    thread.join(10)
    # The connection is not read while its body is paused, so the disconnect is detected
    # only when the attempt ends. The silent upstream must not delay other requests.
    assert path.connect().get("/new").status == 200


def test_request_body_resumes_after_a_pause(path):
    caller = path.connect()
    body = b"a" * 5_000_000
    assert caller.ask("PUT", "/a", body, Guavapin_Run_Ms="50").status == 200
    assert path.record().runs[0].body_bytes == len(body)
