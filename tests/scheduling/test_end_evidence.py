"""Evidence that an executor has ended, while it is up and a start is under way."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.jobs.model import Step
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import OrderContext
from tests.scheduling.clocked_executor import ClockedSimulation
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import make_job

JOB = "a" * 16


class ConnectedSimulation(ClockedSimulation):
    """Simulation in which orders reach an executor over one of two connections.

    `former` has the executors whose pooled connections lead to a former life at their
    address, which refuses every order; an order over a new connection reaches the
    executor itself. `later` has the executors whose address belongs to a later one,
    which refuses every order. While `holds_starts` is set, starts are under way and
    have neither arrived nor been answered.
    """

    def __init__(self, count: int = 2) -> None:
        self.former: set[str] = set()
        self.later: set[str] = set()
        self.holds_starts = False
        self.held: list = []
        super().__init__(count)
        self.list_machines()
        self.advance(300)

    def _deliver(self, action) -> None:
        context = action.context
        is_new = context.is_on_new_connection
        if isinstance(context.order, Start) and self.holds_starts:
            self.held.append(context)
        elif context.executor_id in (
            self.later if is_new else self.former | self.later
        ):
            outcome = Refusal(RefusalKind.OTHER_LIFE, 500_000)
            self.scheduler.hosts.handle_answer(context, outcome)
        else:
            super()._deliver(action)

    def advance(self, delta_ms: int, step_ms: int = 50) -> None:
        for executor in self.executors.values():
            # A run without progress would be stopped.
            executor.percent = executor.percent % 90 + 1
        super().advance(delta_ms, step_ms)

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
        # Orders of the same millisecond are answered at once here.
        self.now_ms += 1
        self._update_time()
        self.scheduler.apply_machines(
            MachinesListed(pools, (name,), requested_ms=self.now_ms)
        )
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
        for _ in range(16):
            self.advance(500)


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


@pytest.mark.parametrize("evidence", ["421", "list"])
def test_work_of_an_executor_that_has_ended_starts_elsewhere_at_once(
    evidence: str,
) -> None:
    # Guards against work that waits for a lease although its executor is gone, which is
    # the usual case: its address belongs to another one, or refuses connections.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 15_000)))
    sim.advance(200)
    ((subtask, name),) = sim.running()
    executor = sim.executors[name]
    executor.running.clear()
    if evidence == "list":
        executor.is_listening = False
        sim.list_without(name)
    else:
        sim.later.add(name)
        sim.advance(1_100)
    (started,) = sim.running()
    assert started[0] == subtask
    assert started[1] != name


def test_a_silent_executor_that_no_list_shows_keeps_its_runs_for_their_lease() -> None:
    # Guards against a second run beside one on an executor that is cut off while the
    # list of machines is out of date, and against work that waits for ever.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    ((_, name),) = sim.running()
    sim.executors[name].is_reachable = False
    sim.list_without(name)
    for _ in range(16):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0
    assert [other for _, other in sim.running()] != [name]


def test_an_address_that_refuses_connections_does_not_show_an_end_alone() -> None:
    # Guards against a second run during a partition that refuses connections.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    ((_, name),) = sim.running()
    sim.executors[name].is_listening = False
    for _ in range(16):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0


def test_nothing_starts_on_an_executor_that_may_have_ended() -> None:
    # Guards against work that is sent to an executor which is gone: it waits for a
    # lease before it starts elsewhere.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    ((_, name),) = sim.running()
    sim.executors[name].is_reachable = False
    sim.list_without(name)
    sim.starts.clear()
    sim.submit(make_job("b" * 16, Step(8, SMALL, 60_000)))
    assert {other for _, other in sim.starts} == {"e1", "e2"} - {name}


def test_a_refusal_that_a_later_answer_has_overtaken_ends_nothing() -> None:
    # Guards against a second run beside one at work: the refusal of a former life
    # arrives after the executor itself has answered a later order.
    sim = ConnectedSimulation()
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    ((_, name),) = sim.running()
    sim.advance(200)
    host = sim.scheduler.hosts.by_id[name]
    sent_ms = host.answered_sent_ms - 1
    for is_new in (False, True):
        context = OrderContext(name, host.born_ms, Look(5, 0), sent_ms, is_new)
        refusal = Refusal(RefusalKind.OTHER_LIFE)
        sim.scheduler.hosts.handle_answer(context, refusal)
    sim.run()
    assert host.is_answering
    assert sim.scheduler.hosts.by_id[name] is host


def test_the_report_of_a_former_life_ends_no_run() -> None:
    # Guards against a second run beside one at work, after an executor has started
    # again under its id: its former life answers a poll over a pooled connection.
    sim = ConnectedSimulation()
    sim.executors["e1"].restart_at(sim.now_ms)
    sim.renew_entries()
    sim.advance(200)
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    sim.submit(make_job(JOB, Step(1, SMALL, 60_000)))
    sim.advance(200)
    assert [name for _, name in sim.running()] == ["e1"]
    sim.scheduler.cordon(frozenset(), frozenset())
    host = sim.scheduler.hosts.by_id["e1"]
    sim.now_ms += 10
    sim._update_time()
    context = OrderContext("e1", host.born_ms, Look(5, 0), sim.now_ms - 5)
    report = HostReport(900_000, host.born_ms - 1, (), ())
    sim.scheduler.hosts.handle_answer(context, report)
    sim.run()
    for _ in range(16):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e1"]
    assert sim.scheduler.hosts.by_id["e1"].born_ms == host.born_ms


@pytest.mark.parametrize("reaches_store", [True, False])
def test_an_executor_that_answers_again_refuses_the_starts_that_were_given_up(
    reaches_store: bool,
) -> None:
    # Guards against a second run beside one whose start was under way for longer than
    # its lease: the executor's clock stood still, and it answers a poll just before.
    sim = ConnectedSimulation()
    name = sim.start_held()
    (first, second) = sim.held
    executor = sim.executors[name]
    executor.is_reachable = False
    for context in (first, second):
        sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    for _ in range(14):
        executor.lag_ms += 500
        if reaches_store:
            sim.renew_entries()
        else:
            sim.scheduler.hosts.unregister(name)
        sim.advance(500)
    assert {other for _, other in sim.running()} == {"e2"}
    executor.is_reachable = True
    sim.renew_entries()
    sim.advance(1_000)
    sim.deliver_held()
    for _ in range(4):
        sim.advance(500)
    assert sim.longest_overlap_ms == 0
    assert len(sim.running()) == 2


def test_a_start_that_is_answered_after_it_was_given_up_is_stopped() -> None:
    # Guards against a run that goes on beside the second one: the answer to its start
    # settles the lease of a host without runs, which is hardly polled then.
    sim = ConnectedSimulation()
    name = sim.start_held()
    first, second = sim.held
    sim.scheduler.hosts.handle_answer(second, NoAnswer(False, "not sent"))
    host = sim.scheduler.hosts.by_id[name]
    sim.scheduler.hosts._drop_start(host, host.runs[first.order.subtask, 5001])
    sim.run()
    assert [other for _, other in sim.running()] == ["e2", "e2"]
    executor = sim.executors[name]
    outcome = executor.handle_order(first.order, sim.now_ms)
    sim.scheduler.hosts.handle_answer(first, outcome)
    sim.run()
    assert not executor.running
