"""Token bucket that limits the rate of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """Bucket of `tokens` calls, refilled at `rate` per second up to `burst`."""

    rate: float
    burst: float
    tokens: float
    updated_ms: int

    def refilled(self, now_ms: int) -> TokenBucket:
        """Return the bucket with the tokens gained until `now_ms`."""
        gained = max(now_ms - self.updated_ms, 0) * self.rate / 1_000
        tokens = min(self.burst, self.tokens + gained)
        return replace(self, tokens=tokens, updated_ms=now_ms)

    def without_token(self) -> TokenBucket:
        """Return the bucket with one token less; it must hold at least one."""
        return replace(self, tokens=self.tokens - 1)

    def wait_ms(self) -> int:
        """Return the time until the next token, 0 if one is available."""
        if self.tokens >= 1:
            return 0
        return int((1 - self.tokens) * 1_000 / self.rate) + 1
