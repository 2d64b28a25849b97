"""Rules of the queue table for the order of waiting steps.

In a burst that exceeds the capacity of a pool, jobs that will miss their objective in
any case make way for those that can still meet it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.job_run import critical_path_ms
from guavapin.scheduling.waiting_steps import Position

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.organisations import Organisation
    from guavapin.jobs.terms import QueueTerms
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.job_run import StepRun
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

    def allowed_ms(self, job: Job) -> float:
        """Return the time from the acceptance of a job to its objective."""
        queue = self._term.table.queue(job.queue)
        terms = queue.terms if queue is not None else job.terms
        return terms.stretch * critical_path_ms(job) + terms.latency_objective_ms

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
            self.objective_ms(job_run),
            job_run.job.job_id,
            step_run.number,
        )

    def late_after_ms(self, step_run: StepRun) -> float | None:
        """Return the time after which a step that starts misses the job's objective.

        A long-running step has none, since its service is missing as long as it waits.
        """
        if step_run.step.is_long_running:
            return None
        job_run = step_run.job_run
        return self.objective_ms(job_run) - job_run.remaining_ms(step_run.key[1])

    def objective_ms(self, job_run: JobRun) -> float:
        """Return the monotonic time, in ms, by which a job should have succeeded."""
        terms = self.terms_of(job_run)
        allowed_ms = terms.stretch * job_run.critical_path_ms
        return job_run.accepted_ms + allowed_ms + terms.latency_objective_ms

    def organisation_of(self, step_run: StepRun) -> Organisation | None:
        """Return the step's organisation, None if the table in force has none."""
        name = step_run.job_run.job.organisation
        return self._term.table.organisation(name) if name else None

    def needs_room(self, step_run: StepRun) -> bool:
        """Return whether a step can do nothing until a host has room for it.

        A step that needs advice requests it whether or not there is room.
        """
        return self.terms_of(step_run.job_run).advice is None
