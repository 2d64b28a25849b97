"""Messages to and from the `claims` task.

`exchanges` sends `ClaimKey` and, once granted, exactly one of `RecordAnswer`,
`RecordUnknown` and `ReleaseClaim`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.kernel.outcome import Reason

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Ask for the right to send the request with idempotency key `key`.

    `digest` identifies the content of the request; a key comes with one content
    only. `deadline_ms` is the monotonic time by which an answer is needed, so the
    sender subtracts what it needs itself.
    """

    request_id: int
    service: str
    key: str
    digest: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """The granted request was run; its whole answer is to be repeated."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The granted request was sent and may or may not have been run."""

    request_id: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """No byte of the request was or will be sent; valid before a grant, too."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The whole answer of the request that holds the key."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Another request holds the key; whether it was run cannot be told."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """This request was not run and will not be; it may be repeated with its key."""

    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used with a different request (422)."""


ClaimOutcome: TypeAlias = RecordedAnswer | OutcomeUnknown | NotRun | KeyReused


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The request, and no other with its key, may be sent."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The request must not be sent."""

    request_id: int
    outcome: ClaimOutcome


ClaimAnswer: TypeAlias = ClaimGranted | ClaimRefused
