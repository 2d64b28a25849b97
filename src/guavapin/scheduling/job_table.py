"""The jobs of a term: acceptance, state, cancellation and their stored records."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.jobs.access import Access
from guavapin.jobs.access import may_access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import Forbidden
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.model import JobState
from guavapin.ledger.ledger import Entry
from guavapin.scheduling.admission import Admission
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.messages import AnswerCall
from guavapin.scheduling.messages import FetchJob
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.organisation_rate import OrganisationRate
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import SUBMITTED_SUFFIX
from guavapin.scheduling.record import encode_job
from guavapin.scheduling.record import encode_progress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Resources
    from guavapin.scheduling.admission_rule import AdmissionRule
    from guavapin.scheduling.record import Progress
    from guavapin.scheduling.term import Term

# Maximum age that a takeover restores for an open job; jobs of this age are all late.
MAX_INHERITED_AGE_MS = 60_000

log = logging.getLogger("guavapin.scheduling.jobs")


@dataclass(frozen=True, slots=True)
class EndStored:
    """Tag: the end `number` of one incarnation of an executor is stored."""

    executor_id: str
    born_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class StateStored:
    """Tag: this state of a job is stored."""

    job_id: str
    state: JobState


@dataclass(frozen=True, slots=True)
class JobStored:
    """Tag: an accepted job is stored."""

    job: Job


@dataclass(frozen=True, slots=True)
class EndedJob:
    """The final state of a job that ended before this term."""

    state: JobState
    ended_wall_ms: int
    organisation: str = ""
    queue: str = ""


class JobListener(Protocol):
    """Schedules the jobs that the table accepts."""

    def job_opened(self, job_run: JobRun) -> None:
        """Start to schedule a job."""
        ...

    def job_closed(self, job_run: JobRun) -> None:
        """Stop all runs of a job that has ended."""
        ...

    def ended_job_loaded(
        self, job_id: str, organisation: str, running: Resources
    ) -> None:
        """Count what may still run of a job that ended before this term."""
        ...


class JobTable:
    """All jobs of a term by id; ended ones stay as long as callers may query them."""

    def __init__(
        self, term: Term, listener: JobListener, rules: tuple[AdmissionRule, ...] = ()
    ) -> None:
        self.by_id: dict[str, JobRun] = {}
        self._ended: dict[str, EndedJob] = {}
        # Monotonic time from which the jobs in `_ended` are known here.
        self._loaded_ms = term.now_ms
        self._term = term
        self._listener = listener
        self._admission = Admission()
        self._rate = OrganisationRate(term.quota_window_ms)
        self._rules: tuple[AdmissionRule, ...] = (self._admission, *rules)
        self._submissions: dict[str, list[JobRequest]] = {}
        self._cancellations: dict[str, list[JobRequest]] = {}
        # Jobs that another process has stored and that are being read from the store.
        self._fetching: set[str] = set()
        self._cancel_when_fetched: set[str] = set()
        # Jobs whose marker of a cancellation is removed once their state is stored.
        self._cancelled_by_marker: set[str] = set()
        # Tags of progress that the store refused, by job.
        self._refused_tags: dict[str, tuple[object, ...]] = {}

    def load(self, jobs: Iterable[Job], progress: dict[str, Progress]) -> None:
        """Load the stored jobs; of an ended job, only the final state is kept."""
        for job_id, stored in progress.items():
            if stored.state.is_final:
                self._ended[job_id] = EndedJob(
                    stored.state, stored.ended_ms, stored.organisation, stored.queue
                )
                self._listener.ended_job_loaded(
                    job_id, stored.organisation, stored.running
                )
        for job in jobs:
            if job.job_id in self._ended:
                self._store(Entry(f"{JOBS_PREFIX}{job.job_id}", None))
                continue
            # The wall clock of the host that accepted the job may be ahead of this
            # one's; the age of such a job is 0.
            age_ms = max(self._term.wall_ms - job.accepted_ms, 0)
            accepted_ms = self._term.now_ms - min(age_ms, MAX_INHERITED_AGE_MS)
            job_run = JobRun(job, accepted_ms, is_inherited=True)
            if job.job_id in progress:
                job_run.restore(progress[job.job_id])
            self.by_id[job.job_id] = job_run
            self._admission.add(job)
            self._listener.job_opened(job_run)

    def handle_request(self, req: JobRequest) -> None:
        """Answer a call, at once or when the entry that it waits for is stored."""
        match req.call:
            case SubmitJob(job=job):
                self._submit(req, job)
            case QueryJob(job_id=job_id, access=access):
                answer = self._state(job_id)
                is_allowed = self._is_allowed(access, job_id)
                self._answer(req, answer if is_allowed else Forbidden())
            case CancelJob(job_id=job_id, access=access):
                if self._is_allowed(access, job_id):
                    self._cancel(req, job_id)
                else:
                    self._answer(req, Forbidden())
            case CountWaiting(queue=queue):
                self._answer(req, WaitingIs(self._count_waiting(queue)))

    def ended_organisation(self, job_id: str) -> str | None:
        """Return the organisation of a job that ended before this term, "" for none.

        The result is None for a job that is not known.
        """
        ended = self._ended.get(job_id)
        return ended.organisation if ended is not None else None

    def pending_requests(self) -> list[JobRequest]:
        """Return the submissions and cancellations that wait for the store."""
        waiting = [*self._submissions.values(), *self._cancellations.values()]
        return [req for requests in waiting for req in requests]

    def handle_marker(self, key: str) -> None:
        """Apply a submission or cancellation that another process has stored."""
        job_id, _, suffix = key.removeprefix(INBOX_PREFIX).partition(".")
        if job_id in self._ended:
            self._store(Entry(key, None))
            return
        job_run = self.by_id.get(job_id)
        is_cancelled = f".{suffix}" == CANCELLED_SUFFIX
        if is_cancelled:
            extra = {"job": job_id, "is_job_known": job_run is not None}
            log.info("cancellation found in the store", extra=extra)
        if job_run is not None and is_cancelled:
            self._cancel_by_marker(job_run)
        elif job_run is not None:
            self._store(Entry(key, None))
        else:
            if is_cancelled:
                self._cancel_when_fetched.add(job_id)
            self._fetch(job_id)

    def handle_fetched(self, job_id: str, job: Job | None) -> None:
        """Open a job that was read from the store; `job` is None if it has none."""
        self._fetching.discard(job_id)
        if job is not None and job_id not in self.by_id:
            log.info("job found in the store", extra={"job": job_id})
            self.open_stored(job)
        submissions = self._submissions.pop(job_id, [])
        if job_id not in self.by_id:
            self._admission.remove(job_id, self._term.now_ms)
        for req in submissions:
            answer = Accepted() if job is not None else Rejected("try again")
            self._answer(req, answer)
        if job_id in self._cancel_when_fetched:
            self._cancel_when_fetched.discard(job_id)
            if job_id in self.by_id:
                self._cancel_by_marker(self.by_id[job_id])
            else:
                self._remove_cancel_marker(job_id)
        self._store(Entry(f"{INBOX_PREFIX}{job_id}{SUBMITTED_SUFFIX}", None))

    def handle_unreadable(self, job_id: str) -> None:
        """Leave a stored job that cannot be decoded, and its markers, in the store.

        A scheduler of another build may be able to read it. Submissions that wait for
        the job are left to the store too, which shows that it was accepted.
        """
        log.error("job cannot be read", extra={"key": f"{JOBS_PREFIX}{job_id}"})
        self._fetching.discard(job_id)
        self._cancel_when_fetched.discard(job_id)
        self._leave_submissions(job_id)

    def handle_durable(self, tag: object) -> None:
        """Update the job, and answer the calls, whose entry with `tag` is stored."""
        if isinstance(tag, JobStored):
            if tag.job.job_id not in self.by_id:
                self.open_stored(tag.job)
            for req in self._submissions.pop(tag.job.job_id, []):
                self._answer(req, Accepted())
        elif isinstance(tag, StateStored):
            job_run = self.by_id.get(tag.job_id)
            if job_run is None or not tag.state.is_final:
                return
            job_run.visible_state = tag.state
            # The progress record holds the final state, so the job itself is removed
            # and a successor need not read it.
            self._store(Entry(f"{JOBS_PREFIX}{tag.job_id}", None))
            if tag.job_id in self._cancelled_by_marker:
                self._cancelled_by_marker.discard(tag.job_id)
                self._remove_cancel_marker(tag.job_id)
            for req in self._cancellations.pop(tag.job_id, []):
                self._answer(req, Accepted())

    def open_stored(self, job: Job) -> None:
        """Open a job whose entry the store holds."""
        job_run = JobRun(job, self._term.now_ms, is_inherited=False)
        self.by_id[job.job_id] = job_run
        self._admission.add(job)
        extra = {"job": job.job_id, "queue": job.queue, "steps": len(job.steps)}
        log.info("job accepted", extra=extra)
        self._listener.job_opened(job_run)

    def handle_existing(self, tag: object) -> None:
        """Read a job that another process had stored before this one."""
        if isinstance(tag, JobStored):
            self._fetch(tag.job.job_id)

    def handle_refused(self, entry: Entry, may_be_stored: bool) -> None:
        """Apply that the store refuses an entry, which is not written any more.

        The submission of a job that cannot be stored is rejected, or left to the store
        if an earlier write of the job may have taken effect. A job whose progress
        cannot be stored goes on in this term. Its ends and its final state stay
        unconfirmed until its progress has changed and is stored; that of an ended job
        is short.
        """
        for tag in entry.tags:
            if isinstance(tag, JobStored):
                self._reject_refused(tag.job.job_id, may_be_stored)
        job_id = entry.key.removeprefix(PROGRESS_PREFIX)
        job_run = self.by_id.get(job_id)
        if job_run is not None:
            tags = self._refused_tags.get(job_id, ())
            self._refused_tags[job_id] = tags + entry.tags
            if encode_progress(self._term.progress(job_run)) != entry.value:
                self._store_progress(job_run)

    def store_progress(
        self, job_run: JobRun, tag: object, is_urgent: bool = False
    ) -> None:
        """Store the progress of a job; `tag` is returned once it is stored."""
        self._store_progress(job_run, (tag,), is_urgent)

    def close(self, job_run: JobRun, state: JobState) -> None:
        """End a job with a final state, which callers see once it is stored."""
        if job_run.state.is_final:
            return
        job_run.state = state
        job_run.ended_wall_ms = self._term.wall_ms
        job_run.ended_ms = self._term.now_ms
        self._admission.remove(job_run.job.job_id, self._term.now_ms)
        extra = {
            "job": job_run.job.job_id,
            "state": state.value,
            "after_ms": self._term.now_ms - job_run.accepted_ms,
        }
        log.info("job ended", extra=extra)
        self._listener.job_closed(job_run)
        self.store_progress(
            job_run, StateStored(job_run.job.job_id, state), is_urgent=True
        )

    def handle_run_of_ended_job_removed(self, job_run: JobRun) -> None:
        """Store that no run is left, so that no successor counts one for the cap."""
        if job_run.job.organisation and not job_run.has_runs:
            self._store_progress(job_run)

    def remove_expired(self) -> None:
        """Remove ended jobs after twice the time for which callers may query them."""
        for job_id, job_run in [*self.by_id.items()]:
            if not job_run.visible_state.is_final or not job_run.ended_wall_ms:
                continue
            if self._has_expired(job_run.ended_wall_ms, job_run.ended_ms):
                del self.by_id[job_id]
                self._store(Entry(f"{PROGRESS_PREFIX}{job_id}", None))
        for job_id, ended in [*self._ended.items()]:
            if self._has_expired(ended.ended_wall_ms, self._loaded_ms):
                del self._ended[job_id]
                self._store(Entry(f"{PROGRESS_PREFIX}{job_id}", None))

    def _has_expired(self, ended_wall_ms: int, known_ms: int) -> bool:
        """Return whether a job that ended at `ended_wall_ms` is to be removed.

        Wall clocks may jump, and differ between the host where the job ended and this
        one. A job therefore also stays for as long as callers may query it from the
        monotonic time `known_ms`, at which it ended or was loaded in this term.
        """
        retention_ms = self._term.times.ended_job_retention_ms
        is_old = self._term.wall_ms - ended_wall_ms > 2 * retention_ms
        return is_old and self._term.now_ms - known_ms > retention_ms

    def _store_progress(
        self, job_run: JobRun, tags: tuple[object, ...] = (), is_urgent: bool = False
    ) -> None:
        """Store the progress of a job, with the tags of refused progress too."""
        tags = self._refused_tags.pop(job_run.job.job_id, ()) + tags
        self._term.store_progress(job_run, tags, is_urgent)

    def _submit(self, req: JobRequest, job: Job) -> None:
        if job.job_id in self.by_id or job.job_id in self._ended:
            access = Access(job.organisation, job.queue)
            is_allowed = self._is_allowed(access, job.job_id)
            self._answer(req, Accepted() if is_allowed else Forbidden())
        elif job.job_id in self._submissions:
            self._submissions[job.job_id].append(req)
        elif rejection := self._rejection(job := self._mark_excess(job)):
            extra = {
                "job": job.job_id,
                "queue": job.queue,
                "organisation": job.organisation,
                "detail": rejection.detail,
                "open": self._admission.open_in_queue(job.queue),
                "retry_after_ms": rejection.retry_after_ms,
            }
            log.info("job refused", extra=extra)
            self._answer(req, rejection)
        else:
            self._submissions[job.job_id] = [req]
            self._admission.add(job)
            organisation = self._term.table.organisation(job.organisation)
            if organisation is not None and not job.is_excess:
                self._rate.take(organisation, self._term.now_ms)
            key = f"{JOBS_PREFIX}{job.job_id}"
            entry = Entry(key, encode_job(job), (JobStored(job),), is_create=True)
            self._store(entry, is_urgent=True)

    def _mark_excess(self, job: Job) -> Job:
        """Return the job, marked if it is beyond the rate of its organisation."""
        organisation = self._term.table.organisation(job.organisation)
        is_excess = organisation is not None and self._rate.is_excess(
            organisation, self._term.now_ms
        )
        return job if job.is_excess == is_excess else replace(job, is_excess=is_excess)

    def preview_rejection(self, job: Job) -> Rejected | None:
        """Return the rejection that a submission would get, without an effect."""
        job = self._mark_excess(job)
        for rule in self._rules:
            rejection = rule.preview(job, self._term.now_ms)
            if rejection is not None:
                return rejection
        return None

    def _rejection(self, job: Job) -> Rejected | None:
        """Return the rejection of the first rule that does not accept a job."""
        for rule in self._rules:
            rejection = rule.rejection(job, self._term.now_ms)
            if rejection is not None:
                return rejection
        return None

    def _reject_refused(self, job_id: str, may_be_stored: bool) -> None:
        if may_be_stored:
            self._leave_submissions(job_id)
            return
        self._admission.remove(job_id, self._term.now_ms)
        for req in self._submissions.pop(job_id, []):
            self._answer(req, Rejected("the store refuses the job"))

    def _leave_submissions(self, job_id: str) -> None:
        """Leave the submissions of a job that may be stored to the store."""
        self._admission.remove(job_id, self._term.now_ms)
        for req in self._submissions.pop(job_id, []):
            action = AnswerCall(req.reply_to, req.request_id, None, True)
            self._term.actions.append(action)

    def _cancel(self, req: JobRequest, job_id: str) -> None:
        job_run = self.by_id.get(job_id)
        if job_id in self._ended:
            self._answer(req, Accepted())
        elif job_run is None:
            if job_id in self._submissions or job_id in self._fetching:
                self._answer(req, Rejected("the job is being stored"))
            else:
                self._answer(req, None)
        elif job_run.visible_state.is_final:
            self._answer(req, Accepted())
        else:
            self._cancellations.setdefault(job_id, []).append(req)
            self.close(job_run, JobState.CANCELLED)

    def _cancel_by_marker(self, job_run: JobRun) -> None:
        """Cancel a job, and remove the marker once the final state is stored.

        The marker is the only record of the acknowledged cancellation until then: if
        the term ends first, the successor needs it.
        """
        job_id = job_run.job.job_id
        if job_run.visible_state.is_final:
            self._remove_cancel_marker(job_id)
            return
        self._cancelled_by_marker.add(job_id)
        self.close(job_run, JobState.CANCELLED)

    def _remove_cancel_marker(self, job_id: str) -> None:
        self._store(Entry(f"{INBOX_PREFIX}{job_id}{CANCELLED_SUFFIX}", None))

    def _state(self, job_id: str) -> JobAnswer | None:
        """Return a job's state, None for a job that is not known here.

        A job that was stored without a scheduler may not have been found in the inbox
        yet. Only the store shows that a job does not exist.
        """
        job_run = self.by_id.get(job_id)
        if job_run is not None:
            return StateIs(job_run.visible_state)
        if job_id in self._ended:
            return StateIs(self._ended[job_id].state)
        if job_id in self._submissions or job_id in self._fetching:
            return Rejected("the job is being stored")
        return None

    def _is_allowed(self, access: Access, job_id: str) -> bool:
        """Return whether a call may access a job, True for one that is not known."""
        job_run = self.by_id.get(job_id)
        if job_run is not None:
            return may_access(access, job_run.job.organisation, job_run.job.queue)
        ended = self._ended.get(job_id)
        return ended is None or may_access(access, ended.organisation, ended.queue)

    def _count_waiting(self, queue: str) -> int:
        return sum(
            job_run.job.queue == queue and job_run.state is JobState.QUEUED
            for job_run in self.by_id.values()
        )

    def _fetch(self, job_id: str) -> None:
        if job_id not in self._fetching:
            self._fetching.add(job_id)
            self._term.actions.append(FetchJob(job_id))

    def _store(self, entry: Entry, is_urgent: bool = False) -> None:
        self._term.actions.append(StoreEntry(entry, is_urgent))

    def _answer(self, req: JobRequest, answer: JobAnswer | None) -> None:
        self._term.actions.append(AnswerCall(req.reply_to, req.request_id, answer))
