from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.objects.model import Service
from guavapin.retries.backoff import delay_ms
from guavapin.retries.budget import RetryBudget
from guavapin.retries.budget import earn
from guavapin.retries.budget import spend
from guavapin.retries.hedge import HedgeSettings
from guavapin.retries.hedge import hedge_delay_ms
from guavapin.retries.policy import MAX_ATTEMPTS
from guavapin.retries.policy import EndedAttempt
from guavapin.retries.policy import is_idempotent
from guavapin.retries.policy import may_repeat
from guavapin.serving.messages import AttemptResult

SENT_RESULTS = [
    EndedAttempt(AttemptResult.FIRST_BYTE_TIMEOUT),
    EndedAttempt(AttemptResult.PROGRESS_TIMEOUT),
    EndedAttempt(AttemptResult.BROKEN),
    EndedAttempt(AttemptResult.COMPLETE, 500),
    EndedAttempt(AttemptResult.COMPLETE, 503),
]


@pytest.mark.parametrize("attempt", SENT_RESULTS)
def test_non_idempotent_request_is_not_repeated_once_sent(
    attempt: EndedAttempt,
) -> None:
    """Guards against a charge, an order or another unsafe request that runs twice."""
    assert not may_repeat(attempt, False, 1, answer_started=False)
    assert may_repeat(attempt, True, 1, answer_started=False)


def test_unsent_request_may_always_be_repeated() -> None:
    """Guards against a caller's request that fails because a connection failed."""
    for attempt in (
        EndedAttempt(AttemptResult.NOT_SENT),
        EndedAttempt(AttemptResult.COMPLETE, 503, is_refused_not_run=True),
    ):
        assert may_repeat(attempt, False, 1, answer_started=False)


@pytest.mark.parametrize("idempotent", [True, False])
def test_nothing_is_repeated_after_the_answer_began(idempotent: bool) -> None:
    """Guards against an answer composed of the bytes of two runs."""
    for attempt in [*SENT_RESULTS, EndedAttempt(AttemptResult.NOT_SENT)]:
        assert not may_repeat(attempt, idempotent, 1, answer_started=True)


def test_attempts_are_bounded_and_caller_errors_are_not_repeated() -> None:
    """Guards against endless attempts and retries of errors made by the caller."""
    broken = EndedAttempt(AttemptResult.BROKEN)
    assert not may_repeat(broken, True, MAX_ATTEMPTS, answer_started=False)
    for status in (200, 404, 429, 501):
        attempt = EndedAttempt(AttemptResult.COMPLETE, status)
        assert not may_repeat(attempt, True, 1, answer_started=False)


def test_idempotence_comes_from_method_or_service() -> None:
    """Guards against a retry of a POST that is not declared idempotent."""
    plain = Service("s", "p")
    assert is_idempotent("GET", plain)
    assert not is_idempotent("POST", plain)
    assert not is_idempotent("PATCH", plain)
    assert is_idempotent("POST", Service("s", "p", idempotent=True))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 30), max_size=60))
def test_retries_stay_within_a_tenth_of_the_requests(bursts: list[int]) -> None:
    """Guards against retries that multiply an overload."""
    budget, requests, retries = RetryBudget(), 0, 0
    for burst in bursts:
        for _ in range(burst):
            budget = earn(budget)
            requests += 1
        for _ in range(burst):
            budget, granted = spend(budget)
            retries += granted
        assert retries <= max(requests / 10, 1)


def test_full_budget_covers_a_burst_of_failures() -> None:
    """Guards against a budget that grants too few retries because of rounding."""
    budget = RetryBudget()
    for _ in range(10_000):
        budget = earn(budget)
    granted = 0
    for _ in range(50):
        budget, was_granted = spend(budget)
        granted += was_granted
    assert granted == 20


def test_backoff_has_full_jitter_and_a_cap() -> None:
    """Guards against retries that are sent at the same moment."""
    rng = random.Random(1)
    delays = [delay_ms(3, rng) for _ in range(2_000)]
    assert min(delays) == 0
    assert max(delays) == 80
    assert max(delay_ms(60, rng) for _ in range(2_000)) <= 1_000


def test_hedging_is_off_by_default_and_excludes_unsafe_and_long_work() -> None:
    """Guards against a second run of work that must run once."""
    on = HedgeSettings(is_enabled=True)
    assert hedge_delay_ms(100, True, False) is None
    assert hedge_delay_ms(100, True, False, on) == 100
    assert hedge_delay_ms(100, False, False, on) is None
    assert hedge_delay_ms(100, True, True, on) is None
