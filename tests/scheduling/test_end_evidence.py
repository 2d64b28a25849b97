"""Evidence that an executor has ended, while it is up and a start is under way."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.jobs.model import Step
from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.clocked_executor import ClockedSimulation
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import make_job

JOB = "a" * 16


class ConnectedSimulation(ClockedSimulation):
    """Simulation in which orders reach an executor over one of two connections.

    `former` has the executors whose pooled connections lead to a former life at their
    address, which refuses every order; an order over a new connection reaches the
    executor itself. While `holds_starts` is set, starts are under way and have neither
    arrived nor been answered.
    """

    def __init__(self, count: int = 2) -> None:
        self.former: set[str] = set()
        self.holds_starts = False
        self.held: list = []
        super().__init__(count)
        self.list_machines()
        self.advance(300)

    def _deliver(self, action) -> None:
        context = action.context
        is_new = getattr(context, "is_on_new_connection", False)
        if isinstance(context.order, Start) and self.holds_starts:
            self.held.append(context)
        elif context.executor_id in self.former and not is_new:
            outcome = Refusal(RefusalKind.OTHER_LIFE, 500_000)
            self.scheduler.hosts.handle_answer(context, outcome)
        else:
            super()._deliver(action)

    def deliver_held(self) -> None:
        """Let the starts that are under way arrive."""
        held, self.held = self.held, []
        for context in held:
            executor = self.executors[context.executor_id]
            outcome = executor.handle_order(context.order, self.now_ms)
            self.scheduler.hosts.handle_answer(context, outcome)
        self.run()

    def list_without(self, name: str) -> None:
        """Deliver a list of machines that does not name an executor."""
        pools = tuple((other, "pool") for other in self.executors if other != name)
        self._update_time()
        self.scheduler.apply_machines(MachinesListed(pools, (name,)))
        self.run()

    def renew_entries(self) -> None:
        """Let all executors write their entries in the registry again."""
        self._update_time()
        for executor in self.executors.values():
            entry = replace(executor.registration(), clock_ms=self.now_ms)
            self.scheduler.hosts.register(entry)
        self.run()

    def start_held(self) -> str:
        """Submit two jobs whose starts stay under way on one executor; return it."""
        self.scheduler.cordon(frozenset({"e2"}), frozenset())
        self.holds_starts = True
        for job_id in (JOB, "b" * 16):
            self.submit(make_job(job_id, Step(1, SMALL, 15_000)))
        assert [context.executor_id for context in self.held] == ["e1", "e1"]
        self.holds_starts = False
        self.scheduler.cordon(frozenset(), frozenset())
        return "e1"

    def arrive_late(self) -> None:
        """Let the held starts arrive, and all executors be known again after it."""
        self.advance(100)
        self.deliver_held()
        self.advance(500)
        self.former.clear()
        self.renew_entries()
        self.advance(8_000)


@pytest.mark.parametrize("evidence", ["421 to a poll", "list"])
def test_a_start_under_way_is_not_replaced_while_its_executor_is_up(
    evidence: str,
) -> None:
    # Guards against a second run on another executor beside a start that is under way:
    # a former life at the address refused a poll, or a list left the machine out.
    sim = ConnectedSimulation()
    name = sim.start_held()
    if evidence == "list":
        sim.list_without(name)
    else:
        sim.former.add(name)
        sim.advance(50)
    sim.arrive_late()
    assert sim.longest_overlap_ms == 0
    assert len(sim.running()) == 2


@pytest.mark.parametrize("evidence", ["421 to a poll", "list"])
def test_a_run_is_not_replaced_while_its_executor_is_up(evidence: str) -> None:
    # Guards against a second run beside one at work, whose executor counted as ended.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 15_000)))
    ((_, name),) = sim.running()
    sim.advance(200)
    if evidence == "list":
        sim.list_without(name)
    else:
        sim.former.add(name)
        sim.advance(2_000)
    sim.arrive_late()
    assert sim.longest_overlap_ms == 0
    assert len(sim.running()) == 1
