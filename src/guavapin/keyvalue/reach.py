"""What an observer is told of calls to the store or a scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReachabilityReport:
    """A call was answered, or it was not."""

    is_answered: bool
