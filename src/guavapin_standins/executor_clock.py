"""The steady clock of an executor's process, which differs from the machine's."""

from __future__ import annotations

from dataclasses import dataclass

# A gap between two readings of this length shows that the process was suspended. The
# process reads its clock every `TICK_MS`.
SUSPENDED_MS = 400
TICK_MS = 10


@dataclass(frozen=True, slots=True)
class ClockTraits:
    """Value of a clock at the start of its process, and how it runs.

    `slow_share` is the share of time that it loses; one that `stands_still` does not
    count the time in which its process is suspended.
    """

    first_ms: int = 0
    slow_share: float = 0.0
    stands_still: bool = False


class ExecutorClock:
    """Computes an executor's clock from the machine's monotonic time in ms."""

    def __init__(self, traits: ClockTraits, born_ms: int) -> None:
        self._traits = traits
        self._born_ms = born_ms
        self._last_ms = born_ms
        self._lost_ms = 0

    def at(self, monotonic_ms: int) -> int:
        """Return the clock at a time that is not before that of the last call."""
        gap_ms = monotonic_ms - self._last_ms
        self._last_ms = monotonic_ms
        if self._traits.stands_still and gap_ms >= SUSPENDED_MS:
            self._lost_ms += gap_ms
        run_ms = monotonic_ms - self._born_ms - self._lost_ms
        return self._traits.first_ms + int(run_ms * (1 - self._traits.slow_share))
