"""The record covers every machine that may have been ordered, whatever is lost."""

from __future__ import annotations

from guavapin.keyvalue import messages as kv
from guavapin.machines.model import WaveMachine
from guavapin.machines.order_record import MAX_ORDER_DELAY_MS
from guavapin.machines.order_record import ORDERED_KEY
from guavapin.machines.order_record import PRUNE_INTERVAL_MS
from guavapin.machines.order_record import OrderRecord
from guavapin.machines.order_record import RecordedOrders

FENCE = kv.KeyRevision("duty/scheduler", 9)
SEPARATION_MS = 3_000
M = frozenset({"m"})


def loaded(*machines: str, now_ms: int = 0) -> OrderRecord:
    record = OrderRecord(FENCE, SEPARATION_MS)
    record.load(RecordedOrders(frozenset(machines)), 4, now_ms)
    return record


def test_every_write_expects_the_duty_and_the_known_revision() -> None:
    # Guards against a former holder that overwrites its successor's record.
    record = loaded()
    record.add("m", 1_500)
    write = record.next_write(0)
    assert write is not None
    assert write.expected == (FENCE, kv.KeyRevision(ORDERED_KEY, 4))


def test_a_machine_is_covered_only_once_its_write_is_stored() -> None:
    # Guards against an order that is sent before it is recorded.
    record = loaded()
    record.add("m", 1_500)
    record.next_write(0)
    assert not record.covers("m")
    record.apply_written(5)
    assert record.covers("m")


def test_the_machines_of_the_predecessor_stay_for_the_separation() -> None:
    # Guards against two takeovers in a row, after which the third holder knows
    # nothing of the orders of the first.
    record = loaded("old", now_ms=0)
    record.add("m", 1_500)
    write = record.next_write(SEPARATION_MS)
    assert write is not None and write.orders.machines == {"old", "m"}


def test_a_machine_is_settled_once_its_only_order_took_it_down() -> None:
    # Guards against a successor that takes a refused order for one that took its
    # machine down, or the answer to a repeated order for that to the last one.
    record = loaded()
    for machine in ("done", "refused", "repeated", "repeated"):
        record.add(machine, 1_500)
        record.count_sent(machine)
    record.next_write(0)
    record.apply_written(5)
    record.add("done", 1_500)
    record.settle("done")
    record.settle("repeated")
    record.begin_list()
    record.apply_list({"done", "refused", "repeated"})
    assert record.next_write(PRUNE_INTERVAL_MS - 1) is None
    write = record.next_write(PRUNE_INTERVAL_MS)
    assert write is not None
    assert write.orders.unsettled == {"refused", "repeated"}
    assert not record.covers("done") and "done" in write.orders.machines


def test_an_order_that_was_done_before_settles_nothing() -> None:
    # Guards against a successor that orders a machine too early: the platform reports
    # an order as carried out if that of an earlier holder was.
    record = loaded("m")
    later_ms = SEPARATION_MS + PRUNE_INTERVAL_MS
    record.next_write(later_ms)
    record.apply_written(5)
    record.add("m", later_ms + 1_500)
    record.next_write(later_ms)
    record.apply_written(6)
    record.count_sent("m")
    record.settle("m")
    record.next_write(later_ms + 2 * PRUNE_INTERVAL_MS)
    assert record.covers("m")


def order_and_answer(record: OrderRecord, now_ms: int) -> None:
    record.add("m", now_ms + 1_500)
    record.next_write(now_ms)
    record.apply_written(5)
    record.count_sent("m")
    record.settle("m")


def test_a_machine_is_settled_only_by_a_list_from_after_the_answer() -> None:
    # Guards against a successor that orders a machine too early, because a list from
    # before its order showed it as down by an earlier one.
    record = loaded()
    record.begin_list()
    order_and_answer(record, 0)
    record.apply_list(M)
    assert record.next_write(PRUNE_INTERVAL_MS) is None and record.covers("m")
    record.begin_list()
    record.apply_list(frozenset())
    assert record.next_write(PRUNE_INTERVAL_MS) is None and record.covers("m")
    record.begin_list()
    record.apply_list(M)
    write = record.next_write(PRUNE_INTERVAL_MS)
    assert write is not None and write.orders == RecordedOrders(M)


