"""Limits of what a single job may ask of a scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Step

# Largest integer that every JSON number holds exactly. Sums and products of such
# numbers stay far below the range of a float, beyond which conversions raise.
MAX_NUMBER = 2**53

# Limit of a job's subtasks in all occurrences. A scheduler holds all of them in memory,
# and the progress of a job, with 80 bytes for a subtask that has failed three times,
# must fit into one value of the store.
MAX_SUBTASKS = 4_000

# Limit of a job's steps in all occurrences. The record of a job has up to 400 bytes for
# each, its progress 60, and both are encoded as a whole.
MAX_STEPS = 1_000

# Limit of the predecessors that the steps of a job name, in all occurrences. Whenever a
# step is done, the predecessors of all steps that have not begun are searched.
MAX_PREDECESSORS = 8_000

# Limit of the labels, racks and images that the steps of a job name, in characters.
# Ten thousand open jobs thus have at most 80 MB of such texts.
MAX_TEXT = 8_000


def find_fault(job: Job) -> str:
    """Return why no scheduler can run a job, "" if one can.

    For example, a job with ``repeats`` 100 and two steps of 20 subtasks has 4,000
    subtasks, which is the limit.
    """
    if not job.steps:
        return "steps: expected at least one"
    for number, step in enumerate(job.steps):
        fault = _find_step_fault(number, step)
        if fault:
            return f"step {number}: {fault}"
    counts = (
        ("steps in all occurrences", job.occurrences * len(job.steps), MAX_STEPS),
        ("subtasks in all occurrences", count_subtasks(job), MAX_SUBTASKS),
        (
            "predecessors in all occurrences",
            job.occurrences * sum(len(step.after) for step in job.steps),
            MAX_PREDECESSORS,
        ),
        ("characters of labels, racks and images", _count_text(job), MAX_TEXT),
    )
    for what, count, limit in counts:
        if count > limit:
            return f"{count} {what}, expected at most {limit}"
    return ""


def _find_step_fault(number: int, step: Step) -> str:
    if step.count < 1:
        return f"count is {step.count}, expected at least 1"
    if any(not 0 <= other < number for other in step.after):
        return f"after is {[*step.after]}, expected earlier steps"
    if not 0 <= step.estimate_ms <= MAX_NUMBER:
        return "estimate is out of range"
    return ""


def count_subtasks(job: Job) -> int:
    """Return the number of subtasks of a job in all its occurrences."""
    return job.occurrences * sum(step.count for step in job.steps)


def _count_text(job: Job) -> int:
    return sum(
        len(step.required_label) + len(step.preferred_rack) + len(step.image)
        for step in job.steps
    )
