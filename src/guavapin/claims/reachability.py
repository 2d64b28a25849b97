"""Reachability of the platform; new claims are refused at once while it is down."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# A single failure may be one lost answer. Several in a row, without an answer between
# them, mean an outage of the platform or a network partition.
MAX_FAILURES = 5
TRIAL_INTERVAL_MS = 250


@dataclass(frozen=True, slots=True)
class Reachability:
    """Counts failures of platform calls in a row.

    During an outage one new claim is allowed as a trial every `TRIAL_INTERVAL_MS`.
    """

    failures: int = 0
    next_trial_ms: int = 0

    def after_call(self, *, is_answered: bool, now_ms: int) -> Reachability:
        """Return the state after a call ended at `now_ms` with or without an answer."""
        if is_answered:
            return Reachability()
        return Reachability(self.failures + 1, now_ms + TRIAL_INTERVAL_MS)

    def allows(self, now_ms: int) -> bool:
        """Return whether a new claim may be tried at `now_ms`."""
        return self.failures < MAX_FAILURES or now_ms >= self.next_trial_ms

    def after_trial(self, now_ms: int) -> Reachability:
        """Return the state after a new claim was let through at `now_ms`."""
        if self.failures < MAX_FAILURES:
            return self
        return replace(self, next_trial_ms=now_ms + TRIAL_INTERVAL_MS)
