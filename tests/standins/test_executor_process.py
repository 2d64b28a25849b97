"""The process of an executor writes its entries without waiting for the disk."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

from guavapin.kernel.harness import TaskHarness
from guavapin_soak.executor_host import last_line
from guavapin_standins.executor_clock import TICK_MS
from guavapin_standins.executor_clock import ClockTraits
from guavapin_standins.executor_clock import ExecutorClock
from guavapin_standins.executor_process import ENTRY_INTERVAL_MS
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
