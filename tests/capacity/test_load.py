from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.capacity.load import LoadReport
from guavapin.capacity.load import PoolLoad
from guavapin.capacity.load import decode_load
from guavapin.capacity.load import encode_load
from guavapin.capacity.load import hosts_needed
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import PoolDemand
from guavapin.duties.pool_demand import MAX_REPORT_AGE_MS
from guavapin.duties.pool_demand import PoolDemandTask
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.kernel import Ok
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import Reply
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import build_objects

OBJECTS = build_objects(GAGNON)


def test_demand_adds_up_the_reports_and_leaves_slots_free():
    reports = [
        LoadReport("e0", {"renewals": PoolLoad(24, 8)}),
        LoadReport("e1", {"renewals": PoolLoad(32, 0), "gone": PoolLoad(1, 0)}),
    ]
    demand = hosts_needed(reports, OBJECTS)
    assert demand == {"renewals": pytest.approx(10.0)}


@given(st.binary(max_size=200))
@settings(derandomize=True)
def test_arbitrary_bytes_never_raise(data):
    decode_load(data)


def test_report_survives_its_encoding():
    report = LoadReport("e0", {"renewals": PoolLoad(3, 1)})
    assert decode_load(encode_load(report)) == Ok(report)


def answer_reads(harness: TaskHarness, task: PoolDemandTask, revision: int) -> None:
    report = LoadReport("e0", {"renewals": PoolLoad(64, 0)})
    for sent in harness.take_sent():
        message = sent.message
        if isinstance(message, Get):
            found = Found(encode_load(report), revision)
            task.handle(Reply(message.request_id, found))
        elif sent.service == "platform":
            keys = (KeyRevision("load/e0", revision),)
            task.handle(Reply(message.request_id, Listed(keys, revision)))
            answer_reads(harness, task, revision)


def last_demand(harness: TaskHarness) -> PoolDemand:
    sent = [s.message for s in harness.sent if isinstance(s.message, PoolDemand)]
    return sent[-1]


def test_report_of_a_stopped_process_expires():
    task = PoolDemandTask()
    harness = TaskHarness(task)
    harness.start()
    task.handle(ObjectsUpdate(OBJECTS, 1))
    task.handle(DutyHeld("fleet", 1, 10_000))
    answer_reads(harness, task, revision=7)
    harness.advance(5_000)
    assert last_demand(harness).hosts["renewals"] == pytest.approx(10.0)
    for _ in range(MAX_REPORT_AGE_MS // 5_000 + 1):
        answer_reads(harness, task, revision=7)
        harness.advance(5_000)
    assert last_demand(harness).hosts == {}


def test_nothing_is_read_without_the_duty():
    task = PoolDemandTask()
    harness = TaskHarness(task)
    harness.start()
    task.handle(DutyHeld("fleet", 1, 10_000))
    task.handle(DutyLost("fleet"))
    harness.take_sent()
    harness.advance(60_000)
    assert harness.sent == []
