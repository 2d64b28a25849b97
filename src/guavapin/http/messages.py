"""Messages to and from the service `http`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PeerCall:
    """A call to another process at `address` (``host:port``).

    `timeout_ms` limits the whole call. A failed call is not retried.

    `not_after_ms` is the time of the kernel's clock after which the call must not reach
    its receiver, 0 if it may. Such a call is not transmitted later, and its connection
    is reset like that of a call with `resets_connection`.

    With `resets_connection` the connection of a call that ends without an answer is
    reset, so that bytes which wait in the kernel for the end of a network partition are
    dropped. Either all calls to an address are sent so or none.

    Calls with different values of `receiver` never share a connection, although their
    address is the same: a connection to an address may still lead to a process that has
    stopped listening there. With `uses_new_connection` the call reaches whoever listens
    at the address now.
    """

    reply_to: str
    request_id: int
    address: str
    method: str
    path: str
    body: bytes
    timeout_ms: int
    headers: Headers = ()
    not_after_ms: int = 0
    uses_new_connection: bool = False
    receiver: str = ""
    resets_connection: bool = False


@dataclass(frozen=True, slots=True)
class AbortCalls:
    """To ``http``: end the calls of the service `reply_to` without replies."""

    reply_to: str


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer was received."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No complete answer was received; if `was_sent`, the call may take effect.

    `is_refused` is set if nobody listens at the address.
    """

    was_sent: bool
    detail: str
    is_refused: bool = False


CallOutcome: TypeAlias = Answered | Unanswered


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Answer to the call `request_id` of the receiving service."""

    request_id: int
    outcome: CallOutcome
