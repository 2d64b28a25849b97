"""Reads the audit values of publications, from the newest generation back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.audit.query import matches
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Missing
from guavapin.operators.api import await_reply
from guavapin.publication.audit import decode_audit
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import audit_key
from guavapin.publication.head import decode_head

if TYPE_CHECKING:
    from guavapin.audit.query import AuditQuery
    from guavapin.fleet.state import AuditEntry
    from guavapin.kernel.outcome import Outcome
    from guavapin.operators.api import ServiceClient

# Limits the calls to the platform for one query.
MAX_GENERATIONS = 64


class PublicationTrail:
    """Follows the audit values: each names its predecessor, so all were in force."""

    def __init__(self, services: ServiceClient) -> None:
        self._services = services

    def read(self, query: AuditQuery) -> Outcome[tuple[AuditEntry, ...]]:
        """Return matching entries of at most `MAX_GENERATIONS` generations."""
        value = self._get(HEAD_KEY)
        if isinstance(value, Refused):
            return value
        if value.value is None:
            return Ok(())
        head = decode_head(value.value)
        if isinstance(head, Refused):
            return head
        found: list[AuditEntry] = []
        generation, digest = head.value.generation, head.value.audit_digest
        for _ in range(MAX_GENERATIONS):
            if not digest or len(found) >= query.bounded_limit:
                break
            result = self._read_generation(generation, digest)
            if result is None:
                break
            entries, digest = result
            found.extend(entry for entry in entries if matches(query, entry))
            generation -= 1
        return Ok(tuple(found))

    def _read_generation(
        self, generation: int, digest: str
    ) -> tuple[tuple[AuditEntry, ...], str] | None:
        value = self._get(audit_key(generation, digest))
        if isinstance(value, Refused) or value.value is None:
            return None
        audit = decode_audit(value.value)
        if isinstance(audit, Refused):
            return None
        return audit.value.entries, audit.value.previous

    def _get(self, key: str) -> Outcome[bytes | None]:
        match await_reply(self._services.ask("platform", Get("", 0, key))):
            case Found(value):
                return Ok(value)
            case Missing():
                return Ok(None)
            case outcome:
                return Refused(Reason.UNREACHABLE, f"platform: {outcome}")
