"""The only clock of the project; all times are integers in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol

# Systems without CLOCK_BOOTTIME fall back to the monotonic clock.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time; only differences are meaningful."""
        ...

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch, for records read by people."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return ``CLOCK_BOOTTIME`` in milliseconds.

        Unlike ``CLOCK_MONOTONIC`` it advances while the host is suspended, so that an
        expired lease does not count as valid after the host has resumed.
        """
        return time.clock_gettime_ns(_CLOCK_ID) // 1_000_000

    def wall_ms(self) -> int:
        """Return ``CLOCK_REALTIME`` in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when a test moves it.

    For example, ``clock = ManualClock(1_000); clock.advance(250)`` makes
    ``clock.now_ms()`` return ``1_250``.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same value as `now_ms`."""
        return self._now_ms

    def advance(self, delta_ms: int) -> None:
        """Move time forward by `delta_ms`; a negative value raises ValueError."""
        if delta_ms < 0:
            raise ValueError(f"delta_ms must not be negative, got {delta_ms}")
        self._now_ms += delta_ms
