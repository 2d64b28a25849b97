"""Interface between the client and the protocol of a key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP call, whose `path` includes the query.

    `kind` labels the call in metrics. The platform may delay the answer by `wait_ms`.
    """

    kind: str
    method: str
    path: str
    body: bytes = b""
    wait_ms: int = 0
    is_write: bool = False


class StoreCodec(Protocol):
    """Encodes requests as HTTP calls and decodes answers; decoding never raises."""

    @property
    def headers(self) -> tuple[str, ...]:
        """Return the header lines that every call has."""
        ...

    def encode(self, req: PlatformRequest) -> HttpCall:
        """Return the HTTP call of a request."""
        ...

    def decode(
        self, req: PlatformRequest, status: int, revision: bytes, body: bytes
    ) -> PlatformOutcome:
        """Return the outcome of an answer, `Unknown` if it violates the protocol."""
        ...
