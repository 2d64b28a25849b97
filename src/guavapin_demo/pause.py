"""Measures for how long the process of the demo did not run.

All parts of a site share one interpreter in the part with requests. A long pause delays
every answer, so that the report names it beside the waits; it excuses none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Call
from guavapin.kernel import Ok

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

TIMER_INTERVAL_MS = 50


@dataclass(frozen=True, slots=True)
class GetLongestPause:
    """As a `Call`: the reply is the largest lateness of a timer in milliseconds."""


@dataclass(frozen=True, slots=True)
class _Due:
    """Timer that is due at `due_ms`."""

    due_ms: int


class PauseTask:
    """Service ``pause``; it needs a loop of its own, so that only pauses delay it."""

    name = "pause"

    def __init__(self) -> None:
        self._longest_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Set the first timer."""
        self._context = context
        self._set_timer()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Record the lateness of a timer, or answer a query."""
        match message:
            case _Due(due_ms=due_ms):
                late_ms = self._context.now_ms() - due_ms
                self._longest_ms = max(self._longest_ms, late_ms)
                self._set_timer()
            case Call(GetLongestPause(), fut):
                fut.set_result(self._longest_ms)

    def stop(self) -> None:
        """Do nothing: the task owns no resources."""

    def _set_timer(self) -> None:
        due_ms = self._context.now_ms() + TIMER_INTERVAL_MS
        self._context.set_timer(TIMER_INTERVAL_MS, _Due(due_ms))