def test_a_machine_that_an_earlier_order_may_take_down_is_not_settled() -> None:
    # Guards against a successor that orders a machine too early: a late order of an
    # earlier holder took it down, and the answer to the last order reports that.
    record = OrderRecord(FENCE, SEPARATION_MS)
    record.load(RecordedOrders(M, M), 4, 0)
    later_ms = MAX_ORDER_DELAY_MS - PRUNE_INTERVAL_MS
    record.next_write(later_ms - PRUNE_INTERVAL_MS)
    record.apply_written(5)
    order_and_answer(record, later_ms)
    record.begin_list()
    record.apply_list(M)
    assert record.next_write(later_ms + PRUNE_INTERVAL_MS) is None
    assert record.covers("m")


def test_maintenance_stays_open_as_long_as_its_order_may_be_carried_out() -> None:
    # Guards against a third holder that takes down a machine of a wave beside that of
    # the first holder, whose order is carried out late.
    record = OrderRecord(FENCE, SEPARATION_MS)
    item = WaveMachine(1, "m")
    record.load(RecordedOrders(M, M, frozenset({item})), 4, 0)
    write = record.next_write(MAX_ORDER_DELAY_MS)
    assert write is not None and write.orders.machines == frozenset()
    assert write.orders.open_maintenance == {item}
    record.apply_written(5)
    last = record.next_write(MAX_ORDER_DELAY_MS + PRUNE_INTERVAL_MS)
    assert last is not None and last.orders == RecordedOrders()


def test_maintenance_that_was_carried_out_is_not_open() -> None:
    # Guards against a successor whose wave waits for an order without effect.
    record = loaded()
    record.add("m", 1_500, wave=1)
    record.next_write(0)
    record.apply_written(5)
    record.close_maintenance(1, "m")
    write = record.next_write(PRUNE_INTERVAL_MS)
    assert write is not None and write.orders.open_maintenance == frozenset()


def test_an_order_to_maintenance_is_covered_only_once_it_is_recorded_as_such() -> None:
    # Guards against maintenance that a successor takes for a move of the machine.
    record = loaded()
    record.add("m", 1_500)
    record.next_write(0)
    record.apply_written(5)
    record.add("m", 1_500, wave=1)
    assert record.covers("m") and not record.covers("m", wave=1)
    record.next_write(0)
    record.apply_written(6)
    assert record.covers("m", wave=1) and not record.covers("m", wave=2)


def test_a_machine_that_is_being_removed_is_not_covered() -> None:
    # Guards against an order for a machine that leaves the record meanwhile.
    record = loaded("m", now_ms=0)
    later_ms = SEPARATION_MS + PRUNE_INTERVAL_MS
    write = record.next_write(later_ms)
    assert write is not None and write.orders.machines == frozenset()
    record.add("m", later_ms + 1_500)
    assert not record.covers("m")
    record.apply_written(5)
    again = record.next_write(later_ms)
    assert again is not None and again.orders.machines == {"m"}


def test_a_write_without_an_answer_is_sent_again_unchanged() -> None:
    # Guards against a second write whose predecessor takes effect after it.
    record = loaded()
    record.add("m", 1_500)
    write = record.next_write(0)
    record.add("n", 1_600)
    assert record.next_write(50) is None
    record.apply_failure()
    assert record.next_write(100) == write


def test_a_write_whose_answer_was_lost_counts_once_it_is_found() -> None:
    # Guards against a term that orders no machine after a lost answer.
    record = loaded()
    record.add("m", 1_500)
    record.next_write(0)
    record.apply_failure()
    record.next_write(100)
    record.apply_found(RecordedOrders(M, M), 5)
    assert record.covers("m")


def test_nothing_is_covered_once_a_successor_holds_the_duty() -> None:
    # Guards against orders of a former holder.
    record = loaded()
    record.add("m", 1_500)
    record.next_write(0)
    record.apply_found(RecordedOrders(), 4)
    assert not record.covers("m") and record.next_write(10_000) is None
