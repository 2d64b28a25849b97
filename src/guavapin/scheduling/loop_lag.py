"""Decides when a scheduler whose host has become slow hands over.

Answers the load pattern of a turn of demand on a host that is too slow for it: each
order waits behind the ones before it, and jobs are late in all pools, although other
hosts could schedule in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Time over which the lateness of ticks is added up. Jobs that run for a second are late
# soon after that.
WINDOW_MS = 1_000

# Share of a window by which its ticks are late on a slow host. Ticks are then late by
# as much as they are apart.
MAX_LATE_SHARE = 0.5

# Least number of ticks in a window that are late by `LATE_TICK_MS`. A process that was
# suspended once has a single one.
MIN_LATE_TICKS = 3
LATE_TICK_MS = 50

# Least duration of a term that ends because its host is slow. It bounds the time that
# is lost to takeovers if every host is too slow.
MIN_TERM_MS = 5_000


@dataclass(frozen=True, slots=True)
class LoopLag:
    """Lateness of a term's ticks, in ms, since the window began."""

    term_began_ms: int
    window_began_ms: int
    late_ms: int = 0
    late_ticks: int = 0
    is_slow: bool = False

    def after_tick(self, late_ms: int, now_ms: int) -> LoopLag:
        """Return the state after a tick that was `late_ms` late."""
        lag = replace(
            self,
            late_ms=self.late_ms + late_ms,
            late_ticks=self.late_ticks + (late_ms >= LATE_TICK_MS),
        )
        elapsed_ms = now_ms - self.window_began_ms
        if elapsed_ms < WINDOW_MS:
            return lag
        is_slow = (
            lag.late_ticks >= MIN_LATE_TICKS
            and lag.late_ms >= MAX_LATE_SHARE * elapsed_ms
        )
        return LoopLag(self.term_began_ms, now_ms, is_slow=is_slow)

    def must_hand_over(self, now_ms: int) -> bool:
        """Return whether the last full window shows a slow host."""
        return self.is_slow and now_ms - self.term_began_ms >= MIN_TERM_MS
