"""The jobs: acceptance, state, cancellation, and what is stored of them."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.model import JobState
from guavapin.ledger.ledger import Entry
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.messages import AnswerCall
from guavapin.scheduling.messages import FetchJob
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import StoreEntry
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
    from guavapin.scheduling.record import Progress
    from guavapin.scheduling.term import Term

# Jobs that are not final; at about 2 kB each this bounds the memory to 20 MB.
MAX_OPEN_JOBS = 10_000

# Age up to which a takeover tells open jobs apart; all are late by then.
MAX_AGE_MS = 60_000

# Time after which a caller whose job was not taken for lack of room may come back.
RETRY_AFTER_MS = 2_000

log = logging.getLogger("guavapin.scheduling.jobs")


@dataclass(frozen=True, slots=True)
class EndStored:
    """Tag: the end `number` of a host's life is stored."""

    executor_id: str
    born_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class StateStored:
    """Tag: the state of a job is stored."""

    job_id: str
    state: JobState


@dataclass(frozen=True, slots=True)
class JobStored:
    """Tag: an accepted job is stored."""

    job: Job


@dataclass(frozen=True, slots=True)
class EndedJob:
    """What is left of a job that ended before this term."""

    state: JobState
    ended_wall_ms: int


class JobWatcher(Protocol):
    """Who schedules what the book accepts."""

    def job_opened(self, job_run: JobRun) -> None:
        """Begin to schedule a job."""
        ...

    def job_closed(self, job_run: JobRun) -> None:
        """Stop what runs of a job."""
        ...


