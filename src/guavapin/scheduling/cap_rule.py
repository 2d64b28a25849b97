"""Protocol of the rule that holds a step until its organisation has less running."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.scheduling.step_run import StepRun


class CapRule(Protocol):
    """Decides whether the cap of its organisation holds a step."""

    def is_held(self, step_run: StepRun) -> bool:
        """Return whether one more subtask of a step would exceed the cap."""
        ...
