"""Stored records that a scheduler leaves out."""

from __future__ import annotations

import pytest

from guavapin.jobs.limits import MAX_SUBTASKS
from guavapin.jobs.model import Job
from guavapin.jobs.model import Step
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import encode_job


@pytest.mark.parametrize(
    "steps",
    [
        (),
        (Step(0),),
        (Step(-20),),
        (Step(1), Step(1, after=(1,))),
        (Step(1, after=(99,)),),
        (Step(1, after=(-1,)),),
        (Step(1, estimate_ms=10**400),),
    ],
)
def test_a_stored_job_that_no_caller_may_submit_is_left_out(
    steps: tuple[Step, ...],
) -> None:
    # Guards against a damaged record that ends each process that schedules: a step
    # after one that does not exist raised IndexError.
    job = Job("a" * 16, "h/q/", "pool", "spec", steps)
    assert decode_job(encode_job(job)) is None


def test_a_stored_job_of_too_many_subtasks_is_left_out() -> None:
    # Guards against a job of an earlier build that ends each process that schedules for
    # want of memory.
    held = Job("a" * 16, "h/q/", "pool", "spec", (Step(MAX_SUBTASKS),))
    assert decode_job(encode_job(held)) == held
    steps = (Step(MAX_SUBTASKS), Step(1))
    too_large = Job("b" * 16, "h/q/", "pool", "spec", steps)
    assert decode_job(encode_job(too_large)) is None
    repeated = Job("c" * 16, "h/q/", "pool", "spec", (Step(1),), MAX_SUBTASKS + 1)
    assert decode_job(encode_job(repeated)) is None
