"""Report to an observer about calls to the store or a scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReachabilityReport:
    """A call to the store or a scheduler was answered or failed."""

    is_answered: bool
