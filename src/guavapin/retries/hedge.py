"""Hedging: a second attempt while the first still runs; disabled by default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """A second attempt starts after `factor` times the 95th percentile of the kind.

    The delay is at least `min_delay_ms`.
    """

    is_enabled: bool = False
    factor: float = 1.0
    min_delay_ms: int = 5


DEFAULT_SETTINGS = HedgeSettings()


def hedge_delay_ms(
    p95_ms: float,
    is_idempotent_request: bool,
    is_long: bool,
    settings: HedgeSettings = DEFAULT_SETTINGS,
) -> int | None:
    """Return the delay in ms before a second attempt, or None for no second attempt.

    Long work is never hedged, because it would occupy a second slot for a long time.
    """
    if not settings.is_enabled or not is_idempotent_request or is_long:
        return None
    return max(int(p95_ms * settings.factor), settings.min_delay_ms)
