"""The service `ledger`: batches the writer's entries and sends them to the store."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.ledger.ledger import Batch
from guavapin.ledger.ledger import Ledger
from guavapin.ledger.messages import CloseLedger
from guavapin.ledger.messages import EntriesDurable
from guavapin.ledger.messages import EntriesExisted
from guavapin.ledger.messages import EntriesRefused
from guavapin.ledger.messages import LedgerFenced
from guavapin.ledger.messages import OpenLedger
from guavapin.ledger.messages import RecordEntry

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.ledger.ledger import LedgerUpdate

PLATFORM = "platform"

# Delay of an urgent entry, within which other entries join its transaction. It adds to
# the latency of accepting a job.
URGENT_DELAY_MS = 10

# Delay of other entries, the ends of subtasks, of which dozens come in a second. The
# executors report an end again until it is stored.
DEFERRED_DELAY_MS = 300

log = logging.getLogger("guavapin.ledger")


@dataclass(frozen=True, slots=True)
class _Flush:
    """Timer: send the pending entries."""

    term: int


@dataclass(frozen=True, slots=True)
class _Resend:
    """Timer: send a transaction again."""

    term: int
    number: int


class LedgerTask:
    """Service ``ledger``; reports to `writer` the entries that have become durable."""

    name = "ledger"

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._ledger: Ledger | None = None
        self._term = 0
        self._request_id = 0
        # Number of the transaction by request to the store. Answers to requests of an
        # earlier term are dropped.
        self._batch_by_request: dict[int, int] = {}
        self._flush_at_ms: int | None = None
        self._is_store_lost = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for a term."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop the pending entries."""
        self._ledger = None

    def handle(self, message: object) -> None:
        """Handle a change of term, an entry, a timer or a reply of the store."""
        match message:
            case OpenLedger(fence=fence, revisions=revisions):
                self._term += 1
                self._batch_by_request.clear()
                self._flush_at_ms = None
                self._ledger = Ledger(fence, revisions)
            case CloseLedger():
                self._term += 1
                self._batch_by_request.clear()
                self._ledger = None
            case RecordEntry(entry=entry, is_urgent=is_urgent):
                if self._ledger is not None:
                    self._ledger.record(entry)
                    self._schedule(URGENT_DELAY_MS if is_urgent else DEFERRED_DELAY_MS)
            case _Flush(term=term):
                if term == self._term:
                    self._flush()
            case _Resend(term=term, number=number):
                if term == self._term and self._ledger is not None:
                    self._send(self._ledger.resend(number))
            case kv.Reply(request_id=request_id, outcome=outcome):
                number = self._batch_by_request.pop(request_id, 0)
                if number:
                    self._handle_outcome(number, outcome)
            case _:
                raise InvariantError(f"ledger: unexpected message {message!r}")

    def _schedule(self, delay_ms: int) -> None:
        due_ms = self._context.now_ms() + delay_ms
        if self._flush_at_ms is None or due_ms < self._flush_at_ms:
            self._flush_at_ms = due_ms
            self._context.set_timer(delay_ms, _Flush(self._term))

    def _flush(self) -> None:
        due_ms = self._flush_at_ms
        if due_ms is not None and self._context.now_ms() >= due_ms:
            self._flush_at_ms = None
            while self._ledger is not None and (batch := self._ledger.next_batch()):
                self._send(batch)

    def _send(self, batch: Batch | None) -> None:
        if batch is None:
            return
        self._request_id += 1
        self._batch_by_request[self._request_id] = batch.number
        request = kv.Transact(
            self.name, self._request_id, batch.expected, batch.puts, batch.removes
        )
        self._context.send(PLATFORM, request)

    def _handle_outcome(self, number: int, outcome: kv.PlatformOutcome) -> None:
        if self._ledger is None:
            return
        update = self._ledger.apply_outcome(number, outcome)
        if update.is_fenced:
            log.warning("writer is fenced", extra={"outcome": type(outcome).__name__})
            self._ledger = None
            self._context.send(self._writer, LedgerFenced())
            return
        self._update_store_state(outcome, is_lost=update.resend_ms > 0)
        if update.durable:
            self._context.send(self._writer, EntriesDurable(update.durable))
        if update.conflicts:
            self._context.send(self._writer, EntriesExisted(update.conflicts))
        if update.refused:
            self._report_refused(update, outcome)
        if update.resend_ms:
            self._context.set_timer(update.resend_ms, _Resend(self._term, number))
        elif self._ledger.has_pending and self._flush_at_ms is None:
            self._schedule(0)

    def _report_refused(
        self, update: LedgerUpdate, outcome: kv.PlatformOutcome
    ) -> None:
        for entry in update.refused:
            extra = {
                "key": entry.key,
                "length": len(entry.value or b""),
                "may_be_stored": update.may_be_stored,
                "outcome": repr(outcome),
            }
            log.error("the store refuses an entry, giving it up", extra=extra)
        message = EntriesRefused(update.refused, update.may_be_stored)
        self._context.send(self._writer, message)

    def _update_store_state(self, outcome: kv.PlatformOutcome, is_lost: bool) -> None:
        if is_lost and not self._is_store_lost:
            log.warning("store lost", extra={"outcome": repr(outcome)})
        elif self._is_store_lost and not is_lost:
            log.info("store regained")
        self._is_store_lost = is_lost
