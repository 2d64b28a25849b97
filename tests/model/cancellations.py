"""Check of rule UNASKED: runs and starts of a job after its cancelling was acked."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.jobs.model import Subtask
    from tests.model.world import World

# Bounds of the rule: `cancel_ms` from the acknowledgement on, then `stop-timeout-ms`.
CANCEL_MS = 3_000
STOP_MS = TIMES.stop_ms

# Time without a fault after which all bounds hold again, `stable-window-ms`.
STABLE_MS = 3_000


class CancellationCheck:
    """Acknowledged cancellations, and the time of the last fault of the model.

    A start breaks the rule later than `CANCEL_MS` after the acknowledgement, if nothing
    failed for `STABLE_MS`. A run breaks it if it goes on after `CANCEL_MS` and
    `STOP_MS`, counted from the acknowledgement or, if that is later, from `STABLE_MS`
    after the last fault. A process that ends by itself is no fault here: the bounds
    hold.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._disturbed_ms = world.clock.now_ms()
        # Time of the acknowledgement by job, and jobs that were not judged so far.
        self._acknowledged_ms: dict[str, int] = {}
        self._unjudged: dict[str, bool] = {}
        # Number of cancellations that were judged; of those, of jobs with a run at the
        # acknowledgement; of those, with the bound counted from the acknowledgement.
        self.judged = self.judged_with_runs = self.judged_at_once = 0

    def disturb(self) -> None:
        """Record that a fault acts at this moment."""
        self._disturbed_ms = self._world.clock.now_ms()

    def acknowledge(self, job_id: str, has_runs: bool) -> None:
        """Record the first acknowledgement of a job's cancelling."""
        if job_id not in self._acknowledged_ms:
            self._acknowledged_ms[job_id] = self._world.clock.now_ms()
            self._unjudged[job_id] = has_runs

    def check_start(self, subtask: Subtask) -> None:
        """Check a subtask that is about to start."""
        acknowledged_ms = self._acknowledged_ms.get(subtask.job_id)
        if acknowledged_ms is None:
            return
        now_ms = self._world.clock.now_ms()
        late_ms = now_ms - acknowledged_ms
        if late_ms > CANCEL_MS and now_ms - self._disturbed_ms >= STABLE_MS:
            detail = f"{subtask} started {late_ms} ms after its cancelling"
            self._world.report("UNASKED", detail)

    def check_running(self, running: Iterable[Subtask]) -> None:
        """Check all subtasks that run, and count the cancellations that are judged."""
        now_ms = self._world.clock.now_ms()
        for subtask in running:
            if self._is_over(subtask.job_id):
                late_ms = now_ms - self._acknowledged_ms[subtask.job_id]
                detail = f"{subtask} runs {late_ms} ms after its cancelling"
                self._world.report("UNASKED", detail)
        for job_id, has_runs in [*self._unjudged.items()]:
            if self._is_over(job_id):
                del self._unjudged[job_id]
                is_at_once = self._bound_ms(job_id) == self._acknowledged_ms[job_id]
                self.judged += 1
                self.judged_with_runs += has_runs
                self.judged_at_once += has_runs and is_at_once

    def _is_over(self, job_id: str) -> bool:
        """Return whether no run of a job may be left."""
        if job_id not in self._acknowledged_ms:
            return False
        now_ms = self._world.clock.now_ms()
        return now_ms > self._bound_ms(job_id) + CANCEL_MS + STOP_MS

    def _bound_ms(self, job_id: str) -> int:
        """Return the time from which the bounds of a job's runs count."""
        return max(self._acknowledged_ms[job_id], self._disturbed_ms + STABLE_MS)
