"""Messages to and from the service `http`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PeerCall:
    """A call to another process at `address` (``host:port``).

    `timeout_ms` limits the whole call. A failed call is not retried.
    """

    reply_to: str
    request_id: int
    address: str
    method: str
    path: str
    body: bytes
    timeout_ms: int
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer was received."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No complete answer was received; if `was_sent`, the call may take effect."""

    was_sent: bool
    detail: str


CallOutcome: TypeAlias = Answered | Unanswered


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Answer to the call `request_id` of the receiving service."""

    request_id: int
    outcome: CallOutcome
