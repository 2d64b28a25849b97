"""Functions that construct a record directly must keep the fields they do not change.

If a new field of a record is missing in such a function, it silently falls back to its
default.
"""

from __future__ import annotations

import dataclasses
from dataclasses import replace
from typing import Any

import pytest

from guavapin.limits import concurrency
from guavapin.limits import slots
from guavapin.limits.concurrency import ConcurrencyLimit
from guavapin.limits.slots import Lent
from guavapin.limits.slots import LoanId
from guavapin.limits.slots import PendingRequest
from guavapin.limits.slots import PreviousShare
from guavapin.limits.slots import SlotState
from guavapin.objects.model import Service
from guavapin.retries.policy import EndedAttempt
from guavapin.routing import health as health_rules
from guavapin.routing.health import BreakerState
from guavapin.routing.health import UpstreamHealth
from guavapin.routing.run_time import Expectation
from guavapin.routing.verdict import Verdict
from guavapin.serving import exchange as state_machine
from guavapin.serving.exchange import Exchange
from guavapin.serving.exchange import Phase
from guavapin.serving.exchange_request import CallerRequest
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchange_upstream import Placement
from guavapin.serving.exchange_upstream import UpstreamRecord
from guavapin.serving.exchange_upstream import apply_attempt_end
from guavapin.serving.exchange_upstream import release_slot
from guavapin.serving.messages import AttemptResult
from guavapin.serving.route_table import Upstream

LOAN_ID = LoanId(2, 3, 4)
SLOTS = SlotState(
    "host",
    seat=3,
    incarnation=7,
    share=9,
    held_off_until_ms=5,
    used=2,
    next_number=11,
    lent=(Lent(LOAN_ID, 90),),
    borrowed=(slots.Borrowed(LOAN_ID, 80, in_use=True, idle_ms=4),),
    pending=(PendingRequest(6, 70),),
    previous_shares=(PreviousShare(8, 60),),
)
HEALTH = UpstreamHealth(
    outstanding=2,
    slowness=1.5,
    failure_share=0.25,
    samples=3,
    failures_in_row=1,
    breaker=BreakerState.HALF_OPEN,
    opened_ms=40,
    cool_down_ms=50,
    trial_running=True,
    slow_start_since_ms=60,
    is_leaving=True,
)
LIMIT = ConcurrencyLimit(5.0, 8, baseline=1.25, total=2.0, count=3, peak=4)
REQUEST = CallerRequest(
    request_id=1,
    service=Service("service", "pool"),
    method="GET",
    target="/",
    headers=(),
    received_ms=1,
    deadline_ms=99,
    expectation=Expectation(1.0, 2.0, is_long=False),
)
EXCHANGE = Exchange(
    REQUEST,
    phase=Phase.SENT,
    attempt_id=5,
    host="host",
    tried=("other",),
    has_answer_body=True,
    may_have_run=True,
    is_claimed=True,
)
RECORD = UpstreamRecord(
    Upstream("host", "127.0.0.1:1", "zone", "rack", "pool"),
    HEALTH,
    SLOTS,
    LIMIT,
    long_running=2,
)


@pytest.mark.parametrize("record", [SLOTS, HEALTH, LIMIT, EXCHANGE, RECORD])
def test_samples_differ_from_every_default(record: Any) -> None:
    """A sample with a default value would hide a field that is not copied."""
    for field in dataclasses.fields(record):
        assert getattr(record, field.name) != field.default, field.name


def test_transitions_of_a_request_keep_the_other_fields() -> None:
    """A lost `may_have_run` would let a later refusal say "not run"."""
    admitted, _ = state_machine.on_admitted(EXCHANGE, "next")
    assert admitted == replace(EXCHANGE, phase=Phase.ADMITTED, host="next")
    sent = state_machine.on_sent(EXCHANGE, 8)
    assert sent == replace(EXCHANGE, attempt_id=8, tried=("other", "host"))
    answering, _ = state_machine.on_answer_head(EXCHANGE, 200, ())
    assert answering == replace(EXCHANGE, phase=Phase.ANSWERING)
    empty = replace(answering, has_answer_body=False)
    assert state_machine.on_answer_body(empty, b"part")[0] == answering
    ended = EndedAttempt(AttemptResult.BROKEN)
    done, _ = state_machine.on_attempt_ended(answering, ended, "reset")
    assert done == replace(EXCHANGE, phase=Phase.DONE)


def test_attempts_keep_the_other_fields_of_health() -> None:
    """A lost cool-down or leaving mark would send work to an unusable host."""
    started = health_rules.start_attempt(HEALTH)
    assert started == replace(HEALTH, outstanding=3)
    cancelled = health_rules.cancel_attempt(HEALTH, is_trial=True)
    assert cancelled == replace(HEALTH, outstanding=1, trial_running=False)
    ended = health_rules.end_attempt(HEALTH, Verdict.SUCCESS, 2.5, False, 100)
    assert ended == replace(
        HEALTH,
        outstanding=1,
        slowness=pytest.approx(1.6),
        failure_share=pytest.approx(0.225),
        samples=4,
        failures_in_row=0,
    )


def test_own_slots_keep_the_other_fields() -> None:
    """A lost loan or former share would let the seats use too many slots."""
    reserved, slot = slots.reserve(SLOTS, deadline_ms=200, now_ms=10)
    assert slot is slots.OWN_SLOT
    assert reserved == replace(SLOTS, used=3)
    assert slots.release(SLOTS, slots.OWN_SLOT, 10) == replace(SLOTS, used=1)


def test_an_answer_keeps_the_other_fields_of_the_limit() -> None:
    """A lost baseline would let the limit rise on an overloaded upstream."""
    seen = concurrency.observe_answer(LIMIT, 1.5, 6)
    assert seen == replace(LIMIT, total=3.5, count=4, peak=6)


def test_an_attempt_keeps_the_other_fields_of_the_record() -> None:
    """A lost count of long requests would break the bound on long work."""
    placement = Placement("host", "127.0.0.1:1", slots.OWN_SLOT, is_long=True)
    ended = apply_attempt_end(
        RECORD, placement, None, 1.0, True, ExchangeSettings("z"), 10
    )
    assert ended == replace(
        RECORD,
        health=replace(HEALTH, outstanding=1),
        slots=replace(SLOTS, used=1),
        long_running=1,
    )


def test_a_cancelled_attempt_keeps_its_slot_until_the_release() -> None:
    """Guards against a slot that is used twice, or stays in use for ever."""
    placement = Placement("host", "127.0.0.1:1", slots.OWN_SLOT, is_long=True)
    ended = apply_attempt_end(
        RECORD, placement, None, 1.0, True, ExchangeSettings("z"), 10, keeps_slot=True
    )
    assert ended == replace(RECORD, health=replace(HEALTH, outstanding=1))
    assert release_slot(ended, placement, 20) == replace(
        ended, slots=replace(SLOTS, used=1), long_running=1
    )
