"""Limits of callers' requests that the operator's configuration sets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a request; a value of 0 leaves the listener's own limit in force.

    `head_timeout_ms` limits the time from the first byte of a head to its end,
    `idle_timeout_ms` the time between requests and between parts of a body.
    """

    max_head_bytes: int = 0
    max_body_bytes: int = 0
    head_timeout_ms: int = 0
    idle_timeout_ms: int = 0


NO_CALLER_LIMITS = CallerLimits()
