"""Executors that run work and that the platform's list of machines does not name."""

from __future__ import annotations

from guavapin.jobs.model import Step
from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job
from tests.scheduling.test_organisation_caps import capped
from tests.scheduling.test_organisation_caps import count
from tests.scheduling.test_organisation_caps import owned
from tests.scheduling.test_organisation_caps import simulation

CAP_MILLIS = 4_000


def take_over_beside_an_unlisted_executor() -> Simulation:
    """Take over without a record, while the executor with all runs does not answer.

    It renews its registration, and the list of machines does not name it (yet).
    """
    sim = simulation(CAP_MILLIS)
    sim.submit(owned(1, Step(4, SMALL)))
    (holder,) = {name for _, name in sim.running()}
    (other,) = sim.executors.keys() - {holder}
    silent = sim.executors[holder]
    silent.is_reachable = False
    sim.take_over(6)
    sim.scheduler.term.table = capped(CAP_MILLIS)
    sim.scheduler.apply_machines(MachinesListed(((other, "pool"),)))
    sim.submit(owned(2, Step(4, SMALL)))
    for _ in range(4):
        sim.scheduler.hosts.register(silent.registration())
        sim.advance(250)
    return sim


def test_runs_on_an_unlisted_executor_count_for_the_cap() -> None:
    # Guards against starts beyond a cap (QUOTA) while an executor that the list does
    # not name runs what a predecessor started.
    assert count(take_over_beside_an_unlisted_executor()) <= 5


def test_runs_on_an_unlisted_executor_do_not_start_twice() -> None:
    # Guards against a second run (TWICE) of what an executor runs that the list does
    # not name; before 39f7b58 the cap of an organisation kept it from starting.
    running = [row for row, _ in take_over_beside_an_unlisted_executor().running()]
    assert len(running) == len(set(running))


def test_a_run_on_an_executor_that_one_list_left_out_is_waited_for() -> None:
    # Guards against a second run of a subtask whose silent executor has lost its entry
    # and is missing from the first list of a term.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    ((_, executor_id),) = sim.running()
    silent = sim.executors.pop(executor_id)
    sim.take_over(6)
    others = [(name, "pool") for name in sim.executors]
    sim.scheduler.apply_machines(MachinesListed(tuple(others)))
    sim.scheduler.apply_machines(
        MachinesListed((*others, (silent.executor_id, "pool")))
    )
    sim.advance(1_000)
    assert sim.running() == []


def take_over_beside_a_silent_executor() -> tuple[Simulation, FakeExecutor]:
    """Take over without a record; the first list leaves the executor out."""
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(1, SMALL, 60_000)))
    ((_, executor_id),) = sim.running()
    silent = sim.executors[executor_id]
    silent.is_reachable = False
    sim.now_ms += 100
    sim.take_over(6)
    list_others(sim, silent)
    return sim, silent


def list_others(sim: Simulation, silent: FakeExecutor) -> None:
    sim.now_ms += 1
    sim._update_time()
    others = tuple((name, "pool") for name in {*sim.executors} - {silent.executor_id})
    sim.scheduler.apply_machines(MachinesListed(others, requested_ms=sim.now_ms))
    sim.run()


def test_a_run_on_an_executor_that_only_its_entry_names_is_waited_for() -> None:
    # Guards against a second run of a subtask whose executor is silent and not in the
    # first list of a term, which may be out of date.
    sim, silent = take_over_beside_a_silent_executor()
    sim.advance(1_000)
    assert [name for _, name in sim.running()] == [silent.executor_id]


def test_an_executor_that_the_lists_of_two_seconds_leave_out_is_not_waited_for() -> (
    None
):
    # Guards against inherited work that waits for 12 s (LOST) for an executor that is
    # gone, whose entry the registry keeps.
    sim, silent = take_over_beside_a_silent_executor()
    silent.running.clear()
    for _ in range(4):
        sim.advance(700)
        list_others(sim, silent)
    assert len(sim.running()) == 1


def test_an_unlisted_executor_whose_address_refuses_is_not_waited_for() -> None:
    # Guards against inherited work that waits beside executors that have moved.
    sim, silent = take_over_beside_a_silent_executor()
    silent.running.clear()
    silent.is_listening = False
    sim.advance(500)
    assert len(sim.running()) == 1
