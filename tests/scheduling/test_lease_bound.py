"""What is counted for a lease is never shorter than the lease of the executor."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace

import pytest

from guavapin.executors.model import Look
from guavapin.scheduling.host_lease import MAX_DELIVERY_MS
from guavapin.scheduling.host_lease import MAX_READING_AGE_MS
from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.host_lease import LeaseTerms

TERMS = LeaseTerms(6_000, 10_000)
STEP_MS = 10
TIMEOUT_MS = 700


@dataclass
class Life:
    """One life of an executor: when it started, how fast its clock is, its lease."""

    started_ms: int
    rate: float
    until_ms: float = 0.0

    def clock_ms(self, now_ms: int) -> int:
        return int((now_ms - self.started_ms) * self.rate)

    def carry_out(self, order: Look, now_ms: int) -> None:
        limit_ms = self.clock_ms(now_ms) + TERMS.longest_ms
        self.until_ms = max(self.until_ms, min(order.until_ms, limit_ms))

    def lease_end_ms(self) -> float:
        return self.started_ms + self.until_ms / self.rate if self.until_ms else 0.0


class Exchange:
    """Sends orders to an executor that is cut off, answers late and starts again.

    An order reaches the life that it was sent to, or none. A restart takes longer than
    the age up to which a reading counts as recent and the timeout of an answer. With
    `is_quick` it does not, but the first orders after it are answered.
    """

    def __init__(self, seed: int, is_quick: bool) -> None:
        self.is_quick = is_quick
        # Whether no answer of the present life has been handled.
        self.is_unread = False
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.life = Life(-self.rng.randint(1_000, 10**6), 1.0)
        self.lease = HostLease(TERMS, self.life.clock_ms(0), 0)
        self.events: list = []
        self.is_up = True
        self.number = 0

    def play(self, length_ms: int) -> None:
        while self.now_ms < length_ms:
            self.now_ms += STEP_MS
            due = [row for row in self.events if row[0] <= self.now_ms]
            self.events = [row for row in self.events if row[0] > self.now_ms]
            for _, action, *args in due:
                action(*args)
            if self.is_up and self.rng.random() < 0.004:
                self.is_up = False
                downtime_ms = self.rng.randint(50, 5_000)
                if not self.is_quick:
                    downtime_ms += MAX_READING_AGE_MS + TIMEOUT_MS
                self.later(downtime_ms, self.restart)
            if self.rng.random() < 0.05:
                self.send()
            if self.is_up and not (self.is_quick and self.is_unread):
                assert self.life.lease_end_ms() <= self.lease.end_ms, self.now_ms

    def later(self, delay_ms: int, action, *args) -> None:
        self.events.append((self.now_ms + delay_ms, action, *args))

    def restart(self) -> None:
        self.life = Life(self.now_ms, self.rng.uniform(0.98, 1.0))
        self.is_up = self.is_unread = True
        if self.rng.random() < 0.3:
            # Its entry is read before its first answer.
            self.lease = self.lease.next_life(0, self.now_ms)

    def send(self) -> None:
        self.number += 1
        order = Look(1, self.number)
        if self.lease.may_extend(self.now_ms):
            order = replace(order, until_ms=self.lease.until_ms(self.now_ms))
            self.lease.extend(order, self.now_ms)
        draw = self.rng.random()
        if self.is_quick and (self.is_unread or not self.is_up):
            draw = 1.0
        if draw < 0.02:
            return
        delay_ms = self.rng.randint(0, 30)
        if draw < 0.04:
            delay_ms = self.rng.randint(30, MAX_DELIVERY_MS)
        self.later(delay_ms, self.arrive, order, self.life, draw > 0.06, self.now_ms)

    def arrive(self, order: Look, life: Life, is_answered: bool, sent_ms: int) -> None:
        if life is not self.life or not self.is_up:
            return
        life.carry_out(order, self.now_ms)
        if is_answered and self.now_ms - sent_ms < 100:
            delay_ms = self.rng.randint(0, TIMEOUT_MS - 100)
            clock_ms = life.clock_ms(self.now_ms)
            self.later(delay_ms, self.answer, order, life, clock_ms, sent_ms)

    def answer(self, order: Look, life: Life, clock_ms: int, sent_ms: int) -> None:
        if life is self.life:
            self.is_unread = False
        self.lease.settle(order, clock_ms, self.now_ms)
        self.lease.read(clock_ms, sent_ms, self.now_ms)


@pytest.mark.parametrize("is_quick", [False, True])
@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_the_counted_end_is_not_before_that_of_the_executor(
    first_seed: int, is_quick: bool
) -> None:
    # Guards against any order of events that makes a lease longer than what is waited
    # for before its work starts elsewhere.
    for seed in range(first_seed, first_seed + 50):
        Exchange(seed, is_quick).play(60_000)
