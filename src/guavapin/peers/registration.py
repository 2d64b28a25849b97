"""The `registration` task: writes this process's record and reads those of others.

Records are stored at ``entry/NAME``. They let a process find its peers when all of
its seeds have been replaced. Heartbeats, not records, decide which peers are alive.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.task import Call
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import LeaseRenew
from guavapin.keyvalue.messages import LeaseRevoke
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Written
from guavapin.metrics.messages import QueryCounters
from guavapin.peers.messages import AddPeers
from guavapin.peers.messages import PeerAddress

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest

ENTRY_PREFIX = "entry/"
LEASE_TTL_MS = 10_000
RENEWAL_INTERVAL_MS = 3_000
LIST_INTERVAL_MS = 30_000
MIN_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 2_000
# Limits the calls after a list with many new records.
MAX_READS_PER_LIST = 32


@dataclass(frozen=True, slots=True)
class _Renew:
    """Timer: renew the lease, or request one."""


@dataclass(frozen=True, slots=True)
class _List:
    """Timer: list the records."""


class RegistrationTask:
    """Registers this process under a lease, and sends other addresses to `peers`."""

    name = "registration"

    def __init__(self, own: PeerAddress, seed: int = 0) -> None:
        self._own = own
        # For jitter only.
        self._random = random.Random(f"{own.name}/{seed}")
        self._key = ENTRY_PREFIX + own.name
        self._value = msgspec.json.encode(own)
        self._lease_id = ""
        self._read_revisions: dict[str, int] = {}
        self._requests: dict[int, PlatformRequest] = {}
        self._next_request_id = 1
        self.counters: Counter[str] = Counter()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Request a lease and list the records."""
        self._context = context
        self._renew()
        self._list()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a platform reply, a timer or a query of the counters."""
        match message:
            case Reply(request_id, outcome):
                request = self._requests.pop(request_id, None)
                if request is not None:
                    self._on_reply(request, outcome)
            case _Renew():
                self._renew()
            case _List():
                self._list()
            case Call(QueryCounters(), fut):
                fut.set_result(dict(self.counters))
            case _:
                self.counters["unexpected_messages"] += 1

    def stop(self) -> None:
        """Revoke the lease, which removes the record."""
        if self._lease_id:
            self._call(LeaseRevoke(self.name, self._next_request_id, self._lease_id))

    def _renew(self) -> None:
        request_id = self._next_request_id
        if self._lease_id:
            self._call(LeaseRenew(self.name, request_id, self._lease_id))
        else:
            self._call(LeaseGrant(self.name, request_id, LEASE_TTL_MS))

    def _list(self) -> None:
        self._call(ListPrefix(self.name, self._next_request_id, ENTRY_PREFIX))
        delay_ms = self._random.randint(
            LIST_INTERVAL_MS * 2 // 3, LIST_INTERVAL_MS * 4 // 3
        )
        self._context.set_timer(delay_ms, _List())

    def _on_reply(self, request: PlatformRequest, outcome: PlatformOutcome) -> None:
        match request:
            case LeaseGrant() | LeaseRenew():
                self._on_lease(outcome)
            case Put():
                self._on_written(outcome)
            case ListPrefix():
                self._on_listed(outcome)
            case Get(_, _, key):
                self._on_record(key, outcome)

    def _on_lease(self, outcome: PlatformOutcome) -> None:
        match outcome:
            case Leased(lease_id):
                is_new = lease_id != self._lease_id
                self._lease_id = lease_id
                if is_new:
                    self._write(0)
                else:
                    self._context.set_timer(RENEWAL_INTERVAL_MS, _Renew())
            case Missing():
                self.counters["leases_lost"] += 1
                self._lease_id = ""
                self._renew_later()
            case _:
                self._renew_later()

    def _write(self, expected: int) -> None:
        request_id = self._next_request_id
        lease_id = self._lease_id
        self._call(
            Put(self.name, request_id, self._key, self._value, expected, lease_id)
        )

    def _on_written(self, outcome: PlatformOutcome) -> None:
        match outcome:
            case Written():
                self._context.set_timer(RENEWAL_INTERVAL_MS, _Renew())
            case Conflict(revision):
                # A predecessor with this name, or this write itself, wrote the record.
                self._write(revision)
            case _:
                self._lease_id = ""
                self._renew_later()

    def _renew_later(self) -> None:
        self.counters["failures"] += 1
        delay_ms = self._random.randint(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
        self._context.set_timer(delay_ms, _Renew())

    def _on_listed(self, outcome: PlatformOutcome) -> None:
        if not isinstance(outcome, Listed):
            return
        present = {item.key for item in outcome.keys}
        if self._lease_id and self._key not in present:
            # The record was removed with the lease of another process of this name. The
            # next renewal requests a new lease and writes the record again.
            self._lease_id = ""
        self._read_revisions = {
            key: revision
            for key, revision in self._read_revisions.items()
            if key in present
        }
        unread = [item for item in outcome.keys if self._is_unread(item)]
        for item in unread[:MAX_READS_PER_LIST]:
            self._read_revisions[item.key] = item.revision
            self._call(Get(self.name, self._next_request_id, item.key))

    def _is_unread(self, item: KeyRevision) -> bool:
        return (
            item.key != self._key
            and self._read_revisions.get(item.key) != item.revision
        )

    def _on_record(self, key: str, outcome: PlatformOutcome) -> None:
        if not isinstance(outcome, Found):
            self._read_revisions.pop(key, None)
            return
        try:
            peer = msgspec.json.decode(outcome.value, type=PeerAddress)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            self.counters["malformed_records"] += 1
            return
        if ENTRY_PREFIX + peer.name == key:
            self._context.send("peers", AddPeers((peer,)))

    def _call(self, request: PlatformRequest) -> None:
        self._requests[request.request_id] = request
        self._next_request_id += 1
        self._context.send("platform", request)
