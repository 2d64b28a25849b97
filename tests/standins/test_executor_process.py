"""The process of an executor writes its life and entries, and stops as one does."""

from __future__ import annotations

import json
import time
from concurrent.futures import Future
from typing import TYPE_CHECKING

from guavapin.kernel import Call
from guavapin.kernel.harness import TaskHarness
from guavapin.serving.messages import AnswerHead
from guavapin.serving.request_handler import WholeRequest
from guavapin_soak.executor_host import last_line
from guavapin_standins.executor_clock import TICK_MS
from guavapin_standins.executor_clock import ClockTraits
from guavapin_standins.executor_clock import ExecutorClock
from guavapin_standins.executor_process import ENTRY_INTERVAL_MS
from guavapin_standins.executor_process import BeginStop
from guavapin_standins.executor_process import ExecutorFiles
from guavapin_standins.executor_process import ExecutorProcessTask
from guavapin_standins.executor_process import monotonic_ms
from guavapin_standins.resident_executor import ResidentExecutor

if TYPE_CHECKING:
    from pathlib import Path


def test_entries_are_written_without_replacing_a_file(tmp_path: Path) -> None:
    # Guards against clocks that stand still, without a suspension, while a file system
    # writes the replaced file to the disk.
    files = ExecutorFiles(tmp_path / "i-1.life", tmp_path / "i-1.entry")
    executor = ResidentExecutor("i-1", "pool", 1, 250, [], 10_000)
    clock = ExecutorClock(ClockTraits(), monotonic_ms())
    task = ExecutorProcessTask(executor, clock, files)
    harness = TaskHarness(task)
    harness.start()
    first = files.entry.stat().st_ino
    time.sleep(ENTRY_INTERVAL_MS / 1_000)
    harness.advance(TICK_MS)
    assert files.entry.stat().st_ino == first
    assert json.loads(last_line(files.entry.read_text()))["seq"] == 2
    task.stop()


def test_an_incomplete_line_is_not_read() -> None:
    # Guards against an entry that is read while the executor writes it.
    assert last_line('{"seq": 1}\n{"seq": 2}\n{"se') == '{"seq": 2}'
    assert last_line('{"se') == ""


def test_an_executor_that_stops_has_no_runs_and_starts_none(tmp_path: Path) -> None:
    # Guards against runs of a former life that the soak would count beside those of
    # the next one, and against a former life that carries out orders for that one.
    files = ExecutorFiles(tmp_path / "i-1.life", tmp_path / "i-1.entry")
    executor = ResidentExecutor("i-1", "pool", 1, 250, [], 10_000)
    clock = ExecutorClock(ClockTraits(), monotonic_ms())
    task = ExecutorProcessTask(executor, clock, files)
    harness = TaskHarness(task)
    harness.start()

    def start_status(task_name: str, executor_id: str) -> int:
        body = {"task": task_name, "attempt": 1, "deadline-ms": 9_000}
        headers = ((b"x-expect-instance", executor_id.encode()),)
        text = json.dumps(body).encode()
        task.handle_request(
            WholeRequest(1, "POST", "/guavapin/run-start", headers, text, 0)
        )
        (status,) = (
            sent.message.status
            for sent in harness.take_sent()
            if isinstance(sent.message, AnswerHead)
        )
        return status

    assert start_status("a.0.0.0", "i-1") == 200
    task.handle(Call(BeginStop(), Future()))
    assert start_status("b.0.0.0", "i-1") == 503
    assert start_status("b.0.0.0", "i-1-1") == 421
    kinds = [json.loads(row)["kind"] for row in files.life.read_text().splitlines()]
    assert kinds.count("start") == kinds.count("gone") == 1
    task.stop()
