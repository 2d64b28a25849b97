"""Builds the operators' views of the scheduler: the overview and that of one job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.scheduling.describe_organisations import OrganisationView
from guavapin.scheduling.describe_organisations import cap_reason
from guavapin.scheduling.describe_organisations import describe_organisations

if TYPE_CHECKING:
    from guavapin.scheduling.interference import InterferenceTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.step_run import StepRun


@dataclass(frozen=True, slots=True)
class QueueView:
    """Numbers of open jobs of a queue; `waiting` counts those that have not started."""

    queue: str
    pool: str
    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class HostView:
    """A host with its number of runs; `free_cpu` is in thousandths of a core."""

    executor: str
    pool: str
    runs: int
    free_cpu: int
    state: str


@dataclass(frozen=True, slots=True)
class PairView:
    """An image that runs slower beside another one, at present `slowdown` times.

    `confidence` is the probability that such evidence does not occur by chance;
    `renewed_ms` is the time since evidence renewed the pair last.
    """

    image: str
    neighbour: str
    measure: str
    slowdown: float
    confidence: float
    executors: int
    samples: int
    renewed_ms: int


@dataclass(frozen=True, slots=True)
class SchedulingView:
    """Overview of a term: its token, queues with open jobs, hosts, organisations.

    `pairs` are the pairs of images of which one slows down the other.
    """

    token: int
    queues: tuple[QueueView, ...]
    hosts: tuple[HostView, ...]
    organisations: tuple[OrganisationView, ...] = ()
    pairs: tuple[PairView, ...] = ()


@dataclass(frozen=True, slots=True)
class StepView:
    """One step of one occurrence of a job; `hosts` are the executors that run it."""

    occurrence: int
    step: int
    count: int
    done: int
    running: int
    waiting: int
    failures: int
    hosts: tuple[str, ...]
    is_open: bool


@dataclass(frozen=True, slots=True)
class JobView:
    """One job with its steps; `reason` says why its waiting subtasks do not start."""

    job: str
    queue: str
    pool: str
    state: str
    age_ms: int
    steps: tuple[StepView, ...]
    reason: str


def describe_scheduling(scheduler: Scheduler) -> SchedulingView:
    """Return the overview, with queues sorted by name and hosts by pool and id."""
    queues: dict[str, QueueView] = {}
    for job_run in scheduler.jobs.by_id.values():
        if job_run.state.is_final:
            continue
        name = job_run.job.queue
        view = queues.get(name, QueueView(name, scheduler.pool_of(job_run), 0, 0))
        is_waiting = job_run.state.value == "queued"
        queues[name] = QueueView(
            name,
            view.pool,
            view.waiting + is_waiting,
            view.running + (not is_waiting),
        )
    hosts = tuple(
        HostView(
            host.executor_id,
            host.pool,
            len(host.runs),
            host.free.cpu_millis,
            host.describe(scheduler.term.now_ms),
        )
        for host in scheduler.hosts.by_id.values()
    )
    ordered = sorted(hosts, key=lambda host: (host.pool, host.executor))
    rows = tuple(queues[name] for name in sorted(queues))
    pairs = _pair_views(scheduler.interference.table, scheduler.term.now_ms)
    organisations = describe_organisations(scheduler)
    return SchedulingView(
        scheduler.term.token, rows, tuple(ordered), organisations, pairs
    )


def _pair_views(table: InterferenceTable, now_ms: int) -> tuple[PairView, ...]:
    return tuple(
        PairView(
            pair.image,
            pair.neighbour,
            pair.measure.value,
            round(pair.slowdown_at(now_ms), 2),
            round(pair.confidence, 4),
            pair.executors,
            pair.samples,
            now_ms - pair.renewed_ms,
        )
        for pair in table.pairs()
    )


def describe_job(scheduler: Scheduler, job_id: str) -> JobView | None:
    """Return the view of a job, None if this term does not hold it."""
    job_run = scheduler.jobs.by_id.get(job_id)
    if job_run is None:
        return None
    pool = scheduler.pool_of(job_run)
    steps = tuple(_step_view(step_run) for step_run in job_run.steps.values())
    return JobView(
        job_id,
        job_run.job.queue,
        pool,
        job_run.visible_state.value,
        scheduler.term.now_ms - job_run.accepted_ms,
        steps,
        _reason(scheduler, pool, job_run, steps),
    )


def _reason(
    scheduler: Scheduler, pool: str, job_run: JobRun, steps: tuple[StepView, ...]
) -> str:
    if not any(step.waiting and step.is_open for step in steps):
        return "nothing waits"
    for step_run in job_run.steps.values():
        is_waiting = step_run.is_open and step_run.waiting
        if is_waiting and (reason := scheduler.pool_gate.reason(step_run)):
            return reason
    if held := cap_reason(scheduler, job_run):
        return held
    now_ms = scheduler.term.now_ms
    hosts = [host for host in scheduler.hosts.by_id.values() if host.pool == pool]
    usable = sum(host.is_usable(now_ms) for host in hosts)
    if not usable:
        return f"none of the {len(hosts)} hosts of the pool can take work"
    return f"the {usable} usable hosts of the pool have no room"


def _step_view(step_run: StepRun) -> StepView:
    runs = [run for runs in step_run.runs.values() for run in runs]
    return StepView(
        *step_run.key,
        step_run.step.count,
        len(step_run.done),
        len(runs),
        len(step_run.waiting),
        sum(len(attempts) for attempts in step_run.failures.values()),
        tuple(sorted({run.executor_id for run in runs})),
        step_run.is_open,
    )
