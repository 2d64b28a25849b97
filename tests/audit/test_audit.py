from __future__ import annotations

from concurrent.futures import Future
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.audit.archiver import ARCHIVE_INTERVAL_MS
from guavapin.audit.archiver import AuditArchiverTask
from guavapin.audit.query import AuditQuery
from guavapin.audit.reader import AuditReaderTask
from guavapin.audit.segments import MAX_SEGMENTS
from guavapin.audit.segments import PREFIX
from guavapin.audit.segments import SEGMENT_ENTRIES
from guavapin.audit.segments import decode_segment
from guavapin.audit.segments import encode_segment
from guavapin.audit.segments import expired_keys
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.fleet.actions import Drain
from guavapin.fleet.actions import Undrain
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import FleetState
from guavapin.fleet.writer import FleetWriterTask
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.kernel.harness import TaskHarness
from tests.fleet.builders import command
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run
from tests.fleet.platform_double import DROPPED
from tests.fleet.platform_double import LATE
from tests.fleet.platform_double import LOST
from tests.fleet.platform_double import NOT_SENT
from tests.fleet.platform_double import PlatformDouble
from tests.fleet.platform_double import pump

OBJECTS = objects()


def changed(count: int, state: FleetState | None = None) -> FleetState:
    state = state or placed(OBJECTS)
    for index in range(count):
        action = Undrain("a0") if "a0" in state.disruptions else Drain("a0")
        state = must(run(state, action, OBJECTS, wall_ms=index))
    return state


