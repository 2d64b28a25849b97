from __future__ import annotations

from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Written
from guavapin.serving.exchange_messages import EndHoldOff
from guavapin.serving.seat import SeatConfig
from guavapin.serving.seat import SeatTask
from guavapin.serving.seat_record import SeatRecord
from guavapin.serving.seat_record import decode_seat
from guavapin.serving.seat_record import encode_seat


def start() -> tuple[SeatTask, TaskHarness]:
    task = SeatTask(SeatConfig("e0", "east", 0, incarnation=2))
    harness = TaskHarness(task)
    harness.start()
    return task, harness


def answer(task: SeatTask, harness: TaskHarness, outcome) -> None:
    calls = [s.message for s in harness.sent if s.service == "platform"]
    harness.take_sent()
    task.handle(Reply(calls[-1].request_id, outcome))


def ends_hold_off(harness: TaskHarness) -> bool:
    return any(isinstance(sent.message, EndHoldOff) for sent in harness.sent)


def found_record(is_released: bool) -> Found:
    return Found(encode_seat(SeatRecord("e0", 1, True, is_released)), 5)


def test_seat_that_was_never_held_is_used_at_once():
    task, harness = start()
    answer(task, harness, Missing())
    answer(task, harness, Written(1))
    assert ends_hold_off(harness)


def test_released_seat_is_used_at_once():
    task, harness = start()
    answer(task, harness, found_record(is_released=True))
    answer(task, harness, Written(6))
    assert ends_hold_off(harness)


def test_seat_whose_process_died_waits_for_the_hold_off():
    task, harness = start()
    answer(task, harness, found_record(is_released=False))
    answer(task, harness, Written(6))
    assert not ends_hold_off(harness)


def test_malformed_record_waits_for_the_hold_off():
    task, harness = start()
    answer(task, harness, Found(b"\xff", 5))
    answer(task, harness, Written(6))
    assert not ends_hold_off(harness)


def test_lost_answer_to_the_acquisition_of_a_released_seat_is_read_back():
    task, harness = start()
    answer(task, harness, found_record(is_released=True))
    (put,) = [s.message for s in harness.sent if isinstance(s.message, Put)]
    answer(task, harness, Unknown("no answer"))
    harness.advance(1_000)
    assert isinstance(harness.sent[-1].message, Get)
    answer(task, harness, Found(put.value, 6))
    assert ends_hold_off(harness)


def test_hold_off_continues_while_the_platform_is_down():
    task, harness = start()
    for _ in range(5):
        answer(task, harness, Unknown("no answer"))
        harness.advance(1_000)
    assert not ends_hold_off(harness)


def test_arbitrary_record_bytes_never_raise():
    for value in (b"", b"{}", b"[1]", b'{"name": 3}', b"\x00" * 64):
        decode_seat(value)
