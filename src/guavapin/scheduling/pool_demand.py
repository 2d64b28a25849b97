"""Demand of each pool, summed up by differences.

Answers the load pattern of a large saturated fleet: the planner needs the demand ten
times a second, while only a few steps change between two reports.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from sortedcontainers import SortedList

from guavapin.scheduling.messages import PoolDemand

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.jobs.queues import QueueTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.unresolved_executors import UnresolvedExecutors

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True)
class SumKey:
    """Steps that are summed up together: those of a pool with the same `run_pools`.

    These are the pools on which a predecessor may have started them, none for a job
    that is not inherited.
    """

    pool: str
    run_pools: frozenset[str]


@dataclass(frozen=True, slots=True)
class StepDemand:
    """Demand of one step at one version of it.

    Processor needs are in thousandths of a core, memory in MB. `estimate_ms` is that of
    one subtask, `waiting` the number of those that wait, and `spread` the number of
    hosts that the step needs at least.
    """

    version: int
    key: SumKey
    queue: str
    estimate_ms: int
    accepted_ms: int
    held_cpu: int
    held_memory: int
    lasting_cpu: int
    waiting: int
    waiting_cpu: int
    waiting_memory: int
    spread: int


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Processor need of a job's widest later step, beyond that of its open ones."""

    key: SumKey
    following_cpu: int


class _Sum:
    """Running sum of the demands of steps and jobs."""

    def __init__(self) -> None:
        self.step_count = 0
        self.held_cpu = 0
        self.held_memory = 0
        self.lasting_cpu = 0
        self.waiting_cpu = 0
        self.waiting_memory = 0
        self.following_cpu = 0
        # Waiting processor need by queue and estimate, from which the work follows.
        self.waiting_by_estimate: Counter[tuple[str, int]] = Counter()
        self.spreads: Counter[int] = Counter()
        self.accepted_ms: SortedList[int] = SortedList()

    def add(self, step: StepDemand, sign: int) -> None:
        """Add a step's demand, or subtract it if `sign` is -1."""
        self.step_count += sign
        self.held_cpu += sign * step.held_cpu
        self.held_memory += sign * step.held_memory
        self.lasting_cpu += sign * step.lasting_cpu
        self.waiting_cpu += sign * step.waiting_cpu
        self.waiting_memory += sign * step.waiting_memory
        _count(self.spreads, step.spread, sign)
        if step.waiting:
            estimate = step.queue, step.estimate_ms
            _count(self.waiting_by_estimate, estimate, sign * step.waiting_cpu)
            if sign > 0:
                self.accepted_ms.add(step.accepted_ms)
            else:
                self.accepted_ms.remove(step.accepted_ms)


class PoolRules(Protocol):
    """Rules of the queue table for the pools of a job."""

    def pool_of_job(self, job_run: JobRun) -> str:
        """Return the pool on which a job starts its subtasks."""
        ...

    def run_pools_of(self, job_run: JobRun) -> frozenset[str]:
        """Return the pools on whose hosts a predecessor may have started a job."""
        ...


