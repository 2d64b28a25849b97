"""Load patterns as data, with the faults that accompany them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Load:
    """Jobs that arrive for `duration_ms`, one each `interval_ms`; all times in ms.

    A job has `count` subtasks of `cpu_millis`. Its caller waits `budget_ms` in total,
    returns after a rejection when told to, at most `retries` times, and gives up after
    an undecided answer, since it may not repeat the call.
    """

    seed: int
    duration_ms: int
    interval_ms: int
    count: int = 2
    cpu_millis: int = 2_000
    budget_ms: int = 3_000
    retries: int = 4
