"""The `audit_archiver` service: outbox of the fleet record -> audit segments."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.audit.segments import PREFIX
from guavapin.audit.segments import decode_segment
from guavapin.audit.segments import encode_segment
from guavapin.audit.segments import expired_keys
from guavapin.audit.segments import merge
from guavapin.audit.segments import segment_key
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.fleet.actions import TrimOutbox
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.commands import KEPT_ENTRIES
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.messages import FLEET_WRITER
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import Executed
from guavapin.fleet.state import FLEET_KEY
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue import messages as platform

if TYPE_CHECKING:
    from guavapin.fleet.state import AuditEntry
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"
AUDIT_ARCHIVER = "audit_archiver"

# Limits the writes: one run of the archiver in this time, whatever the rate of changes.
ARCHIVE_INTERVAL_MS = 5_000

# The outbox is trimmed in batches, since each trim changes the fleet record itself.
TRIM_BATCH_ENTRIES = 64


class _PendingReply(Enum):
    """The reply of the platform that the archiver waits for."""

    IDLE = "idle"
    REVISION = "revision"
    RECORD = "record"
    SEGMENT = "segment"
    WRITE = "write"
    LIST = "list"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer message: archive the new entries."""


class AuditArchiverTask:
    """Copies audit entries to segments, then trims them from the record.

    Every step can be repeated: a segment is read, merged by sequence and written by
    compare-and-swap, and the outbox is trimmed only up to entries in a confirmed
    write. A lost reply or a takeover therefore neither loses nor duplicates an entry.
    """

    def __init__(self, actor: str, name: str = AUDIT_ARCHIVER) -> None:
        self.name = name
        self._actor = actor
        self._duty: DutyHeld | None = None
        self._pending_reply = _PendingReply.IDLE
        self._unarchived: tuple[AuditEntry, ...] = ()
        self._outbox_size = 0
        self._archived_sequence = 0
        self._read_revision = platform.NO_REVISION
        self._archived_revision = platform.NO_REVISION
        self._last_segment_key = ""
        self._request_id = 0
        self._batch: tuple[AuditEntry, ...] = ()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the timer; entries are archived only while the duty is held."""
        self._context = context
        context.set_timer(ARCHIVE_INTERVAL_MS, _Tick())
        return Ok(None)

    def stop(self) -> None:
        """Stop archiving; the next holder of the duty continues."""
        self._duty = None

    def handle(self, message: object) -> None:
        """Handle a timer, a reply or a change of the duty."""
        match message:
            case _Tick():
                self._context.set_timer(ARCHIVE_INTERVAL_MS, _Tick())
                self._request_revision()
            case platform.Reply(request_id, outcome):
                if request_id == self._request_id:
                    self._on_reply(outcome)
            case DutyHeld():
                if self._duty is None or self._duty.token != message.token:
                    self._archived_sequence, self._last_segment_key = 0, ""
                    self._archived_revision = platform.NO_REVISION
                self._duty = message
            case DutyLost():
                self._duty = None
            case Executed():
                return
            case _:
                raise InvariantError(f"{self.name}: unexpected message {message!r}")

    @property
    def is_active(self) -> bool:
        """Whether the duty is held under a valid lease now."""
        now_ms = self._context.clock.now_ms()
        return self._duty is not None and now_ms < self._duty.until_ms

    def _request_revision(self) -> None:
        """Request the record's revision; an earlier pending reply is ignored then."""
        if self.is_active:
            request = platform.ListPrefix(self.name, self._next_id(), FLEET_KEY)
            self._send(_PendingReply.REVISION, request)

    def _on_revision(self, listed: platform.Listed) -> None:
        """Read the record if it has changed since its last complete archiving."""
        known = {item.key: item.revision for item in listed.keys}
        if known.get(FLEET_KEY, self._archived_revision) != self._archived_revision:
            self._send(
                _PendingReply.RECORD,
                platform.Get(self.name, self._next_id(), FLEET_KEY),
            )

    def _next_id(self) -> int:
        self._request_id += 1
        return self._request_id

    def _send(self, pending: _PendingReply, request: platform.PlatformRequest) -> None:
        self._pending_reply = pending
        self._context.send(PLATFORM, request)

    def _on_reply(self, outcome: platform.PlatformOutcome) -> None:
        pending, self._pending_reply = self._pending_reply, _PendingReply.IDLE
        if not self.is_active:
            return
        if pending is _PendingReply.REVISION and isinstance(outcome, platform.Listed):
            self._on_revision(outcome)
        elif pending is _PendingReply.RECORD:
            self._on_record(outcome)
        elif pending is _PendingReply.SEGMENT:
            self._on_segment(outcome)
        elif pending is _PendingReply.WRITE and isinstance(outcome, platform.Written):
            self._on_batch_archived()
        elif pending is _PendingReply.LIST and isinstance(outcome, platform.Listed):
            self._delete_expired(outcome)

    def _on_record(self, outcome: platform.PlatformOutcome) -> None:
        if not isinstance(outcome, platform.Found):
            return
        decoded = decode_fleet(outcome.value)
        if isinstance(decoded, Refused):
            return
        outbox = decoded.value.outbox
        self._outbox_size = len(outbox)
        self._read_revision = outcome.revision
        self._unarchived = tuple(
            e for e in outbox if e.sequence > self._archived_sequence
        )
        self._request_segment()

    def _request_segment(self) -> None:
        if not self._unarchived:
            self._trim()
            return
        key = segment_key(self._unarchived[0].sequence)
        self._batch = tuple(
            entry for entry in self._unarchived if segment_key(entry.sequence) == key
        )
        self._send(_PendingReply.SEGMENT, platform.Get(self.name, self._next_id(), key))

    def _on_segment(self, outcome: platform.PlatformOutcome) -> None:
        key = segment_key(self._batch[0].sequence)
        archived: tuple[AuditEntry, ...] = ()
        revision = platform.NO_REVISION
        if isinstance(outcome, platform.Found):
            decoded = decode_segment(outcome.value)
            if isinstance(decoded, Refused):
                return
            archived, revision = decoded.value, outcome.revision
        elif not isinstance(outcome, platform.Missing):
            return
        merged = merge(archived, self._batch)
        if merged == archived:
            self._on_batch_archived()
            return
        value = encode_segment(merged)
        put = platform.Put(self.name, self._next_id(), key, value, revision)
        self._send(_PendingReply.WRITE, put)

    def _on_batch_archived(self) -> None:
        self._archived_sequence = self._batch[-1].sequence
        self._unarchived = self._unarchived[len(self._batch) :]
        self._request_segment()

    def _trim(self) -> None:
        """Trim a long outbox; a refused trim is retried at the next tick."""
        if (
            self._outbox_size >= KEPT_ENTRIES + TRIM_BATCH_ENTRIES
            and self._duty is not None
        ):
            token = self._duty.token
            command = FleetCommand(
                f"archive:{token}:{self._next_id()}",
                self._actor,
                TrimOutbox(self._archived_sequence),
                token,
                "archived",
            )
            execute = Execute(self.name, self._request_id, command)
            self._context.send(FLEET_WRITER, execute)
        else:
            self._archived_revision = self._read_revision
        key = segment_key(self._archived_sequence)
        if key != self._last_segment_key:
            self._last_segment_key = key
            self._send(
                _PendingReply.LIST,
                platform.ListPrefix(self.name, self._next_id(), PREFIX),
            )

    def _delete_expired(self, listed: platform.Listed) -> None:
        """Delete the oldest segments without waiting for the replies.

        The next listing shows a segment that was not deleted.
        """
        revisions = {item.key: item.revision for item in listed.keys}
        for key in expired_keys(revisions):
            delete = platform.Delete(self.name, self._next_id(), key, revisions[key])
            self._send(_PendingReply.DELETE, delete)
