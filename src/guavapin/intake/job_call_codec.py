"""Protocol of the codec of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.jobs.calls import BadCall
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.queues import Queue
    from guavapin.serving.messages import Headers


class JobCallCodec(Protocol):
    """Translates callers' requests and the answers to them; never raises."""

    @property
    def deadline_header(self) -> bytes:
        """Return the name of the header with a caller's deadline in milliseconds."""
        ...

    @property
    def key_header(self) -> bytes:
        """Return the name of the header with a caller's key."""
        ...

    def read_key(self, value: str) -> str:
        """Return the key in the value of that header, "" if there is none."""
        ...

    def decode(
        self,
        queue: Queue,
        method: str,
        path: str,
        body: bytes,
        wall_ms: int,
        organisation: str,
    ) -> JobCall | BadCall:
        """Return the call to `queue` in a request that arrived at `wall_ms`.

        `organisation` is that of the caller's key, "" for a call without one.
        """
        ...

    def encode(self, answer: JobAnswer) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer."""
        ...
