"""Stops beside polls that a host holds open until a run ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin.executors.model import EndKind
from guavapin.executors.model import Look
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.scheduling.messages import SendOrder
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host


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


def lose_a_start(sim: HeldPollSimulation) -> Host:
    """Return a host that runs nothing, and may still receive a start."""
    sim.executors["e1"].is_reachable = False
    sim.submit(make_job())
    job_run = sim.scheduler.jobs.by_id["0" * 16]
    sim.scheduler.jobs.close(job_run, JobState.CANCELLED)
    sim.run()
    sim.executors["e1"].is_reachable = True
    sim.advance(4_000)
    host = sim.scheduler.hosts.by_id["e1"]
    assert not host.runs
    return host


def test_an_idle_host_is_polled_while_a_start_may_come_late(
    sim: HeldPollSimulation,
) -> None:
    # Guards against a restart that stays unseen for seconds while a start that its
    # former life has refused may arrive, and against polls that go on afterwards.
    host = lose_a_start(sim)
    looks: list[Look] = []
    sim.on_action = lambda action: (
        looks.append(action.context.order)
        if isinstance(action, SendOrder) and isinstance(action.context.order, Look)
        else None
    )
    sim.advance(6_000)
    assert host.is_poll_pending
    assert 9 <= len(looks) <= 12
    sim.advance(4_000)
    looks.clear()
    sim.advance(7_000)
    assert len(looks) <= 1


def test_a_lost_poll_of_an_idle_host_does_not_keep_work_from_it(
    sim: HeldPollSimulation,
) -> None:
    # Guards against hosts that take less work the more often they are polled, while
    # some of their orders stay without an answer.
    host, executor = lose_a_start(sim), sim.executors["e1"]
    looks: list[Look] = []

    def answer_again(action: object) -> None:
        if isinstance(action, SendOrder) and isinstance(action.context.order, Look):
            looks.append(action.context.order)
            executor.is_reachable = True

    executor.is_reachable = False
    sim.on_action = answer_again
    while not looks:
        sim.advance(50)
        assert host.is_usable(sim.now_ms)
    assert looks[0].wait_ms == 0
    assert host.is_usable(sim.now_ms)
    executor.is_reachable = False
    sim.on_action = lambda action: None
    sim.advance(1_000)
    assert not host.is_usable(sim.now_ms)
