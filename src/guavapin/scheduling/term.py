"""One term of scheduling: its token, its time and its pending actions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.ledger.ledger import Entry
from guavapin.scheduling.host_lease import LeaseTerms
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.organisation_rate import DEFAULT_WINDOW_MS
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import encode_progress

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.messages import Action
    from guavapin.scheduling.record import Progress
    from guavapin.settings.resident import Times

# Attempt numbers of a term begin at this multiple of its token. The numbers of a
# successor are thus higher than all earlier ones, without a read of those.
ATTEMPTS_PER_TERM = 1_000

# Lease of the runs on a host. The lease must outlast a takeover of about three seconds.
# After its end, the work of a host that does not answer may start on another host.
LEASE_MS = 6_000

# Time for which a scheduler that cannot reach the store keeps sending orders while no
# other process has taken over. Outages of the store last seconds; runs whose lease
# ends are lost.
MAX_UNCONFIRMED_MS = 6_000


class Term:
    """Token, time and table of a scheduler, shared by the classes of one term.

    `now_ms` is monotonic and `wall_ms` counts from the Unix epoch; both are set before
    each event. `actions` collects the actions that result from the event.
    `quota_window_ms` is the window of `OrganisationRate`.
    """

    def __init__(
        self,
        token: int,
        times: Times,
        table: QueueTable,
        now_ms: int,
        quota_window_ms: int = DEFAULT_WINDOW_MS,
    ) -> None:
        self.token = token
        self.times = times
        self.table = table
        self.now_ms = now_ms
        self.wall_ms = 0
        self.quota_window_ms = quota_window_ms
        given_ms = min(LEASE_MS, times.max_lease_ms)
        self.lease_terms = LeaseTerms(given_ms, times.max_lease_ms)
        # Until this time, a host that has not answered may run subtasks of an earlier
        # scheduler: that one may have extended leases during a store outage.
        self.resolve_by_ms = now_ms + MAX_UNCONFIRMED_MS + round(given_ms * 1.05)
        # The same for an executor that may have started again during this time: a lease
        # that was given by its former clock lasts as long as the executor permits.
        longest_ms = round(times.max_lease_ms * 1.05)
        self.resolve_restarts_by_ms = now_ms + MAX_UNCONFIRMED_MS + longest_ms
        self.began_ms = now_ms
        # Set while the store cannot be reached; another term may have begun by then.
        self.is_unconfirmed = False
        self.actions: list[Action] = []
        # Jobs whose progress has to be stored, with the tags of their entries.
        self._changed_jobs: dict[JobRun, list[object]] = {}
        self._urgent_jobs: set[JobRun] = set()

    def store_progress(
        self, job_run: JobRun, tags: tuple[object, ...], is_urgent: bool
    ) -> None:
        """Store the progress that a job has when the actions are drained.

        A report of a host may hold hundreds of ends of one job, whose progress is thus
        encoded once.
        """
        self._changed_jobs.setdefault(job_run, []).extend(tags)
        if is_urgent:
            self._urgent_jobs.add(job_run)

    def progress(self, job_run: JobRun) -> Progress:
        """Return the progress that a job has now."""
        return job_run.progress(may_have_unseen_runs=self.now_ms < self.resolve_by_ms)

    def drain_actions(self) -> list[Action]:
        """Return the pending actions and clear them."""
        actions, self.actions = self.actions, []
        for job_run, tags in self._changed_jobs.items():
            key = f"{PROGRESS_PREFIX}{job_run.job.job_id}"
            value = encode_progress(self.progress(job_run))
            entry = Entry(key, value, tuple(tags))
            actions.append(StoreEntry(entry, job_run in self._urgent_jobs))
        self._changed_jobs.clear()
        self._urgent_jobs.clear()
        return actions

    def next_attempt(self, last: int) -> int:
        """Return the number of the attempt after `last`, which is 0 for the first."""
        return max(last, self.token * ATTEMPTS_PER_TERM) + 1
