"""Evidence about an older state or a former life of an executor that is up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin.jobs.model import Step
from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import make_job
from tests.scheduling.test_end_evidence import JOB
from tests.scheduling.test_end_evidence import ConnectedSimulation

if TYPE_CHECKING:
    from tests.scheduling.simulation import FakeExecutor


def start_one(sim: ConnectedSimulation) -> FakeExecutor:
    """Submit a job with one long subtask and return the executor that runs it."""
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    ((_, name),) = sim.running()
    sim.advance(200)
    return sim.executors[name]


def list_others(
    sim: ConnectedSimulation,
    name: str,
    ended: tuple[str, ...] = (),
    missing: tuple[str, ...] = (),
    age_ms: int = 0,
) -> None:
    """Deliver a list without an executor that was requested `age_ms` before."""
    sim.advance(50)
    pools = tuple((other, "pool") for other in sim.executors if other != name)
    listed = MachinesListed(
        pools, ended, missing=missing, requested_ms=sim.now_ms - age_ms
    )
    sim.scheduler.apply_machines(listed)
    sim.run()


def test_a_run_keeps_its_lease_beside_a_former_life_that_refuses_polls() -> None:
    # Guards against a run on a sound executor that lapses because all polls which
    # extend its lease go over a pooled connection to a former life at the address.
    sim = ConnectedSimulation()
    executor = start_one(sim)
    sim.former.add(executor.executor_id)
    for _ in range(14):
        sim.renew_entries()
        # An ended run would be started again over the same connection without end.
        assert executor.lease_ms - executor.clock_ms(sim.now_ms) > 500
        sim.advance(500)
    assert executor.ended == []


@pytest.mark.parametrize("is_first_list", [True, False])
def test_unknown_runs_are_waited_for_when_one_list_leaves_their_executor_out(
    is_first_list: bool,
) -> None:
    # Guards against a second run beside one of a predecessor: its executor is up, does
    # not answer for a second after the takeover, and one list leaves its machine out.
    sim = ConnectedSimulation()
    executor = start_one(sim)
    name = executor.executor_id
    executor.is_reachable = False
    sim.take_over(6)
    if is_first_list:
        list_others(sim, name)
    else:
        sim.list_machines()
        list_others(sim, name, missing=(name,))
    sim.advance(1_000)
    executor.is_reachable = True
    sim.renew_entries()
    for _ in range(4):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0
    assert len(sim.running()) == 1


def test_a_list_that_an_answer_has_overtaken_confirms_no_end() -> None:
    # Guards against a second run beside one at work: a partition that refuses
    # connections begins, and a list requested before the executor's last answer, which
    # is out of date, leaves its machine out.
    sim = ConnectedSimulation()
    executor = start_one(sim)
    name = executor.executor_id
    sim.advance(1_500)
    executor.is_listening = False
    list_others(sim, name, missing=(name,), age_ms=1_500)
    for _ in range(16):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0


def test_a_list_without_the_machine_does_not_confirm_an_earlier_list() -> None:
    # Guards against a second run beside one on an executor that is cut off: one list is
    # too recent to show an end, and the next one, which leaves the machine out, lends
    # its age to it.
    sim = ConnectedSimulation()
    executor = start_one(sim)
    name = executor.executor_id
    executor.is_reachable = False
    list_others(sim, name, ended=(name,))
    sim.advance(2_200)
    list_others(sim, name)
    for _ in range(16):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0
