"""Rejects jobs beyond the share of their organisation that it could not serve in time.

Answers the load pattern of one organisation that submits a multiple of what it gets
served: its further callers are told at once, and the jobs of others are not affected.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.jobs.calls import Rejected
from guavapin.scheduling.admission import MAX_RETURN_MS
from guavapin.scheduling.admission import MIN_RETURN_MS
from guavapin.scheduling.admission import RETURN_SPREAD
from guavapin.scheduling.admission import spread

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.jobs.model import Job
    from guavapin.jobs.organisations import Organisation
    from guavapin.scheduling.organisation_usage import OrganisationUsage
    from guavapin.scheduling.term import Term

# Least part of an organisation's rate that counts for jobs beyond its share. It keeps
# the estimate finite; jobs within the share rarely come at their full rate.
MIN_RATE_SHARE = 0.1

BEYOND_SHARE = "the organisation is beyond its share, and its backlog is too long"
WIDER_THAN_CAP = "the gang needs more than the cap of its organisation"


class JobRules(Protocol):
    """Rules of the queue table for a job."""

    def pool_of_queue(self, job: Job) -> str:
        """Return the pool on which a job would run."""
        ...

    def allowed_for_ms(self, job: Job) -> float:
        """Return the time from the acceptance to the objective, in ms."""
        ...


class OrganisationAdmission:
    """Backlog by organisation and pool, and the rule that rejects jobs because of it.

    The backlog is the work of the open jobs. It is served at the rate of the processor
    time that the organisation has running: work that runs on C cores ends at C seconds
    of a core per second. Jobs beyond the share get what those within it leave, which
    come first and arrive at the rate of the share. `work` returns the expected work of
    a job, in thousandths of a core times seconds.
    """

    def __init__(
        self,
        term: Term,
        usage: OrganisationUsage,
        rules: JobRules,
        work: Callable[[Job], int],
    ) -> None:
        self._term = term
        self._usage = usage
        self._rules = rules
        self._work = work
        # Organisation, pool and work of each open job.
        self._open: dict[str, tuple[str, str, int]] = {}
        self._backlog: Counter[tuple[str, str]] = Counter()
        self._jobs: Counter[str] = Counter()
        # Rejections by organisation of the table, and then by reason.
        self._rejected: dict[str, Counter[str]] = {}

    def open(self, job: Job) -> None:
        """Count the work of an accepted job; do nothing if it is counted."""
        if not job.organisation or job.job_id in self._open:
            return
        # The occurrences of a repeating job are spread over time.
        work = 0 if job.repeats else self._work(job)
        pool = self._rules.pool_of_queue(job)
        self._open[job.job_id] = (job.organisation, pool, work)
        self._backlog[job.organisation, pool] += work
        self._jobs[job.organisation] += 1

    def close(self, job_id: str) -> None:
        """Count a job as ended; do nothing if it is not counted as open."""
        row = self._open.pop(job_id, None)
        if row is not None:
            organisation, pool, work = row
            self._backlog[organisation, pool] -= work
            self._jobs[organisation] -= 1
            if not self._backlog[organisation, pool]:
                del self._backlog[organisation, pool]
            if not self._jobs[organisation]:
                del self._jobs[organisation]

    def open_jobs(self, organisation: str) -> int:
        """Return the number of open jobs of an organisation."""
        return self._jobs[organisation]

    def rejected(self, organisation: str) -> tuple[tuple[str, int], ...]:
        """Return the numbers of rejections in this term by reason."""
        return tuple(sorted(self._rejected.get(organisation, {}).items()))

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job, None to accept it."""
        rejection = self.preview(job, now_ms)
        if rejection is not None:
            reasons = self._rejected.setdefault(job.organisation, Counter())
            reasons[rejection.detail] += 1
        return rejection

    def preview(self, job: Job, now_ms: int) -> Rejected | None:
        """Return what `rejection` would, without counting it."""
        name = job.organisation
        organisation = self._term.table.organisation(name) if name else None
        if organisation is None:
            return None
        if _has_gang_wider_than_cap(job, organisation):
            return Rejected(WIDER_THAN_CAP, MAX_RETURN_MS)
        return self._beyond_share(job, organisation) if job.is_excess else None

    def _beyond_share(self, job: Job, organisation: Organisation) -> Rejected | None:
        pool = self._rules.pool_of_queue(job)
        backlog = self._backlog[job.organisation, pool]
        running = self._usage.used(job.organisation).cpu_millis
        if not running:
            # Nothing tells how fast the backlog is served.
            return None
        within_share = organisation.weight * self._work(job)
        left = max(running - within_share, running * MIN_RATE_SHARE)
        wait_ms = backlog * 1_000 / left
        # A job that will be late comes last and waits for the end of the load. In a
        # replay at eight times the usual rate, 56 of 58 jobs that were accepted met
        # their objective, and 54 of 80 with a limit of three times the objective.
        late_ms = wait_ms - self._rules.allowed_for_ms(job)
        if late_ms <= 0:
            return None
        # The spread in both directions stays within the bounds.
        least_ms = MIN_RETURN_MS / (1 - RETURN_SPREAD)
        most_ms = MAX_RETURN_MS / (1 + RETURN_SPREAD)
        return_ms = round(min(max(late_ms, least_ms), most_ms))
        return Rejected(BEYOND_SHARE, spread(return_ms, job.job_id))


def _has_gang_wider_than_cap(job: Job, organisation: Organisation) -> bool:
    """Return whether a gang of several subtasks could never start as a whole."""
    cap = organisation.cap
    for step in job.steps:
        if not step.is_gang or step.count < 2:
            continue
        pairs = (
            (step.need.cpu_millis, cap.cpu_millis),
            (step.need.memory_mb, cap.memory_mb),
            (step.need.gpus, cap.gpus),
        )
        if any(limit and need * step.count > limit for need, limit in pairs):
            return True
    return False
