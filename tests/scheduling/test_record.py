"""Stored records that a scheduler leaves out."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.intake.peer_codec import decode_peer_call
from guavapin.intake.peer_codec import encode_peer_call
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.limits import MAX_NUMBER
from guavapin.jobs.limits import MAX_SUBTASKS
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.platform.bodies import encode_body
from guavapin.platform.job_calls import decode_call
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.record import encode_job
from guavapin.scheduling.record import encode_progress
from tests.scheduling.simulation import QUEUE


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


_NUMBERS = st.sampled_from((0, 1, 7, 2**31, 2**53 - 1, MAX_NUMBER))
_TIMES = st.one_of(_NUMBERS, st.floats(0, MAX_NUMBER))
_TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=20)
_FLAGS = st.booleans()


@st.composite
def _bodies(draw: st.DrawFn) -> dict[str, object]:
    """Draw the body of a submission, with fields up to their limits."""
    repeats = draw(st.sampled_from((0, 0, 1, 3, 100)))
    largest = MAX_SUBTASKS // max(repeats, 1) // 4
    steps = [
        {
            "count": draw(st.sampled_from((1, 2, largest))),
            "cpu": draw(_NUMBERS),
            "mem-mb": draw(_NUMBERS),
            "gpus": draw(_NUMBERS),
            "estimate-ms": draw(_TIMES),
            "target-ms": draw(_TIMES),
            "max-per-server": draw(_NUMBERS),
            "after": draw(st.lists(st.integers(0, number - 1))) if number else [],
            "gang": draw(_FLAGS),
            "speculative": draw(_FLAGS),
            "long-running": draw(_FLAGS),
            "fills": draw(_FLAGS),
            "image": draw(_TEXTS),
            "required-label": draw(_TEXTS),
        }
        for number in range(draw(st.integers(1, 4)))
    ]
    return {
        "spec": draw(_TEXTS),
        "steps": steps,
        "repeats": repeats,
        "start-at-ms": draw(_TIMES),
        "interval-ms": draw(_TIMES),
    }


@settings(derandomize=True, deadline=None, max_examples=150)
@given(_bodies(), st.sampled_from(("", "o")), st.data())
def test_each_accepted_job_and_its_progress_can_be_loaded_again(
    body: dict[str, object], organisation: str, data: st.DataObject
) -> None:
    # Guards against a job that is accepted, by a scheduler or by the store alone, and
    # that no scheduler can load, or not with all its ends.
    path = f"{QUEUE.prefix}{'a' * 16}"
    call = decode_call(QUEUE, "POST", path, encode_body(body), 1, organisation)
    assert isinstance(call, SubmitJob)
    assert decode_peer_call(encode_peer_call(call)) == call
    assert decode_job(encode_job(call.job)) == call.job
    job_run = JobRun(call.job, 0, is_inherited=True)
    job_run.open_steps(2**63)
    for step_run in [*job_run.steps.values()][:8]:
        index = data.draw(st.integers(0, step_run.step.count - 1))
        step_run.mark_done(index)
        step_run.record_failure(step_run.step.count - 1, data.draw(_NUMBERS))
        step_run.record_saved(index, data.draw(_TEXTS))
    progress = job_run.progress()
    assert decode_progress(encode_progress(progress)) == progress
    loaded = JobRun(call.job, 0, is_inherited=True)
    loaded.restore(progress)
    assert loaded.progress() == progress
    assert loaded.done_steps == {
        key for key, step_run in job_run.steps.items() if step_run.is_done
    }
    # The sum of what may still run of an ended job exceeds 64 bits.
    job_run.state = JobState.CANCELLED
    ended = job_run.progress(may_have_unseen_runs=True)
    assert decode_progress(encode_progress(ended)) == ended
