"""A dispatch skips the search for a host after a shortage."""

from __future__ import annotations

from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling import starter
from guavapin.scheduling.shortage import Shortage
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

MEDIUM = Resources(2_000, 2_000, 0)


def test_a_shortage_covers_only_needs_that_are_no_smaller() -> None:
    # Guards against a small subtask that waits because a large one fits on no host.
    shortage = Shortage()
    shortage.record("pool", Step(1, MEDIUM))
    assert shortage.applies("pool", Step(1, MEDIUM))
    assert shortage.applies("pool", Step(1, Resources(2_000, 9_000, 1)))
    assert not shortage.applies("pool", Step(1, Resources(9_000, 1_000, 0)))
    assert not shortage.applies("other", Step(1, MEDIUM))


def test_a_constrained_step_records_no_shortage() -> None:
    # Guards against a subtask that waits because another is restricted to some hosts.
    shortage = Shortage()
    shortage.record("pool", Step(1, MEDIUM, required_label="gpu"))
    shortage.record("pool", Step(1, MEDIUM, max_per_host=1))
    shortage.record("pool", Step(1, MEDIUM, is_gang=True))
    assert not shortage.applies("pool", Step(1, MEDIUM))


def count_searches(monkeypatch, blocking: Resources) -> int:
    """Return the searches of one tick while 200 steps wait beside a blocking job."""
    searches = []
    choose = starter.choose_host

    def count(*arguments):
        searches.append(arguments)
        return choose(*arguments)

    monkeypatch.setattr(starter, "choose_host", count)
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("f" * 16, Step(2, blocking)))
    for number in range(200):
        sim.submit(make_job(f"{number:016x}", Step(1, MEDIUM)))
    searches.clear()
    sim.advance(50)
    return len(searches)


def test_a_dispatch_does_not_search_for_each_waiting_step(monkeypatch) -> None:
    # Guards against slow dispatches: in gagnon-jobs-grown trouble-2, hundreds of steps
    # waited, and each answer of a host caused a search over all hosts for each step.
    assert count_searches(monkeypatch, HOST_CAPACITY) == 0


def test_a_dispatch_searches_once_for_steps_that_lack_memory(monkeypatch) -> None:
    # Guards against a search for each waiting step on hosts that have processor time
    # left, which only the record of shortages prevents.
    blocking = Resources(1_000, HOST_CAPACITY.memory_mb, 0)
    assert count_searches(monkeypatch, blocking) == 1
