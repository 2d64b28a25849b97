"""Leases and starts when what is known of an executor is old or of another life."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.jobs.model import Step
from guavapin.scheduling.handover import collect_hosts
from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.host_lease import LeaseTerms
from guavapin.scheduling.messages import SendOrder
from tests.scheduling.clocked_executor import ClockedSimulation
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import make_job

TERMS = LeaseTerms(6_000, 10_000)
JOB = "a" * 16


class HeldSimulation(ClockedSimulation):
    """Holds the answers or the orders back that `holds` selects, by executor."""

    def __init__(self) -> None:
        self.holds_answer = lambda executor_id, order: False
        self.holds_order = lambda executor_id, order: False
        self.held: list = []
        super().__init__()
        self.list_machines()
        self.advance(100)
        self.scheduler.cordon(frozenset({"e2"}), frozenset())

    def _deliver(self, action) -> None:
        context = action.context
        executor = self.executors[context.executor_id]
        if self.holds_order(context.executor_id, context.order):
            self.held.append((context, None))
        elif executor.is_reachable and self.holds_answer(
            context.executor_id, context.order
        ):
            outcome = executor.handle_order(context.order, self.now_ms)
            self.held.append((context, outcome))
        else:
            super()._deliver(action)

    def submit_work(self) -> None:
        self.submit(make_job(JOB, Step(1, SMALL, 60_000)))

    def fail_over(self) -> None:
        self.scheduler.cordon(frozenset(), frozenset())
        self.advance(16_000)


def test_an_answer_that_is_handled_late_is_no_recent_reading() -> None:
    # Guards against an order by the clock of a former life after a pause of the
    # scheduler: the answer waited in its socket while the executor started again.
    lease = HostLease(TERMS, 500_000, 0)
    lease.read(500_000, sent_ms=0, now_ms=8_000)
    assert not lease.may_extend(8_000)


def test_a_pause_of_the_scheduler_does_not_lead_to_two_runs() -> None:
    # Guards against a second run beside one whose lease was given by an answer that
    # was read from its socket after the executor had started again.
    sim = HeldSimulation()
    sim.advance(3_000)
    sim.holds_answer = lambda executor_id, order: executor_id == "e1"
    sim.submit_work()
    ((context, outcome),) = sim.held
    assert isinstance(context.order, Look)
    sim.now_ms += 5_000  # The scheduler is paused, and has not handled the answer.
    sim.executors["e1"].restart_at(sim.now_ms - 2_000)
    sim.holds_answer = lambda executor_id, order: False
    sim.lose_next_answer()
    sim._update_time()
    sim.scheduler.hosts.handle_answer(context, outcome)
    sim.run()
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_a_quick_restart_of_an_idle_executor_does_not_lead_to_two_runs() -> None:
    # Guards against a second run after a restart that takes less than the time for
    # which a reading of an idle executor counts as recent.
    sim = HeldSimulation()
    sim.advance(200)
    sim.executors["e1"].restart_at(sim.now_ms)
    sim.lose_next_answer()
    sim.submit_work()
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_a_late_start_in_a_later_life_does_not_lead_to_two_runs() -> None:
    # Guards against a second run beside one whose start was under way while its
    # executor started again, unseen by the scheduler.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    executor.is_reachable = False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.advance(2_000)
    executor.restart_at(sim.now_ms)
    sim.advance(3_000)
    executor.handle_order(context.order, sim.now_ms)
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_an_answer_that_was_overtaken_does_not_set_the_clock_back() -> None:
    # Guards against an order by the clock of a former life, whose answer to an earlier
    # order is handled after one of the present life.
    lease = HostLease(TERMS, 0, 0)
    lease.read(200, sent_ms=1_000, now_ms=1_010)
    lease.read(500_000, sent_ms=400, now_ms=1_050)
    assert lease.until_ms(1_100) <= 200 + 90 + 6_000


def test_a_clock_that_stood_still_is_allowed_for_without_an_answer() -> None:
    # Guards against a lease that outlasts the counted one by the time for which the
    # clock stood still since it was read.
    sim = HeldSimulation()
    sim.advance(8_000)
    e1 = sim.executors["e1"]
    sim.advance(100)
    read_ms = sim.scheduler.hosts.by_id["e1"].clock_read_ms
    while sim.now_ms - read_ms > 1_000:
        sim.advance(50)
        read_ms = sim.scheduler.hosts.by_id["e1"].clock_read_ms
    sim.advance(1_150 - (sim.now_ms - read_ms))
    e1.lag_ms += 1_100
    sim.lose_next_answer()
    sim.submit_work()
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_a_clock_that_stood_still_since_a_poll_is_allowed_for() -> None:
    # Guards against a lease that outlasts the counted one on a busy executor.
    lease = HostLease(TERMS, 0, 0)
    lease.read(500_000, sent_ms=0, now_ms=10)
    order = Look(1, 0, lease.until_ms(1_010))
    lease.extend(order, 1_010)
    given_ms = order.until_ms - 500_000
    assert lease.end_ms >= 1_010 + given_ms * 1.02


def test_a_start_that_was_not_sent_is_not_handed_over() -> None:
    # Guards against a subtask that a successor holds up for a start that waited for a
    # reading, and was never sent.
    sim = HeldSimulation()
    sim.advance(3_000)
    sim.holds_answer = lambda executor_id, order: executor_id == "e1"
    sim.submit_work()
    handed = {row.executor_id: row.runs for row in collect_hosts(sim.scheduler.hosts)}
    assert handed["e1"] == ()


def test_a_start_does_not_wait_past_the_draining_of_its_host() -> None:
    # Guards against a start on a host that has said that it drains while the start
    # waited for a reading of its clock.
    sim = HeldSimulation()
    sim.advance(3_000)
    sim.holds_answer = lambda executor_id, order: executor_id == "e1"
    sim.submit_work()
    ((context, outcome),) = sim.held
    sim.holds_answer = lambda executor_id, order: False
    entry = replace(sim.executors["e1"].registration(), is_draining=True)
    sim.advance(300)
    sim.scheduler.hosts.register(entry)
    sim.advance(300)
    sim.scheduler.hosts.handle_answer(context, outcome)
    sim.run()
    assert sim.running() == []


def test_an_unhealthy_executor_does_not_delay_the_work_of_a_silent_one() -> None:
    # Guards against work that waits for the longest lease because its executor, which
    # was unhealthy, refused another start, which has had no effect.
    sim = HeldSimulation()
    sim.submit_work()
    sim.advance(3_000)
    hosts, executor = sim.scheduler.hosts, sim.executors["e1"]
    original = executor.handle_order
    executor.handle_order = lambda order, now_ms: (
        Refusal(RefusalKind.UNHEALTHY)
        if isinstance(order, Start)
        else original(order, now_ms)
    )
    sim.submit(make_job("b" * 16, Step(1, SMALL, 60_000)))
    sim.advance(100)
    sim.executors["e1"].is_reachable = False
    sim.scheduler.cordon(frozenset(), frozenset())
    cut_ms = sim.now_ms
    assert hosts.by_id["e1"].lease_end_ms <= cut_ms + 6_370
    sim.advance(6_700)
    assert JOB in [subtask.job_id for subtask, name in sim.running() if name == "e2"]


def test_a_start_of_a_predecessor_in_a_later_life_is_allowed_for() -> None:
    # Guards against a second run beside one whose start was sent by the predecessor,
    # by the clock of the executor's former life, and arrived after its restart.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    executor.is_reachable = False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    handed = collect_hosts(sim.scheduler.hosts)
    sim.take_over(9)
    sim.scheduler.apply_handover(handed)
    sim.list_machines()
    sim.scheduler.cordon(frozenset({"e2"}), frozenset())
    sim.advance(1_000)
    executor.restart_at(sim.now_ms)
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(1_000)
    executor.handle_order(context.order, sim.now_ms)
    executor.is_reachable = True
    sim.advance(100)
    executor.is_reachable = False
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_a_stop_answered_by_a_former_life_does_not_settle_a_late_start() -> None:
    # Guards against a second run beside one whose start was refused for good by one
    # life of its executor, and arrived in the next one.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.scheduler.cordon(frozenset({"e1"}), frozenset())
    sim.advance(1_000)
    assert [name for _, name in sim.running()] == ["e2"]
    executor = sim.executors["e1"]
    executor.restart_at(sim.now_ms)
    sim.advance(500)
    executor.handle_order(context.order, sim.now_ms)
    sim.advance(10_000)
    assert sim.longest_overlap_ms == 0


def test_a_new_life_is_told_to_refuse_a_start_that_may_come_late() -> None:
    # Guards against the same once the registry has shown the next life.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.scheduler.cordon(frozenset({"e1"}), frozenset())
    sim.advance(1_000)
    executor = sim.executors["e1"]
    executor.restart_at(sim.now_ms)
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(500)
    executor.handle_order(context.order, sim.now_ms)
    sim.advance(10_000)
    assert sim.longest_overlap_ms == 0


def test_an_inherited_job_waits_for_the_longest_lease_of_a_silent_host() -> None:
    # Guards against a second run beside one that the predecessor started, while it
    # could not reach the store, on an executor that has started again and does not
    # answer the successor.
    sim = HeldSimulation()
    executor = sim.executors["e1"]
    former = sim.scheduler
    sim.jobs[JOB] = make_job(JOB, Step(1, SMALL, 60_000))
    sim.take_over(9)
    executor.is_reachable = False
    sim.list_machines()
    sim.advance(5_500)
    # The predecessor reads the clock, the executor starts again, and the start arrives.
    former.term.now_ms = former.term.wall_ms = sim.now_ms
    former.term.is_unconfirmed = True
    former.hosts.by_id["e1"].lease.read(
        executor.clock_ms(sim.now_ms), sim.now_ms, sim.now_ms
    )
    former.term.drain_actions()
    former.jobs.open_stored(sim.jobs[JOB])
    former.dispatch()
    orders = [
        action.context.order
        for action in former.term.drain_actions()
        if isinstance(action, SendOrder) and isinstance(action.context.order, Start)
    ]
    executor.restart_at(sim.now_ms)
    executor.handle_order(orders[0], sim.now_ms)
    sim.advance(14_000)
    assert sim.longest_overlap_ms == 0


@pytest.mark.parametrize("evidence", ["renewed", "repeated", "restarted"])
def test_a_silent_host_that_renews_its_entry_holds_inherited_jobs_no_longer(
    evidence: str,
) -> None:
    # Guards against inherited jobs that wait for the longest lease beside a host that
    # has shown that it is in its life of before, and against waiting less for an entry
    # that was only read again, or beside a new life.
    sim = HeldSimulation()
    executor = sim.executors["e1"]
    sim.jobs[JOB] = make_job(JOB, Step(1, SMALL, 60_000))
    sim.take_over(9)
    executor.is_reachable = False
    sim.list_machines()
    for second in range(12):
        if evidence == "restarted" and second == 2:
            executor.restart_at(sim.now_ms)
        written_ms = sim.now_ms if evidence != "repeated" else 1_000
        clock_ms = executor.clock_ms(written_ms)
        entry = replace(executor.registration(), clock_ms=clock_ms)
        sim.scheduler.hosts.register(entry)
        sim.advance(1_000)
    sim.advance(500)
    is_held = evidence != "renewed"
    assert (sim.running() == []) == is_held
    sim.advance(4_200)
    assert [name for _, name in sim.running()] == ["e2"]


def test_a_late_start_in_a_later_life_is_waited_for_if_its_entry_is_read() -> None:
    # Guards against a second run beside one whose start was under way while its
    # executor started again, if the registry has shown that.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    executor.is_reachable = False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.advance(2_000)
    executor.restart_at(sim.now_ms)
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(3_000)
    executor.handle_order(context.order, sim.now_ms)
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_ends_of_a_new_life_are_not_confirmed_by_a_report_that_is_handled_late() -> (
    None
):
    # Guards against ends that are forgotten unread: after a pause of the scheduler, its
    # poll with the number of a former life's end reaches the next life.
    sim = HeldSimulation()
    sim.submit_work()
    executor = sim.executors["e1"]
    sim.advance(200)
    executor.end(sim.running()[0][0], EndKind.DONE)
    sim.holds_answer = lambda executor_id, order: executor_id == "e1"
    sim.advance(100)
    ((context, outcome),) = sim.held
    sim.now_ms += 5_000  # The scheduler is paused, and has not handled the answer.
    executor.restart_at(sim.now_ms - 2_000)
    sim.holds_answer = lambda executor_id, order: False
    looks: list = []
    sim.on_action = lambda action: (
        looks.append(action.context.order)
        if isinstance(action, SendOrder) and action.context.executor_id == "e1"
        else None
    )
    sim._update_time()
    sim.scheduler.hosts.handle_answer(context, outcome)
    sim.advance(100)
    assert looks[0].confirmed == 0


@pytest.mark.parametrize("evidence", ["renewed", "removed"])
def test_an_unanswered_start_delays_no_work_if_the_registry_shows_its_executor(
    evidence: str,
) -> None:
    # Guards against work that waits for a late start although the executor has ended,
    # or is still in the life to which the start was sent.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    executor.is_reachable = False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.scheduler.cordon(frozenset(), frozenset())
    sim.advance(4_500)
    if evidence == "renewed":
        sim.scheduler.hosts.register(executor.registration())
    else:
        sim.scheduler.hosts.unregister("e1")
    sim.advance(2_200)
    assert [name for _, name in sim.running()] == ["e2"]


def test_the_poll_for_a_waiting_start_gives_no_lease() -> None:
    # Guards against a lease by the clock of a former life: the poll that a start on an
    # idle executor waits for reaches the next one.
    sim = HeldSimulation()
    sim.advance(200)
    polls: list = []
    sim.on_action = lambda action: (
        polls.append(action.context.order)
        if isinstance(action, SendOrder) and isinstance(action.context.order, Look)
        else None
    )
    sim.submit_work()
    assert (polls[0].until_ms, polls[0].wait_ms) == (0, 0)


def test_the_lease_of_a_removed_host_is_kept_for_its_executor() -> None:
    # Guards against a second run beside one on an executor whose entry was removed for
    # a moment while it kept the longest lease from an earlier order.
    sim = HeldSimulation()
    executor = sim.executors["e1"]
    executor.restart_at(sim.now_ms)
    sim.submit(make_job("b" * 16, Step(1, SMALL, 60_000)))
    sim.advance(100)
    sim.scheduler.hosts.register(executor.registration())
    ((subtask, _),) = sim.running()
    executor.end(subtask, EndKind.DONE)
    sim.advance(300)
    sim.scheduler.hosts.unregister("e1")
    assert "e1" not in sim.scheduler.hosts.by_id
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(300)
    sim.submit_work()
    assert [name for _, name in sim.running()] == ["e1"]
    executor.is_reachable = False
    sim.fail_over()
    assert sim.longest_overlap_ms == 0
    assert [name for _, name in sim.running()] == ["e2"]


def test_all_starts_on_an_idle_executor_wait_for_its_reading() -> None:
    # Guards against an order by the clock of a former life: the poll that the first
    # start waits for must not count as one that the present life holds open.
    sim = HeldSimulation()
    sim.advance(200)
    sim.holds_answer = lambda executor_id, order: isinstance(order, Look)
    sim.submit(make_job(JOB, Step(3, SMALL, 60_000)))
    assert sim.starts == []
    sim.holds_answer = lambda executor_id, order: False
    ((context, outcome),) = sim.held
    sim.scheduler.hosts.handle_answer(context, outcome)
    sim.run()
    assert len(sim.starts) == 3


@pytest.mark.parametrize("evidence", ["renewed", "relisted"])
def test_an_early_renewal_does_not_rule_out_a_late_start(evidence: str) -> None:
    # Guards against a second run beside one whose start arrives in the next life of its
    # executor, if the former life renewed its entry shortly after the start was sent,
    # or if its entry was merely listed again.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    executor.is_reachable = False
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    sim.advance(300)
    hosts, entry = sim.scheduler.hosts, executor.registration()
    if evidence == "renewed":
        hosts.register(entry)
    sim.advance(1_700)
    executor.restart_at(sim.now_ms)
    if evidence == "relisted":
        hosts.replace_registrations([entry, sim.executors["e2"].registration()])
    sim.advance(3_000)
    executor.handle_order(context.order, sim.now_ms)
    sim.fail_over()
    assert sim.longest_overlap_ms == 0


def test_a_start_of_a_predecessor_that_a_former_life_would_refuse_is_allowed_for() -> (
    None
):
    # Guards against a second run beside one that a predecessor without a record sent:
    # the life that has answered its successor would refuse it, the next one does not.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    sim.take_over(9)
    sim.list_machines()
    sim.scheduler.cordon(frozenset({"e1"}), frozenset())
    sim.advance(1_000)
    assert [name for _, name in sim.running()] == ["e2"]
    executor = sim.executors["e1"]
    executor.restart_at(sim.now_ms)
    sim.advance(500)
    executor.handle_order(context.order, sim.now_ms)
    sim.advance(10_000)
    assert sim.longest_overlap_ms == 0


def test_a_handed_over_start_counts_although_its_executor_has_started_again() -> None:
    # Guards against a second run beside one whose start the predecessor handed over as
    # unanswered, if the registry shows a later life of the executor than the record.
    sim = HeldSimulation()
    sim.holds_order = lambda executor_id, order: isinstance(order, Start)
    sim.submit_work()
    ((context, _),) = sim.held
    sim.holds_order = lambda executor_id, order: False
    executor = sim.executors["e1"]
    sim.scheduler.hosts.handle_answer(context, NoAnswer(True, "silent"))
    handed = collect_hosts(sim.scheduler.hosts)
    executor.restart_at(sim.now_ms)
    executor.is_reachable = False
    sim.take_over(9)
    sim.scheduler.apply_handover(handed)
    sim.list_machines()
    sim.advance(11_000)
    executor.handle_order(context.order, sim.now_ms)
    sim.advance(12_000)
    assert sim.longest_overlap_ms == 0
