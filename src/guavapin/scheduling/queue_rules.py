"""Rules of the queue table for the order of waiting steps.

In a burst that exceeds the capacity of a pool, jobs that will miss their objective in
any case make way for those that can still meet it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.lateness import WorkTimes
from guavapin.scheduling.waiting_steps import Position

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.organisations import Organisation
    from guavapin.jobs.terms import QueueTerms
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term


class QueueRules:
    """Pool, order and objective of steps by the queue table in force."""

    def __init__(self, term: Term) -> None:
        self._term = term

    def pool_of(self, step_run: StepRun) -> str:
        """Return the pool on which a step runs."""
        return self.pool_of_job(step_run.job_run)

    def pool_of_job(self, job_run: JobRun) -> str:
        """Return the pool of the job's queue, or of the job if the queue is gone."""
        return self.pool_of_queue(job_run.job)

    def pool_of_queue(self, job: Job) -> str:
        """Return the pool of a job's queue, or of the job if the queue is gone."""
        queue = self._term.table.queue(job.queue)
        return queue.service if queue is not None else job.service

    def run_pools_of(self, job_run: JobRun) -> frozenset[str]:
        """Return the pools on whose hosts a predecessor may have started a job.

        The present pool is among them although the record names each pool before its
        first start: a process of an earlier build does not write that.
        """
        return job_run.run_pools.names | {self.pool_of_job(job_run)}

    def allowed_for_ms(self, job: Job) -> float:
        """Return the objective of a job that is not open, by its estimates, in ms."""
        return self.allowed_ms(JobRun(job, self._term.now_ms, is_inherited=False))

    def terms_of(self, job_run: JobRun) -> QueueTerms:
        """Return the terms of the job's queue, or of the job if the queue is gone."""
        queue = self._term.table.queue(job_run.job.queue)
        return queue.terms if queue is not None else job_run.job.terms

    def position(self, step_run: StepRun) -> Position:
        """Return the sort key of a step at the present time."""
        job_run = step_run.job_run
        late_after_ms = self.late_after_ms(step_run)
        return Position(
            self.terms_of(job_run).priority,
            job_run.job.is_excess and self.organisation_of(step_run) is not None,
            late_after_ms is not None and self._term.now_ms > late_after_ms,
            self._sorting_objective_ms(step_run),
            job_run.job.job_id,
            step_run.number,
        )

    def late_after_ms(self, step_run: StepRun) -> float | None:
        """Return the time after which a step that starts misses the job's objective.

        A long-running step has none, since its service is missing as long as it waits.
        Nor has a step that has been given a turn.
        """
        if step_run.step.is_long_running or step_run.turn_ms:
            return None
        return self.work_times(step_run).late_after_ms

    def work_times(self, step_run: StepRun) -> WorkTimes:
        """Return the times by which the lateness of a step is judged."""
        job_run, number = step_run.job_run, step_run.key[1]
        return WorkTimes(
            job_run.accepted_ms,
            self.allowed_ms(job_run),
            job_run.remaining_ms(number),
            bool(step_run.step.after) and job_run.is_last_step(number),
        )

    def allowed_ms(self, job_run: JobRun) -> float:
        """Return the objective of a job, counted from its acceptance, in ms."""
        terms = self.terms_of(job_run)
        return terms.stretch * job_run.critical_path_ms + terms.latency_objective_ms

    def objective_ms(self, job_run: JobRun) -> float:
        """Return the monotonic time, in ms, by which a job should have succeeded."""
        return job_run.accepted_ms + self.allowed_ms(job_run)

    def _sorting_objective_ms(self, step_run: StepRun) -> float:
        if step_run.turn_ms:
            return step_run.turn_ms
        if step_run.step.is_long_running:
            return self.objective_ms(step_run.job_run)
        return self.work_times(step_run).sorting_ms(self._term.now_ms)

    def organisation_of(self, step_run: StepRun) -> Organisation | None:
        """Return the step's organisation, None if the table in force has none."""
        name = step_run.job_run.job.organisation
        return self._term.table.organisation(name) if name else None

    def needs_room(self, step_run: StepRun) -> bool:
        """Return whether a step can do nothing until a host has room for it.

        A step that needs advice requests it whether or not there is room.
        """
        return self.terms_of(step_run.job_run).advice is None
