"""Calls that wait until their unknown key has been looked up in the store.

Answers the load pattern of callers with made-up keys: the number of waiting calls is
bounded, and all of them wait for the same read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.intake.authentication import MAX_PROOF_AGE_MS

if TYPE_CHECKING:
    from guavapin.serving.request_handler import WholeRequest

# Limit of waiting calls. Each holds its request, of some kilobytes as a rule.
MAX_WAITING = 256

# Time in ms after which a call is rejected. A read takes up to 0.9 s from a slow store,
# and waits up to 0.5 s for the one before.
LOOKUP_TIMEOUT_MS = 1_500


class KeyLookups:
    """Waiting calls with their times of arrival; only ``intake`` changes them."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[WholeRequest, int]] = {}

    def add(self, req: WholeRequest, arrived_ms: int) -> bool:
        """Add a call; returns False if too many wait."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting[req.request_id] = (req, arrived_ms)
        return True

    def pop(self, request_id: int) -> bool:
        """Remove a call; returns whether it waited."""
        return self._waiting.pop(request_id, None) is not None

    def pop_all(self) -> list[int]:
        """Remove all calls and return the ids of their requests."""
        request_ids = [*self._waiting]
        self._waiting.clear()
        return request_ids

    def pop_decided(self, as_of_ms: int) -> list[tuple[WholeRequest, int]]:
        """Remove and return the calls that a view proven at `as_of_ms` decides."""
        decided = [
            (req, arrived_ms)
            for req, arrived_ms in self._waiting.values()
            if as_of_ms >= arrived_ms - MAX_PROOF_AGE_MS
        ]
        for req, _ in decided:
            del self._waiting[req.request_id]
        return decided
