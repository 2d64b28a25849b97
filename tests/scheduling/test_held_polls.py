"""Stops beside polls that a host holds open until a run ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin.executors.model import EndKind
from guavapin.executors.model import Look
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

if TYPE_CHECKING:
    from guavapin.scheduling.messages import SendOrder


class HeldPollSimulation(Simulation):
    """Answers a poll once an end is listed, or after its wait."""

    def __init__(self, executors: list[FakeExecutor]) -> None:
        self._held: list[tuple[int, SendOrder]] = []
        super().__init__(executors)

    def _deliver(self, action: SendOrder) -> None:
        order = action.context.order
        wait_ms = order.wait_ms if isinstance(order, Look) else 0
        executor = self.executors[action.context.executor_id]
        if wait_ms and executor.is_reachable and not executor.ended:
            self._held.append((self.now_ms + wait_ms, action))
        else:
            super()._deliver(action)

    def advance(self, delta_ms: int, step_ms: int = 50) -> None:
        for _ in range(delta_ms // step_ms):
            super().advance(step_ms, step_ms)
            held, self._held = self._held, []
            for until_ms, action in held:
                executor = self.executors[action.context.executor_id]
                if executor.ended or self.now_ms >= until_ms:
                    super()._deliver(action)
                    self.run()
                else:
                    self._held.append((until_ms, action))


@pytest.fixture
def sim() -> HeldPollSimulation:
    sim = HeldPollSimulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    return sim


def test_a_stopped_start_that_never_arrived_frees_its_room(
    sim: HeldPollSimulation,
) -> None:
    # Guards against a run that is kept for ever because each repetition of its stop is
    # answered while a poll is held open. Its room and its share of a cap stay in use.
    lasting = make_job("a" * 16, Step(1, SMALL, is_long_running=True))
    sim.submit(lasting)
    sim.advance(200)
    executor = sim.executors["e1"]
    executor.is_reachable = False
    cancelled = make_job("b" * 16, Step(1, SMALL, 60_000))
    sim.submit(cancelled)
    sim.scheduler.jobs.close(
        sim.scheduler.jobs.by_id[cancelled.job_id], JobState.CANCELLED
    )
    sim.run()
    executor.is_reachable = True
    sim.advance(5_000)
    (host,) = sim.scheduler.hosts.by_id.values()
    assert [run.subtask.job_id for run in host.runs.values()] == [lasting.job_id]


def test_an_end_during_a_held_poll_is_listed_at_once(sim: HeldPollSimulation) -> None:
    # Guards against a simulation that delays the ends of runs.
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    sim.advance(500)
    ((subtask, _),) = sim.running()
    sim.executors["e1"].end(subtask, EndKind.DONE)
    sim.advance(150)
    assert sim.scheduler.jobs.by_id["a" * 16].visible_state is JobState.SUCCEEDED
