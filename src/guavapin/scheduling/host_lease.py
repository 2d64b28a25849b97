"""Lease of the runs on an executor: what orders told it, and when it ends.

An order tells an executor the end of the lease on the executor's own clock, which the
scheduler extrapolates from the last answer. The estimate runs ahead if the executor has
started again since, with a clock that begins anew, or if its clock stood still; the
lease then lasts longer than meant, up to the longest one that the executor keeps. So
an order gives a lease only by a recent reading, and the clock in its answer shows what
it has really given.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.executors.model import Start

if TYPE_CHECKING:
    from guavapin.executors.model import Look

# Fraction by which an executor's clock may run slower than the scheduler's.
CLOCK_DRIFT = 0.02

# Added to the end of a lease for the duration of a call in both directions.
LEASE_SLACK_MS = 250

# Amount by which an estimated clock may run ahead of the next reading, beside the
# drift, before it counts as wrong.
READING_TOLERANCE_MS = 100

# An order without an answer is carried out within this time after it was sent, or not
# at all.
MAX_DELIVERY_MS = 12_000


# Age up to which a reading shows that the executor has not started again since. The
# poll of a busy host is answered more often.
MAX_READING_AGE_MS = 1_250

# The same for an executor without a pending poll, which its restart would break off.
MAX_IDLE_READING_AGE_MS = 100

# Time from an order to the handling of its answer up to which the answer is recent. A
# poll times out after 1.7 s; if its answer is handled later, the scheduler was paused.
MAX_ANSWER_AGE_MS = 1_750


# Time after its start from which no lease on an executor rests on its former clock: a
# scheduler reads the clock of an idle host every 8 s, an order is under way for up to
# 12 s, and its lease lasts 10 s. The rest allows for clocks of day that differ.
SETTLED_LIFE_MS = 40_000


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Lease that an order gives, and the longest one that an executor keeps, in ms."""

    given_ms: int
    longest_ms: int


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
    """Lease that an order gives, until the order is answered.

    `until_ms` is its end on the executor's clock, from a reading that was
    `clock_age_ms` old, and `end_ms` the latest time at which it ends.
    """

    until_ms: int
    sent_ms: int
    clock_age_ms: int
    end_ms: int

    def bounded(self, terms: LeaseTerms, clock_ms: int, now_ms: int) -> Grant:
        """Return the grant with its end by a reading that was handled at `now_ms`.

        An order that has not been carried out yet may reach another life of the
        executor, whose clock is behind; the longest lease then counts from its arrival.
        """
        delivery_ms = max(self.sent_ms + MAX_DELIVERY_MS - now_ms, 0)
        left_ms = min(self.until_ms - clock_ms, delivery_ms + terms.longest_ms)
        return replace(self, end_ms=_latest_end_ms(left_ms, now_ms))


