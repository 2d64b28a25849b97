"""What the soak needs of a fault whose steps depend on what processes do."""

from __future__ import annotations

from typing import Protocol


class TimedFault(Protocol):
    """A fault that its owner advances with `tick` until `is_over`."""

    @property
    def is_over(self) -> bool:
        """Whether the fault has been undone."""

    def tick(self, now_ms: int) -> None:
        """Go on to the next stage when it is due."""
