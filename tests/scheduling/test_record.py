"""Stored records that a scheduler leaves out."""

from __future__ import annotations

from guavapin.jobs.limits import MAX_SUBTASKS
from guavapin.jobs.model import Job
from guavapin.jobs.model import Step
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import encode_job


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
