"""The load of the pools of a term, as the admission rules see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.backlog import PoolLoad
from guavapin.scheduling.job_run import JobRun

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.scheduling.backlog import OpenWork
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.learned_times import LearnedTimes
    from guavapin.scheduling.queue_rules import QueueRules
    from guavapin.scheduling.term import Term

# Time for which the processor time that a pool can get is kept, since it takes a look
# at all hosts. Machines need longer to move.
CAPACITY_AGE_MS = 100

_NO_LOAD = PoolLoad(0, 0, 0, True)


class TermLoad:
    """Implements `LoadView` for a term."""

    def __init__(
        self,
        term: Term,
        hosts: HostTable,
        rules: QueueRules,
        times: LearnedTimes,
        work: OpenWork,
    ) -> None:
        self._term, self._hosts, self._rules = term, hosts, rules
        self._times, self._work = times, work
        # Processor time that each pool has or can get, whether it can grow, and the
        # time at which both were read.
        self._capacities: dict[str, tuple[int, bool, int]] = {}

    def allowed_ms(self, job: Job) -> float:
        """Return the objective of a job from its acceptance, 0 if it has none.

        Long-running and repeating jobs have none.
        """
        if job.repeats or any(step.is_long_running for step in job.steps):
            return 0.0
        return self._rules.allowed_ms(self._open(job))

    def load_before(self, job: Job) -> PoolLoad:
        """Return the load of the pool of a job, none while a machine is not known."""
        job_run = self._open(job)
        pool = self._rules.pool_of_job(job_run)
        priority = self._rules.terms_of(job_run).priority
        now_ms = self._term.now_ms
        cpu_millis, can_grow, read_ms = self._capacities.get(pool, (0, False, -1))
        if read_ms < 0 or now_ms - read_ms >= CAPACITY_AGE_MS:
            cpu_millis, can_grow = self._capacity(pool)
            self._capacities[pool] = cpu_millis, can_grow, now_ms
        if not cpu_millis:
            return _NO_LOAD
        return PoolLoad(
            self._work.backlog(pool, priority),
            self._work.completed(pool, now_ms),
            cpu_millis,
            can_grow,
        )

    def _open(self, job: Job) -> JobRun:
        job_run = JobRun(job, self._term.now_ms, is_inherited=False)
        job_run.expect(self._times.expected_steps_ms(job))
        return job_run

    def _capacity(self, pool: str) -> tuple[int, bool]:
        """Return the processor time that a pool has or can get, and if it can grow.

        It can get the machines that are off, and those of other pools that are idle.
        The result is 0 while a machine is not known.
        """
        if not self._hosts.unknown_runs.are_machines_known:
            return 0, True
        cpu_millis, can_grow = 0, False
        for host in self._hosts.by_id.values():
            if host.pool == pool or not host.runs:
                cpu_millis += host.registration.capacity.cpu_millis
                can_grow = can_grow or host.pool != pool
        for capacity in self._hosts.unknown_runs.off_capacities or ():
            cpu_millis += capacity.cpu_millis
            can_grow = True
        return cpu_millis, can_grow


def open_work(job_run: JobRun, times: LearnedTimes) -> int:
    """Return the expected work of the subtasks of a job that are not done.

    It is in thousandths of a core times milliseconds. Long-running steps and all but
    one occurrence do not count.
    """
    work = 0
    for number, step in enumerate(job_run.job.steps):
        if not step.is_long_running:
            step_run = job_run.steps.get((0, number))
            done = len(step_run.done) if step_run is not None else 0
            work += (step.count - done) * subtask_work(job_run, number, times)
    return work


def subtask_work(job_run: JobRun, number: int, times: LearnedTimes) -> int:
    """Return the expected work of one subtask of a step."""
    step = job_run.job.steps[number]
    expected_ms = times.expected_ms(job_run.job.queue, number, step.estimate_ms)
    return step.reserved.cpu_millis * expected_ms
