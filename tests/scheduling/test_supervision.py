"""Supervision of runs: stalls, fillers, tickets and draining hosts."""

from __future__ import annotations

from dataclasses import replace

from guavapin.executors.model import EndKind
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Step
from guavapin.jobs.terms import AdviceTerms
from guavapin.scheduling.host import Host
from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.host_lease import LeaseTerms
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.messages import AdviceReply
from guavapin.scheduling.messages import AdviceRequest
from guavapin.scheduling.run import Run
from guavapin.scheduling.run import RunPhase
from guavapin.scheduling.supervision import MIN_STALL_MS
from guavapin.scheduling.supervision import RunView
from guavapin.scheduling.supervision import needs_supervision
from guavapin.scheduling.supervision import pace_changes
from tests.scheduling import simulation as defaults
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


def view(step: Step, load: float = 0.0) -> RunView:
    job_run = JobRun(make_job("a" * 16, step), 0, is_inherited=False)
    step_run = job_run.step_run((0, 0))
    run = Run(step_run.subtask(0), 1, "e", SMALL, RunPhase.RUNNING, 0)
    run.load = load
    return RunView(run, step_run)


def test_a_filler_is_slowed_down_in_steps_and_sped_up_later() -> None:
    # Guards against a serving subtask that exceeds its target because of a filler.
    filler = view(Step(1, SMALL, is_filler=True, is_long_running=True))
    serving = view(Step(1, SMALL, target_ms=100, is_long_running=True), load=95)
    now_ms, seen = 1_000, []
    for _ in range(4):
        for run, percent in pace_changes([filler, serving], now_ms):
            run.pace, run.paced_ms = percent, now_ms
            seen.append(percent)
        now_ms += 700
    assert seen == [40, 15, 0]
    serving.run.load = 20
    assert pace_changes([filler, serving], now_ms) == []
    assert pace_changes([filler, serving], now_ms + 1_500) == [(filler.run, 20)]


def test_fillers_alone_work_at_full_speed() -> None:
    # Guards against fillers that are slowed down although no serving subtask runs.
    filler = view(Step(1, SMALL, is_filler=True))
    assert pace_changes([filler], 10_000) == []


def test_a_stalled_run_starts_on_another_host() -> None:
    # Guards against a host that answers polls while its subtasks make no progress.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(1, SMALL, estimate_ms=500)))
    ((_, first),) = sim.running()
    sim.advance(3_500)
    ((_, second),) = sim.running()
    assert second != first


def test_a_start_carries_a_ticket_and_refused_hosts_get_none() -> None:
    # Guards against starts without a ticket, which executors refuse for a queue that
    # needs advice.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    terms = AdviceTerms(decide_ms=5, per_host_ms=1, validity_ms=3_000)
    queue = replace(defaults.QUEUE, advice=terms)
    sim.scheduler.term.table = replace(defaults.TABLE, queues=(queue,))
    sim.list_machines()
    sim.advance(100)
    sent_actions = []
    sim.on_action = lambda action: sent_actions.append(action)
    sim.submit(make_job("a" * 16, Step(2, SMALL)))
    assert sim.running() == []
    (request,) = [
        action for action in sent_actions if isinstance(action, AdviceRequest)
    ]
    assert set(request.executors) == {"e1", "e2"}
    sim.scheduler.apply_advice(AdviceReply(request, {"e2": "t"}))
    sim.run()
    assert {name for _, name in sim.running()} == {"e2"}
    starts = [a.context.order for a in sent_actions if hasattr(a, "context")]
    assert {order.ticket for order in starts if hasattr(order, "ticket")} == {"t"}


def test_long_running_work_moves_off_a_draining_host() -> None:
    # Guards against long-running work that stops when its host is taken down.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(1, SMALL, is_long_running=True)))
    ((subtask, first),) = sim.running()
    sim.executors[first].percent = 100
    sim.advance(500)
    host = sim.scheduler.hosts.by_id[first]
    host.registration = replace(host.registration, is_draining=True)
    sim.advance(1_000)
    ((moved, second),) = sim.running()
    assert moved == subtask and second != first


def test_a_copy_starts_beside_the_run_of_a_silent_host() -> None:
    # Guards against jobs that wait for the end of a partition although their steps
    # allow copies: in gagnon-jobs-large scale-1, a zone was cut off for six seconds.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    steps = {"a" * 16: True, "b" * 16: False}
    for job_id, is_speculative in steps.items():
        step = Step(1, SMALL, estimate_ms=800, is_speculative=is_speculative)
        sim.submit(make_job(job_id, step))
    silent = sim.running()[0][1]
    sim.executors[silent].is_reachable = False
    sim.starts.clear()
    sim.advance(1_500)
    ((copy, host),) = sim.starts
    assert copy.job_id == "a" * 16 and host != silent
    sim.executors[host].end(copy, EndKind.DONE)
    sim.advance(500)
    assert sim.scheduler.jobs.by_id["a" * 16].state is JobState.SUCCEEDED
    assert len(sim.starts) == 1


def test_a_copy_of_an_inherited_subtask_starts_while_a_host_is_silent() -> None:
    # Guards against a successor that holds up steps that allow copies.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(1, SMALL, is_speculative=True)))
    silent = sim.running()[0][1]
    sim.executors[silent].is_reachable = False
    sim.take_over(9)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(500)
    assert [host != silent for _, host in sim.starts] == [True]


def test_only_hosts_to_which_no_rule_applies_are_left_out() -> None:
    # Guards against a stalled run, a run beside which a copy starts, a filler or a host
    # to evacuate that the supervision of a large fleet leaves out.
    filler = Run(view(Step(1)).run.subtask, 9, "e", SMALL, RunPhase.RUNNING, 0)
    filler.is_filler = True
    for change, is_needed in (
        (lambda host: None, False),
        (lambda host: host.record_no_answer(0), True),
        (lambda host: host.add(filler), True),
        (
            lambda host: host.update_registration(
                replace(host.registration, is_draining=True), 0
            ),
            True,
        ),
    ):
        lease = HostLease(LeaseTerms(6_000, 6_000), 0, 0)
        host = Host(FakeExecutor("e").registration(), lease, 0)
        host.add(view(Step(1)).run)
        change(host)
        assert needs_supervision(host, MIN_STALL_MS) is is_needed
        assert needs_supervision(host, MIN_STALL_MS + 1)
