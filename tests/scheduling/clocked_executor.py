"""Simulation of executors with clocks of their own and a longest lease."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Start
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation

MAX_LEASE_MS = 10_000


@dataclass
class ClockedExecutor(FakeExecutor):
    """Executor whose clock begins at 0 when it starts, and may run slow or stand still.

    An order extends the lease to `max_lease_ms` from its arrival at most.
    """

    started_ms: int = -500_000
    lag_ms: int = 0
    drift: float = 0.0
    max_lease_ms: int = MAX_LEASE_MS

    def clock_ms(self, now_ms: int) -> int:
        up_ms = now_ms - self.started_ms
        return up_ms - round(up_ms * self.drift) - self.lag_ms

    def handle_order(self, order, now_ms: int):
        clock_ms = self.clock_ms(now_ms)
        if isinstance(order, Look | Start):
            until_ms = min(order.until_ms, clock_ms + self.max_lease_ms)
            order = replace(order, until_ms=until_ms)
        return super().handle_order(order, clock_ms)

    def restart_at(self, now_ms: int) -> None:
        """Start again under the same id, with a clock that begins anew."""
        self.restart()
        self.started_ms, self.lag_ms = now_ms, 0


class ClockedSimulation(Simulation):
    """Simulation of `ClockedExecutor`s; `longest_overlap_ms` is that of two runs."""

    def __init__(self, count: int = 2, max_lease_ms: int = MAX_LEASE_MS) -> None:
        self.max_lease_ms = max_lease_ms
        self.longest_overlap_ms = 0
        self._overlaps: dict = {}
        self._is_answer_lost = False
        names = [f"e{number + 1}" for number in range(count)]
        super().__init__(
            [ClockedExecutor(name, max_lease_ms=max_lease_ms) for name in names]
        )

    def times(self):
        return replace(super().times(), max_lease_ms=self.max_lease_ms)

    def lose_next_answer(self) -> None:
        """Let the next order be carried out without an answer."""
        self._is_answer_lost = True

    def _deliver(self, action) -> None:
        if not self._is_answer_lost:
            super()._deliver(action)
            return
        self._is_answer_lost = False
        executor = self.executors[action.context.executor_id]
        executor.handle_order(action.context.order, self.now_ms)
        executor.is_reachable = False
        outcome = NoAnswer(True, "answer lost")
        self.scheduler.hosts.handle_answer(action.context, outcome)

    def advance(self, delta_ms: int, step_ms: int = 50) -> None:
        for _ in range(delta_ms // step_ms):
            self.now_ms += step_ms
            for executor in self.executors.values():
                executor.expire(executor.clock_ms(self.now_ms))
            self._update_time()
            self.scheduler.tick()
            self.run()
            subtasks = [subtask for subtask, _ in self.running()]
            twice = {row for row in subtasks if subtasks.count(row) > 1}
            self._overlaps = {
                subtask: self._overlaps.get(subtask, 0) + step_ms for subtask in twice
            }
            overlap_ms = max(self._overlaps.values(), default=0)
            self.longest_overlap_ms = max(self.longest_overlap_ms, overlap_ms)
