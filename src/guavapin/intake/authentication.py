"""Decides whether a call may be handled, by its key and the table in force.

Answers the load pattern of organisations that share an entry host: a call is attributed
to one of them before anything else is done with it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.jobs.calls import Unauthorized
from guavapin.jobs.organisations import key_digest

if TYPE_CHECKING:
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The call may be handled; `organisation` is "" for a call without a key."""

    organisation: str


Authentication: TypeAlias = Authenticated | Unauthorized

KEY_MISSING = Unauthorized("a key is needed: Authorization: Token KEY")
KEY_UNKNOWN = Unauthorized("the key is unknown")


def authenticate(
    table: QueueTable, queue: Queue, key: str, requires_keys: bool
) -> Authentication:
    """Return who sent a call to `queue` with `key`, "" for none.

    A table without organisations needs no keys unless `requires_keys` is set.
    """
    if queue.is_public or not (requires_keys or table.organisations):
        return Authenticated("")
    if not key:
        return KEY_MISSING
    organisation = table.owner_of(key_digest(key))
    return Authenticated(organisation) if organisation else KEY_UNKNOWN
