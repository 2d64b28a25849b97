"""Decides when waiting work counts as late, and when late work gets its turn.

Answers the load pattern of a turn that asks for more than its pool holds: work that
cannot be in time any more makes way for work that can, but not for ever. Among late
work, the last steps of jobs that have begun come first.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.scheduling.step_run import StepRun

# Multiple of its objective after which a late job gets a turn: it precedes other work
# of its priority once. Up to three times its objective, a job is of use to its caller.
TURN_FACTOR = 5

# Least age for a turn. Work without an estimate and an objective is late at once.
MIN_TURN_AGE_MS = 2_000

# Least time between two turns in a pool, so that work in time keeps most of the room.
TURN_INTERVAL_MS = 500


@dataclass(frozen=True, slots=True)
class WorkTimes:
    """Times of a step of a job in milliseconds; `accepted_ms` is monotonic.

    `allowed_ms` is the objective counted from the acceptance, and `remaining_ms` the
    expected time from the start of the step to the end of the job. `completes_job` is
    set for a step that follows others and that no other follows.
    """

    accepted_ms: int
    allowed_ms: float
    remaining_ms: int
    completes_job: bool = False

    @property
    def late_after_ms(self) -> float:
        """Return the time after which a start of the step misses the objective."""
        return self.accepted_ms + self.allowed_ms - self.remaining_ms

    @property
    def turn_ms(self) -> float:
        """Return the time from which the step may get a turn."""
        return self.accepted_ms + max(TURN_FACTOR * self.allowed_ms, MIN_TURN_AGE_MS)

    def sorting_ms(self, now_ms: int) -> float:
        """Return the time by which the step is sorted, earliest first.

        It is the objective of the job. A late step that completes its job is sorted by
        the acceptance instead, so that it precedes late jobs of about its age. Steps in
        time need no such rule: their job's objective is earlier than that of jobs that
        arrive later.
        """
        if self.completes_job and now_ms > self.late_after_ms:
            return self.accepted_ms
        return self.accepted_ms + self.allowed_ms


class TurnQueue:
    """Open steps of each pool by the time of their turn.

    Only the scheduler changes it.
    """

    def __init__(self) -> None:
        self._turns: dict[str, list[tuple[float, int, StepRun]]] = {}
        self._next_ms: dict[str, int] = {}

    def add(self, pool: str, step_run: StepRun, turn_ms: float) -> None:
        """Add a step that may get a turn from a time on."""
        row = (turn_ms, step_run.number, step_run)
        heapq.heappush(self._turns.setdefault(pool, []), row)

    def pop_due(
        self, now_ms: int, is_waiting: Callable[[StepRun], bool]
    ) -> list[StepRun]:
        """Return the steps that get a turn now, at most one for each pool.

        Steps that do not wait at the time of their turn get none.
        """
        due = []
        for pool, turns in [*self._turns.items()]:
            while turns and turns[0][0] <= now_ms >= self._next_ms.get(pool, 0):
                step_run = heapq.heappop(turns)[2]
                if is_waiting(step_run):
                    due.append(step_run)
                    self._next_ms[pool] = now_ms + TURN_INTERVAL_MS
            if not turns:
                del self._turns[pool]
        return due
