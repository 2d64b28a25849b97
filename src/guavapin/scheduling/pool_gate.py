"""Decides whether a step may start on the present pool of its queue.

Answers the load pattern of queues whose services change while the scheduler is replaced
and executors are silent: runs on the former pool must not start again on the new one.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.scheduling.run_pools import RunPoolsStored

if TYPE_CHECKING:
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.queue_rules import QueueRules
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.unresolved_executors import UnresolvedExecutors

log = logging.getLogger("guavapin.scheduling.pools")


class ProgressStore(Protocol):
    """Stores the progress of jobs."""

    def store_progress(
        self, job_run: JobRun, tag: object, is_urgent: bool = False
    ) -> None:
        """Store the progress of a job; `tag` is returned once it is stored."""
        ...


class PoolGate:
    """Holds steps until the runs of a predecessor are known and the pool is stored."""

    def __init__(
        self, hosts: HostTable, rules: QueueRules, progress: ProgressStore
    ) -> None:
        self._hosts = hosts
        self._rules = rules
        self._progress = progress

    def unresolved(self) -> UnresolvedExecutors:
        """Return the executors whose runs are not all known at present."""
        return self._hosts.unknown_runs.unresolved()

    def is_held_up(self, step_run: StepRun, unresolved: UnresolvedExecutors) -> bool:
        """Return whether a subtask of a step may run on an `unresolved` executor."""
        job_run = step_run.job_run
        if not job_run.is_inherited or step_run.step.allows_copies:
            return False
        return unresolved.concern(self._rules.run_pools_of(job_run))

    def reason(self, step_run: StepRun) -> str:
        """Return why a step may not start on its present pool, "" if it may."""
        unresolved = self.unresolved()
        if self.is_held_up(step_run, unresolved):
            return unresolved.describe(self._rules.run_pools_of(step_run.job_run))
        if self._is_being_stored(step_run.job_run):
            return "the record of the job does not name its new pool yet"
        return ""

    def may_start(self, step_run: StepRun) -> bool:
        """Return whether the record of the job names the present pool.

        Add the pool to the record if it does not. Nothing may start there before it is
        stored, since a successor would not wait for executors of the pool.
        """
        job_run = step_run.job_run
        pool = self._rules.pool_of_job(job_run)
        if pool in job_run.run_pools.stored:
            return True
        if pool not in job_run.run_pools.names:
            job_run.add_run_pool(pool, self._pools_in_use(job_run))
            pools = job_run.run_pools
            extra = {
                "job": job_run.job.job_id,
                "pool": pool,
                "pools": sorted(pools.names),
            }
            log.info("pool added to the record of a job", extra=extra)
            tag = RunPoolsStored(job_run.job.job_id, pools.version)
            self._progress.store_progress(job_run, tag, is_urgent=True)
        return False

    def _is_being_stored(self, job_run: JobRun) -> bool:
        pools = job_run.run_pools
        return self._rules.pool_of_job(job_run) in pools.names - pools.stored

    def _pools_in_use(self, job_run: JobRun) -> frozenset[str]:
        """Return the pools on whose hosts subtasks of a job may run at present.

        While runs of a predecessor may be unknown, these are all that the record names.
        """
        names = job_run.run_pools.names
        if job_run.is_inherited and self.unresolved().concern(names):
            return names
        executor_ids = {run.executor_id for run in job_run.runs()}
        hosts = map(self._hosts.by_id.get, executor_ids)
        return frozenset(host.pool for host in hosts if host is not None)
