"""State machine of one publication, without I/O.

The steps are: read head, read chunks, write chunks, write audit value, replace head.
A generation comes into force only when the head is replaced, so a publisher may be
paused, repeated or abandoned at any step. Concurrent publishers are serialized by the
compare-and-swap of the head. If an answer is lost, the same write is repeated, and then
the head is searched for the publication's id.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue import messages as platform
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import RECENT_PUBLICATIONS
from guavapin.publication.head import Head
from guavapin.publication.head import chunk_key
from guavapin.publication.head import decode_head
from guavapin.publication.head import generation_of
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishRequest
from guavapin.publication.messages import PublishResult
from guavapin.publication.plan import Plan
from guavapin.publication.plan import PublicationContext
from guavapin.publication.plan import make_plan
from guavapin.publication.plan import required_digests
from guavapin.publication.snapshot import digest_of

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome

# Each conflict on the head means that another publisher succeeded.
MAX_HEAD_CONFLICTS = 50
MIN_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 1_000


class Stage(Enum):
    """The step in progress."""

    READ_HEAD = "read head"
    READ_CHUNKS = "read chunks"
    WRITE_CHUNKS = "write chunks"
    WRITE_AUDIT = "write audit value"
    WRITE_HEAD = "write head"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Operation:
    """A platform call: a write of `key` if `value` is given, otherwise a read."""

    key: str
    value: bytes | None = None
    expected: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """State of one publication.

    `pending` holds the operations without a final answer, `failures` counts failed
    calls in a row. `is_writing_head` is set while a write of the head is unanswered,
    `is_uncertain` while an earlier write of the head may have taken effect.
    `min_generation` is a generation known to have been in force. `audit` is the key
    and revision of the audit value of the current attempt. `damaged_revision` is the
    revision of a head of which a chunk could not be read.
    """

    request: PublishRequest
    context: PublicationContext
    min_generation: int = 0
    stage: Stage = Stage.READ_HEAD
    head: Head | None = None
    head_revision: int = 0
    chunks: dict[str, bytes] = field(default_factory=dict)
    plan: Plan | None = None
    pending: dict[int, Operation] = field(default_factory=dict)
    next_operation_id: int = 1
    head_conflicts: int = 0
    failures: int = 0
    is_writing_head: bool = False
    is_uncertain: bool = False
    audit: tuple[str, int] = ("", 0)
    damaged_revision: int = -1


@dataclass(frozen=True, slots=True)
class Perform:
    """Perform an operation and pass its outcome to `on_outcome`."""

    operation_id: int
    operation: Operation


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Call `on_retry_due` after `delay_ms`, to which the caller adds jitter."""

    operation_id: int
    delay_ms: int


@dataclass(frozen=True, slots=True)
class Finish:
    """The job has ended with `result`."""

    result: PublishResult


@dataclass(frozen=True, slots=True)
class DeleteAudit:
    """Delete the audit value of an attempt that is known to have had no effect."""

    key: str
    revision: int


Action: TypeAlias = Perform | RetryLater | Finish | DeleteAudit
Step: TypeAlias = tuple[Job, tuple[Action, ...]]


def begin(job: Job) -> Step:
    """Start an attempt by reading the head."""
    job = dataclasses.replace(job, stage=Stage.READ_HEAD, pending={}, plan=None)
    return _perform(job, [Operation(HEAD_KEY)])


def on_retry_due(job: Job, operation_id: int) -> Step:
    """Repeat a failed operation; operations of an earlier attempt are ignored."""
    operation = job.pending.get(operation_id)
    if operation is None:
        return job, ()
    if _is_head_write(operation):
        job = dataclasses.replace(job, is_writing_head=True)
    return job, (Perform(operation_id, operation),)


def on_outcome(job: Job, operation_id: int, outcome: PlatformOutcome) -> Step:
    """Handle the outcome of an operation; those of earlier attempts are ignored."""
    operation = job.pending.get(operation_id)
    if operation is None:
        return job, ()
    match outcome:
        case platform.Unknown() | platform.NotSent() | platform.RateLimited():
            return _retry(job, operation_id, operation, outcome)
    pending = {key: item for key, item in job.pending.items() if key != operation_id}
    job = dataclasses.replace(job, pending=pending, failures=0, is_writing_head=False)
    if operation.value is None:
        return _on_read(job, operation, outcome)
    return _on_write(job, operation, outcome)


def on_expired(job: Job) -> Step:
    """End the job at its deadline; a finished job is returned unchanged."""
    if job.stage is Stage.DONE:
        return job, ()
    may_take_effect = job.is_uncertain or job.is_writing_head
    reason = Reason.OUTCOME_UNKNOWN if may_take_effect else Reason.TIMEOUT
    effect = "it may take effect" if may_take_effect else "nothing was published"
    detail = (
        f"publication {job.context.publication_id} did not end in time at step "
        f"{job.stage.value!r}; {effect}"
    )
    return _finish(job, Refused(reason, detail))


def _retry(
    job: Job, operation_id: int, operation: Operation, outcome: PlatformOutcome
) -> Step:
    may_take_effect = _is_head_write(operation) and isinstance(
        outcome, platform.Unknown
    )
    delay_ms = min(MIN_RETRY_DELAY_MS * 2 ** min(job.failures, 10), MAX_RETRY_DELAY_MS)
    job = dataclasses.replace(
        job,
        failures=job.failures + 1,
        is_writing_head=False,
        is_uncertain=job.is_uncertain or may_take_effect,
    )
    return job, (RetryLater(operation_id, delay_ms),)


