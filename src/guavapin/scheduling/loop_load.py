"""Decides when a scheduler whose host has become slow hands over.

Answers the load pattern of a turn of demand on a host that is too slow for it: each
order waits behind the ones before it, and jobs are late in all pools, although other
hosts could schedule in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Time over which the idle time of the event loop is added up. Jobs that run for a
# second are late soon after that.
WINDOW_MS = 1_000

# Least share of a window for which the loop of a host that is fast enough is idle.
# Without idle time, orders wait behind one another.
MIN_IDLE_SHARE = 0.1

# Least duration of a term that ends because its host is slow. It bounds the time that
# is lost to takeovers if every host is too slow.
MIN_TERM_MS = 5_000


@dataclass(frozen=True, slots=True)
class LoopLoad:
    """Idle time of a term's event loop: all of it, and that before the window.

    `observed_ms` is the time of the last observation. All times are in ms.
    """

    term_began_ms: int
    window_began_ms: int
    idle_before_ms: int
    observed_ms: int
    is_saturated: bool = False

    def after(self, idle_ms: int, now_ms: int) -> LoopLoad:
        """Return the state after an observation of the loop's idle time.

        A window in which nothing was observed for its whole length is dropped: the
        process was suspended.
        """
        elapsed_ms = now_ms - self.window_began_ms
        if now_ms - self.observed_ms >= WINDOW_MS:
            return LoopLoad(self.term_began_ms, now_ms, idle_ms, now_ms)
        if elapsed_ms < WINDOW_MS:
            return replace(self, observed_ms=now_ms)
        is_saturated = idle_ms - self.idle_before_ms < MIN_IDLE_SHARE * elapsed_ms
        return LoopLoad(self.term_began_ms, now_ms, idle_ms, now_ms, is_saturated)

    def must_hand_over(self, now_ms: int) -> bool:
        """Return whether the last full window shows that the host is too slow."""
        return self.is_saturated and now_ms - self.term_began_ms >= MIN_TERM_MS
