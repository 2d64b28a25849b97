"""Records, within one dispatch, the needs that fit on no host of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Step


class Shortage:
    """Needs that fitted on no host, by pool; equal or larger ones are not tried.

    In a burst, hundreds of steps wait for the same pool, and each search for a host
    goes through all hosts of the pool.
    """

    def __init__(self) -> None:
        self._needs: dict[str, list[Resources]] = {}

    def record(self, pool: str, step: Step) -> None:
        """Record that one more subtask of a step fits on no host.

        A step that is restricted to some hosts is not recorded, since other subtasks
        may fit on the hosts that it may not use.
        """
        if step.required_label or step.max_per_host or step.is_gang:
            return
        # Needs that cover the new one say nothing more than it does.
        needs = [
            need for need in self._needs.get(pool, ()) if not need.covers(step.reserved)
        ]
        self._needs[pool] = [*needs, step.reserved]

    def applies(self, pool: str, step: Step) -> bool:
        """Return whether the step needs at least as much as a recorded need."""
        needs = self._needs.get(pool, ())
        return any(step.reserved.covers(need) for need in needs)