def _on_read(job: Job, operation: Operation, outcome: PlatformOutcome) -> Step:
    if operation.key == HEAD_KEY:
        return _on_head_read(job, outcome)
    digest = operation.key.rpartition("/")[2]
    if not isinstance(outcome, platform.Found) or digest_of(outcome.value) != digest:
        # After a long pause the head may be outdated and its chunks garbage-collected.
        return begin(dataclasses.replace(job, damaged_revision=job.head_revision))
    job = dataclasses.replace(job, chunks={**job.chunks, digest: outcome.value})
    return (job, ()) if job.pending else _make_plan(job)


def _on_head_read(job: Job, outcome: PlatformOutcome) -> Step:
    head, revision = None, 0
    if isinstance(outcome, platform.Found):
        decoded = decode_head(outcome.value)
        if isinstance(decoded, Refused):
            return _finish(job, decoded)
        head, revision = decoded.value, outcome.revision
    current = 0 if head is None else head.generation
    if current < job.min_generation:
        detail = f"head at generation {current}, but {job.min_generation} was in force"
        return _finish(job, Refused(Reason.CONFLICT, detail))
    published = (
        None if head is None else generation_of(head, job.context.publication_id)
    )
    if published is not None:
        return _finish(job, Published(published))
    if job.is_uncertain and current - job.min_generation > RECENT_PUBLICATIONS:
        detail = f"publication {job.context.publication_id} is older than the history"
        return _finish(job, Refused(Reason.OUTCOME_UNKNOWN, detail))
    if revision == job.damaged_revision:
        detail = f"a chunk of generation {current} is missing or damaged"
        return _finish(job, Refused(Reason.MISSING, detail))
    lost_key, lost_revision = job.audit
    job, actions = _read_chunks(
        dataclasses.replace(
            job,
            head=head,
            head_revision=revision,
            min_generation=current,
            is_uncertain=False,
            audit=("", 0),
        )
    )
    return job, (
        DeleteAudit(lost_key, lost_revision),
        *actions,
    ) if lost_key else actions


def _read_chunks(job: Job) -> Step:
    required = required_digests(job.request, job.head)
    if isinstance(required, Refused):
        return _finish(job, required)
    job = dataclasses.replace(job, stage=Stage.READ_CHUNKS)
    missing = sorted(required - job.chunks.keys())
    if not missing:
        return _make_plan(job)
    return _perform(job, [Operation(chunk_key(digest)) for digest in missing])


def _make_plan(job: Job) -> Step:
    plan = make_plan(job.request, job.head, job.chunks, job.context)
    if not isinstance(plan, Plan):
        return _finish(job, plan)
    job = dataclasses.replace(job, plan=plan, stage=Stage.WRITE_CHUNKS)
    if not plan.chunks:
        return _write_audit(job, plan)
    writes = [Operation(key, value) for key, value in sorted(plan.chunks.items())]
    return _perform(job, writes)


def _write_audit(job: Job, plan: Plan) -> Step:
    job = dataclasses.replace(job, stage=Stage.WRITE_AUDIT)
    return _perform(job, [Operation(plan.audit_key, plan.audit_value)])


def _write_head(job: Job, plan: Plan) -> Step:
    job = dataclasses.replace(job, stage=Stage.WRITE_HEAD, is_writing_head=True)
    return _perform(job, [Operation(HEAD_KEY, plan.head_value, job.head_revision)])


def _on_write(job: Job, operation: Operation, outcome: PlatformOutcome) -> Step:
    plan = job.plan
    if plan is None:
        return job, ()
    if operation.key == HEAD_KEY:
        return _on_head_written(job, plan, outcome)
    if isinstance(outcome, platform.Conflict) and _must_rewrite(job, outcome.revision):
        rewrite = dataclasses.replace(operation, expected=outcome.revision)
        return _perform(job, [rewrite])
    if job.pending:
        return job, ()
    if job.stage is Stage.WRITE_CHUNKS:
        return _write_audit(job, plan)
    if isinstance(outcome, platform.Written | platform.Conflict):
        audit = (operation.key, outcome.revision)
        job = dataclasses.replace(job, audit=audit)
    return _write_head(job, plan)


def _must_rewrite(job: Job, revision: int) -> bool:
    """Return whether an existing chunk must be written again.

    Garbage collection keeps values that were written after the head it read. An older
    chunk may be removed at any moment, so the publisher renews its revision.
    """
    return revision < job.head_revision or revision == 0


def _on_head_written(job: Job, plan: Plan, outcome: PlatformOutcome) -> Step:
    if isinstance(outcome, platform.Written):
        return _finish(job, Published(plan.head.generation))
    if job.head_conflicts >= MAX_HEAD_CONFLICTS:
        detail = f"lost to other publishers {MAX_HEAD_CONFLICTS} times"
        return _finish(job, Refused(Reason.CONFLICT, detail))
    # The conflict may be with an earlier write of this publication that took effect.
    job = dataclasses.replace(
        job, head_conflicts=job.head_conflicts + 1, is_uncertain=True
    )
    return begin(job)


def _is_head_write(operation: Operation) -> bool:
    return operation.key == HEAD_KEY and operation.value is not None


def _perform(job: Job, operations: list[Operation]) -> Step:
    first = job.next_operation_id
    numbered = dict(enumerate(operations, first))
    job = dataclasses.replace(
        job,
        pending={**job.pending, **numbered},
        next_operation_id=first + len(operations),
    )
    return job, tuple(Perform(key, item) for key, item in numbered.items())


def _finish(job: Job, result: PublishResult) -> Step:
    job = dataclasses.replace(job, stage=Stage.DONE, pending={})
    return job, (Finish(result),)