class Rig:
    def __init__(self, double: PlatformDouble | None = None) -> None:
        self.double = double or PlatformDouble()
        self.double.hosts = dict.fromkeys(OBJECTS.hosts, "live")
        self.writer = FleetWriterTask()
        self.writer_harness = TaskHarness(self.writer)
        self.writer_harness.start()
        self.writer.handle(ObjectsUpdate(OBJECTS, 1))
        self.archiver = AuditArchiverTask("control-0")
        self.harness = TaskHarness(self.archiver)
        self.harness.start()
        self.archiver.handle(DutyHeld("fleet", 1, 10**9))

    def store(self, state: FleetState) -> None:
        self.double.revision += 1
        self.double.keys[FLEET_KEY] = (encode_fleet(state), self.double.revision)

    @property
    def state(self) -> FleetState:
        outcome = decode_fleet(self.double.keys[FLEET_KEY][0])
        assert isinstance(outcome, Ok)
        return outcome.value

    def run(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.harness.advance(ARCHIVE_INTERVAL_MS)
            self.writer_harness.advance(ARCHIVE_INTERVAL_MS)
            for message in pump(self.harness, self.archiver, self.double):
                assert isinstance(message, Execute)
                self.writer.handle(message)
            for message in pump(self.writer_harness, self.writer, self.double):
                self.archiver.handle(message)

    def archived(self) -> list[int]:
        sequences: list[int] = []
        for key in sorted(self.double.keys):
            if key.startswith(PREFIX):
                outcome = decode_segment(self.double.keys[key][0])
                assert isinstance(outcome, Ok)
                sequences += [entry.sequence for entry in outcome.value]
        return sequences

    def query(self, query: AuditQuery) -> Any:
        reader = AuditReaderTask()
        harness = TaskHarness(reader)
        harness.start()
        fut: Future[Any] = Future()
        reader.handle(Call(query, fut))
        pump(harness, reader, self.double)
        return fut.result(0)


def test_entries_are_archived_and_trimmed() -> None:
    rig = Rig()
    rig.store(changed(200))
    rig.run(3)
    assert rig.archived()[:200] == list(range(1, 201))
    assert len(rig.state.outbox) < 100


def test_entries_of_two_segments_are_archived_without_loss() -> None:
    rig = Rig()
    rig.store(changed(SEGMENT_ENTRIES + 20))
    rig.run(3)
    archived = rig.archived()
    assert archived == list(range(1, len(archived) + 1))
    assert len(archived) >= SEGMENT_ENTRIES + 20


@pytest.mark.parametrize("fault", [LOST, DROPPED, LATE, NOT_SENT])
@pytest.mark.parametrize("skip", range(4))
def test_faults_at_any_write_neither_lose_nor_duplicate_entries(
    fault: str, skip: int
) -> None:
    rig = Rig()
    rig.store(changed(SEGMENT_ENTRIES + 20))
    rig.double.faults.extend(["ok"] * skip + [fault] * 2)
    rig.run(2)
    rig.double.deliver_late()
    rig.run(6)
    archived = rig.archived()
    assert archived == list(range(1, len(archived) + 1))
    assert rig.state.next_sequence - 1 - archived[-1] <= 1
    assert len(rig.state.outbox) < 100


def test_next_holder_continues_an_interrupted_archiving() -> None:
    rig = Rig()
    rig.store(changed(SEGMENT_ENTRIES + 20))
    rig.double.faults.extend(["ok", DROPPED])
    rig.run()
    rig.archiver.handle(DutyLost("fleet"))
    successor = Rig(rig.double)
    rig.run(2)
    successor.run(4)
    archived = successor.archived()
    assert archived == list(range(1, len(archived) + 1))
    assert len(archived) >= SEGMENT_ENTRIES + 20


def test_unchanged_record_causes_no_writes() -> None:
    rig = Rig()
    rig.store(changed(10))
    rig.run(2)
    revision = rig.double.revision
    rig.run(20)
    assert rig.double.revision == revision


def test_nothing_is_written_without_the_duty() -> None:
    rig = Rig()
    rig.store(changed(200))
    rig.archiver.handle(DutyLost("fleet"))
    rig.run(3)
    assert rig.archived() == []


def test_oldest_segments_beyond_the_limit_are_deleted() -> None:
    keys = [f"{PREFIX}{index:010d}" for index in range(MAX_SEGMENTS + 3)]
    assert sorted(expired_keys(keys)) == keys[:3]
    rig = Rig()
    for key in keys:
        rig.double.keys[key] = (encode_segment(()), 1)
    state = changed(3)
    rig.store(state)
    rig.run(2)
    left = [key for key in rig.double.keys if key.startswith(PREFIX)]
    assert len(left) == MAX_SEGMENTS


def test_query_returns_outbox_and_segment_entries_once_newest_first() -> None:
    rig = Rig()
    rig.store(changed(200))
    rig.run(3)
    rig.store(changed(5, rig.state))
    outcome = rig.query(AuditQuery(limit=1_000))
    sequences = [entry.sequence for entry in outcome.value]
    assert sequences == list(range(rig.state.next_sequence - 1, 0, -1))


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        (AuditQuery(action="host"), {1, 2, 3}),
        (AuditQuery(action="host.drain"), {1, 3}),
        (AuditQuery(action="ho"), set()),
        (AuditQuery(object="a0", since_ms=1, until_ms=2), {2}),
        (AuditQuery(actor="nobody"), set()),
        (AuditQuery(actor="tester", limit=1), {3}),
    ],
)
def test_query_returns_the_entries_that_pass_all_filters(
    query: AuditQuery, expected: set[int]
) -> None:
    rig = Rig()
    rig.store(changed(3))
    assert {entry.sequence for entry in rig.query(query).value} == expected


def test_query_is_refused_while_the_platform_is_down() -> None:
    rig = Rig()
    rig.double.is_down = True
    assert isinstance(rig.query(AuditQuery()), Refused)


def test_each_change_of_the_writer_is_found_in_the_trail() -> None:
    rig = Rig()
    rig.store(placed(OBJECTS))
    for _ in range(150):
        is_drained = "a0" in rig.state.disruptions
        action = Undrain("a0") if is_drained else Drain("a0")
        rig.writer.handle(Execute("operators", 1, command(action)))
        pump(rig.writer_harness, rig.writer, rig.double)
    rig.run(3)
    entries = rig.query(AuditQuery(actor="tester", limit=1_000)).value
    assert len(entries) == 150


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=300)
def test_arbitrary_bytes_as_segment_never_raise(data: bytes) -> None:
    decode_segment(data)


def test_segment_survives_encoding() -> None:
    entries = (AuditEntry(1, 2, "a", "b", "c", 3, "d", "e", "f", "g"),)
    assert decode_segment(encode_segment(entries)) == Ok(entries)
