"""Lease of the runs on an executor: what orders told it, and when it ends."""

from __future__ import annotations

from dataclasses import dataclass

# Fraction by which an executor's clock may run slower than the scheduler's.
CLOCK_DRIFT = 0.02

# Added to the end of a lease for the duration of a call in both directions.
LEASE_SLACK_MS = 250

# Amount by which an estimated clock may run ahead of the next reading, beside the
# drift, before it counts as wrong.
READING_TOLERANCE_MS = 100


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Clock of an executor as an answer stated it, which was handled at `read_ms`."""

    clock_ms: int
    read_ms: int

    def at(self, now_ms: int) -> int:
        """Return the executor's clock, extrapolated from the reading."""
        return self.clock_ms + now_ms - self.read_ms

    def lead_ms(self, clock_ms: int, sent_ms: int, now_ms: int) -> int:
        """Return by how much the extrapolated clock is ahead of that of an answer.

        The answer to an order that was sent at `sent_ms` may have been under way ever
        since. Returns 0 if that or the allowed drift explains the lead; any other lead
        shows that the executor has started again or that its clock stood still.
        """
        drift_ms = round((now_ms - self.read_ms) * CLOCK_DRIFT)
        lead_ms = self.at(sent_ms) - clock_ms
        return lead_ms if lead_ms > drift_ms + READING_TOLERANCE_MS else 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Lease that an order gives: its end on the executor's clock, as it was estimated.

    `clock_age_ms` is the age of the reading that the estimate is based on.
    """

    until_ms: int
    sent_ms: int
    clock_age_ms: int


class HostLease:
    """Clock of an executor and the time at which the runs on it have certainly ended.

    Only its host changes it. Times are the scheduler's monotonic time unless they are
    said to be on the executor's clock.
    """

    def __init__(self, clock_ms: int, now_ms: int) -> None:
        self.reading = ClockReading(clock_ms, now_ms)
        self.last_grant: Grant | None = None
        self.end_ms = 0

    def read(self, clock_ms: int, now_ms: int) -> None:
        """Replace the reading of the clock by that of an answer."""
        self.reading = ClockReading(clock_ms, now_ms)

    def extend(self, lease_ms: int, now_ms: int) -> None:
        """Extend the lease for an order that is sent now.

        The order may be carried out although no answer arrives. Its lease therefore
        counts from the time of sending, plus allowances for clock drift and for the
        duration of the call.
        """
        until_ms = self.reading.at(now_ms) + lease_ms
        self.last_grant = Grant(until_ms, now_ms, now_ms - self.reading.read_ms)
        self.assume(lease_ms, now_ms)

    def assume(self, lease_ms: int, now_ms: int) -> None:
        """Assume that another scheduler has given a lease that may begin now."""
        end_ms = now_ms + round(lease_ms * (1 + CLOCK_DRIFT)) + LEASE_SLACK_MS
        self.end_ms = max(self.end_ms, end_ms)

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return the fields of a log line about the end of the lease.

        `told_ms` is the time from now to the end that the last order told the executor,
        by the executor's clock as it was last read; it is negative in the past.
        """
        fields = {"last_answer_ms": now_ms - self.reading.read_ms}
        if self.last_grant is not None:
            fields["last_order_ms"] = now_ms - self.last_grant.sent_ms
            fields["told_ms"] = self.last_grant.until_ms - self.reading.at(now_ms)
            fields["clock_age_ms"] = self.last_grant.clock_age_ms
        return fields