class HostLease:
    """Clock of an executor and the time at which the runs on it have certainly ended.

    Only its host changes it. Times are the scheduler's monotonic time unless they are
    said to be on the executor's clock.
    """

    def __init__(self, terms: LeaseTerms, clock_ms: int, now_ms: int) -> None:
        self.reading = ClockReading(clock_ms, now_ms)
        self._terms = terms
        # Whether the last reading is a recent answer. An entry of the registry may be
        # one of a former life, and so may an answer that waited in its socket.
        self._is_read = False
        # Time at which the latest of the orders was sent whose answers were read.
        self._read_sent_ms = 0
        # Leases of the orders without an answer, which may still be carried out, and
        # the latest end of all others.
        self._open: dict[Look | Start, Grant] = {}
        self._settled_end_ms = 0
        # The last of the answered ones, for the log.
        self._settled_grant: Grant | None = None

    @property
    def end_ms(self) -> int:
        """Return the time at which a lease that was given has ended for certain."""
        open_ends = (grant.end_ms for grant in self._open.values())
        return max(self._settled_end_ms, *open_ends, 0)

    @property
    def unanswered_starts(self) -> list[Start]:
        """Return the starts without an answer, which may still be carried out."""
        return [order for order in self._open if isinstance(order, Start)]

    @property
    def unanswered_start_ms(self) -> int:
        """Return when the last start without an answer was sent, 0 without one."""
        starts = (self._open[order].sent_ms for order in self.unanswered_starts)
        return max(starts, default=0)

    @property
    def matters_until_ms(self) -> int:
        """Return until when a lease may last, or a start without an answer arrive."""
        late_ms = self.unanswered_start_ms + MAX_DELIVERY_MS
        return max(self.end_ms, late_ms if self.unanswered_start_ms else 0)

    def late_end_ms(self, sent_ms: int) -> int:
        """Return when a lease ends that an order gives as late as it can arrive."""
        return _latest_end_ms(self._terms.longest_ms, sent_ms + MAX_DELIVERY_MS)

    def may_extend(self, now_ms: int) -> bool:
        """Return whether the clock was read recently enough to give a lease by it."""
        return self._is_read_within(MAX_READING_AGE_MS, now_ms)

    def may_begin(self, now_ms: int) -> bool:
        """Return the same for an executor on which nothing runs."""
        return self._is_read_within(MAX_IDLE_READING_AGE_MS, now_ms)

    def until_ms(self, now_ms: int) -> int:
        """Return the end of a new lease on the executor's clock."""
        return self.reading.at(now_ms) + self._terms.given_ms

    def extend(self, order: Look | Start, now_ms: int) -> None:
        """Extend the lease for an order that is sent now.

        The order may be carried out although no answer arrives. Its lease therefore
        counts from the time of sending, plus allowances for clock drift and for the
        duration of the call.
        """
        clock_age_ms = now_ms - self.reading.read_ms
        # The clock may have stood still since it was read.
        left_ms = min(self._terms.given_ms + clock_age_ms, self._terms.longest_ms)
        end_ms = _latest_end_ms(left_ms, now_ms)
        self._open[order] = Grant(order.until_ms, now_ms, clock_age_ms, end_ms)

    def settle(self, order: Look | Start, clock_ms: int, now_ms: int) -> None:
        """Count the lease that an order has given, by the clock in its answer.

        An answer without a clock, for which `clock_ms` is 0, bounds nothing.
        """
        grant = self._open.pop(order, None)
        if grant is not None:
            left_ms = self._terms.longest_ms
            if clock_ms:
                left_ms = min(grant.until_ms - clock_ms, left_ms)
            self._settle_until(_latest_end_ms(left_ms, now_ms))
            self._settled_grant = grant

    def withdraw(self, order: Look | Start) -> None:
        """Drop the lease of an order that was not sent."""
        self._open.pop(order, None)

    def assume(self, is_settled_life: bool, now_ms: int) -> None:
        """Assume that another scheduler has given a lease that begins now at most.

        By which reading of the clock it did is not known, so the longest lease counts
        unless the executor has long been in its present life.
        """
        terms = self._terms
        left_ms = terms.given_ms if is_settled_life else terms.longest_ms
        self._settle_until(_latest_end_ms(left_ms, now_ms))

    def read(self, clock_ms: int, sent_ms: int, now_ms: int) -> None:
        """Read the clock in the answer to an order that was sent at `sent_ms`.

        An answer that was overtaken and states a later clock is one of a former life.
        """
        is_overtaken = sent_ms < self._read_sent_ms
        latest_ms = self.reading.at(now_ms) + READING_TOLERANCE_MS
        if is_overtaken and clock_ms > latest_ms:
            return
        self.reading = ClockReading(clock_ms, now_ms)
        self._read_sent_ms = max(self._read_sent_ms, sent_ms)
        self._is_read = is_answer_recent(sent_ms, now_ms)
        for order, grant in [*self._open.items()]:
            bounded = grant.bounded(self._terms, clock_ms, now_ms)
            # The answer to an earlier order may be one of an earlier life.
            if sent_ms > grant.sent_ms or bounded.end_ms > grant.end_ms:
                self._open[order] = bounded
            if now_ms > grant.sent_ms + MAX_DELIVERY_MS:
                self._settle_until(self._open.pop(order).end_ms)

    def next_life(self, clock_ms: int, now_ms: int) -> HostLease:
        """Return the lease of the executor after it has started again.

        Orders without an answer may have reached either life, or may reach the next.
        """
        lease = HostLease(self._terms, clock_ms, now_ms)
        lease._settled_end_ms = self._settled_end_ms
        for order, grant in self._open.items():
            bounded = grant.bounded(self._terms, clock_ms, now_ms)
            lease._open[order] = max(grant, bounded, key=lambda row: row.end_ms)
        return lease

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return the fields of a log line about the end of the lease.

        `told_ms` is the time from now to the end that the last order told the executor,
        by the executor's clock as it was last read; it is negative in the past.
        """
        fields = {"last_answer_ms": now_ms - self.reading.read_ms}
        grants = [*self._open.values()]
        if self._settled_grant is not None:
            grants.append(self._settled_grant)
        if grants:
            last = max(grants, key=lambda grant: grant.sent_ms)
            fields["last_order_ms"] = now_ms - last.sent_ms
            fields["told_ms"] = last.until_ms - self.reading.at(now_ms)
            fields["clock_age_ms"] = last.clock_age_ms
        return fields

    def _is_read_within(self, age_ms: int, now_ms: int) -> bool:
        return self._is_read and now_ms - self.reading.read_ms <= age_ms

    def _settle_until(self, end_ms: int) -> None:
        self._settled_end_ms = max(self._settled_end_ms, end_ms)


def is_answer_recent(sent_ms: int, now_ms: int) -> bool:
    """Return whether an answer says what its executor is now, as it is handled."""
    return now_ms - sent_ms <= MAX_ANSWER_AGE_MS


def _latest_end_ms(left_ms: int, now_ms: int) -> int:
    """Return when a lease with `left_ms` on the executor's clock ends at the latest."""
    return now_ms + round(max(left_ms, 0) * (1 + CLOCK_DRIFT)) + LEASE_SLACK_MS