class JobBook:
    """All jobs of a term by id; final ones too, as long as callers may ask."""

    def __init__(self, term: Term, watcher: JobWatcher) -> None:
        self.jobs: dict[str, JobRun] = {}
        self._ended: dict[str, EndedJob] = {}
        self._term = term
        self._watcher = watcher
        self._open_count = 0
        self._submissions: dict[str, list[JobRequest]] = {}
        self._cancellations: dict[str, list[JobRequest]] = {}
        # Jobs that another process stored and that are being read.
        self._fetching: set[str] = set()
        self._cancel_when_fetched: set[str] = set()

    def load(self, jobs: Iterable[Job], progress: dict[str, Progress]) -> None:
        """Take over what is stored; of ended jobs that is their progress alone."""
        for job_id, stored in progress.items():
            if stored.state.is_final:
                self._ended[job_id] = EndedJob(stored.state, stored.ended_ms)
        for job in jobs:
            if job.job_id in self._ended:
                self._store(Entry(f"{JOBS_PREFIX}{job.job_id}", None))
                continue
            # The wall clock of the host that took the job may differ from this one's,
            # so that a job from the future counts as new.
            age_ms = max(self._term.wall_ms - job.accepted_ms, 0)
            accepted_ms = self._term.now_ms - min(age_ms, MAX_AGE_MS)
            job_run = JobRun(job, accepted_ms, is_inherited=True)
            if job.job_id in progress:
                job_run.restore(progress[job.job_id])
            self.jobs[job.job_id] = job_run
            self._open_count += 1
            self._watcher.job_opened(job_run)

    def take_request(self, req: JobRequest) -> None:
        """Answer a call, now or when what it asks for is stored."""
        match req.call:
            case SubmitJob(job=job):
                self._submit(req, job)
            case QueryJob(job_id=job_id):
                self._answer(req, self._state(job_id))
            case CancelJob(job_id=job_id):
                self._cancel(req, job_id)
            case CountWaiting(queue=queue):
                self._answer(req, WaitingIs(self._count_waiting(queue)))

    def unanswered(self) -> list[JobRequest]:
        """Return the calls that wait for something to be stored."""
        waiting = [*self._submissions.values(), *self._cancellations.values()]
        return [req for requests in waiting for req in requests]

    def take_marker(self, key: str) -> None:
        """Take a submission or cancellation that another process has stored."""
        job_id, _, suffix = key.removeprefix(INBOX_PREFIX).partition(".")
        if job_id in self._ended:
            self._store(Entry(key, None))
            return
        job_run = self.jobs.get(job_id)
        if f".{suffix}" == CANCELLED_SUFFIX and job_run is not None:
            self.close(job_run, JobState.CANCELLED)
        elif f".{suffix}" == CANCELLED_SUFFIX:
            self._cancel_when_fetched.add(job_id)
        if job_run is None:
            self._fetch(job_id)
        else:
            self._store(Entry(key, None))

    def take_fetched(self, job_id: str, job: Job | None) -> None:
        """Take a job that was read; None if there is none."""
        self._fetching.discard(job_id)
        if job is not None and job_id not in self.jobs:
            log.info("job found in the store", extra={"job": job_id})
            self._open(job)
        submissions = self._submissions.pop(job_id, [])
        for req in submissions:
            answer = Accepted() if job is not None else Rejected("try again")
            self._answer(req, answer)
        if job_id in self._cancel_when_fetched and job_id in self.jobs:
            self.close(self.jobs[job_id], JobState.CANCELLED)
            self._store(Entry(f"{INBOX_PREFIX}{job_id}{CANCELLED_SUFFIX}", None))
        self._cancel_when_fetched.discard(job_id)
        self._store(Entry(f"{INBOX_PREFIX}{job_id}{SUBMITTED_SUFFIX}", None))

    def take_durable(self, tag: object) -> None:
        """Take note that an entry with `tag` is stored."""
        if isinstance(tag, JobStored):
            if tag.job.job_id not in self.jobs:
                self._open(tag.job)
            for req in self._submissions.pop(tag.job.job_id, []):
                self._answer(req, Accepted())
        elif isinstance(tag, StateStored):
            job_run = self.jobs.get(tag.job_id)
            if job_run is None or not tag.state.is_final:
                return
            job_run.shown = tag.state
            # Its progress tells how it ended; a successor need not read the rest.
            self._store(Entry(f"{JOBS_PREFIX}{tag.job_id}", None))
            for req in self._cancellations.pop(tag.job_id, []):
                self._answer(req, Accepted())

    def take_existing(self, tag: object) -> None:
        """Take note that a job was stored before by another process."""
        if isinstance(tag, JobStored):
            self._fetch(tag.job.job_id)

    def record(self, job_run: JobRun, tag: object, is_urgent: bool = False) -> None:
        """Store the progress of a job; `tag` comes back once it is stored."""
        value = encode_progress(job_run.progress())
        key = f"{PROGRESS_PREFIX}{job_run.job.job_id}"
        self._store(Entry(key, value, (tag,)), is_urgent)

    def close(self, job_run: JobRun, state: JobState) -> None:
        """Bring a job to a final state; callers see it once it is stored."""
        if job_run.state.is_final:
            return
        job_run.state = state
        job_run.ended_wall_ms = self._term.wall_ms
        self._open_count -= 1
        extra = {
            "job": job_run.job.job_id,
            "state": state.value,
            "after_ms": self._term.now_ms - job_run.accepted_ms,
        }
        log.info("job ended", extra=extra)
        self._watcher.job_closed(job_run)
        self.record(job_run, StateStored(job_run.job.job_id, state), is_urgent=True)

    def remove_expired(self) -> None:
        """Remove ended jobs that callers may not ask for any more."""
        retention_ms = 2 * self._term.times.ended_job_retention_ms
        for job_id, job_run in [*self.jobs.items()]:
            if not job_run.shown.is_final or not job_run.ended_wall_ms:
                continue
            if self._term.wall_ms - job_run.ended_wall_ms > retention_ms:
                del self.jobs[job_id]
                self._store(Entry(f"{PROGRESS_PREFIX}{job_id}", None))
        for job_id, ended in [*self._ended.items()]:
            if self._term.wall_ms - ended.ended_wall_ms > retention_ms:
                del self._ended[job_id]
                self._store(Entry(f"{PROGRESS_PREFIX}{job_id}", None))

    def _submit(self, req: JobRequest, job: Job) -> None:
        if job.job_id in self.jobs or job.job_id in self._ended:
            self._answer(req, Accepted())
        elif job.job_id in self._submissions:
            self._submissions[job.job_id].append(req)
        elif self._open_count + len(self._submissions) >= MAX_OPEN_JOBS:
            log.info("job refused", extra={"job": job.job_id, "open": self._open_count})
            self._answer(req, Rejected("too many jobs are open", RETRY_AFTER_MS))
        else:
            self._submissions[job.job_id] = [req]
            key = f"{JOBS_PREFIX}{job.job_id}"
            entry = Entry(key, encode_job(job), (JobStored(job),), is_create=True)
            self._store(entry, is_urgent=True)

    def _cancel(self, req: JobRequest, job_id: str) -> None:
        job_run = self.jobs.get(job_id)
        if job_id in self._ended:
            self._answer(req, Accepted())
        elif job_run is None:
            if job_id in self._submissions or job_id in self._fetching:
                self._answer(req, Rejected("the job is being stored"))
            else:
                self._answer(req, None)
        elif job_run.shown.is_final:
            self._answer(req, Accepted())
        else:
            self._cancellations.setdefault(job_id, []).append(req)
            self.close(job_run, JobState.CANCELLED)

    def _state(self, job_id: str) -> JobAnswer | None:
        """Return a job's state; None for one that is not known here.

        A job that was stored without a scheduler may not have been found yet, so that
        only the store can tell that there is none.
        """
        job_run = self.jobs.get(job_id)
        if job_run is not None:
            return StateIs(job_run.shown)
        if job_id in self._ended:
            return StateIs(self._ended[job_id].state)
        if job_id in self._submissions or job_id in self._fetching:
            return Rejected("the job is being stored")
        return None

    def _count_waiting(self, queue: str) -> int:
        return sum(
            job_run.job.queue == queue and job_run.state is JobState.QUEUED
            for job_run in self.jobs.values()
        )

    def _open(self, job: Job) -> None:
        job_run = JobRun(job, self._term.now_ms, is_inherited=False)
        self.jobs[job.job_id] = job_run
        self._open_count += 1
        extra = {"job": job.job_id, "queue": job.queue, "steps": len(job.steps)}
        log.info("job accepted", extra=extra)
        self._watcher.job_opened(job_run)

    def _fetch(self, job_id: str) -> None:
        if job_id not in self._fetching:
            self._fetching.add(job_id)
            self._term.actions.append(FetchJob(job_id))

    def _store(self, entry: Entry, is_urgent: bool = False) -> None:
        self._term.actions.append(StoreEntry(entry, is_urgent))

    def _answer(self, req: JobRequest, answer: JobAnswer | None) -> None:
        self._term.actions.append(AnswerCall(req.reply_to, req.request_id, answer))
