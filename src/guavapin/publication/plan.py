"""Plans a publication: merges, checks and builds the values to write, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.kinds import count_objects
from guavapin.objects.model import ObjectSet
from guavapin.publication.audit import Authorship
from guavapin.publication.audit import build_audit
from guavapin.publication.audit import encode_audit
from guavapin.publication.head import Head
from guavapin.publication.head import audit_key
from guavapin.publication.head import chunk_key
from guavapin.publication.head import digests_at
from guavapin.publication.head import encode_head
from guavapin.publication.head import next_head
from guavapin.publication.merge import apply_changes
from guavapin.publication.merge import diff
from guavapin.publication.merge import validate_changes
from guavapin.publication.messages import Change
from guavapin.publication.messages import Conflict
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishRequest
from guavapin.publication.messages import PublishResult
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import Rejected
from guavapin.publication.messages import Rollback
from guavapin.publication.snapshot import digest_of
from guavapin.publication.snapshot import join
from guavapin.publication.snapshot import split

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from guavapin.objects.model import Fault

MAX_AUTHOR_LENGTH = 128
MAX_REASON_LENGTH = 1_000
# Leaves a margin below the store's value limit of 1 MB.
MAX_HEAD_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class Plan:
    """The values to write, in this order: chunks, audit value, head."""

    head: Head
    chunks: dict[str, bytes]
    audit_key: str
    audit_value: bytes
    head_value: bytes


@dataclass(frozen=True, slots=True)
class PublicationContext:
    """Id and wall time of a publication, and the check that its objects must pass."""

    publication_id: str
    wall_ms: int
    check: Callable[[ObjectSet], tuple[Fault, ...]]


def validate_request(request: PublishRequest) -> Refused | None:
    """Return the refusal of a request that is malformed for any head, or None."""
    if not 1 <= len(request.author) <= MAX_AUTHOR_LENGTH:
        detail = f"author: expected 1 to {MAX_AUTHOR_LENGTH} characters"
        return Refused(Reason.BAD_INPUT, detail)
    if len(request.reason) > MAX_REASON_LENGTH:
        detail = f"reason: expected at most {MAX_REASON_LENGTH} characters"
        return Refused(Reason.BAD_INPUT, detail)
    return validate_changes(request.changes) if isinstance(request, Publish) else None


def required_digests(request: PublishRequest, head: Head | None) -> set[str] | Refused:
    """Return the digests of the chunks that planning on top of `head` reads.

    Returns `Refused` if a generation is above the head or no longer kept.
    """
    current = 0 if head is None else head.generation
    generations = {current}
    if isinstance(request, PublishSet | Rollback):
        generations.add(request.base_generation)
    if isinstance(request, Rollback):
        generations.add(request.generation)
    if request.base_generation > current:
        detail = f"base generation {request.base_generation} is above {current}"
        return Refused(Reason.BAD_INPUT, detail)
    required: set[str] = set()
    for generation in generations - {0}:
        digests = None if head is None else digests_at(head, generation)
        if digests is None:
            detail = f"the content of generation {generation} is no longer kept"
            return Refused(Reason.MISSING, detail)
        required.update(digests)
    return required


def make_plan(
    request: PublishRequest,
    head: Head | None,
    chunks: Mapping[str, bytes],
    context: PublicationContext,
) -> Plan | PublishResult:
    """Return the plan on top of `head`, or the result if there is nothing to write.

    `chunks` holds at least the chunks of `required_digests`.
    """
    current = _objects_at(head, 0 if head is None else head.generation, chunks)
    changes = _requested_changes(request, head, chunks)
    if isinstance(current, Refused):
        return current
    if isinstance(changes, Refused):
        return changes
    merged = apply_changes(current, changes)
    if isinstance(merged, tuple):
        author = "" if head is None else head.author
        return Conflict(0 if head is None else head.generation, author, merged)
    effective = diff(current, merged)
    if not effective:
        return Published(0 if head is None else head.generation)
    if not count_objects(merged):
        # An empty set, from an empty file or a rollback to generation 0, would stop
        # all service.
        return Refused(Reason.BAD_INPUT, "no object would be left")
    faults = context.check(merged)
    return (
        Rejected(faults)
        if faults
        else _build_plan(request, head, merged, context, effective)
    )


def _build_plan(
    request: PublishRequest,
    head: Head | None,
    merged: ObjectSet,
    context: PublicationContext,
    changes: tuple[Change, ...],
) -> Plan | Refused:
    generation = 1 if head is None else head.generation + 1
    action = "rollback" if isinstance(request, Rollback) else "publish"
    authorship = Authorship(request.author, context.wall_ms, request.reason, action)
    audit = build_audit(
        generation,
        context.publication_id,
        request.base_generation,
        "" if head is None else head.audit_digest,
        changes,
        authorship,
    )
    audit_value = encode_audit(audit)
    audit_digest = digest_of(audit_value)
    chunks = split(merged)
    new_head = next_head(
        head,
        chunks,
        context.publication_id,
        audit_digest,
        request.author,
        context.wall_ms,
    )
    head_value = encode_head(new_head)
    if len(head_value) > MAX_HEAD_BYTES:
        return Refused(Reason.TOO_LARGE, f"head of {len(head_value)} bytes")
    stored_digests = set() if head is None else set(head.digests)
    return Plan(
        head=new_head,
        chunks={
            chunk_key(digest): data
            for digest, data in chunks.items()
            if digest not in stored_digests
        },
        audit_key=audit_key(generation, audit_digest),
        audit_value=audit_value,
        head_value=head_value,
    )


def _requested_changes(
    request: PublishRequest, head: Head | None, chunks: Mapping[str, bytes]
) -> tuple[Change, ...] | Refused:
    if isinstance(request, Publish):
        return request.changes
    base = _objects_at(head, request.base_generation, chunks)
    if isinstance(base, Refused):
        return base
    if isinstance(request, PublishSet):
        return diff(base, request.objects)
    target = _objects_at(head, request.generation, chunks)
    return target if isinstance(target, Refused) else diff(base, target)


def _objects_at(
    head: Head | None, generation: int, chunks: Mapping[str, bytes]
) -> ObjectSet | Refused:
    if generation == 0 or head is None:
        return ObjectSet()
    joined = join(chunks[digest] for digest in digests_at(head, generation) or ())
    return joined if isinstance(joined, Refused) else joined.value
