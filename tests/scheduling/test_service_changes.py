"""Takeovers after the service of a queue has changed: no subtask runs twice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Step
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import QueueTable
from guavapin.scheduling.describe import describe_job
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.run_pools import RunPools
from guavapin.scheduling.where import explain_waiting
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

POOLS = ("pool", "second", "third")
JOB = "a" * 16

# Time after a takeover by which all leases of a predecessor have ended: it may extend
# them for 6 s, by 6 s at a clock that is 5% slow.
LONGEST_WAIT_MS = 12_500


def table_with(service: str) -> QueueTable:
    """Return the table in which the service of the queue is `service`."""
    queue = replace(QUEUE, service=service)
    pools = (*map(Pool, POOLS), Pool("off", is_standby=True))
    return replace(TABLE, queues=(queue,), pools=pools)


def simulate() -> Simulation:
    """Return a simulation with one executor in each pool."""
    executors = [FakeExecutor(f"e-{pool}", pool=pool) for pool in POOLS]
    sim = Simulation(executors, table=table_with("pool"))
    sim.list_machines()
    sim.advance(100)
    return sim


def change_service(sim: Simulation, service: str) -> None:
    sim.table = sim.scheduler.term.table = table_with(service)
    sim.advance(100)


def take_over_beside(sim: Simulation, silent: str) -> None:
    """Take over without a record while an executor does not answer."""
    sim.executors[silent].is_reachable = False
    sim.take_over(9)
    sim.list_machines()


def lose_runs(sim: Simulation, name: str) -> None:
    """Let an executor end, and the scheduler start its runs elsewhere."""
    sim.executors[name].is_listening = False
    sim.executors[name].running.clear()
    pools = [(row.executor_id, row.pool) for row in sim.executors.values()]
    listed = MachinesListed(
        tuple(row for row in pools if row[0] != name),
        ended=(name,),
        requested_ms=sim.now_ms,
    )
    sim.scheduler.apply_machines(listed)
    sim.advance(200)
    sim.executors[name].restart()
    sim.executors[name].is_listening = True
    sim.list_machines()
    sim.advance(200)


def pools_of_runs(sim: Simulation) -> list[str]:
    return sorted(name.removeprefix("e-") for _, name in sim.running())


def test_a_successor_waits_for_a_silent_executor_of_the_former_service() -> None:
    # Guards against a second run of a subtask (review/6): the successor looked for
    # unknown runs in the pool of the queue's present service only.
    sim = simulate()
    sim.submit(make_job(JOB, Step(4, SMALL)))
    change_service(sim, "second")
    take_over_beside(sim, "e-pool")
    sim.advance(4_000)
    assert pools_of_runs(sim) == ["pool"] * 4
    sim.advance(LONGEST_WAIT_MS - 4_000)
    assert pools_of_runs(sim) == ["second"] * 4


@pytest.mark.parametrize("service", ["pool", "third"])
def test_a_successor_waits_for_a_silent_executor_of_an_intermediate_service(
    service: str,
) -> None:
    # Guards against a second run of a subtask that was started on a service which is
    # neither that of the job's submission nor the present one.
    sim = simulate()
    sim.submit(make_job(JOB, Step(1, SMALL)))
    change_service(sim, "second")
    lose_runs(sim, "e-pool")
    assert pools_of_runs(sim) == ["second"]
    change_service(sim, service)
    take_over_beside(sim, "e-second")
    sim.advance(4_000)
    assert pools_of_runs(sim) == ["second"]
    sim.advance(LONGEST_WAIT_MS - 4_000)
    assert pools_of_runs(sim) == [service]


def test_a_successor_waits_although_the_queue_and_its_service_are_removed() -> None:
    # Guards against a second run of a subtask in the time before the first list of
    # machines, in which only the pools of the present table counted.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job(JOB, Step(1, SMALL)))
    ((subtask, holder),) = sim.running()
    sim.table = replace(TABLE, queues=(), pools=(Pool("second"),))
    sim.executors[holder].is_reachable = False
    sim.take_over(9)
    sim.advance(1_000)
    assert sim.running() == [(subtask, holder)]


def test_the_entry_and_the_list_of_machines_both_name_the_pool() -> None:
    # Guards against a second run beside a silent executor whose entry in the registry
    # and whose row in the list of machines name different pools.
    sim = simulate()
    sim.submit(make_job(JOB, Step(1, SMALL)))
    change_service(sim, "second")
    sim.executors["e-pool"].is_reachable = False
    sim.take_over(9)
    listed = tuple((name, "third") for name in sim.executors)
    sim.scheduler.apply_machines(MachinesListed(listed))
    sim.advance(1_000)
    assert pools_of_runs(sim) == ["pool"]
    unresolved = sim.scheduler.hosts.unknown_runs.unresolved()
    assert unresolved.pools == {"pool", "third"}


def test_a_silent_executor_of_another_pool_delays_no_takeover() -> None:
    # Guards against inherited work that waits for executors which cannot run it.
    sim = simulate()
    sim.submit(make_job(JOB, Step(2, SMALL), Step(1, SMALL, after=(0,))))
    change_service(sim, "second")
    take_over_beside(sim, "e-third")
    for subtask in [*sim.executors["e-pool"].running]:
        sim.executors["e-pool"].end(subtask, EndKind.DONE)
    sim.advance(300)
    assert pools_of_runs(sim) == ["second"]


def test_nothing_starts_on_a_new_service_before_it_is_stored() -> None:
    # Guards against a start on a service that no record names, so that a successor
    # would not wait for its executors.
    sim = simulate()
    sim.submit(make_job(JOB, Step(1, SMALL), Step(1, SMALL, after=(0,))))
    sim.is_store_down = True
    change_service(sim, "second")
    executor = sim.executors["e-pool"]
    executor.end(*executor.running, EndKind.DONE)
    sim.advance(1_000)
    assert pools_of_runs(sim) == []
    view = explain_waiting(sim.scheduler, JOB)
    assert view is not None
    assert (
        view.steps[0].reason == "the record of the job does not name its new pool yet"
    )


def test_a_job_whose_service_stays_needs_no_further_record() -> None:
    # Guards against a write to the store before each first start.
    sim = simulate()
    sim.submit(make_job(JOB, Step(4, SMALL)))
    assert pools_of_runs(sim) == ["pool"] * 4
    assert not sim.stored


def test_the_record_drops_pools_without_runs() -> None:
    # Guards against jobs that wait for silent executors of every pool on which they
    # ever ran.
    sim = simulate()
    sim.submit(make_job(JOB, *(Step(1, SMALL, after=after) for after in ((), (0,)))))
    for service in ("second", "third"):
        change_service(sim, service)
        lose_runs(sim, sim.running()[0][1])
    assert pools_of_runs(sim) == ["third"]
    sim.take_over(9)
    run_pools = sim.scheduler.jobs.by_id[JOB].run_pools
    assert run_pools.names == run_pools.stored == {"third"}


def test_a_record_of_an_earlier_version_confirms_nothing() -> None:
    # Guards against a start after the answer to a write whose successor, which is under
    # way, names fewer pools.
    pools = RunPools.of("a").add("b", frozenset({"a"}))
    assert pools.confirm(1).stored == {"a", "b"}
    pools = pools.add("c", frozenset({"a"})).add("b", frozenset({"a"}))
    assert pools.confirm(1).stored == {"a"}
    assert pools.confirm(3).stored == {"a", "b"}


def test_operators_are_told_which_executor_work_waits_for() -> None:
    # Guards against a reason that names the present pool, all of whose hosts answer.
    sim = simulate()
    sim.submit(make_job(JOB, Step(1, SMALL)))
    change_service(sim, "second")
    take_over_beside(sim, "e-pool")
    sim.advance(300)
    reason = "executors have not answered this scheduler yet: e-pool in pool"
    view = describe_job(sim.scheduler, JOB)
    assert view is not None and view.reason == reason
    explained = explain_waiting(sim.scheduler, JOB)
    assert explained is not None and explained.steps[0].reason == reason


def test_work_that_waits_for_a_silent_executor_asks_for_no_machines() -> None:
    # Guards against machines that are moved to the new pool for work that cannot start.
    sim = simulate()
    sim.submit(make_job(JOB, Step(1, SMALL)))
    change_service(sim, "second")
    take_over_beside(sim, "e-pool")
    sim.advance(300)
    assert sim.scheduler.pool_demands() == ()