class DemandTable:
    """Demand of the open steps of a term, by the pools that `rules` gives for jobs.

    `update` compares the version of each open step with that of its last demand, so
    that only changed steps and their jobs are computed again.
    """

    def __init__(self, rules: PoolRules) -> None:
        self._rules = rules
        self._table: QueueTable | None = None
        self._steps: dict[StepRun, StepDemand] = {}
        self._jobs: dict[JobRun, JobDemand] = {}
        self._sums: dict[SumKey, _Sum] = {}

    def update(self, steps: Mapping[StepRun, None], table: QueueTable) -> None:
        """Apply the changes of `steps`, the open ones of a term, under a table."""
        if table is not self._table:
            # The pool of any job may have changed.
            self._table = table
            self._steps, self._jobs, self._sums = {}, {}, {}
        changed_jobs = {
            step_run.job_run: None
            for step_run in [*self._steps]
            if step_run not in steps and self._replace(step_run, None)
        }
        for step_run in steps:
            known = self._steps.get(step_run)
            if known is None or known.version != step_run.version:
                self._replace(step_run, self._demand_of(step_run))
                changed_jobs[step_run.job_run] = None
        for job_run in changed_jobs:
            self._replace_job(job_run)

    def demands(
        self,
        unresolved: UnresolvedExecutors,
        arriving_cpu: Callable[[str], int],
        expected_ms: Callable[[str, int], int],
        now_ms: int,
    ) -> Iterator[PoolDemand]:
        """Yield the demand of each pool with open steps.

        Inherited jobs that may run on `unresolved` executors may not start yet, so that
        more machines would not help them. `expected_ms` returns the expected run time
        of a subtask by its queue and estimate.
        """
        by_pool: dict[str, list[_Sum]] = {}
        for key, total in self._sums.items():
            is_held_up = bool(key.run_pools) and unresolved.concern(key.run_pools)
            if total.step_count and not is_held_up:
                by_pool.setdefault(key.pool, []).append(total)
        for pool, sums in by_pool.items():
            oldest_ms = min(
                (total.accepted_ms[0] for total in sums if total.accepted_ms),
                default=now_ms,
            )
            yield PoolDemand(
                pool=pool,
                waiting_cpu=sum(total.waiting_cpu for total in sums),
                waiting_memory=sum(total.waiting_memory for total in sums),
                waiting_core_ms=sum(
                    cpu * expected_ms(queue, estimate_ms) // 1_000
                    for total in sums
                    for (queue, estimate_ms), cpu in total.waiting_by_estimate.items()
                ),
                following_cpu=sum(total.following_cpu for total in sums),
                arriving_cpu=arriving_cpu(pool),
                held_cpu=sum(total.held_cpu for total in sums),
                held_memory=sum(total.held_memory for total in sums),
                lasting_cpu=sum(total.lasting_cpu for total in sums),
                largest_spread=max(max(total.spreads, default=0) for total in sums),
                oldest_waiting_ms=now_ms - oldest_ms,
            )

    def _demand_of(self, step_run: StepRun) -> StepDemand | None:
        job_run, step = step_run.job_run, step_run.step
        if job_run.state.is_final or step_run.is_done:
            return None
        need, held, waiting = step.reserved, len(step_run.runs), len(step_run.waiting)
        return StepDemand(
            version=step_run.version,
            key=self._key_of(job_run),
            queue=job_run.job.queue,
            estimate_ms=step.estimate_ms,
            accepted_ms=job_run.accepted_ms,
            held_cpu=held * need.cpu_millis,
            held_memory=held * need.memory_mb,
            lasting_cpu=held * need.cpu_millis if step.is_long_running else 0,
            waiting=waiting,
            waiting_cpu=waiting * need.cpu_millis,
            waiting_memory=waiting * need.memory_mb,
            spread=-(-step.count // step.max_per_host) if step.max_per_host else 0,
        )

    def _replace(self, step_run: StepRun, demand: StepDemand | None) -> bool:
        """Replace the demand of a step; True if it had one."""
        former = self._steps.pop(step_run, None)
        if former is not None:
            self._sums[former.key].add(former, -1)
        if demand is not None:
            self._steps[step_run] = demand
            self._sums.setdefault(demand.key, _Sum()).add(demand, 1)
        return former is not None

    def _replace_job(self, job_run: JobRun) -> None:
        former = self._jobs.pop(job_run, None)
        if former is not None:
            self._sums[former.key].following_cpu -= former.following_cpu
        if any(step_run in self._steps for step_run in job_run.steps.values()):
            demand = JobDemand(self._key_of(job_run), _following_cpu(job_run))
            self._jobs[job_run] = demand
            total = self._sums.setdefault(demand.key, _Sum())
            total.following_cpu += demand.following_cpu

    def _key_of(self, job_run: JobRun) -> SumKey:
        pools = self._rules.run_pools_of(job_run) if job_run.is_inherited else ()
        return SumKey(self._rules.pool_of_job(job_run), frozenset(pools))


def _count(counter: Counter[Key], key: Key, change: int) -> None:
    """Change the count of a key, which is removed at 0."""
    counter[key] += change
    if not counter[key]:
        del counter[key]


def _following_cpu(job_run: JobRun) -> int:
    """Return the processor need of the widest step that has not opened yet.

    The need of the open steps is subtracted, because later steps can use their room.
    """
    open_steps = [step for step in job_run.steps.values() if step.is_open]
    opened = {step_run.key[1] for step_run in open_steps}
    widest = max(
        (
            step.count * step.reserved.cpu_millis
            for number, step in enumerate(job_run.job.steps)
            if number not in opened
        ),
        default=0,
    )
    open_cpu = sum(
        (step_run.step.count - len(step_run.done)) * step_run.step.reserved.cpu_millis
        for step_run in open_steps
    )
    return max(widest - open_cpu, 0)
