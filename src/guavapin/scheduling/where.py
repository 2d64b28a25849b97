"""Explains where a job would start now and why, by the code of a real start.

Nothing is sent and no decision is recorded. The scheduler's own rules, placement and
order of waiting steps are asked; a job that was not submitted is opened apart from the
table of jobs.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.placement import find_exclusion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.jobs.model import Job
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.step_run import StepRun

# Steps of a job that are explained; the others wait for the same pool.
MAX_STEPS = 8

# Jobs ahead that are named.
MAX_NAMED_JOBS = 5


@dataclass(frozen=True, slots=True)
class StartView:
    """Where a step would start now, and what keeps other hosts from it.

    `hosts` are those of one more subtask, or of a gang; it is empty if it would wait.
    `ahead` counts the waiting steps before this one, `ahead_cpu` is the need of their
    waiting subtasks in thousandths of a core, and `ahead_jobs` names the first jobs.
    `excluded` has the number of hosts of the pool by reason.
    """

    occurrence: int
    step: int
    hosts: tuple[str, ...]
    reason: str
    ahead: int
    ahead_cpu: int
    ahead_jobs: tuple[str, ...]
    pool_hosts: int
    excluded: dict[str, int]


@dataclass(frozen=True, slots=True)
class PlacementView:
    """What the scheduler would do with a job now.

    `rejection` is "" for a job that would be accepted, and `retry_after_ms` 0 then.
    `is_submitted` is unset for a job that was described and not submitted.
    """

    job: str
    queue: str
    pool: str
    is_submitted: bool
    state: str
    rejection: str
    retry_after_ms: int
    steps: tuple[StartView, ...]


def explain_job(scheduler: Scheduler, job: Job) -> PlacementView:
    """Return what would happen to a job if it were submitted now."""
    rejection = scheduler.jobs.preview_rejection(job)
    job_run = JobRun(job, scheduler.term.now_ms, is_inherited=False)
    opened = job_run.open_steps(scheduler.term.wall_ms)
    return PlacementView(
        job.job_id,
        job.queue,
        scheduler.pool_of(job_run),
        False,
        "",
        rejection.detail if rejection is not None else "",
        rejection.retry_after_ms if rejection is not None else 0,
        _views(scheduler, opened),
    )


def explain_waiting(scheduler: Scheduler, job_id: str) -> PlacementView | None:
    """Return what a submitted job waits for, None if this term does not hold it."""
    job_run = scheduler.jobs.by_id.get(job_id)
    if job_run is None:
        return None
    waiting = [
        step_run
        for step_run in job_run.steps.values()
        if step_run.is_open and step_run.waiting and not job_run.state.is_final
    ]
    return PlacementView(
        job_id,
        job_run.job.queue,
        scheduler.pool_of(job_run),
        True,
        job_run.visible_state.value,
        "",
        0,
        _views(scheduler, waiting),
    )


def _views(scheduler: Scheduler, step_runs: Iterable[StepRun]) -> tuple[StartView, ...]:
    return tuple(_view(scheduler, row) for row in [*step_runs][:MAX_STEPS])


def _view(scheduler: Scheduler, step_run: StepRun) -> StartView:
    pool = scheduler.pool_of(step_run.job_run)
    scheduler.hosts.room.refresh(scheduler.term.now_ms)
    room = scheduler.hosts.room.pool(pool)
    chosen: list[Host] = []
    reason = held_up_reason(scheduler, step_run)
    if not reason:
        chosen = scheduler.dispatcher.starter.preview(step_run, room)
        if not chosen:
            reason = _no_host_reason(scheduler, step_run)
    ahead, ahead_cpu, names = _ahead(scheduler, pool, step_run)
    hosts = [host for host in scheduler.hosts.by_id.values() if host.pool == pool]
    return StartView(
        *step_run.key,
        tuple(host.executor_id for host in chosen),
        reason,
        ahead,
        ahead_cpu,
        names,
        len(hosts),
        _excluded(scheduler, step_run, hosts, chosen),
    )


def held_up_reason(scheduler: Scheduler, step_run: StepRun) -> str:
    """Return what keeps a step from starting whatever room hosts have, "" if nothing.

    For example, the cap of its organisation.
    """
    if reason := scheduler.pool_gate.reason(step_run):
        return reason
    if not scheduler.is_start_allowed:
        return "the record of the previous scheduler is not removed yet"
    if scheduler.cap_rule.is_held(step_run):
        return "its organisation has as much running as its cap allows"
    now_ms = scheduler.term.now_ms
    if step_run.waiting and all(
        step_run.not_before_ms.get(index, 0) > now_ms for index in step_run.waiting
    ):
        return "its next start is delayed after a failure or a refused ticket"
    is_gang = step_run.step.is_gang
    if is_gang and len(step_run.waiting) < step_run.step.count:
        return "the gang starts once all of its earlier runs have ended"
    return ""


def _no_host_reason(scheduler: Scheduler, step_run: StepRun) -> str:
    if scheduler.rules.terms_of(step_run.job_run).advice is not None:
        return "no host with room has a ticket of the adviser yet"
    return "no host of the pool can take it"


def _ahead(
    scheduler: Scheduler, pool: str, step_run: StepRun
) -> tuple[int, int, tuple[str, ...]]:
    position = scheduler.rules.position(step_run)
    count, cpu = 0, 0
    names: list[str] = []
    for other in scheduler.dispatcher.waiting_in(pool):
        if other is step_run or scheduler.rules.position(other) >= position:
            break
        count += 1
        cpu += len(other.waiting) * other.step.reserved.cpu_millis
        name = other.job_run.job.job_id
        if len(names) < MAX_NAMED_JOBS and name not in names:
            names.append(name)
    return count, cpu, tuple(names)


def _excluded(
    scheduler: Scheduler, step_run: StepRun, hosts: list[Host], chosen: list[Host]
) -> dict[str, int]:
    """Return the number of hosts by the first reason that applies to each.

    A host with room that would not be chosen is left out for the cap, because the step
    stays in another rack, or because a neighbour would interfere.
    """
    now_ms = scheduler.term.now_ms
    rack = scheduler.dispatcher.starter.rack_of(step_run)
    rack = rack or step_run.step.preferred_rack
    is_in_rack = bool(chosen) and {row.registration.rack for row in chosen} == {rack}
    preference = scheduler.preference
    is_concerned = preference.is_concerned(step_run)
    is_capped = scheduler.cap_rule.is_held(step_run)
    counts: Counter[str] = Counter()
    for host in hosts:
        if host in chosen:
            continue
        if not host.is_usable(now_ms):
            counts[host.describe(now_ms)] += 1
            continue
        exclusion = find_exclusion(step_run, host)
        if exclusion is not None:
            counts[exclusion.value] += 1
        elif is_capped:
            counts["cap"] += 1
        elif is_in_rack and host.registration.rack != rack:
            counts["rack"] += 1
        elif is_concerned and preference.penalty(step_run, host):
            counts["neighbour"] += 1
    return dict(sorted(counts.items()))
