"""Which needs no host of a pool has room for, while one dispatch lasts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Step


class Shortage:
    """Needs that found no room, by pool; spares the search for larger ones.

    In a burst hundreds of steps wait for the same pool, and each search looks at every
    host of it.
    """

    def __init__(self) -> None:
        self._needs: dict[str, list[Resources]] = {}

    def record(self, pool: str, step: Step) -> None:
        """Note that no host had room for one more subtask of a step.

        A step that may not go to every host tells nothing of the others.
        """
        is_constrained = step.required_label or step.max_per_host or step.is_gang
        if not is_constrained:
            self._needs.setdefault(pool, []).append(step.reserved)

    def applies(self, pool: str, step: Step) -> bool:
        """Whether a need that is no larger has found no room."""
        needs = self._needs.get(pool, ())
        return any(step.reserved.covers(need) for need in needs)
