"""An executor as a process of its own, which writes its life to a file.

Each line of the file is a JSON object with the machine's monotonic time ``at`` in ms,
``kind`` and the clock of the executor. The entries for the registry go to a second
file; whoever started the process brings the last one to the store. After the line
``stop`` on its standard input, an executor's runs have ended, and it still answers over
the connections that it has. The process ends when its standard input ends.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Outcome
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.request_handler import RequestHandler
from guavapin_standins.executor_clock import TICK_MS
from guavapin_standins.executor_clock import ClockTraits
from guavapin_standins.executor_clock import ExecutorClock
from guavapin_standins.resident_executor import ResidentExecutor

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.serving.request_handler import WholeRequest

ENTRY_INTERVAL_MS = 250

# A run with more work than this does not end by itself, and is at work throughout.
MAX_WORK_MS = 60_000
# Work for each percent that a run still lacks; schedulers stop a run without progress.
PERCENT_MS = 200
WORK_MS = 250

# Line on the standard input that lets an executor stop.
STOP_LINE = "stop"


@dataclass(frozen=True, slots=True)
class ExecutorFiles:
    """Where the life of an executor is written, and its entries for the registry."""

    life: Path
    entry: Path


@dataclass(frozen=True, slots=True)
class BeginStop:
    """As a `Call`: end all runs and refuse starts from now on."""


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: advance the executor and answer pending calls."""


@dataclass(frozen=True, slots=True)
class _PendingHold:
    """A hold that is answered at an end of a run or at `until_ms` (monotonic)."""

    request_id: int
    body: dict[str, Any]
    until_ms: int


class ExecutorProcessTask(RequestHandler):
    """Service ``executor`` behind the listener ``executor_front``."""

    name = "executor"

    def __init__(
        self, executor: ResidentExecutor, clock: ExecutorClock, files: ExecutorFiles
    ) -> None:
        super().__init__("executor_front")
        self._executor = executor
        self._clock = clock
        self._files = files
        self._pending: list[_PendingHold] = []
        self._entry_count = 0
        self._next_entry_ms = 0
        self._is_stopping = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open the files and write the first line of the life."""
        self._context = context
        self._life = self._files.life.open("a")
        self._entries = self._files.entry.open("a")
        self._write("up", born=self._executor.born_ms)
        self._tick()
        return Ok(None)

    def stop(self) -> None:
        """Close the files."""
        self._life.close()
        self._entries.close()

    def handle(self, message: object) -> None:
        """Handle a request or the timer."""
        match message:
            case _Tick():
                self._tick()
            case Call(body=BeginStop(), fut=fut):
                self._begin_stop()
                fut.set_result(Ok(None))
            case _:
                if not self.handle_front_message(message):
                    raise InvariantError(f"{self.name}: unexpected {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Carry out a scheduler's call; answer a hold at the end of its wait."""
        path = req.target.partition("?")[0]
        if req.header(b"x-expect-instance") != self._executor.executor_id:
            self._write("other life", expected=req.header(b"x-expect-instance"))
            self._reply(req.request_id, 421, {})
            return
        if self._is_stopping and path.endswith("/run-start"):
            self._reply(req.request_id, 503, {})
            return
        body = json.loads(req.body)
        now_ms = monotonic_ms()
        clock_ms = self._clock.at(now_ms)
        status, answer = self._call(path, body, clock_ms)
        self._write_runs()
        deadline_ms = body.get("deadline-ms", clock_ms)
        self._write(
            path.rpartition("/")[2],
            told=deadline_ms - clock_ms,
            left=self._executor.watermarks["until"] - clock_ms,
            status=status,
            fence=body.get("fencing-token", 0),
        )
        wait_ms = body.get("wait-ms", 0)
        if status == 200 and wait_ms and not answer.get("finished", True):
            # The lease of the call has counted from its arrival.
            body.pop("deadline-ms", None)
            row = _PendingHold(req.request_id, body, now_ms + wait_ms)
            self._pending.append(row)
        else:
            self._reply(req.request_id, status, answer)

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self._executor.leave(self._clock.at(monotonic_ms()))
        self._write_runs()
        self._write("stopping")

    def _tick(self) -> None:
        now_ms = monotonic_ms()
        clock_ms = self._clock.at(now_ms)
        self._executor.advance(clock_ms)
        self._write_runs()
        pending, self._pending = self._pending, []
        for row in pending:
            if now_ms < row.until_ms and not self._executor.ended:
                self._pending.append(row)
                continue
            answer = self._call("/hold", row.body, clock_ms)
            self._reply(row.request_id, *answer)
        self._write_runs()
        if now_ms >= self._next_entry_ms and not self._is_stopping:
            self._next_entry_ms = now_ms + ENTRY_INTERVAL_MS
            self._write_entry(clock_ms)
        self._context.set_timer(TICK_MS, _Tick())

    def _call(
        self, path: str, body: dict[str, Any], clock_ms: int
    ) -> tuple[int, dict[str, Any]]:
        status, answer = self._executor.call(path, body, clock_ms)
        for row in answer.get("running", []):
            left_ms = self._executor.running[row[0]].done_ms - clock_ms
            row[3] = 100 if left_ms > MAX_WORK_MS else _percent(left_ms)
        return status, answer

    def _write_runs(self) -> None:
        for event in self._executor.log:
            if event.kind != "confirmed":
                self._write(event.kind, task=event.task, attempt=event.attempt)
        self._executor.log.clear()

    def _write(self, kind: str, **fields: Any) -> None:
        now_ms = monotonic_ms()
        row = {"at": now_ms, "kind": kind, "clock": self._clock.at(now_ms), **fields}
        self._life.write(json.dumps(row) + "\n")
        self._life.flush()

    def _write_entry(self, clock_ms: int) -> None:
        self._entry_count += 1
        entry = {
            "seq": self._entry_count,
            "clock-ms": clock_ms,
            "born": self._executor.born_ms,
        }
        # Replacing the file would wait for the disk, and a wait of 0.4 s counts as a
        # suspension of the process.
        self._entries.write(json.dumps(entry) + "\n")
        self._entries.flush()

    def _reply(self, request_id: int, status: int, body: dict[str, Any]) -> None:
        headers = ((b"content-type", b"application/json"),)
        self.answer(request_id, status, headers, json.dumps(body).encode())


