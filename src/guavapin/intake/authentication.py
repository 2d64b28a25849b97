"""Decides whether a call may be handled, by its key and the table in force.

Answers the load pattern of organisations that share an entry host: a call is attributed
to one of them before anything else is done with it. Also answers the failure of a host
whose view of the table is out of date, and callers with made-up keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import Unauthorized
from guavapin.jobs.organisations import key_digest

if TYPE_CHECKING:
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.jobs.table_view import TableView

# A key is unknown for certain if the view was proven at most this long before the call
# arrived. Added keys must work within seconds, so that half a second is early enough.
MAX_PROOF_AGE_MS = 500


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The call may be handled; `organisation` is "" for a call without a key."""

    organisation: str


@dataclass(frozen=True, slots=True)
class LookUpKey:
    """The key is unknown, and may have been added since the view was proven."""


Authentication: TypeAlias = Authenticated | Unauthorized | Rejected | LookUpKey

KEY_MISSING = Unauthorized("a key is needed: Authorization: Token KEY")
KEY_UNKNOWN = Unauthorized("the key is unknown")
VIEW_EXPIRED = Rejected("this host's view of the keys is too old")
LOOKUP_FAILED = Rejected("the key could not be looked up in time")


@dataclass(frozen=True, slots=True)
class Credentials:
    """Key of a call that arrived at `arrived_ms`; `key` is "" without one."""

    arrived_ms: int
    key: str


def authenticate(
    table: QueueTable,
    queue: Queue,
    credentials: Credentials,
    requires_keys: bool,
    view: TableView,
    now_ms: int,
) -> Authentication:
    """Return who sent a call to `queue`, or why it is not handled.

    A table without organisations needs no keys unless `requires_keys` is set. `now_ms`
    must have been read after the call was received: a view that expired while the
    process was suspended must not be used.
    """
    if queue.is_public or not (requires_keys or table.organisations):
        return Authenticated("")
    if not credentials.key:
        return KEY_MISSING
    if view.is_expired(now_ms):
        return VIEW_EXPIRED
    organisation = table.owner_of(key_digest(credentials.key))
    if organisation:
        return Authenticated(organisation)
    if view.as_of_ms >= credentials.arrived_ms - MAX_PROOF_AGE_MS >= 0:
        return KEY_UNKNOWN
    return LookUpKey()
