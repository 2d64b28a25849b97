"""The service `tables`: distributes the newest table and proves how recent it is."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerReply
from guavapin.jobs.table_changes import ChangeHistory
from guavapin.jobs.table_changes import TableChanges
from guavapin.jobs.table_changes import apply_changes
from guavapin.jobs.table_changes import find_changes
from guavapin.jobs.table_faults import UnusableTable
from guavapin.jobs.table_messages import DescribeTable
from guavapin.jobs.table_messages import RefreshTable
from guavapin.jobs.table_messages import TableConfirmed
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_messages import ViewExpired
from guavapin.jobs.table_relay import changes_query
from guavapin.jobs.table_relay import decode_described
from guavapin.jobs.table_relay import table_query
from guavapin.jobs.table_view import TableView
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import ContinueFrom
from guavapin.keyvalue.follower import PrefixArriving
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixConfirmed
from guavapin.keyvalue.follower import PrefixListed
from guavapin.keyvalue.follower import PrefixLost
from guavapin.keyvalue.long_answers import Abandon
from guavapin.keyvalue.long_answers import LongAnswer
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import QueueTableChanged

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext

# Interval of the checks of the view's age, and of the queries of the scheduler while
# the view is old.
CHECK_INTERVAL_MS = 500

# Time without an answer after which a query is repeated. A view is proven again within
# 1.5 s after it has become old.
REPEAT_QUERY_MS = 1_000

# Delay after which a query for changes is repeated while a large table arrives: the
# scheduler may still receive it, too.
REPEAT_CHANGES_MS = 200

# Minimum interval between two reads because of unknown keys. Callers with made-up keys
# therefore cost the store at most two calls a second for each entry host.
REFRESH_INTERVAL_MS = 500

log = logging.getLogger("guavapin.tables")


class TableCodec(Protocol):
    """Decodes the table that the operator has stored; never raises."""

    @property
    def key(self) -> str:
        """Return the key of the newest table."""
        ...

    def decode(self, value: bytes) -> QueueTable | UnusableTable:
        """Return the table, or why the value does not come into force."""
        ...


@dataclass(frozen=True, slots=True)
class _Check:
    """Timer: check the age of the view."""


@dataclass(frozen=True, slots=True)
class _RefreshDue:
    """Timer: a refresh may be made again."""


@dataclass(frozen=True, slots=True)
class _ChangesDue:
    """Timer: what changed may be queried again."""


class TablesTask:
    """Service ``tables``; sends each newer table to `listeners` as `QueueTableChanged`.

    A version that is not above the one in force is ignored, so that a late answer of
    the store never reverts a process to an older table. With `revoke_ms` above 0 the
    view of the table expires: ``intake`` gets each new proof, another process that
    schedules is asked to prove an old view, and ``reach`` learns whether the view has
    expired. While `follower` receives a large table, no other copy is read; the process
    that schedules is asked for what changed, which takes less of a slow link.
    """

    name = "tables"

    def __init__(
        self,
        codec: TableCodec,
        listeners: tuple[str, ...],
        revoke_ms: int = 0,
        own_holder: str = "",
        follower: str = "follow_table",
    ) -> None:
        self._codec = codec
        self._follower = follower
        self._listeners = listeners
        self._own_holder = own_holder
        self._table: QueueTable | None = None
        self._view = TableView(revoke_ms)
        self._scheduler = KnownScheduler("", "", 0)
        self._is_expired = False
        self._request_id = 0
        # Revision of the store up to which the table is known, 0 without one.
        self._revision = 0
        # Time at which the query of a peer, or the read of the store, was sent.
        self._peer_sent_ms: dict[int, int] = {}
        self._refresh_sent_ms: dict[int, int] = {}
        self._next_refresh_ms = 0
        self._is_refresh_queued = False
        # Whether the follower receives a large answer, which holds the table.
        self._is_arriving = False
        self._is_query_queued = False
        # Whether the scheduler does not know how its table came from the one here.
        self._needs_whole = False
        self._history = ChangeHistory()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for the follower, and check the age of the view if it can expire."""
        self._context = context
        if self._view.revoke_ms:
            context.set_timer(CHECK_INTERVAL_MS, _Check())
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Adopt tables and proofs, and answer queries of other entry hosts."""
        match message:
            case PrefixListed() | PrefixChanged():
                self._is_arriving = False
                self._adopt_items(message.items)
            case PrefixArriving():
                self._handle_arriving()
            case PrefixLost():
                self._is_arriving = False
            case _ChangesDue():
                self._is_query_queued = False
                self._query_changes()
            case LongAnswer():
                if self._is_arriving:
                    self._abandon_refreshes()
            case PrefixConfirmed(as_of_ms=as_of_ms, revision=revision):
                self._revision = revision
                self._confirm(self._view.version, as_of_ms)
            case KnownScheduler():
                self._scheduler = message
                self._query_changes()
            case RefreshTable():
                self._refresh()
            case _RefreshDue():
                self._is_refresh_queued = False
                self._refresh()
            case kv.Reply(request_id=request_id, outcome=outcome):
                self._handle_refreshed(request_id, outcome)
            case PeerReply(request_id=request_id, outcome=outcome):
                self._handle_peer_reply(request_id, outcome)
            case DescribeTable():
                self._describe(message)
            case _Check():
                self._check()
            case _:
                raise InvariantError(f"tables: unexpected message {message!r}")

    def _adopt_items(self, items: tuple[kv.Item, ...]) -> None:
        for item in items:
            if item.key == self._codec.key and item.value is not None:
                self._adopt_value(item.value)

    def _adopt_value(self, value: bytes) -> None:
        table = self._codec.decode(value)
        if isinstance(table, UnusableTable):
            extra = {"bytes": len(value), "detail": table.detail}
            log.error("table cannot be used", extra=extra)
            return
        self._adopt(table)

    def _adopt(self, table: QueueTable, changes: tuple[TableChanges, ...] = ()) -> None:
        """Adopt a newer table; `changes` lead to it if they are known."""
        if table.version <= self._view.version:
            return
        extra = {
            "version": table.version,
            "replaced": self._view.version,
            "queues": len(table.queues),
            "organisations": len(table.organisations),
        }
        log.info("table in force", extra=extra)
        if self._table is not None:
            for row in changes or (find_changes(self._table, table),):
                self._history.add(row)
        self._table = table
        self._view = self._view.adopt(table.version)
        for listener in self._listeners:
            self._context.send(listener, QueueTableChanged(table))

    def _confirm(self, version: int, as_of_ms: int) -> None:
        if self._table is None:
            return
        view = self._view.confirm(version, as_of_ms)
        if view != self._view:
            self._view = view
            self._context.send("intake", TableConfirmed(view))
            self._report_expiry()

    def _check(self) -> None:
        self._context.set_timer(CHECK_INTERVAL_MS, _Check())
        self._report_expiry()
        now_ms = self._context.clock.now_ms()
        if self._view.needs_relay(now_ms) and self._may_query(now_ms):
            self._query_scheduler(now_ms)

    def _query_scheduler(self, now_ms: int) -> None:
        scheduler = self._scheduler
        if not scheduler.address or scheduler.holder == self._own_holder:
            return
        self._request_id += 1
        self._peer_sent_ms[self._request_id] = now_ms
        ids, version = (self.name, self._request_id), self._view.version
        if self._is_arriving or not (self._table is None or self._needs_whole):
            query = changes_query(*ids, scheduler.address, version, self._is_arriving)
        else:
            query = table_query(*ids, scheduler.address, version)
        self._context.send("http", query)

    def _may_query(self, now_ms: int) -> bool:
        """Return whether a query may be sent beside those in progress.

        Each answer to a host without a table holds the whole table, and so does that to
        a host with an older one. The answer to any other host is short. A table that
        arrives is not read twice.
        """
        if self._table is None:
            return not (self._peer_sent_ms or self._is_arriving)
        if self._is_arriving:
            return not self._peer_sent_ms
        sent_ms = self._peer_sent_ms.values()
        return all(now_ms - sent >= REPEAT_QUERY_MS for sent in sent_ms)

    def _report_expiry(self) -> None:
        now_ms = self._context.clock.now_ms()
        has_keys = self._table is not None and bool(self._table.organisations)
        is_expired = has_keys and self._view.is_expired(now_ms)
        if is_expired != self._is_expired:
            self._is_expired = is_expired
            extra = {
                "expired": is_expired,
                "age_ms": self._view.age_ms(now_ms),
                "version": self._view.version,
            }
            log.info("view of the table", extra=extra)
            self._context.send("reach", ViewExpired(is_expired))

    def _refresh(self) -> None:
        now_ms = self._context.clock.now_ms()
        if self._refresh_sent_ms or self._is_refresh_queued:
            return
        if self._is_arriving or not self._revision:
            # The follower is reading the table.
            return
        if now_ms < self._next_refresh_ms:
            self._is_refresh_queued = True
            self._context.set_timer(self._next_refresh_ms - now_ms, _RefreshDue())
            return
        self._next_refresh_ms = now_ms + REFRESH_INTERVAL_MS
        self._request_id += 1
        self._refresh_sent_ms[self._request_id] = now_ms
        # The answer to a watch holds the table only if it has changed. A large table
        # on a slow link takes longer than the calls that wait for it.
        watch = kv.WatchItems(
            self.name, self._request_id, self._codec.key, self._revision, 0
        )
        self._context.send("platform", watch)

    def _handle_arriving(self) -> None:
        """Leave the link to the follower and to what changed."""
        self._is_arriving = True
        self._abandon_refreshes()
        self._query_changes()

    def _query_changes(self) -> None:
        now_ms = self._context.clock.now_ms()
        if self._is_arriving and self._may_query(now_ms):
            self._query_scheduler(now_ms)

    def _abandon_refreshes(self) -> None:
        for request_id in self._refresh_sent_ms:
            self._context.send("platform", Abandon(self.name, request_id))

    def _handle_refreshed(self, request_id: int, outcome: object) -> None:
        sent_ms = self._refresh_sent_ms.pop(request_id, None)
        if sent_ms is None:
            return
        if isinstance(outcome, kv.ItemsChanged):
            self._adopt_items(outcome.items)
            self._confirm(self._view.version, sent_ms)
        elif isinstance(outcome, kv.Compacted | kv.ChangesTooLong):
            # The follower reads the table; a second copy would delay the first.
            self._revision = 0

    def _handle_peer_reply(self, request_id: int, outcome: object) -> None:
        sent_ms = self._peer_sent_ms.pop(request_id, None)
        if self._is_arriving and not self._is_query_queued:
            self._is_query_queued = True
            self._context.set_timer(REPEAT_CHANGES_MS, _ChangesDue())
        if sent_ms is None or not isinstance(outcome, Answered):
            return
        described = decode_described(outcome.body) if outcome.status == 200 else None
        # A process of an earlier release does not know changes.
        self._needs_whole = described is None
        if described is None or described.age_ms < 0:
            return
        if described.table is not None:
            self._adopt(described.table)
        elif described.changes:
            self._adopt_changes(described.changes, described.revision)
        self._needs_whole = described.version > self._view.version
        if described.version == self._view.version:
            # The peer computed the age after this call was sent.
            self._confirm(described.version, sent_ms - described.age_ms)

    def _adopt_changes(self, changes: tuple[TableChanges, ...], revision: int) -> None:
        """Adopt the table of a peer that knows all changes up to `revision`."""
        table, version = self._table, self._view.version
        changes = tuple(row for row in changes if row.version > version)
        for row in changes:
            table = apply_changes(table, row) if table is not None else None
        if table is None or table.version == version:
            return
        self._adopt(table, changes)
        if revision > self._revision:
            self._revision = revision
            self._is_arriving = False
            self._context.send(self._follower, ContinueFrom(revision))

    def _describe(self, query: DescribeTable) -> None:
        version, table = self._view.version, self._table
        age_ms = -1
        if self._view.as_of_ms >= 0:
            age_ms = self._view.age_ms(self._context.clock.now_ms())
        is_newer = version > query.version
        if query.wants_changes:
            changes = self._history.since(query.version) if is_newer else ()
            described = TableDescribed(
                query.request_id, version, age_ms, None, changes, self._revision
            )
        else:
            described = TableDescribed(
                query.request_id, version, age_ms, table if is_newer else None
            )
        self._context.send(query.reply_to, described)
