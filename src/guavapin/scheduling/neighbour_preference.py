"""Prefers hosts without an interfering neighbour."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.interference import InterferenceTable
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

# Time for which a filler that was moved avoids the host that it left. The load of a
# service changes within seconds, and the filler may be useful there again.
AVOID_MS = 10_000

# Bound of the hosts that are avoided. One filler of a host moves in a second.
MAX_AVOIDED = 1_000

# Penalty of a host that a filler has left, or that has a serving subtask over its
# target. It is above that of any pair that is likely.
AVOIDED_PENALTY = 100.0


class NeighbourPreference:
    """`HostPreference` by the known pairs, and by the moves of fillers."""

    def __init__(self, term: Term, table: InterferenceTable) -> None:
        self._term = term
        self._table = table
        # Time until which a step avoids a host, by both, and the number of hosts that
        # each step avoids.
        self._avoided: OrderedDict[tuple[StepRun, str], int] = OrderedDict()
        self._steps: dict[StepRun, int] = {}

    def is_concerned(self, step_run: StepRun) -> bool:
        """Return whether the step's image is in a pair, or a filler of it was moved."""
        self._remove_expired()
        image = step_run.step.image
        return (image and self._table.is_concerned(image)) or step_run in self._steps

    def penalty(self, step_run: StepRun, host: Host) -> float:
        """Return the disadvantage of a host for the step, 0 for none."""
        step = step_run.step
        images = {run.image for run in host.runs.values()} - {"", step.image}
        total = self._table.penalty(step.image, images, self._term.now_ms)
        if (step_run, host.executor_id) in self._avoided or (
            step.is_filler
            and any(run.over_target_since_ms for run in host.runs.values())
        ):
            total += AVOIDED_PENALTY
        return total

    def avoid(self, step_run: StepRun, executor_id: str) -> None:
        """Let a step avoid a host for `AVOID_MS`."""
        self.forget(step_run, executor_id)
        self._avoided[step_run, executor_id] = self._term.now_ms + AVOID_MS
        self._steps[step_run] = self._steps.get(step_run, 0) + 1
        if len(self._avoided) > MAX_AVOIDED:
            self.forget(*next(iter(self._avoided)))

    def forget(self, step_run: StepRun, executor_id: str) -> None:
        """Let a step avoid a host no longer; do nothing if it does not."""
        if self._avoided.pop((step_run, executor_id), None) is not None:
            self._steps[step_run] -= 1
            if not self._steps[step_run]:
                del self._steps[step_run]

    def _remove_expired(self) -> None:
        while self._avoided:
            key, until_ms = next(iter(self._avoided.items()))
            if self._term.now_ms < until_ms:
                return
            self.forget(*key)
