"""The ledger resolves lost answers, and no late write undoes a newer one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from guavapin.keyvalue import messages as kv
from guavapin.ledger.ledger import MAX_IN_FLIGHT
from guavapin.ledger.ledger import MAX_ROWS
from guavapin.ledger.ledger import MAX_SHARED_VALUE_BYTES
from guavapin.ledger.ledger import Entry
from guavapin.ledger.ledger import Ledger

FENCE = kv.KeyRevision("duty/scheduler", 7)

# Limit of a value in the store of these tests.
MAX_VALUE_BYTES = 10
TOO_LONG = b"x" * (MAX_VALUE_BYTES + 1)


class Store:
    """Store in memory that carries out transactions, at once or late."""

    def __init__(self) -> None:
        self.items: dict[str, kv.Item] = {"duty/scheduler": kv.Item(FENCE.key, b"a", 7)}
        self.revision = 7

    def transact(self, batch) -> kv.PlatformOutcome:
        if any(len(put.value) > MAX_VALUE_BYTES for put in batch.puts):
            return kv.PermanentlyRefused("too long")
        current = [
            self.items.get(r.key, kv.Item(r.key, None, 0)) for r in batch.expected
        ]
        expected = zip(batch.expected, current, strict=True)
        if any(row.revision != item.revision for row, item in expected):
            return kv.Mismatch(tuple(current))
        self.revision += 1
        for put in batch.puts:
            self.items[put.key] = kv.Item(put.key, put.value, self.revision)
        for key in batch.removes:
            self.items.pop(key, None)
        return kv.Written(self.revision)


def write_next(ledger: Ledger, store: Store):
    """Send the next transaction and apply its answer."""
    batch = ledger.next_batch()
    return ledger.apply_outcome(batch.number, store.transact(batch))


def test_a_lost_answer_is_resolved_by_resending_the_transaction() -> None:
    # Guards against a stored job that is reported as a conflict because the answer to
    # its first transaction was lost.
    store, ledger = Store(), Ledger(FENCE)
    ledger.record(Entry("jobs/1", b"x", ("tag",), is_create=True))
    batch = ledger.next_batch()
    store.transact(batch)
    assert ledger.apply_outcome(batch.number, kv.Unknown("lost")).resend_ms > 0
    again = ledger.resend(batch.number)
    update = ledger.apply_outcome(batch.number, store.transact(again))
    assert [entry.tags for entry in update.durable] == [("tag",)]
    assert not update.conflicts


def test_an_existing_key_is_a_conflict_and_other_entries_are_written() -> None:
    # Guards against a repeated submission that blocks the other entries of its batch.
    store, ledger = Store(), Ledger(FENCE)
    store.items["jobs/1"] = kv.Item("jobs/1", b"other", 5)
    ledger.record(Entry("jobs/1", b"x", (1,), is_create=True))
    ledger.record(Entry("jobs/2", b"y", (2,), is_create=True))
    update = write_next(ledger, store)
    assert [entry.key for entry in update.conflicts] == ["jobs/1"]
    update = write_next(ledger, store)
    assert [entry.key for entry in update.durable] == ["jobs/2"]


def test_a_writer_that_lost_the_fence_is_fenced() -> None:
    # Guards against two schedulers that both write the progress of one job.
    store, ledger = Store(), Ledger(FENCE)
    store.items[FENCE.key] = kv.Item(FENCE.key, b"b", 9)
    ledger.record(Entry("progress/1", b"x"))
    assert write_next(ledger, store).is_fenced
    assert "progress/1" not in store.items


def test_a_transaction_stays_within_the_row_limit_of_the_store() -> None:
    # Guards against an oversized transaction that is refused and resent forever.
    ledger = Ledger(FENCE)
    for number in range(100):
        ledger.record(Entry(f"progress/{number}", b"x"))
    batch = ledger.next_batch()
    assert len(batch.expected) + len(batch.puts) + len(batch.removes) <= MAX_ROWS


@given(st.data())
def test_late_writes_never_undo_newer_ones(data) -> None:
    # Guards against progress that goes backwards because the store carries out a write
    # whose answer was lost, seconds after a newer one.
    store, ledger = Store(), Ledger(FENCE)
    late, durable, batch = [], -1, None
    for version in range(1, data.draw(st.integers(2, 26))):
        ledger.record(Entry("progress/1", b"%d" % version, (version,)))
        batch = ledger.resend(batch.number) if batch else None
        batch = batch or ledger.next_batch()
        delivery = data.draw(st.sampled_from(["done", "lost", "late", "refused"]))
        if delivery == "refused":
            outcome = kv.NotSent("busy")
        else:
            outcome = kv.Unknown("lost")
            if delivery == "late":
                late.append(batch)
            else:
                answer = store.transact(batch)
                outcome = answer if delivery == "done" else outcome
        for entry in ledger.apply_outcome(batch.number, outcome).durable:
            durable = max(durable, *entry.tags)
        if late and data.draw(st.booleans()):
            store.transact(late.pop(0))
        stored = store.items.get("progress/1")
        if durable >= 0:
            assert stored is not None and int(stored.value) >= durable


def test_several_transactions_are_in_flight_to_a_slow_store() -> None:
    # Guards against the fault of smn-guavapin-grown trouble-2: at a store that took
    # 280 ms a call, only one transaction of 15 entries was in flight at a time. That is
    # a third of the recorded entries, so jobs were accepted and shown as ended seconds
    # late.
    ledger = Ledger(FENCE)
    for number in range(200):
        ledger.record(Entry(f"progress/{number}", b"x"))
    batches = []
    while batch := ledger.next_batch():
        batches.append(batch)
    assert len(batches) == MAX_IN_FLIGHT
    keys = [put.key for batch in batches for put in batch.puts]
    assert len(keys) == len(set(keys))


def test_large_entries_are_sent_alone_and_one_at_a_time() -> None:
    # Guards against large values that share a slow link until the calls of all of them
    # time out, and against small entries that wait for a large one.
    ledger = Ledger(FENCE)
    large = bytes(MAX_SHARED_VALUE_BYTES + 1)
    values = {"progress/1": large, "progress/2": large, "jobs/3": b"x", "jobs/4": b"y"}
    for key, value in values.items():
        ledger.record(Entry(key, value))
    sent = []
    for _ in range(3):
        batch = ledger.next_batch()
        sent.append((batch.number, [put.key for put in batch.puts]) if batch else None)
    assert sent == [(1, ["progress/1"]), (2, ["jobs/3", "jobs/4"]), None]
    assert ledger.resend(1) is not None
    ledger.apply_outcome(1, kv.Written(8))
    batch = ledger.next_batch()
    assert [put.key for put in batch.puts] == ["progress/2"]


def test_a_key_in_flight_is_not_sent_a_second_time() -> None:
    # Guards against two writes of one key that expect the same revision.
    store, ledger = Store(), Ledger(FENCE)
    ledger.record(Entry("progress/1", b"old", (1,)))
    first = ledger.next_batch()
    ledger.record(Entry("progress/1", b"new", (2,)))
    ledger.record(Entry("progress/2", b"x", (3,)))
    second = ledger.next_batch()
    assert [put.key for put in second.puts] == ["progress/2"]
    assert ledger.next_batch() is None
    ledger.apply_outcome(first.number, store.transact(first))
    assert [entry.tags for entry in write_next(ledger, store).durable] == [(2,)]
    assert store.items["progress/1"].value == b"new"


@given(st.data())
def test_answers_in_any_order_leave_the_newest_values(data) -> None:
    # Guards against a value that is lost because transactions overtake each other.
    store, ledger = Store(), Ledger(FENCE)
    newest: dict[str, bytes] = {}
    in_flight = []
    for version in range(data.draw(st.integers(5, 40))):
        key = f"progress/{data.draw(st.integers(0, 4))}"
        newest[key] = b"%d" % version
        ledger.record(Entry(key, newest[key]))
        if batch := ledger.next_batch():
            in_flight.append(batch)
        if in_flight and data.draw(st.booleans()):
            batch = in_flight.pop(data.draw(st.integers(0, len(in_flight) - 1)))
            is_lost = data.draw(st.booleans())
            answer = store.transact(batch)
            ledger.apply_outcome(
                batch.number, kv.Unknown("lost") if is_lost else answer
            )
            if is_lost:
                in_flight.append(ledger.resend(batch.number))
    while batch := in_flight.pop(0) if in_flight else ledger.next_batch():
        ledger.apply_outcome(batch.number, store.transact(batch))
    assert {key: store.items[key].value for key in newest} == newest


def write_all(ledger: Ledger, store: Store) -> tuple[dict[str, list[Entry]], int]:
    """Write all entries; return them by their end, and the number of transactions."""
    ended: dict[str, list[Entry]] = {"durable": [], "conflicts": [], "refused": []}
    count = 0
    while batch := ledger.next_batch():
        count += 1
        assert count < 50
        update = ledger.apply_outcome(batch.number, store.transact(batch))
        assert not update.resend_ms
        for name, entries in ended.items():
            entries.extend(getattr(update, name))
    return ended, count


def test_an_entry_that_the_store_refuses_does_not_hold_up_others() -> None:
    # Guards against a transaction that is sent without end because the store refuses
    # one of its entries: the jobs of the other entries are never accepted.
    store, ledger = Store(), Ledger(FENCE)
    ledger.record(Entry("jobs/1", b"a", (1,), is_create=True))
    ledger.record(Entry("jobs/2", TOO_LONG, (2,), is_create=True))
    ledger.record(Entry("progress/3", b"c", (3,)))
    ended, count = write_all(ledger, store)
    assert [entry.tags for entry in ended["refused"]] == [(2,)]
    assert {entry.tags for entry in ended["durable"]} == {(1,), (3,)}
    assert count == 4 and "jobs/2" not in store.items
    assert not ledger.has_pending


def test_the_next_value_of_a_refused_key_is_written_alone() -> None:
    # Guards against progress that is refused again and again, each time with a new
    # transaction for each entry of other jobs.
    store, ledger = Store(), Ledger(FENCE)
    ledger.record(Entry("progress/1", TOO_LONG, (1,)))
    write_all(ledger, store)
    ledger.record(Entry("progress/2", b"b", (2,)))
    ledger.record(Entry("progress/1", TOO_LONG, (3,)))
    ended, count = write_all(ledger, store)
    assert [entry.tags for entry in ended["refused"]] == [(3,)] and count == 2
    ledger.record(Entry("progress/1", b"done", (4,)))
    ended, _ = write_all(ledger, store)
    assert [entry.tags for entry in ended["durable"]] == [(4,)]
    ledger.record(Entry("progress/1", b"x"))
    ledger.record(Entry("progress/2", b"y"))
    assert write_all(ledger, store)[1] == 1


def test_a_refused_entry_may_be_stored_if_an_earlier_answer_was_lost() -> None:
    # Guards against a rejected submission whose job the store has carried out.
    for outcome, may_be_stored in ((kv.Unknown("lost"), True), (kv.NotSent(""), False)):
        ledger = Ledger(FENCE)
        ledger.record(Entry("jobs/1", b"a", is_create=True))
        ledger.record(Entry("jobs/2", b"b", is_create=True))
        batch = ledger.next_batch()
        ledger.apply_outcome(batch.number, outcome)
        refusal = kv.PermanentlyRefused("")
        assert not ledger.apply_outcome(batch.number, refusal).refused
        for _ in range(2):
            batch = ledger.next_batch()
            update = ledger.apply_outcome(batch.number, refusal)
            assert len(update.refused) == 1
            assert update.may_be_stored is may_be_stored


@given(st.data())
def test_refused_values_delay_no_others(data) -> None:
    # Guards against an entry that is lost, or a ledger that does not come to an end,
    # while refused, lost and late transactions meet.
    store, ledger = Store(), Ledger(FENCE)
    newest: dict[str, bytes] = {}
    refused: list[int] = []
    durable: list[int] = []
    versions = data.draw(st.integers(5, 40))
    in_flight = []
    for version in range(versions):
        key = f"progress/{data.draw(st.integers(0, 4))}"
        value = TOO_LONG if data.draw(st.booleans()) else b"%d" % version
        ledger.record(Entry(key, value, (version,)))
        newest[key] = value
        if batch := ledger.next_batch():
            in_flight.append(batch)
        if in_flight and data.draw(st.booleans()):
            batch = in_flight.pop(data.draw(st.integers(0, len(in_flight) - 1)))
            answer = store.transact(batch)
            is_lost = data.draw(st.booleans())
            update = ledger.apply_outcome(
                batch.number, kv.Unknown("lost") if is_lost else answer
            )
            if is_lost:
                in_flight.append(ledger.resend(batch.number))
            durable += [tag for entry in update.durable for tag in entry.tags]
            refused += [tag for entry in update.refused for tag in entry.tags]
    sent = 0
    while batch := in_flight.pop(0) if in_flight else ledger.next_batch():
        sent += 1
        assert sent < 10 * versions
        update = ledger.apply_outcome(batch.number, store.transact(batch))
        durable += [tag for entry in update.durable for tag in entry.tags]
        refused += [tag for entry in update.refused for tag in entry.tags]
    assert sorted(durable + refused) == list(range(versions))
    for key, value in newest.items():
        if value != TOO_LONG:
            assert store.items[key].value == value
