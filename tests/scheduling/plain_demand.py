"""The plain sum of the demand of pools, over all open steps at each report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.messages import PoolDemand

if TYPE_CHECKING:
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.step_run import StepRun


class _Tally:
    """Running sum of a pool's demand.

    It is mutable and has slots because a report adds up a thousand steps.
    """

    __slots__ = (
        "following_cpu",
        "held_cpu",
        "held_memory",
        "largest_spread",
        "lasting_cpu",
        "oldest_waiting_ms",
        "waiting_core_ms",
        "waiting_cpu",
        "waiting_memory",
    )

    def __init__(self) -> None:
        self.waiting_cpu = 0
        self.waiting_memory = 0
        self.waiting_core_ms = 0
        self.following_cpu = 0
        self.held_cpu = 0
        self.held_memory = 0
        self.lasting_cpu = 0
        self.largest_spread = 0
        self.oldest_waiting_ms = 0

    def add_step(self, step_run: StepRun, expected_ms: int, now_ms: int) -> None:
        """Add the waiting and running subtasks of a step."""
        step, need = step_run.step, step_run.step.reserved
        held = len(step_run.runs)
        self.held_cpu += held * need.cpu_millis
        self.held_memory += held * need.memory_mb
        if step.is_long_running:
            self.lasting_cpu += held * need.cpu_millis
        if step.max_per_host:
            spread = -(-step.count // step.max_per_host)
            self.largest_spread = max(self.largest_spread, spread)
        waiting = len(step_run.waiting)
        if waiting:
            self.waiting_cpu += waiting * need.cpu_millis
            self.waiting_memory += waiting * need.memory_mb
            self.waiting_core_ms += waiting * need.cpu_millis * expected_ms // 1_000
            age_ms = now_ms - step_run.job_run.accepted_ms
            self.oldest_waiting_ms = max(self.oldest_waiting_ms, age_ms)

    def demand(self, pool: str, arriving_cpu: int) -> PoolDemand:
        """Return the demand as a message field, with that of arriving jobs."""
        return PoolDemand(
            pool=pool,
            waiting_cpu=self.waiting_cpu,
            waiting_memory=self.waiting_memory,
            waiting_core_ms=self.waiting_core_ms,
            following_cpu=self.following_cpu,
            arriving_cpu=arriving_cpu,
            held_cpu=self.held_cpu,
            held_memory=self.held_memory,
            lasting_cpu=self.lasting_cpu,
            largest_spread=self.largest_spread,
            oldest_waiting_ms=self.oldest_waiting_ms,
        )


def plain_demands(scheduler: Scheduler) -> tuple[PoolDemand, ...]:
    """Return the demand of each pool."""
    now_ms = scheduler.term.now_ms
    tallies: dict[str, _Tally] = {}
    seen: set[str] = set()
    unresolved = scheduler.hosts.unknown_runs.unresolved()
    for step_run in scheduler.steps:
        job_run = step_run.job_run
        if job_run.state.is_final or step_run.is_done:
            continue
        pool = scheduler.pool_of(job_run)
        run_pools = scheduler.rules.run_pools_of(job_run)
        if job_run.is_inherited and unresolved.concern(run_pools):
            # The job may not start yet, so more machines would not help it.
            continue
        tally = tallies.setdefault(pool, _Tally())
        tally.add_step(step_run, scheduler.run_times.expected_ms(step_run), now_ms)
        if job_run.job.job_id not in seen:
            seen.add(job_run.job.job_id)
            following = _following_cpu(job_run) - _open_cpu(job_run)
            tally.following_cpu += max(following, 0)
    return tuple(
        tally.demand(pool, scheduler.arrivals.cpu_millis(pool, now_ms))
        for pool, tally in tallies.items()
    )


def _following_cpu(job_run: JobRun) -> int:
    """Return the processor need of the widest step that has not opened yet."""
    opened = {key[1] for key, step_run in job_run.steps.items() if step_run.is_open}
    return max(
        (
            step.count * step.reserved.cpu_millis
            for number, step in enumerate(job_run.job.steps)
            if number not in opened
        ),
        default=0,
    )


def _open_cpu(job_run: JobRun) -> int:
    """Return the processor need of the open steps, which later steps can reuse."""
    return sum(
        (step_run.step.count - len(step_run.done)) * step_run.step.reserved.cpu_millis
        for step_run in job_run.steps.values()
        if step_run.is_open
    )
