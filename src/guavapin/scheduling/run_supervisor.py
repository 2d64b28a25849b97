"""Stops stalled runs, paces and moves fillers, and evacuates hosts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.scheduling.placement import choose_host
from guavapin.scheduling.run import RunPhase
from guavapin.scheduling.supervision import RunView
from guavapin.scheduling.supervision import copies_needed
from guavapin.scheduling.supervision import fillers_in_the_way
from guavapin.scheduling.supervision import may_miss_one
from guavapin.scheduling.supervision import needs_supervision
from guavapin.scheduling.supervision import note_targets
from guavapin.scheduling.supervision import pace_changes
from guavapin.scheduling.supervision import stalled_runs

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.neighbour_preference import NeighbourPreference
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.run_times import RunTimes
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

log = logging.getLogger("guavapin.scheduling")


class Supervised(Protocol):
    """Finds the steps of runs, their pools and run times, and starts copies."""

    @property
    def run_times(self) -> RunTimes:
        """Return the run times recorded in this term."""
        ...

    def step_of(self, row: Run) -> StepRun | None:
        """Return the step of a run, None if its job or its subtask is not known."""
        ...

    def pool_of(self, job_run: JobRun) -> str:
        """Return the pool that runs a job at present."""
        ...

    def start_copy(self, step_run: StepRun, index: int) -> None:
        """Start a subtask once more as soon as a host has room for it."""
        ...


class RunSupervisor:
    """Applies the rules of `supervision` to the hosts of a term."""

    def __init__(
        self,
        term: Term,
        hosts: HostTable,
        scheduler: Supervised,
        preference: NeighbourPreference,
    ) -> None:
        self._preference = preference
        self._term = term
        self._hosts = hosts
        self._scheduler = scheduler

    def supervise(self, host: Host) -> None:
        """Stop stalled runs, start copies, pace fillers, and evacuate a draining host.

        A host with a stalled run is set aside, so that the subtask starts on another.
        """
        if not needs_supervision(host, self._term.now_ms):
            return
        views = [
            RunView(run, step_run)
            for run in host.runs.values()
            if (step_run := self._scheduler.step_of(run)) is not None
        ]
        for run in self._stalled(host, views):
            extra = {
                "job": run.subtask.job_id,
                "executor": host.executor_id,
                "percent": run.percent,
                "still_ms": self._term.now_ms - run.moved_ms,
            }
            log.info("run stalled", extra=extra)
            host.set_aside(self._term.now_ms)
            self._hosts.stop(run)
        for view in copies_needed(host, views):
            index = view.run.subtask.index
            extra = {"job": view.run.subtask.job_id, "executor": host.executor_id}
            if index not in view.step_run.waiting:
                log.info("copy requested", extra={**extra, "index": index})
                self._scheduler.start_copy(view.step_run, index)
        if host.has_fillers:
            for run, percent in pace_changes(views, self._term.now_ms):
                extra = {"job": run.subtask.job_id, "executor": host.executor_id}
                log.info("run paced", extra={**extra, "percent": percent})
                self._hosts.pace(run, percent)
            note_targets(views, self._term.now_ms)
            if not host.unanswered:
                self._move_filler(host, views)
        if host.registration.is_draining:
            self.evacuate(host, is_urgent=False)

    def evacuate(self, host: Host, is_urgent: bool) -> None:
        """Stop the runs that keep a host from becoming empty.

        A long-running run is stopped only if its step may miss one more subtask and the
        subtask fits on another host. Other runs are stopped only if `is_urgent`.
        """
        for run in [*host.runs.values()]:
            step_run = self._scheduler.step_of(run)
            if step_run is None or not run.is_wanted:
                continue
            if run.phase is not RunPhase.RUNNING:
                continue
            if step_run.step.is_long_running:
                if may_miss_one(step_run) and self._fits_on_another_host(step_run):
                    self._hosts.stop(run)
            elif is_urgent:
                self._hosts.stop(run)

    def _move_filler(self, host: Host, views: list[RunView]) -> None:
        """Stop one filler that is in the way and can start on a better host."""
        for view in fillers_in_the_way(views, self._term.now_ms):
            run, step_run = view.run, view.step_run
            if not may_miss_one(step_run):
                continue
            # The start that follows must avoid this host, like the search here.
            self._preference.avoid(step_run, host.executor_id)
            pool = self._scheduler.pool_of(step_run.job_run)
            self._hosts.room.refresh(self._term.now_ms)
            room = self._hosts.room.pool(pool)
            target = choose_host(step_run, room, "", self._preference)
            if target is None or self._preference.penalty(step_run, target):
                self._preference.forget(step_run, host.executor_id)
                continue
            extra = {
                "job": run.subtask.job_id,
                "step": run.subtask.step,
                "index": run.subtask.index,
                "executor": host.executor_id,
                "over_target_ms": self._term.now_ms
                - max(row.run.over_target_since_ms for row in views),
            }
            log.info("filler moved", extra=extra)
            self._hosts.stop(run)
            return

    def _stalled(self, host: Host, views: list[RunView]) -> list[Run]:
        stalled = []
        for view in views:
            expected_ms = self._scheduler.run_times.expected_ms(view.step_run)
            stalled += stalled_runs(host, [view], expected_ms, self._term.now_ms)
        return stalled

    def _fits_on_another_host(self, step_run: StepRun) -> bool:
        pool = self._scheduler.pool_of(step_run.job_run)
        self._hosts.room.refresh(self._term.now_ms)
        # A host that is being evacuated is not usable, so it is not in the index.
        return choose_host(step_run, self._hosts.room.pool(pool)) is not None
