"""The `audit_reader` service: answers queries from the outbox and the segments."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from guavapin.audit.query import AuditQuery
from guavapin.audit.query import matches
from guavapin.audit.segments import PREFIX
from guavapin.audit.segments import decode_segment
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.state import FLEET_KEY
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.keyvalue import messages as platform

if TYPE_CHECKING:
    from concurrent.futures import Future
    from typing import Any

    from guavapin.fleet.state import AuditEntry
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"
AUDIT_READER = "audit_reader"
MAX_QUEUED_QUERIES = 16


class _Search:
    """A query in progress; `keys` are the unread segments, newest last."""

    def __init__(
        self,
        query: AuditQuery,
        fut: Future[Any],
        found: dict[int, AuditEntry],
        keys: list[str] | None = None,
    ) -> None:
        self.query = query
        self.fut = fut
        self.found = found
        self.keys = keys

    def add(self, entries: tuple[AuditEntry, ...]) -> None:
        """Add the entries that match the query."""
        for entry in entries:
            if matches(self.query, entry):
                self.found[entry.sequence] = entry

    def result(self) -> tuple[AuditEntry, ...]:
        """Return the newest entries found, newest first."""
        newest = sorted(self.found, reverse=True)[: self.query.bounded_limit]
        return tuple(self.found[sequence] for sequence in newest)


class AuditReaderTask:
    """Answers a `Call` with an `AuditQuery` by `Outcome[tuple[AuditEntry, ...]]`.

    The task handles one query at a time. It reads the fleet record first and then the
    segments, newest first, until the limit is reached. An entry that is archived
    meanwhile is found in both places and returned once.
    """

    def __init__(self, name: str = AUDIT_READER) -> None:
        self.name = name
        self._queued: deque[_Search] = deque()
        self._search: _Search | None = None
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Keep the context; no socket or timer is opened."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Refuse the running query and all queued ones."""
        searches = [*([self._search] if self._search else []), *self._queued]
        self._queued.clear()
        self._search = None
        for search in searches:
            search.fut.set_result(Refused(Reason.STOPPING))

    def handle(self, message: object) -> None:
        """Handle a query or a reply of the platform."""
        if isinstance(message, Call) and isinstance(message.body, AuditQuery):
            if message.fut.set_running_or_notify_cancel():
                self._enqueue(_Search(message.body, message.fut, {}))
        elif isinstance(message, platform.Reply):
            if self._search is not None and message.request_id == self._request_id:
                self._on_reply(self._search, message.outcome)
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _enqueue(self, search: _Search) -> None:
        if len(self._queued) >= MAX_QUEUED_QUERIES:
            search.fut.set_result(Refused(Reason.OVERLOADED, "too many audit queries"))
            return
        self._queued.append(search)
        if self._search is None:
            self._start_next_search()

    def _start_next_search(self) -> None:
        self._search = self._queued.popleft() if self._queued else None
        if self._search is not None:
            self._get(FLEET_KEY)

    def _get(self, key: str) -> None:
        self._request_id += 1
        self._context.send(PLATFORM, platform.Get(self.name, self._request_id, key))

    def _on_reply(self, search: _Search, outcome: platform.PlatformOutcome) -> None:
        if isinstance(outcome, platform.Listed):
            search.keys = sorted(item.key for item in outcome.keys if not item.deleted)
        elif isinstance(outcome, platform.Found):
            entries = self._decode(search, outcome.value)
            if isinstance(entries, Refused):
                self._finish(search, entries)
                return
            search.add(entries.value)
        elif not isinstance(outcome, platform.Missing):
            detail = f"platform: {getattr(outcome, 'detail', 'rate limited')}"
            self._finish(search, Refused(Reason.UNREACHABLE, detail))
            return
        self._continue(search)

    def _decode(self, search: _Search, value: bytes) -> Outcome[tuple[AuditEntry, ...]]:
        if search.keys is not None:
            return decode_segment(value)
        decoded = decode_fleet(value)
        return Ok(decoded.value.outbox) if isinstance(decoded, Ok) else decoded

    def _continue(self, search: _Search) -> None:
        if len(search.found) >= search.query.bounded_limit or search.keys == []:
            self._finish(search, Ok(search.result()))
        elif search.keys is None:
            self._request_id += 1
            request = platform.ListPrefix(self.name, self._request_id, PREFIX)
            self._context.send(PLATFORM, request)
        else:
            self._get(search.keys.pop())

    def _finish(
        self, search: _Search, outcome: Outcome[tuple[AuditEntry, ...]]
    ) -> None:
        search.fut.set_result(outcome)
        self._start_next_search()
