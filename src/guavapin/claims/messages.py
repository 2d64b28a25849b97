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
    """Requests permission to send the request with the idempotency key `key`.

    `digest` identifies the content of the request; all requests with a key must have
    the same content. The answer is needed by `deadline_ms` in monotonic time, from
    which the sender has subtracted its own processing time.
    """

    request_id: int
    service: str
    key: str
    digest: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """The granted request was run; its whole answer is recorded for repetition."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The granted request was sent; whether it was run is not known."""

    request_id: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """No byte of the request was or will be sent; may also be sent before a grant."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The whole recorded answer of the request that holds the key."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Another request holds the key; whether it was run is not known."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """This request was not and will not be run; it may be retried with its key."""

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
