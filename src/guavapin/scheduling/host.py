"""State of one incarnation of an executor, as observed by the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import Resources
from guavapin.scheduling.host_health import Health
from guavapin.scheduling.host_lease import is_answer_recent

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.executors.model import Look
    from guavapin.executors.model import Registration
    from guavapin.executors.model import Start
    from guavapin.scheduling.end_evidence import Doubt
    from guavapin.scheduling.host_lease import HostLease
    from guavapin.scheduling.organisation_usage import OrganisationUsage
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.run import RunKey

# An executor that has reported within this time has not started again and ended a run
# since. A busy host is polled within 100 ms of its last report.
MAX_CONFIRMING_REPORT_AGE_MS = 500

# Time for which all orders go over new connections after an open one has led to another
# life at the address. A lease outlasts the one order that is lost after each such time.
FORMER_LIFE_MS = 10_000


class Host:
    """Lease, runs, ends and free resources of an executor.

    Only the scheduler changes it. Times are the scheduler's monotonic time unless they
    are said to be on the executor's clock. `on_change` is called with the host after
    each change of its free resources or of its usability. `usage` counts its runs.
    """

    def __init__(
        self,
        registration: Registration,
        lease: HostLease,
        now_ms: int,
        on_change: Callable[[Host], None] = lambda host: None,
        usage: OrganisationUsage | None = None,
    ) -> None:
        self.executor_id = registration.executor_id
        self.registration = registration
        self.born_ms = registration.born_ms
        # Start time of the previous incarnation, 0 if none is known. A late entry of
        # the registry may still name it.
        self.former_born_ms = 0
        self.is_registered = True
        # Unset for a host that was handed over and has had no entry in this term.
        self.has_had_entry = True
        self.known_ms = now_ms
        # Time at which its registration was last written again in this term, 0 if it
        # was not.
        self.renewed_ms = 0
        # Executor's clock in the first registration that was written after the host
        # became known, 0 before, and the time on it from then until the last one.
        self._first_renewal_clock_ms = 0
        self.renewal_span_ms = 0
        self.runs: dict[RunKey, Run] = {}
        # Runs of `runs` that are to be stopped.
        self.unwanted_runs: dict[RunKey, Run] = {}
        # Start orders that wait for a reading of the executor's clock.
        self.waiting_starts: dict[RunKey, Start] = {}
        self.used = Resources()
        # Capacity less `used`; stored because every search for a host reads it.
        self.free = registration.capacity
        # Number of runs whose resources are not known, so that `free` is not either.
        self._unknown_needs = 0
        self._long_running_count = 0
        self._filler_count = 0
        self._is_removed = False
        self._on_change = on_change
        self._usage = usage
        # Number of the last end that was handled, the runs of the handled ends that are
        # not stored yet by number, and the number up to which all ends are stored.
        self.last_end = 0
        self.unstored_ends: dict[int, RunKey] = {}
        self.confirmed = 0
        # The `confirmed` number that was last sent to the host in a `Look`.
        self.acknowledged = 0
        self.lease = lease
        self.reported_ms = 0
        self.is_poll_pending = False
        self.next_poll_ms = now_ms
        self.has_answered = False
        # Whether a predecessor has handed over what runs here.
        self.is_handed_over = False
        self.unanswered = 0
        # Time before which no order uses a connection that is open.
        self._new_connections_until_ms = 0
        # Signs that the executor has ended, None without one.
        self.doubt: Doubt | None = None
        # Poll that was sent because of the doubt, beside a pending one; None without.
        self.probe: Look | None = None
        # Time at which the latest of the orders was sent that the executor answered.
        self.answered_sent_ms = 0
        # Whether the last poll, which it held open while idle, was not answered.
        self.has_lost_poll = False
        self.health = Health()
        self.is_cordoned = False
        self.idle_since_ms = now_ms

    @property
    def pool(self) -> str:
        """Return the executor's service, which is its pool."""
        return self.registration.service

    @property
    def clock_read_ms(self) -> int:
        """Return the time at which the executor's clock was last read."""
        return self.lease.reading.read_ms

    @property
    def lease_end_ms(self) -> int:
        """Return the time at which the runs here have ended if the host is silent."""
        return self.lease.end_ms

    @property
    def set_aside_until_ms(self) -> int:
        """Return the time before which nothing starts here because of past signs."""
        return self.health.not_before_ms

    @property
    def has_long_running(self) -> bool:
        """Whether a long-running subtask runs here."""
        return self._long_running_count > 0

    @property
    def has_fillers(self) -> bool:
        """Whether a filler runs here, which may disturb subtasks with a target."""
        return self._filler_count > 0

    @property
    def last_sign_of_life_ms(self) -> int:
        """Return when the executor last answered, or wrote its registration."""
        return max(self.clock_read_ms, self.answered_sent_ms, self.renewed_ms)

    @property
    def is_answering(self) -> bool:
        """Whether the last order was answered and nothing suggests that this ended."""
        return not self.unanswered and self.doubt is None

    @property
    def has_sent_runs(self) -> bool:
        """Whether a run is here whose start was sent, so that it may be at work."""
        return len(self.runs) > len(self.waiting_starts)

    def is_usable(self, now_ms: int) -> bool:
        """Return whether subtasks may be started here."""
        return (
            self.is_registered
            and not self._is_removed
            and self.has_answered
            and self.is_answering
            and not self.is_cordoned
            and not self.registration.is_draining
            and not self._unknown_needs
            and now_ms >= self.set_aside_until_ms
        )

    def is_avoided(self, now_ms: int) -> bool:
        """Return whether nothing but past signs keeps subtasks from starting here."""
        until_ms = self.set_aside_until_ms
        return now_ms < until_ms and self.is_usable(until_ms)

    def describe(self, now_ms: int) -> str:
        """Return the first reason for not starting work here, or "in use"."""
        reasons = (
            (not self.has_answered, "not answered yet"),
            (self.unanswered > 0, "does not answer"),
            (self.doubt is not None, "may have ended"),
            (not self.is_registered, "not registered"),
            (self.registration.is_draining, "draining"),
            (self.is_cordoned, "cordoned"),
            (self._unknown_needs > 0, "runs an unknown job"),
            (self.health.is_trial_running, "on trial with one subtask"),
            (now_ms < self.set_aside_until_ms, "set aside"),
        )
        return next((text for holds, text in reasons if holds), "in use")

    def update_registration(self, registration: Registration, now_ms: int) -> None:
        """Replace the registration, and recompute the free resources."""
        # A list of the registry may contain the same entry again.
        is_written_again = registration.clock_ms > self.registration.clock_ms > 0
        if is_written_again and registration.born_ms == self.born_ms:
            if not self._first_renewal_clock_ms:
                self._first_renewal_clock_ms = registration.clock_ms
            span_ms = registration.clock_ms - self._first_renewal_clock_ms
            self.renewal_span_ms = max(self.renewal_span_ms, span_ms)
        self.registration = registration
        self.is_registered = self.has_had_entry = True
        self.renewed_ms = now_ms
        self.free = registration.capacity.minus(self.used)
        self._on_change(self)

    def unregister(self) -> None:
        """Mark the host as unregistered; its runs may continue."""
        self.is_registered = False
        self._on_change(self)

    def mark_removed(self) -> None:
        """Mark the host as removed from the table of hosts."""
        self._is_removed = True
        self._on_change(self)

    def cordon(self, is_cordoned: bool) -> None:
        """Set whether subtasks may be started here."""
        if is_cordoned != self.is_cordoned:
            self.is_cordoned = is_cordoned
            self._on_change(self)

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self._unknown_needs += not run.is_need_known
        self._long_running_count += run.is_long_running
        self._filler_count += run.is_filler
        self.used = self.used.plus(run.reserved)
        self.free = self.free.minus(run.reserved)
        if self._usage is not None:
            self._usage.add(run, self.registration.capacity, self.pool)
        self._on_change(self)

    def remove(self, run: Run, now_ms: int) -> None:
        """Remove a run and free its resources; do nothing if it is not listed."""
        if self.runs.pop(run.key, None) is not None:
            self.unwanted_runs.pop(run.key, None)
            self.waiting_starts.pop(run.key, None)
            self._unknown_needs -= not run.is_need_known
            self._long_running_count -= run.is_long_running
            self._filler_count -= run.is_filler
            self.used = self.used.minus(run.reserved)
            self.free = self.free.plus(run.reserved)
            if self._usage is not None:
                self._usage.remove(run)
            if not self.runs:
                self.idle_since_ms = now_ms
            self.health = self.health.after_end(run.ordered_ms, now_ms)
            self._on_change(self)

    def record_answer(self, sent_ms: int) -> None:
        """Apply that the executor itself has answered an order sent at `sent_ms`."""
        self.has_lost_poll = False
        self.answered_sent_ms = max(self.answered_sent_ms, sent_ms)
        was_answering = self.is_answering
        self.unanswered = 0
        if self.doubt is not None and self.doubt.is_refuted_by(sent_ms):
            self.doubt = None
        if self.is_answering != was_answering:
            self._on_change(self)

    def avoid_open_connections(self, now_ms: int) -> None:
        """Apply that an open connection leads to another life at the address."""
        self._new_connections_until_ms = now_ms + FORMER_LIFE_MS

    def needs_new_connection(self, now_ms: int) -> bool:
        """Return whether orders must not use a connection that is open."""
        return self.doubt is not None or now_ms < self._new_connections_until_ms

    def set_doubt(self, doubt: Doubt | None) -> None:
        """Replace the signs that the executor has ended; nothing starts beside one."""
        self.doubt = doubt
        self._on_change(self)

    def record_report(self, has_all_ends: bool, sent_ms: int, now_ms: int) -> None:
        """Record that the host has answered a poll, sent at `sent_ms`, with its runs.

        The first answers count only once one has all ends: until then, subtasks may
        have ended that are not known to have run here.
        """
        self.record_answer(sent_ms)
        if is_answer_recent(sent_ms, now_ms):
            self.reported_ms = now_ms
        if has_all_ends and not self.has_answered:
            self.has_answered = True
            self._on_change(self)

    def record_no_answer(self, now_ms: int) -> None:
        """Count an order without an answer; the first one is a sign of its health."""
        self.unanswered += 1
        self.has_lost_poll = False
        if self.unanswered == 1:
            self.health = self.health.after_silence(now_ms)
        self._on_change(self)

    def record_start(self, now_ms: int) -> None:
        """Apply that a start order was sent, which may be a trial."""
        self._set_health(self.health.after_start(now_ms))

    def record_answered_start(self, sent_ms: int, now_ms: int) -> None:
        """Apply that the host has accepted a start order sent at `sent_ms`."""
        self._set_health(self.health.after_answered_start(sent_ms, now_ms))

    def record_success(self, started_ms: int, now_ms: int) -> None:
        """Apply that a run that was started at `started_ms` has succeeded."""
        self._set_health(self.health.after_success(started_ms, now_ms))

    def record_failure(self, started_ms: int, now_ms: int) -> bool:
        """Apply a failure; True if the host is avoided because of it."""
        before = self.health
        self._set_health(before.after_failure(started_ms, now_ms))
        return self.health.avoidances > before.avoidances

    def set_aside(self, now_ms: int) -> None:
        """Start nothing here for a time that doubles with each failed trial."""
        self._set_health(self.health.avoided(now_ms))

    def permit_trial(self, now_ms: int) -> None:
        """Let one more subtask start here now, whatever the past signs."""
        self._set_health(self.health.with_trial(now_ms))

    def _set_health(self, health: Health) -> None:
        if health != self.health:
            self.health = health
            self._on_change(self)

    def confirmable(self, now_ms: int) -> int:
        """Return the number up to which a poll that is sent now may confirm ends.

        The poll may reach the next incarnation of the executor, which numbers its ends
        anew and would forget those up to this number although they were never reported.
        Without a recent report, none is confirmed until the host answers.
        """
        is_recent = now_ms - self.reported_ms <= MAX_CONFIRMING_REPORT_AGE_MS
        return self.confirmed if is_recent else 0

    def advance_confirmed(self) -> None:
        """Raise `confirmed` to the number up to which all ends are stored."""
        first = min(self.unstored_ends, default=self.last_end + 1)
        self.confirmed = max(self.confirmed, first - 1)
