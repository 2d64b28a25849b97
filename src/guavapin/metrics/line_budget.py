"""Budget of log lines that is refilled at a constant rate."""

from __future__ import annotations

import time


class LineBudget:
    """Admits `lines_per_second` log lines, and up to `burst_lines` at once."""

    def __init__(self, lines_per_second: int, burst_lines: int) -> None:
        self._lines_per_second = lines_per_second
        self._burst_lines = burst_lines
        self._left = float(burst_lines)
        self._refilled_s = time.monotonic()

    def take(self) -> bool:
        """Return whether one more line is within the budget, and count it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_second
        self._refilled_s = now_s
        self._left = min(self._left + refill, self._burst_lines)
        if self._left < 1:
            return False
        self._left -= 1
        return True
