"""The task `registration`: this process's record at the platform, and those of others.

The record ``entry/NAME`` is tied to a lease, so it goes when the process goes. Peers
that are read there are dialled besides those of the settings.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from guavapin.kernel import Ok
from guavapin.peers.messages import AddPeers
from guavapin.peers.messages import PeerAddress
from guavapin.platform.messages import NO_REVISION
from guavapin.platform.messages import Conflict
from guavapin.platform.messages import Found
from guavapin.platform.messages import Get
from guavapin.platform.messages import Leased
from guavapin.platform.messages import LeaseGrant
from guavapin.platform.messages import LeaseRenew
from guavapin.platform.messages import LeaseRevoke
from guavapin.platform.messages import Listed
from guavapin.platform.messages import ListPrefix
from guavapin.platform.messages import Missing
from guavapin.platform.messages import Put
from guavapin.platform.messages import Reply

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.platform.messages import PlatformOutcome

ENTRY_PREFIX = "entry/"
LEASE_MS = 10_000
RENEW_MS = 3_000
LIST_MS = 30_000
PLATFORM = "platform"


class _Purpose(Enum):
    GRANT = "grant"
    RENEW = "renew"
    WRITE = "write"
    LIST = "list"
    READ = "read"


@dataclass(frozen=True, slots=True)
class _RenewDue:
    """Timer: renew the lease, or get a new one."""


@dataclass(frozen=True, slots=True)
class _ListDue:
    """Timer: read the records of others."""


class RegistrationTask:
    """Service `registration`; `own` is what others dial."""

    name = "registration"

    def __init__(self, own: PeerAddress, seed: int = 0) -> None:
        self._own = own
        self._random = random.Random(f"{own.name}/{seed}")
        self._lease_id = ""
        self._known: set[str] = {ENTRY_PREFIX + own.name}
        self._pending: dict[int, _Purpose] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Ask for a lease and for the records of others."""
        self._context = context
        self._renew()
        self._list()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle an answer of the platform or a timer."""
        match message:
            case Reply(request_id, outcome):
                purpose = self._pending.pop(request_id, None)
                if purpose is not None:
                    self._on_reply(purpose, outcome)
            case _RenewDue():
                self._renew()
            case _ListDue():
                self._list()

    def stop(self) -> None:
        """Give the lease back, so that the record goes at once."""
        if self._lease_id:
            number = self._next_number()
            revoke = LeaseRevoke(self.name, number, self._lease_id)
            self._context.send(PLATFORM, revoke)

    def _renew(self) -> None:
        number = self._next_number()
        if self._lease_id:
            self._pending[number] = _Purpose.RENEW
            renew = LeaseRenew(self.name, number, self._lease_id)
            self._context.send(PLATFORM, renew)
        else:
            self._pending[number] = _Purpose.GRANT
            self._context.send(PLATFORM, LeaseGrant(self.name, number, LEASE_MS))
        self._context.set_timer(self._jitter(RENEW_MS), _RenewDue())

    def _list(self) -> None:
        number = self._next_number()
        self._pending[number] = _Purpose.LIST
        self._context.send(PLATFORM, ListPrefix(self.name, number, ENTRY_PREFIX))
        self._context.set_timer(self._jitter(LIST_MS), _ListDue())

    def _write(self, expected: int) -> None:
        number = self._next_number()
        self._pending[number] = _Purpose.WRITE
        key = ENTRY_PREFIX + self._own.name
        value = msgspec.json.encode(self._own)
        self._context.send(
            PLATFORM, Put(self.name, number, key, value, expected, self._lease_id)
        )

    def _read(self, key: str) -> None:
        number = self._next_number()
        self._pending[number] = _Purpose.READ
        self._context.send(PLATFORM, Get(self.name, number, key))

    def _on_reply(self, purpose: _Purpose, outcome: PlatformOutcome) -> None:
        match purpose, outcome:
            case _Purpose.GRANT, Leased(lease_id):
                self._lease_id = lease_id
                self._write(NO_REVISION)
            case _Purpose.RENEW, Missing():
                self._lease_id = ""
                self._renew()
            case _Purpose.WRITE, Conflict(revision):
                # A record of a former process of this name stands until its lease
                # lapses; the newer process replaces it.
                self._write(revision)
            case _Purpose.LIST, Listed(keys):
                for item in keys:
                    if item.key not in self._known:
                        self._read(item.key)
            case _Purpose.READ, Found(value):
                self._on_record(value)

    def _on_record(self, value: bytes) -> None:
        try:
            peer = msgspec.json.decode(value, type=PeerAddress)
        except msgspec.DecodeError:
            return
        self._known.add(ENTRY_PREFIX + peer.name)
        self._context.send("peers", AddPeers((peer,)))

    def _next_number(self) -> int:
        self._request_id += 1
        return self._request_id

    def _jitter(self, delay_ms: int) -> int:
        return int(delay_ms * self._random.uniform(0.8, 1.2))
