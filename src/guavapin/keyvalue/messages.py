"""Messages to and from the `platform` task.

A sender sets `reply_to` to its service name and `request_id` to a number that it
chooses; the answer is a `Reply` with the same number. Any other client of a key-value
service with compare-and-swap, leases and watches can handle these messages.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

NO_REVISION = 0


@dataclass(frozen=True, slots=True)
class Get:
    """Read one key. Answer: `Found`, `Missing` or a failure.

    With `may_be_stale` the value may be seconds old, and the call costs the store less.
    """

    reply_to: str
    request_id: int
    key: str
    may_be_stale: bool = False


@dataclass(frozen=True, slots=True)
class Put:
    """Write `value` if the key is at revision `expected`; 0 means it must not exist.

    A key with a `lease_id` is removed when that lease ends. Answer: `Written`,
    `Conflict`, `Missing` when the lease has lapsed, or a failure.
    """

    reply_to: str
    request_id: int
    key: str
    value: bytes
    expected: int
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key if it is at revision `expected`. Answer as for `Put`."""

    reply_to: str
    request_id: int
    key: str
    expected: int


@dataclass(frozen=True, slots=True)
class ListPrefix:
    """List keys that begin with `prefix`. Answer: `Listed` or a failure."""

    reply_to: str
    request_id: int
    prefix: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait at most `wait_ms` for changes of keys under `prefix` after a revision.

    One watch is one call to the platform. Answer: `Changed`, which is empty when no
    change came in time, or a failure.
    """

    reply_to: str
    request_id: int
    prefix: str
    after_revision: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key to write; with a `lease_id`, it is removed when that lease ends."""

    key: str
    value: bytes
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class Transact:
    """Write and remove keys atomically if each expected revision matches.

    `expected` lists keys with their revisions, 0 for a key that must not exist.
    Answer: `Written`, `Mismatch` or a failure.
    """

    reply_to: str
    request_id: int
    expected: tuple[KeyRevision, ...]
    puts: tuple[KeyValue, ...] = ()
    removes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadItems:
    """Read a page of the items under `prefix` whose keys come after `after_key`.

    Answer: `Items` or a failure. Several pages are not a consistent snapshot.
    """

    reply_to: str
    request_id: int
    prefix: str
    after_key: str = ""


@dataclass(frozen=True, slots=True)
class WatchItems:
    """Wait for changed items as `Watch` does for keys.

    Answer: `ItemsChanged`, `Compacted` when the history is gone, `ChangesTooLong`, or a
    failure.
    """

    reply_to: str
    request_id: int
    prefix: str
    after_revision: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Request a lease of `ttl_ms`. Answer: `Leased` or a failure."""

    reply_to: str
    request_id: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class LeaseRenew:
    """Renew a lease. Answer: `Leased`, `Missing` when it has lapsed, or a failure."""

    reply_to: str
    request_id: int
    lease_id: str


@dataclass(frozen=True, slots=True)
class LeaseRevoke:
    """End a lease and remove its keys. Answer: `Written` or a failure."""

    reply_to: str
    request_id: int
    lease_id: str


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Read the lagging list of live and leaving hosts. Answer: `Hosts` or a failure."""

    reply_to: str
    request_id: int


@dataclass(frozen=True, slots=True)
class OrderHostStep:
    """Run a step on a host: drain, checkpoint, reboot, check_health or join.

    A step is run once: repeating the order with the same `step_id` returns its state.
    Answer: `HostStepState` or a failure.
    """

    reply_to: str
    request_id: int
    host: str
    step: str
    step_id: str


PlatformRequest: TypeAlias = (
    Get
    | Put
    | Delete
    | ListPrefix
    | Watch
    | Transact
    | ReadItems
    | WatchItems
    | LeaseGrant
    | LeaseRenew
    | LeaseRevoke
    | ListHosts
    | OrderHostStep
)


@dataclass(frozen=True, slots=True)
class Found:
    """Value and revision of the key."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Missing:
    """The key or the lease does not exist."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect; the key is at `revision`, 0 if it is absent."""

    revision: int


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """A key with its newest revision; `deleted` is set if it was removed."""

    key: str
    revision: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listed:
    """Keys under a prefix, and the revision of the store when they were read."""

    keys: tuple[KeyRevision, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changed:
    """Changed keys under a prefix, and the revision for the next watch."""

    keys: tuple[KeyRevision, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value as of `revision`; `value` is None if it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Items:
    """A page of items, and the revision of the store when it was read."""

    items: tuple[Item, ...]
    has_more: bool
    revision: int


@dataclass(frozen=True, slots=True)
class ItemsChanged:
    """Changed items in order, and the revision for the next watch."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """The store no longer has the history after the watched revision; list again."""


@dataclass(frozen=True, slots=True)
class ChangesTooLong:
    """The answer to a watch exceeds the client's limit of length or time; list again.

    The same watch would have the same answer until the history is gone.
    """


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The transaction did not take effect; `items` is the state of the expected keys.

    A key that does not exist has revision 0 and no value.
    """

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Leased:
    """The lease is held for `ttl_ms`, counted from the sending of the request."""

    lease_id: str
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class HostState:
    """A host in the platform's list; `state` is ``live`` or ``leaving``."""

    host: str
    state: str


@dataclass(frozen=True, slots=True)
class Hosts:
    """The platform's list of hosts, which lags behind their actual state."""

    hosts: tuple[HostState, ...]


@dataclass(frozen=True, slots=True)
class HostStepState:
    """State of an ordered step; `status` is ``running``, ``done`` or ``failed``."""

    status: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """There was no valid answer: the call may or may not have taken effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The call did not reach the platform and has had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The platform refused the call because of its rate limit; it had no effect."""


@dataclass(frozen=True, slots=True)
class PermanentlyRefused:
    """The platform refused the call: it had no effect, and no repeat of it will."""

    detail: str


PlatformOutcome: TypeAlias = (
    Found
    | Missing
    | Written
    | Conflict
    | Listed
    | Changed
    | Items
    | ItemsChanged
    | Compacted
    | ChangesTooLong
    | Mismatch
    | Leased
    | Hosts
    | HostStepState
    | Unknown
    | NotSent
    | RateLimited
    | PermanentlyRefused
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of the request `request_id` that the receiving service sent."""

    request_id: int
    outcome: PlatformOutcome
