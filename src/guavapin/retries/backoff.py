"""Delay before a retry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """The bound of the delay doubles from `base_ms` to `cap_ms`."""

    base_ms: int = 20
    cap_ms: int = 1_000


DEFAULT_SETTINGS = BackoffSettings()


def delay_ms(
    attempts: int, rng: random.Random, settings: BackoffSettings = DEFAULT_SETTINGS
) -> int:
    """Return a delay after `attempts` attempts, uniform between 0 and the bound.

    Full jitter: callers that failed together do not return together.
    """
    exponent = min(max(attempts - 1, 0), 16)
    bound_ms = min(settings.base_ms * 2**exponent, settings.cap_ms)
    return int(rng.random() * (bound_ms + 1))
