"""Limits of what a single job may ask of a scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Job

# Limit of a job's subtasks in all occurrences. A scheduler holds all of them in memory,
# and the progress of a job, with up to 125 bytes for each, must fit into one value of
# the store, which holds 1 MB.
MAX_SUBTASKS = 8_000


def count_subtasks(job: Job) -> int:
    """Return the number of subtasks of a job in all its occurrences."""
    return job.occurrences * sum(step.count for step in job.steps)


def is_within_limits(job: Job) -> bool:
    """Return whether a scheduler can hold a job.

    For example, a job with ``repeats`` 100 and two steps of 40 subtasks has 8,000
    subtasks, which is the limit.
    """
    return count_subtasks(job) <= MAX_SUBTASKS
