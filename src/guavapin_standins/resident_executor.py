"""An executor of the users' platform, in memory."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

# A run whose spec is this text and a number lasts that many milliseconds.
WORK_SPEC = "work-ms="

# Longest lease of the deployments that the stand-ins imitate.
MAX_LEASE_MS = 6_000


@dataclass(frozen=True, slots=True)
class RunEvent:
    """An event of a run of `task` at `at_ms`.

    `kind` is ``start``, the kind of an end, ``gone`` for a run that ended with its
    executor, or ``confirmed`` when a scheduler has acknowledged an end as done.
    """

    kind: str
    task: str
    at_ms: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that ends by itself at `done_ms`."""

    attempt: int
    done_ms: int


@dataclass(eq=False, slots=True, frozen=True)
class ResidentExecutor:
    """One incarnation of an executor; it appends events of its runs to `log`."""

    executor_id: str
    service: str
    born_ms: int
    work_ms: int
    log: list[RunEvent]
    max_lease_ms: int = MAX_LEASE_MS
    running: dict[str, RunningTask] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest_attempts: dict[str, int] = field(default_factory=dict)
    # Highest fencing token, end of the lease in ms, and number of the last end.
    watermarks: dict[str, int] = field(
        default_factory=lambda: {"token": 0, "until": 0, "number": 0}
    )

    def advance(self, now_ms: int) -> None:
        """End the runs that are done, and all others once the lease has expired."""
        for task, run in [*self.running.items()]:
            if now_ms >= run.done_ms:
                self._end(task, "done", now_ms)
        if self.running and now_ms > self.watermarks["until"]:
            for task in [*self.running]:
                self._end(task, "lapsed", now_ms)

    def leave(self, now_ms: int) -> None:
        """End all runs without reporting their ends, as a removed host does."""
        for task in [*self.running]:
            run = self.running.pop(task)
            self.log.append(RunEvent("gone", task, now_ms, run.attempt))

    def call(
        self, path: str, body: dict[str, Any], now_ms: int
    ) -> tuple[int, dict[str, Any]]:
        """Return the HTTP status and the answer of a scheduler's call."""
        self.advance(now_ms)
        token = body.get("fencing-token", 0)
        if token < self.watermarks["token"]:
            return 409, {"clock-ms": now_ms, "reason": "fence"}
        self.watermarks["token"] = token
        if "deadline-ms" in body:
            until_ms = min(body["deadline-ms"], now_ms + self.max_lease_ms)
            self.watermarks["until"] = max(self.watermarks["until"], until_ms)
        if path.endswith("/hold"):
            return 200, self._hold(body, now_ms)
        task, attempt = body["task"], body["attempt"]
        if path.endswith("/run-start"):
            return self._start(task, attempt, body.get("spec", ""), now_ms)
        if path.endswith("/run-stop"):
            self.highest_attempts[task] = max(
                self.highest_attempts.get(task, 0), attempt
            )
            if task in self.running and self.running[task].attempt == attempt:
                self._end(task, "stopped", now_ms)
        return 200, {"clock-ms": now_ms}

    def _hold(self, body: dict[str, Any], now_ms: int) -> dict[str, Any]:
        last_seen = body.get("last-seen", 0)
        for number, task, _, end_kind, _ in self.ended:
            if number <= last_seen and end_kind == "done":
                self.log.append(RunEvent("confirmed", task, now_ms))
        self.ended[:] = [row for row in self.ended if row[0] > last_seen]
        rows = [[task, run.attempt, "", 50] for task, run in self.running.items()]
        return {
            "clock-ms": now_ms,
            "born": self.born_ms,
            "running": rows,
            "finished": [*self.ended],
        }

    def _start(
        self, task: str, attempt: int, spec: str, now_ms: int
    ) -> tuple[int, dict[str, Any]]:
        if attempt <= self.highest_attempts.get(task, 0):
            return 409, {"clock-ms": now_ms, "reason": "old"}
        if task not in self.running:
            work_ms = self.work_ms
            if spec.startswith(WORK_SPEC):
                work_ms = int(spec.removeprefix(WORK_SPEC))
            self.running[task] = RunningTask(attempt, now_ms + work_ms)
            self.log.append(RunEvent("start", task, now_ms, attempt))
        return 200, {"clock-ms": now_ms}

    def _end(self, task: str, end_kind: str, now_ms: int) -> None:
        run = self.running.pop(task)
        self.highest_attempts[task] = max(
            self.highest_attempts.get(task, 0), run.attempt
        )
        self.watermarks["number"] += 1
        self.ended.append([self.watermarks["number"], task, run.attempt, end_kind, ""])
        self.log.append(RunEvent(end_kind, task, now_ms, run.attempt))
