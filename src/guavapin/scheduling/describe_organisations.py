"""Builds the operators' view of organisations, and the reason of a job that is held."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.jobs.organisations import NO_CAP

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class OrganisationView:
    """What an organisation has running against its cap, and what waits.

    `possible` counts what may run on hosts that have not answered yet too. `share` is
    its part of the scarcest resource in use, `weighted_share` the part that it should
    have. `waiting` counts subtasks, `jobs` open jobs; `rejected` has the numbers of
    rejections in this term by reason.
    """

    organisation: str
    runs: int
    running: Resources
    possible: Resources
    cap: Resources
    share: float
    weighted_share: float
    jobs: int
    waiting: int
    is_held: bool
    rejected: tuple[tuple[str, int], ...]


def describe_organisations(scheduler: Scheduler) -> tuple[OrganisationView, ...]:
    """Return the view of each organisation of the table, sorted by name."""
    usage, shares = scheduler.hosts.usage, scheduler.shares
    admission = scheduler.organisation_admission
    waiting: Counter[str] = Counter()
    for step_run in scheduler.steps:
        waiting[step_run.job_run.job.organisation] += len(step_run.waiting)
    return tuple(
        OrganisationView(
            row.name,
            usage.run_count(row.name),
            usage.used(row.name),
            usage.possible(row.name),
            row.cap,
            round(shares.share(row.name), 3),
            round(shares.weighted_share(row.name, +waiting), 3),
            admission.open_jobs(row.name),
            waiting[row.name],
            row.name in scheduler.held_organisations,
            admission.rejected(row.name),
        )
        for row in sorted(scheduler.term.table.organisations, key=lambda row: row.name)
    )


def cap_reason(scheduler: Scheduler, job_run: JobRun) -> str:
    """Return how the cap of its organisation holds a job, "" if it does not."""
    name = job_run.job.organisation
    organisation = scheduler.term.table.organisation(name) if name else None
    if organisation is None or organisation.cap == NO_CAP:
        return ""
    usage = scheduler.hosts.usage
    for step_run in job_run.steps.values():
        step = step_run.step
        count = step.count if step.is_gang else 1
        if not step_run.is_open or not step_run.waiting:
            continue
        if not usage.allows(organisation, step.need, count):
            possible, cap = usage.possible(name), organisation.cap
            return (
                f"the cap of organisation {name}: running "
                f"{_text(possible)}, cap {_text(cap)}, needs {_text(step.need)}"
                + (f" for each of {count} members" if count > 1 else "")
            )
    return ""


def _text(amount: Resources) -> str:
    return f"{amount.cpu_millis} cpu/{amount.memory_mb} MB/{amount.gpus} gpus"
