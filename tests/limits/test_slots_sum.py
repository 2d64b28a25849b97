"""Property test: all seats of a zone together stay within an upstream's slots."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.limits import loans
from guavapin.limits.shares import seat_share
from guavapin.limits.slots import OWN_SLOT
from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanRequest
from guavapin.limits.slots import LoanReturn
from guavapin.limits.slots import LoanSettings
from guavapin.limits.slots import Slot
from guavapin.limits.slots import SlotState
from guavapin.limits.slots import change_share
from guavapin.limits.slots import release
from guavapin.limits.slots import reserve

SLOTS = 5
SEATS = 3
SPREAD_MS = 20
TIMEOUT_MS = 30
CFG = LoanSettings(
    duration_ms=40,
    grace_ms=5,
    hold_off_ms=SPREAD_MS + 45,
    settle_ms=SPREAD_MS + 45,
    request_ttl_ms=15,
    idle_return_ms=10,
)


@dataclass
class Running:
    seat: int
    incarnation: int
    slot: Slot
    deadline_ms: int


@dataclass
class Zone:
    """Seats, the requests on the upstream, and a network that is unreliable.

    The network loses, delays and duplicates messages.
    """

    now_ms: int = 1_000
    incarnations: int = 0
    states: list[SlotState] = field(default_factory=list)
    network: list[tuple[int, object]] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    seats: int = 2
    published_ms: int = 0
    adopted: list[int] = field(default_factory=list)
    loans_used: int = 0

    def __post_init__(self) -> None:
        self.adopted = [self.seats] * SEATS
        self.states = [self.new_state(seat, held_off=False) for seat in range(SEATS)]

    def new_state(self, seat: int, held_off: bool = True) -> SlotState:
        self.incarnations += 1
        until_ms = self.now_ms + CFG.hold_off_ms if held_off else 0
        share = seat_share(SLOTS, self.adopted[seat], seat, "u")
        return SlotState("u", seat, self.incarnations, share, until_ms)

    def start(self, seat: int, ttl_ms: int) -> None:
        deadline_ms = self.now_ms + ttl_ms
        state = loans.drop_expired(self.states[seat], CFG, self.now_ms)
        self.states[seat], slot = reserve(state, deadline_ms, self.now_ms)
        if slot is not None:
            self.loans_used += slot != OWN_SLOT
            self.running.append(Running(seat, state.incarnation, slot, deadline_ms))

    def finish(self, index: int) -> None:
        if self.running:
            run = self.running.pop(index % len(self.running))
            if self.states[run.seat].incarnation == run.incarnation:
                self.states[run.seat] = release(
                    self.states[run.seat], run.slot, self.now_ms
                )

    def request_loan(self, seat: int, lender: int) -> None:
        self.states[seat], message = loans.request_loan(
            self.states[seat], CFG, self.now_ms
        )
        if message is not None:
            self.network.append((lender, message))

    def deliver(self, index: int, is_kept: bool) -> None:
        if not self.network:
            return
        index %= len(self.network)
        recipient, message = self.network[index] if is_kept else self.network.pop(index)
        state = self.states[recipient]
        if isinstance(message, LoanRequest):
            state, grant = loans.on_request(state, message, CFG, self.now_ms, 0)
            if grant is not None:
                self.network.append((grant.seat, grant))
        elif isinstance(message, LoanGrant):
            state, loan_return = loans.on_grant(state, message, self.now_ms)
            if loan_return is not None:
                self.network.append((loan_return.loan_id.seat, loan_return))
        elif isinstance(message, LoanReturn):
            state = loans.on_return(state, message)
        self.states[recipient] = state

    def drop(self, index: int) -> None:
        if self.network:
            self.network.pop(index % len(self.network))

    def return_idle_loans(self, seat: int) -> None:
        self.states[seat], returns = loans.return_idle(
            self.states[seat], CFG, self.now_ms
        )
        self.network.extend((item.loan_id.seat, item) for item in returns)

    def restart(self, seat: int) -> None:
        # Requests of the previous incarnation continue on the upstream.
        self.states[seat] = self.new_state(seat)

    def publish(self, seats: int) -> None:
        if self.now_ms - self.published_ms >= SPREAD_MS:
            self.seats, self.published_ms = seats, self.now_ms

    def adopt(self, seat: int) -> None:
        if self.adopted[seat] != self.seats:
            self.adopted[seat] = self.seats
            share = seat_share(SLOTS, self.seats, seat, "u")
            self.states[seat] = change_share(self.states[seat], share, CFG, self.now_ms)

    def advance(self, delta_ms: int) -> None:
        for _ in range(delta_ms):
            self.now_ms += 1
            for index in reversed(range(len(self.running))):
                if self.now_ms >= self.running[index].deadline_ms:
                    self.finish(index)
            if self.now_ms - self.published_ms >= SPREAD_MS:
                for seat in range(SEATS):
                    self.adopt(seat)


def step(zone: Zone, rng: random.Random) -> None:
    """Apply one random event; then start requests on seats that see a free slot."""
    seat, index = rng.randrange(SEATS), rng.randrange(1_000)
    action = rng.choices(
        ("ask", "deliver", "repeat", "drop", "back", "finish", "seats", "adopt"),
        (8, 12, 4, 1, 1, 4, 1, 2),
    )[0]
    if action == "ask":
        zone.request_loan(seat, rng.randrange(SEATS))
    elif action in ("deliver", "repeat"):
        zone.deliver(index, is_kept=action == "repeat")
    elif action == "drop":
        zone.drop(index)
    elif action == "back":
        zone.return_idle_loans(seat)
    elif action == "finish":
        zone.finish(index)
    elif action == "seats":
        zone.publish(rng.randint(1, SEATS))
    else:
        zone.adopt(seat)
    if rng.random() < 0.01:
        zone.restart(seat)
    if rng.random() < 0.5:
        zone.advance(rng.choice((1, 1, 2, 5, 40)))
    for starting in range(SEATS):
        if rng.random() < 0.7:
            zone.start(starting, rng.choice((TIMEOUT_MS, rng.randint(1, TIMEOUT_MS))))


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.integers(0, 2**32))
def test_sum_over_seats_never_exceeds_the_slots(seed: int) -> None:
    """Guards against an executor that gets more than its slots when messages are
    lost, late or repeated, seats restart, or the number of seats changes."""
    zone, rng = Zone(), random.Random(seed)
    for _ in range(250):
        step(zone, rng)
        assert len(zone.running) <= SLOTS


def test_loans_are_used() -> None:
    """Guards against a property test that passes because no loan is ever made."""
    zone = Zone()
    for _ in range(3):
        zone.start(0, 30)
    assert len(zone.running) < 4
    zone.request_loan(0, 1)
    zone.deliver(0, is_kept=False)
    zone.deliver(0, is_kept=False)
    zone.start(0, 30)
    assert zone.loans_used == 1
