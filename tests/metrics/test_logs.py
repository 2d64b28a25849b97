"""Log lines report each change of state once, and no single requests."""

from __future__ import annotations

import io
import json
import logging
import os
import threading

import pytest

from guavapin.duties.task import DutyTask
from guavapin.kernel.harness import TaskHarness
from guavapin.metrics.logs import configure_logs
from guavapin.metrics.prompt_handler import PromptHandler
from guavapin.objects.model import ObjectSet
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import StartAttempt
from guavapin.serving.readiness import BeginStop
from guavapin.serving.readiness import ReadinessTask
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from tests.fleet.builders import placed
from tests.fleet.platform_double import PlatformDouble
from tests.fleet.platform_double import pump
from tests.fleet.test_view import DRAINED
from tests.fleet.test_view import OBJECTS
from tests.fleet.test_view import Rig as ViewRig
from tests.publication.store import Store
from tests.publication.test_configuration import Node
from tests.publication.test_configuration import put_generation
from tests.serving import exchange_support


@pytest.fixture
def lines():
    """Return a reader of a logger's lines so far, without their common fields."""
    root = logging.getLogger("guavapin")
    previous = (root.handlers[:], root.level, root.propagate)
    stream = io.StringIO()
    configure_logs("info", "e0", stream)

    def read(name):
        found = [json.loads(line) for line in stream.getvalue().splitlines()]
        own = [line for line in found if line["name"] == f"guavapin.{name}"]
        common = {"time", "level", "name", "node"}
        return [{k: v for k, v in line.items() if k not in common} for line in own]

    yield read
    root.handlers[:], root.propagate = previous[0], previous[2]
    root.setLevel(previous[1])


def test_a_reader_that_has_stopped_does_not_hold_up_the_process(lines):
    # Guards against an event loop that waits for the reader of its log: a process whose
    # standard output was a full pipe answered no request and did not end on SIGTERM.
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream, os.fdopen(reader, "rb", 0) as out:
        configure_logs("info", "e0", stream)
        log = logging.getLogger("guavapin.test")
        thread = threading.Thread(
            target=lambda: [log.info("x" * 9_000) for _ in range(60)], daemon=True
        )
        thread.start()
        thread.join(5)
        assert not thread.is_alive()
        data = out.read(1 << 20)
        log.info("after")
        (handler,) = logging.getLogger("guavapin").handlers
        while not data.endswith(b"\n") or b"after" not in data:
            data += out.read(1 << 20)
            handler.flush()
        rows = [json.loads(row) for row in data.splitlines()]
    assert [row["message"] for row in rows[-1:]] == ["after"]
    assert len(rows) + rows[-1]["lines_lost"] == 61
    # What the pipe and the handler hold is not lost.
    assert len(rows) > 262_144 // 9_200


def test_a_slow_reader_loses_no_line_and_gets_the_last_one_at_the_end() -> None:
    # Guards against lines that are dropped, or cut, since a pipe is full for a moment.
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb", 0) as out:
        handler = PromptHandler(writer)
        for _ in range(20):
            handler.handle(logging.makeLogRecord({"msg": "y" * 9_000}))
        data = out.read(1 << 20)
        handler.flush()
        data += out.read(1 << 20)
        handler.flush()
        data += out.read(1 << 20)
        handler.close()
        os.close(writer)
        data += out.read(1 << 20)
    assert data == (b"y" * 9_000 + b"\n") * 20


def test_ready_and_unready_are_logged_once(lines):
    task = ReadinessTask()
    TaskHarness(task).start()
    objects = exchange_support.make_objects()
    pools = dict.fromkeys(objects.hosts, "p")
    for _ in range(3):
        task.handle(RouteTableChanged(build_route_table(objects, 7, pools)))
    task.handle(RouteTableChanged(build_route_table(ObjectSet(), 8, {})))
    task.handle(BeginStop())
    assert lines("readiness") == [
        {"message": "ready", "generation": 7},
        {"message": "unready", "generation": 8},
    ]


def test_adoption_is_logged_with_the_generation(lines):
    store = Store()
    put_generation(store, 1)
    node = Node(store)
    node.advance(2_000)
    (line,) = lines("configuration")
    assert line["message"] == "generation adopted"
    assert line["generation"] == node.adopted[-1]


def test_first_view_logs_one_line_and_a_later_change_one_per_host(lines):
    # Guards against 1,100 log lines, one for each host, at every start.
    rig = ViewRig()
    rig.store(placed(OBJECTS))
    rig.start()
    (first,) = lines("fleet_view")
    assert first["hosts"] == len(OBJECTS.hosts)
    rig.store(DRAINED)
    rig.harness.advance(60_000)
    rig.pump()
    line = lines("fleet_view")[1]
    assert (line["message"], line["host"]) == ("host takes no new work", "a0")
    assert line["pool"] == OBJECTS.hosts["a0"].pool
    assert line["reason"].startswith("drain")
    assert len(lines("fleet_view")) == 2


def test_duty_is_logged_when_held_and_when_lost(lines):
    double = PlatformDouble()
    task = DutyTask("fleet", "first", ("worker",))
    harness = TaskHarness(task)
    harness.start()
    for _ in range(200):
        pump(harness, task, double)
        harness.advance(50)
    task.stop()
    held, lost = lines("duty")
    assert held["message"] == "duty held" and lost["message"] == "duty lost"
    assert held["duty"] == lost["duty"] == "fleet"
    assert held["token"] == lost["token"] == double.keys["duty/fleet"][1]


def test_breaker_changes_are_logged_but_not_single_requests(lines):
    rig = exchange_support.Rig(exchange_support.make_objects(hosts=2))
    for number in range(1, 41):
        rig.request(number, "POST")
        for start in rig.pop_sent(StartAttempt):
            is_bad = start.address.startswith("h0")
            result = AttemptResult.BROKEN if is_bad else AttemptResult.COMPLETE
            rig.end(start.attempt_id, result)
    opened = {"message": "circuit breaker opened", "host": "h0", "pool": "p"}
    assert lines("exchanges") == [opened]
    for number in range(41, 200):
        rig.harness.advance(250)
        rig.request(number)
        for start in rig.pop_sent(StartAttempt):
            rig.answer(start.attempt_id)
    closed = {"message": "circuit breaker closed", "host": "h0", "pool": "p"}
    assert lines("exchanges") == [opened, closed]
