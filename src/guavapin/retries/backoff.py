"""Delay before a retry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """The upper bound of the delay doubles per attempt, from `base_ms` to `cap_ms`."""

    base_ms: int = 20
    cap_ms: int = 1_000


DEFAULT_SETTINGS = BackoffSettings()


def delay_ms(
    attempts: int, rng: random.Random, settings: BackoffSettings = DEFAULT_SETTINGS
) -> int:
    """Return the delay in ms after `attempts` attempts, uniform from 0 to its bound.

    This is full jitter: requests that failed together are not retried together.
    """
    exponent = min(max(attempts - 1, 0), 16)
    bound_ms = min(settings.base_ms * 2**exponent, settings.cap_ms)
    return int(rng.random() * (bound_ms + 1))
