"""The stored records of jobs and of their progress.

A job is written once, when it is accepted. Its progress is rewritten while it runs and
holds only the facts that executors may forget: done subtasks, failures and saved
values.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass

import msgspec

from guavapin.jobs.limits import find_fault
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources

_NOTHING = Resources()

JOBS_PREFIX = "jobs/"
PROGRESS_PREFIX = "progress/"
# Markers of submissions and cancellations that were stored while no scheduler could be
# reached.
INBOX_PREFIX = "inbox/"
SUBMITTED_SUFFIX = ".submitted"
CANCELLED_SUFFIX = ".cancelled"


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Progress of one step: its done subtasks as bits, its failures and saved values.

    `failures` holds the failed attempts of each subtask instead of their count. An
    executor lists an end until it is confirmed, so a successor would otherwise count
    the same failure twice.
    """

    done: bytes = b""
    failures: tuple[tuple[int, tuple[int, ...]], ...] = ()
    saved: tuple[tuple[int, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a job; `steps` is keyed by (occurrence, step).

    `ended_ms` is wall time, 0 while the job is open. `organisation` and `queue` are
    those of a job with an organisation, since only the progress is kept of a job that
    has ended. `running` has the needs of its runs that had not ended by then; they
    count for the cap of the organisation. `run_pools` are the pools on which subtasks
    of an open job may run; it is empty for the service in the record of the job alone.
    """

    state: JobState
    steps: tuple[tuple[tuple[int, int], StepProgress], ...] = ()
    ended_ms: int = 0
    organisation: str = ""
    queue: str = ""
    running: Resources = _NOTHING
    run_pools: tuple[str, ...] = ()


class _Step(msgspec.Struct, omit_defaults=True):
    occurrence: int
    step: int
    done: str = ""
    failures: list[tuple[int, tuple[int, ...]]] = []
    saved: list[tuple[int, str]] = []


class _Progress(msgspec.Struct, omit_defaults=True):
    state: str
    steps: list[_Step] = []
    ended_ms: int = 0
    organisation: str = ""
    queue: str = ""
    running: tuple[int, int, int] = (0, 0, 0)
    run_pools: list[str] = []


def encode_job(job: Job) -> bytes:
    """Return the JSON record of a job."""
    return msgspec.json.encode(job)


def decode_job(value: bytes) -> Job | None:
    """Return the job of a record.

    Returns None if the record is malformed, if its job is not one that a caller may
    submit, or if no scheduler can hold it.
    """
    try:
        job = msgspec.json.decode(value, type=Job)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return None if find_fault(job) else job


def encode_progress(progress: Progress) -> bytes:
    """Return the JSON record of a job's progress."""
    steps = [
        _Step(
            occurrence,
            step,
            base64.b64encode(state.done).decode(),
            list(state.failures),
            list(state.saved),
        )
        for (occurrence, step), state in progress.steps
    ]
    return msgspec.json.encode(
        _Progress(
            progress.state.value,
            steps,
            progress.ended_ms,
            progress.organisation,
            progress.queue,
            (
                progress.running.cpu_millis,
                progress.running.memory_mb,
                progress.running.gpus,
            ),
            list(progress.run_pools),
        )
    )


def decode_progress(value: bytes) -> Progress | None:
    """Return the progress of a record, None if the record is malformed."""
    try:
        stored = msgspec.json.decode(value, type=_Progress)
        steps = tuple(
            (
                (row.occurrence, row.step),
                StepProgress(
                    base64.b64decode(row.done), tuple(row.failures), tuple(row.saved)
                ),
            )
            for row in stored.steps
        )
        return Progress(
            JobState(stored.state),
            steps,
            stored.ended_ms,
            stored.organisation,
            stored.queue,
            Resources(*(max(amount, 0) for amount in stored.running)),
            tuple(stored.run_pools),
        )
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
