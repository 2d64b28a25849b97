"""The audit value of a publication: each changed object with its old and new value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.fleet.state import AuditEntry
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.codec import object_table

if TYPE_CHECKING:
    from guavapin.objects.kinds import NamedObject
    from guavapin.publication.messages import Change

# Half of the store's limit on a value; enough for about 1,500 created hosts.
MAX_AUDIT_BYTES = 512 * 1024
MAX_VALUE_LENGTH = 2_000


@dataclass(frozen=True, slots=True)
class PublicationAudit:
    """Changes of one publication; written before the head that holds its digest.

    `previous` is the digest of the previous generation's audit value. The values of
    successful publications therefore form a chain, and the value of a failed one is
    not part of it. `omitted` counts the entries beyond the size limit.
    """

    generation: int
    publication_id: str
    base_generation: int
    previous: str
    entries: tuple[AuditEntry, ...]
    omitted: int = 0


@dataclass(frozen=True, slots=True)
class Authorship:
    """Author, wall time and reason of the changes; `action` is that of the entries."""

    author: str
    wall_ms: int
    reason: str
    action: str


def build_audit(
    generation: int,
    publication_id: str,
    base_generation: int,
    previous: str,
    changes: tuple[Change, ...],
    authorship: Authorship,
) -> PublicationAudit:
    """Return the audit value; the entries of a generation are numbered from 1.

    Entries beyond `MAX_AUDIT_BYTES` are only counted, in `omitted`.
    """
    entries: list[AuditEntry] = []
    size = 1_000
    for change in changes:
        entry = _build_entry(len(entries) + 1, generation, change, authorship)
        size += len(msgspec.json.encode(entry)) + 1
        if size > MAX_AUDIT_BYTES:
            break
        entries.append(entry)
    return PublicationAudit(
        generation=generation,
        publication_id=publication_id,
        base_generation=base_generation,
        previous=previous,
        entries=tuple(entries),
        omitted=len(changes) - len(entries),
    )


def encode_audit(audit: PublicationAudit) -> bytes:
    """Return the audit value as JSON."""
    return msgspec.json.encode(audit)


def decode_audit(data: bytes) -> Outcome[PublicationAudit]:
    """Return the audit value in `data`, or `Refused(BAD_INPUT)`."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"audit value is malformed: {exc}")


_DECODER = msgspec.json.Decoder(PublicationAudit)


def _build_entry(
    sequence: int, generation: int, change: Change, authorship: Authorship
) -> AuditEntry:
    return AuditEntry(
        sequence=sequence,
        wall_ms=authorship.wall_ms,
        actor=authorship.author,
        action=authorship.action,
        object=f"{change.kind}/{change.name}",
        generation=generation,
        old=_encode_object(change.old),
        new=_encode_object(change.new),
        reason=authorship.reason,
    )


def _encode_object(obj: NamedObject | None) -> str:
    """Return the fields as JSON, cut to `MAX_VALUE_LENGTH`; empty without an object."""
    if obj is None:
        return ""
    text = msgspec.json.encode(object_table(obj)).decode()
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[:MAX_VALUE_LENGTH] + f"... ({len(text)} characters)"
