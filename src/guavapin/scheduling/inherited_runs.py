"""Runs that an earlier scheduler started: adopted from reports, or handed over."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from guavapin.executors.model import Registration
from guavapin.jobs.model import Resources
from guavapin.scheduling.host_lease import SETTLED_LIFE_MS
from guavapin.scheduling.run import Run
from guavapin.scheduling.run import RunPhase

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from guavapin.executors.model import RunningRow
    from guavapin.jobs.model import Subtask
    from guavapin.scheduling.handover import HandedEntry
    from guavapin.scheduling.handover import HandedHost
    from guavapin.scheduling.handover import HandedRun
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

_NO_RESOURCES = Resources()

log = logging.getLogger("guavapin.scheduling")


class InheritedRuns:
    """Adds the runs of earlier terms to their hosts and steps.

    `find_step` returns the step of a subtask, None if it is not known, and
    `ended_organisation` the organisation of a job which ended before this term, "" if
    it has none and None if the job is not known.
    """

    def __init__(
        self,
        term: Term,
        hosts: HostTable,
        find_step: Callable[[Subtask], StepRun | None],
        ended_organisation: Callable[[str], str | None],
    ) -> None:
        self._term = term
        self._hosts = hosts
        self._find_step = find_step
        self._ended_organisation = ended_organisation

    def adopt(self, host: Host, row: RunningRow) -> None:
        """Adopt a run that a host lists, or stop it if it is not needed.

        The job of a run may have ended before this term, so that only its final state
        is known. Nothing starts on the host until such a run is gone.
        """
        step_run = self._find_step(row.subtask)
        run = self._run(host, row.subtask, row.attempt, step_run)
        run.percent = row.percent
        run.is_listed = True
        host.add(run)
        is_needed = step_run is not None and step_run.needs_run(row.subtask.index)
        extra = {
            "job": row.subtask.job_id,
            "executor": host.executor_id,
            "attempt": row.attempt,
            "needed": is_needed,
        }
        log.info("run adopted", extra=extra)
        if step_run is not None:
            step_run.add(row.subtask.index, run)
            step_run.job_run.mark_started()
        if not is_needed:
            self._hosts.stop(run)

    def reserve(self, handed_hosts: Iterable[HandedHost]) -> None:
        """Reserve what a predecessor handed over on hosts of the same incarnation.

        An executor whose entry the registry has lost may still run it.
        """
        for handed in handed_hosts:
            host = self._hosts.by_id.get(handed.executor_id)
            is_listed = handed.is_listed
            if host is None and handed.entry is not None:
                host = self._hosts.add_unregistered(_registration(handed, handed.entry))
                # The first list of machines without it is a sign that it has ended.
                is_listed = True
            if host is None or not host.born_ms or host.born_ms != handed.born_ms:
                continue
            self._hosts.unknown_runs.mark_handed_over(host, is_listed)
            for row in handed.runs:
                self._reserve_run(host, row)

    def _reserve_run(self, host: Host, row: HandedRun) -> None:
        step_run = self._find_step(row.subtask)
        run = self._run(host, row.subtask, row.attempt, step_run)
        if not row.is_settled:
            run.phase = RunPhase.UNSETTLED
        host.add(run)
        index = row.subtask.index
        is_needed = row.is_wanted and step_run is not None and step_run.needs_run(index)
        if step_run is not None:
            step_run.add(index, run)
            if row.is_settled:
                step_run.job_run.mark_started()
        if not is_needed:
            self._hosts.stop(run)

    def _run(
        self, host: Host, subtask: Subtask, attempt: int, step_run: StepRun | None
    ) -> Run:
        """Return a run that an earlier scheduler started on a host."""
        reserved, need = _NO_RESOURCES, _NO_RESOURCES
        organisation: str | None
        if step_run is not None:
            reserved, need = step_run.step.reserved, step_run.step.need
            organisation = step_run.job_run.job.organisation
        else:
            organisation = self._ended_organisation(subtask.job_id)
        run = Run(
            subtask,
            attempt,
            host.executor_id,
            reserved,
            RunPhase.RUNNING,
            self._term.now_ms,
            organisation or "",
            need,
        )
        run.is_owner_known = organisation is not None
        run.is_need_known = step_run is not None
        run.is_long_running = step_run is not None and step_run.step.is_long_running
        run.is_filler = step_run is not None and step_run.step.is_filler
        run.image = step_run.step.image if step_run is not None else ""
        life_ms = self._term.wall_ms - host.born_ms if host.born_ms else 0
        host.lease.assume(life_ms > SETTLED_LIFE_MS, self._term.now_ms)
        return run


def _registration(handed: HandedHost, entry: HandedEntry) -> Registration:
    """Return the entry of an executor as far as it was handed over."""
    return Registration(
        handed.executor_id,
        handed.born_ms,
        entry.pool,
        entry.address,
        entry.zone,
        is_draining=False,
        capacity=entry.capacity,
        labels=(),
        rack="",
        clock_ms=0,
    )