def _percent(left_ms: int) -> int:
    return max(99 - left_ms // PERCENT_MS, 1)


def monotonic_ms() -> int:
    """Return the monotonic time in ms that all processes of the machine share."""
    return time.monotonic_ns() // 1_000_000


def main(arguments: list[str] | None = None) -> None:
    """Run an executor until the standard input ends."""
    parser = argparse.ArgumentParser(prog="executor_process", description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--max-lease-ms", type=int, required=True)
    parser.add_argument("--first-clock-ms", type=int, default=0)
    parser.add_argument("--slow-share", type=float, default=0.0)
    parser.add_argument("--stands-still", action="store_true")
    options = parser.parse_args(arguments)
    born_ms = time.time_ns() // 1_000_000
    executor = ResidentExecutor(
        options.id, options.service, born_ms, WORK_MS, [], options.max_lease_ms
    )
    traits = ClockTraits(
        options.first_clock_ms, options.slow_share, options.stands_still
    )
    files = ExecutorFiles(
        options.folder / f"{options.id}.life", options.folder / f"{options.id}.entry"
    )
    clock = ExecutorClock(traits, monotonic_ms())
    task = ExecutorProcessTask(executor, clock, files)
    kernel = Kernel(SystemClock())
    kernel.register(task)
    front = FrontConfig(port=options.port, health_path="", ready_path="")
    kernel.register(FrontTask(front, "executor_front", task.name))
    outcome = kernel.start()
    if not isinstance(outcome, Ok):
        raise InvariantError(f"the executor did not start: {outcome}")
    for line in sys.stdin:
        if line.strip() == STOP_LINE:
            kernel.ask(task.name, BeginStop())
    kernel.stop()


if __name__ == "__main__":
    main()
