"""Decides which waiting subtasks start now, in which order and in which pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.shortage import Shortage
from guavapin.scheduling.starter import Starter
from guavapin.scheduling.waiting_steps import Position
from guavapin.scheduling.waiting_steps import WaitingSteps

if TYPE_CHECKING:
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.job_run import StepRun
    from guavapin.scheduling.room_index import PoolRoom
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
        queue = self._term.table.queue(job_run.job.queue)
        return queue.service if queue is not None else job_run.job.service

    def position(self, step_run: StepRun) -> Position:
        """Return the sort key of a step at the present time."""
        job_run = step_run.job_run
        queue = self._term.table.queue(job_run.job.queue)
        late_after_ms = self.late_after_ms(step_run)
        return Position(
            queue.priority if queue is not None else 0,
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
        queue = self._term.table.queue(job_run.job.queue)
        if queue is None:
            return job_run.accepted_ms
        allowed_ms = (
            queue.stretch * job_run.critical_path_ms + queue.latency_objective_ms
        )
        return job_run.accepted_ms + allowed_ms

    def needs_room(self, step_run: StepRun) -> bool:
        """Return whether a step can do nothing until a host has room for it.

        A step that needs advice requests it whether or not there is room.
        """
        queue = self._term.table.queue(step_run.job_run.job.queue)
        return queue is None or queue.advice is None


class Dispatcher:
    """Starts waiting subtasks, pool by pool, as far as they fit on a host."""

    def __init__(self, term: Term, hosts: HostTable, rules: QueueRules) -> None:
        self._term = term
        self._hosts = hosts
        self._rules = rules
        self._starter = Starter(term, hosts)
        self._waiting = WaitingSteps(rules)
        self._table = term.table

    def add(self, step_run: StepRun) -> None:
        """Start the waiting subtasks of a step from the next dispatch on."""
        if step_run.waiting:
            self._waiting.add(step_run)

    def discard(self, step_run: StepRun) -> None:
        """Start no more subtasks of a step."""
        self._waiting.discard(step_run)

    def dispatch(self) -> None:
        """Start the waiting subtasks that fit on a host, in order of position."""
        if not len(self._waiting):
            return
        self._hosts.room.refresh(self._term.now_ms)
        if self._table is not self._term.table:
            self._table = self._term.table
            self._waiting.sort_again()
        self._waiting.mark_late(self._term.now_ms)
        unresolved = self._hosts.unresolved_pools()
        for pool in self._waiting.pools():
            room = self._hosts.room.pool(pool)
            if len(room):
                self._dispatch_pool(pool, room, pool in unresolved)

    def _dispatch_pool(self, pool: str, room: PoolRoom, is_unresolved: bool) -> None:
        shortage = Shortage()
        started = []
        for step_run in self._waiting.candidates(pool, lambda: room.max_free_cpu):
            step = step_run.step
            is_held_up = step_run.job_run.is_inherited and is_unresolved
            if is_held_up and not step.allows_copies:
                continue
            if step.reserved.cpu_millis > room.max_free_cpu and self._rules.needs_room(
                step_run
            ):
                continue
            if shortage.applies(pool, step):
                continue
            if not self._starter.start_waiting(step_run, room):
                shortage.record(pool, step)
            if not step_run.waiting:
                started.append(step_run)
        for step_run in started:
            self._waiting.discard(step_run)
