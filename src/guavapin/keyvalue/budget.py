"""Bounds on calls to the platform: tokens by kind, calls in flight, waiting calls."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """Bucket of `tokens` calls, refilled at `rate` a second up to `burst`."""

    rate: float
    burst: float
    tokens: float
    updated_ms: int

    def refilled(self, now_ms: int) -> TokenBucket:
        """Return the bucket as of `now_ms`."""
        gained = max(now_ms - self.updated_ms, 0) * self.rate / 1_000
        tokens = min(self.burst, self.tokens + gained)
        return replace(self, tokens=tokens, updated_ms=now_ms)

    def without_token(self) -> TokenBucket:
        """Return the bucket without one token; it must hold one."""
        return replace(self, tokens=self.tokens - 1)

    def wait_ms(self) -> int:
        """Return how long the next token takes, 0 if there is one."""
        if self.tokens >= 1:
            return 0
        return int((1 - self.tokens) * 1_000 / self.rate) + 1
