"""What the scheduler knows of one life of an executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import Resources

if TYPE_CHECKING:
    from guavapin.executors.model import Registration
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.run import RunKey

# Part by which an executor's clock may run slower than ours.
CLOCK_DRIFT = 0.02

# Covers the time of a call in both directions when the end of a lease is worked out.
LEASE_SLACK_MS = 250

# A host whose first failures come in a row is set aside this long, doubled up to the
# maximum while it goes on failing.
SET_ASIDE_MS = 1_500
MAX_SET_ASIDE_MS = 6_000

# Failures in a row of subtasks that had not failed before. One alone is usual: three
# in a hundred subtasks fail by their own fault.
FAILURE_STREAK = 3


class Host:
    """Clock, lease, lists and room of one executor; owned by the scheduler."""

    def __init__(self, registration: Registration, now_ms: int) -> None:
        self.executor_id = registration.executor_id
        self.registration = registration
        self.born_ms = registration.born_ms
        self.is_registered = True
        self.runs: dict[RunKey, Run] = {}
        self.used = Resources()
        # What is left of the capacity; kept, since each search for room reads it.
        self.free = registration.capacity
        # Highest end taken, and those of them that are not stored yet.
        self.last_end = 0
        self.unstored_ends: set[int] = set()
        self.confirmed = 0
        # The highest end that a look has confirmed to the host.
        self.acknowledged = 0
        self.lease_end_ms = 0
        self.is_poll_pending = False
        self.next_poll_ms = now_ms
        self.has_answered = False
        self.unanswered = 0
        self.set_aside_until_ms = 0
        self.failure_streak = 0
        self.is_cordoned = False
        # Whether work runs that may disturb subtasks with a target.
        self.has_fillers = False
        self.idle_since_ms = now_ms
        self._clock_ms = registration.clock_ms
        self._clock_at_ms = now_ms
        self._set_aside_ms = SET_ASIDE_MS

    @property
    def pool(self) -> str:
        """Return the service that the executor belongs to."""
        return self.registration.service

    @property
    def clock_read_ms(self) -> int:
        """Return when the executor's clock was last read."""
        return self._clock_at_ms

    @property
    def has_long_running(self) -> bool:
        """Whether work without an end runs here."""
        return any(run.is_long_running for run in self.runs.values())

    def is_usable(self, now_ms: int) -> bool:
        """Whether work may be started here."""
        return (
            self.is_registered
            and self.has_answered
            and not self.unanswered
            and not self.is_cordoned
            and not self.registration.is_draining
            and now_ms >= self.set_aside_until_ms
        )

    def describe(self, now_ms: int) -> str:
        """Return in a word or two why work is or is not started here."""
        reasons = (
            (not self.has_answered, "not answered yet"),
            (self.unanswered > 0, "does not answer"),
            (not self.is_registered, "not registered"),
            (self.registration.is_draining, "draining"),
            (self.is_cordoned, "cordoned"),
            (now_ms < self.set_aside_until_ms, "set aside"),
        )
        return next((text for holds, text in reasons if holds), "in use")

    def clock(self, now_ms: int) -> int:
        """Return the executor's clock as estimated from its last answer."""
        return self._clock_ms + now_ms - self._clock_at_ms

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take the clock from an answer."""
        if clock_ms:
            self._clock_ms = clock_ms
            self._clock_at_ms = now_ms

    def extend_lease(self, lease_ms: int, now_ms: int) -> None:
        """Note that an order may extend the lease to `lease_ms` from now."""
        end_ms = now_ms + round(lease_ms * (1 + CLOCK_DRIFT)) + LEASE_SLACK_MS
        self.lease_end_ms = max(self.lease_end_ms, end_ms)

    def update_registration(self, registration: Registration) -> None:
        """Take a newer entry of the registry."""
        self.registration = registration
        self.is_registered = True
        self.free = registration.capacity.minus(self.used)

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.key] = run
        self.used = self.used.plus(run.reserved)
        self.free = self.free.minus(run.reserved)

    def remove(self, run: Run, now_ms: int) -> None:
        """Free the room of a run."""
        if self.runs.pop(run.key, None) is not None:
            self.used = self.used.minus(run.reserved)
            self.free = self.free.plus(run.reserved)
            if not self.runs:
                self.idle_since_ms = now_ms

    def record_answer(self) -> None:
        """An order was answered."""
        self.unanswered = 0

    def record_success(self) -> None:
        """A run ended well."""
        self.failure_streak = 0
        self._set_aside_ms = SET_ASIDE_MS

    def record_failure(self, now_ms: int) -> bool:
        """Count a failure; True if the host was set aside for it."""
        self.failure_streak += 1
        if self.failure_streak < FAILURE_STREAK:
            return False
        self.set_aside(now_ms)
        return True

    def set_aside(self, now_ms: int) -> None:
        """Start nothing here for a while, longer each time."""
        self.failure_streak = FAILURE_STREAK - 1
        self.set_aside_until_ms = now_ms + self._set_aside_ms
        self._set_aside_ms = min(self._set_aside_ms * 2, MAX_SET_ASIDE_MS)

    def advance_confirmed(self) -> None:
        """Work out up to which end everything is stored."""
        first = min(self.unstored_ends, default=self.last_end + 1)
        self.confirmed = max(self.confirmed, first - 1)
