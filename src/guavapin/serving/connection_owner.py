"""Interface between a connection and the task that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.serving.caller_connection import CallerConnection
    from guavapin.serving.request_parser import ParserLimits


class ConnectionOwner(Protocol):
    """Interface of the task that owns a connection."""

    @property
    def parser_limits(self) -> ParserLimits:
        """Return the limits of requests."""
        ...

    @property
    def holds_bodies(self) -> bool:
        """Whether a body is held until its answer, and nothing runs before its end."""
        ...

    @property
    def receive_buffer_bytes(self) -> int:
        """Return what the kernel may hold unread, 0 if it is not limited."""
        ...

    def admits(self, conn: CallerConnection, held_bytes: int) -> bool:
        """Whether a request that takes this memory may begin."""
        ...

    def count_refusal(self, status: int) -> None:
        """Count an answer of the front itself that refuses a request."""
        ...

    @property
    def asks_to_close(self) -> bool:
        """Whether answers ask their callers to close the connection."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether each connection is closed after its request."""
        ...

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        ...

    def open_request(self, conn: CallerConnection) -> int:
        """Register a request of `conn` and return its id."""
        ...

    def close_request(self, conn: CallerConnection, is_caller_gone: bool) -> None:
        """Remove the request of `conn`.

        `is_caller_gone` is set if its answer is not complete.
        """
        ...

    def forward(self, message: object) -> None:
        """Send a message to `exchanges`."""
        ...

    def answer_local(self, target: str) -> tuple[int, str] | None:
        """Return status and text if the front answers `target` itself, else None."""
        ...

    def pause_answer(self, request_id: int, is_paused: bool) -> None:
        """Request that the sender of the answer pause or resume it."""
        ...

    def record_output_size(self, size_bytes: int) -> None:
        """Record the size of an output buffer above the high water mark."""
        ...
