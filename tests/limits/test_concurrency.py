from __future__ import annotations

import random

from guavapin.limits.concurrency import ConcurrencyLimit
from guavapin.limits.concurrency import allowed
from guavapin.limits.concurrency import new_limit
from guavapin.limits.concurrency import observe_answer


def drive(
    state: ConcurrencyLimit, real_slots: int, answers: int, rng: random.Random
) -> tuple[ConcurrencyLimit, list[int]]:
    """Run as many attempts as allowed; answers slow down above `real_slots`."""
    limits = []
    for _ in range(answers):
        running = allowed(state)
        slowness = max(running / real_slots, 1.0) * rng.uniform(0.7, 1.3)
        state = observe_answer(state, slowness, running)
        limits.append(allowed(state))
    return state, limits


def test_limit_falls_when_more_slots_are_declared_than_exist() -> None:
    """Guards against overload of an executor with a quarter of its declared slots."""
    rng = random.Random(1)
    state = new_limit(8)
    for _ in range(64):
        state = observe_answer(state, rng.uniform(0.7, 1.3), 1)
    _, limits = drive(state, real_slots=2, answers=3_000, rng=rng)
    assert sum(limits[-1_000:]) / 1_000 <= 5


def test_limit_stays_at_the_declared_slots_when_they_are_right() -> None:
    """Guards against noise in the answer times that lowers the limit."""
    rng = random.Random(2)
    _, limits = drive(new_limit(8), real_slots=8, answers=5_000, rng=rng)
    assert sum(limits) / len(limits) > 7.5
    assert max(limits) <= 8


def test_limit_recovers_after_slow_answers() -> None:
    """Guards against a limit that stays low after a period of slow answers."""
    rng = random.Random(3)
    state, _ = drive(new_limit(8), 8, 500, rng)
    state, _ = drive(state, 1, 500, rng)
    assert allowed(state) < 4
    state, _ = drive(state, 8, 3_000, rng)
    assert allowed(state) == 8
