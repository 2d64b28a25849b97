"""Takeovers, lost hosts and outages: no subtask runs twice, and none is lost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.executors.model import EndKind
from guavapin.executors.model import Start
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


@pytest.fixture
def sim() -> Simulation:
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    return sim


def state(sim: Simulation, job_id: str) -> JobState:
    return sim.scheduler.jobs.by_id[job_id].visible_state


def test_a_job_runs_its_steps_in_order(sim: Simulation) -> None:
    # Guards against a step that starts before the preceding step is done.
    job = make_job("a" * 16, Step(2, SMALL), Step(1, SMALL, after=(0,)))
    sim.submit(job)
    assert [subtask.step for subtask, _ in sim.running()] == [0, 0]
    for executor in sim.executors.values():
        for subtask in [*executor.running]:
            executor.end(subtask, EndKind.DONE)
    sim.advance(200)
    assert [subtask.step for subtask, _ in sim.running()] == [1]


def test_a_successor_adopts_runs_and_starts_none_twice(sim: Simulation) -> None:
    # Guards against a successor that starts running subtasks again.
    sim.submit(make_job("a" * 16, Step(4, SMALL)))
    running = sorted(sim.running())
    sim.take_over(9)
    sim.list_machines()
    sim.advance(500)
    assert sorted(sim.running()) == running


def test_a_successor_loads_only_the_state_of_an_ended_job(sim: Simulation) -> None:
    # Guards against a takeover that never completes: in gagnon-jobs-grown trouble-2, a
    # successor read all jobs of the last minutes, the call exceeded its timeout, and no
    # process scheduled.
    job = make_job("a" * 16)
    sim.submit(job)
    sim.executors[sim.running()[0][1]].end(sim.running()[0][0], EndKind.DONE)
    sim.advance(500)
    assert state(sim, job.job_id) is JobState.SUCCEEDED
    assert not sim.jobs
    sim.take_over(9)
    sim.list_machines()
    table = sim.scheduler.jobs
    for call in (QueryJob(job.job_id), SubmitJob(job), CancelJob(job.job_id)):
        table.handle_request(JobRequest("intake", 1, call))
    sim.advance(500)
    assert sim.answers == [StateIs(JobState.SUCCEEDED), Accepted(), Accepted()]
    assert not sim.running() and not sim.jobs


def test_a_run_of_an_unopened_step_keeps_its_reservation(sim: Simulation) -> None:
    # Guards against overbooked hosts: in gagnon-jobs trouble-1, the ends of the first
    # step were not stored, so a successor stopped the runs of the second step and freed
    # their resources while they still ran.
    job = make_job("a" * 16, Step(1, SMALL), Step(3, SMALL, after=(0,)))
    sim.submit(job)
    sim.is_store_down = True
    (subtask, name), *_ = sim.running()
    sim.scheduler.hosts.by_id[name].cordon(True)
    sim.executors[name].end(subtask, EndKind.DONE)
    sim.advance(200)
    assert len(sim.running()) == 3
    sim.is_store_down = False
    running = sorted(sim.running())
    sim.take_over(9)
    for host in sim.scheduler.hosts.by_id.values():
        host.next_poll_ms = sim.now_ms + (0 if host.executor_id != name else 300)
    sim.list_machines()
    sim.advance(200)
    assert sorted(sim.running()) == running
    used = sum(h.used.cpu_millis for h in sim.scheduler.hosts.by_id.values())
    assert used == 3 * SMALL.cpu_millis


def test_a_host_with_a_run_of_an_unknown_job_starts_nothing(sim: Simulation) -> None:
    # Guards against overbooked hosts: in gagnon-jobs-large scale-1, runs of cancelled
    # jobs were still being stopped at a takeover. The successor did not know their jobs
    # and counted them with no resources.
    large = Step(2, Resources(12_000, 1_000, 0))
    cancelled = make_job("a" * 16, large)
    sim.submit(cancelled)
    runs = dict(sim.running())
    for executor in sim.executors.values():
        executor.stop_duration_ms = 400
    call = CancelJob(cancelled.job_id)
    sim.scheduler.jobs.handle_request(JobRequest("intake", 1, call))
    sim.run()
    assert not sim.jobs
    sim.take_over(9)
    sim.list_machines()
    sim.submit(make_job("b" * 16, large))
    sim.advance(200)
    assert dict(sim.running()) == runs
    sim.advance(1_000)
    assert {subtask.job_id for subtask, _ in sim.running()} == {"b" * 16}


def test_an_end_of_an_unopened_step_counts(sim: Simulation) -> None:
    # Guards against an end that a successor confirms before it is stored.
    job = make_job("a" * 16, Step(1, SMALL), Step(1, SMALL, after=(0,)))
    sim.submit(job)
    sim.is_store_down = True
    for _ in range(2):
        (subtask, name), *_ = sim.running()
        sim.executors[name].end(subtask, EndKind.DONE)
        sim.advance(100)
    sim.is_store_down = False
    starts = len(sim.starts)
    sim.take_over(9)
    sim.list_machines()
    sim.advance(500)
    assert state(sim, "a" * 16) is JobState.SUCCEEDED
    assert len(sim.starts) == starts


def test_an_unregistered_host_holds_inherited_jobs_back(sim: Simulation) -> None:
    # Guards against subtasks that run twice: in gagnon-jobs trouble-2, seed
    # 179411032479, the hosts of a partitioned zone lost their registrations, and a
    # successor started their subtasks on other hosts while they still ran.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    ((subtask, name),) = sim.running()
    cut_off = sim.executors[name]
    cut_off.is_reachable = False
    del sim.executors[name]
    sim.take_over(9)
    sim.executors[name] = cut_off
    sim.advance(500)
    assert sim.running() == [(subtask, name)]
    sim.list_machines()
    sim.advance(4_000)
    assert sim.running() == [(subtask, name)]


def test_work_on_a_lost_host_restarts_after_its_lease(
    sim: Simulation,
) -> None:
    # Guards against subtasks that never run again after their host is lost for good.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    ((_, name),) = sim.running()
    sim.executors[name].is_reachable = False
    sim.advance(5_000)
    assert len(sim.starts) == 1
    sim.advance(3_000)
    assert len(sim.starts) == 2
    assert len(sim.running()) == 1


def test_polls_do_not_extend_the_lease_of_a_silent_host(sim: Simulation) -> None:
    # Guards against a lease without an end: in smn-guavapin quiet-1, each unanswered
    # poll extended the lease, so the subtask never started again.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    ((_, name),) = sim.running()
    host = sim.scheduler.hosts.by_id[name]
    sim.executors[name].is_reachable = False
    sim.advance(1_000)
    end_ms = host.lease_end_ms
    sim.advance(3_000)
    assert host.lease_end_ms == end_ms


def test_runs_on_silent_hosts_are_kept_during_a_store_outage(sim: Simulation) -> None:
    # Guards against subtasks that run twice: in gagnon-jobs trouble-1, a partitioned
    # scheduler restarted subtasks of hosts whose leases its successor extended.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    ((_, name),) = sim.running()
    sim.executors[name].is_reachable = False
    sim.scheduler.term.is_unconfirmed = True
    sim.advance(10_000)
    assert len(sim.starts) == 1


def test_a_fenced_scheduler_steps_down(sim: Simulation) -> None:
    # Guards against a replaced scheduler that keeps sending orders.
    sim.executors["e1"].token = 99
    sim.executors["e2"].token = 99
    sim.submit(make_job("a" * 16))
    assert sim.stepped_down


def test_an_unanswered_start_is_stopped_before_it_is_repeated(sim: Simulation) -> None:
    # Guards against a delayed start order that takes effect after the subtask was
    # started again.
    for executor in sim.executors.values():
        executor.is_reachable = False
    sim.submit(make_job("a" * 16))
    ((name, order),) = [row for row in sim.undelivered if hasattr(row[1], "spec")]
    for executor in sim.executors.values():
        executor.is_reachable = True
    sim.advance(1_000)
    executor = sim.executors[name]
    executor.handle_order(order, sim.now_ms)
    sim.advance(1_000)
    assert len(sim.running()) == 1


def test_a_failure_counts_once_however_often_it_is_listed(sim: Simulation) -> None:
    # Guards against failures that count twice: in smn-guavapin mix, seed 246623883114,
    # successors counted stored failures again that were not confirmed yet, and a job
    # with attempts left was reported as failed.
    sim.submit(make_job("a" * 16))
    ((subtask, name),) = sim.running()
    executor = sim.executors[name]
    executor.end(subtask, EndKind.FAILED)
    listed = [*executor.ended]
    sim.advance(200)
    for token in (9, 10, 11):
        executor.ended = [*listed]
        sim.take_over(token)
        sim.list_machines()
        sim.advance(300)
    assert state(sim, "a" * 16) is JobState.RUNNING
    ((_, name),) = sim.running()
    for _ in range(2):
        ((_, name),) = sim.running()
        sim.executors[name].end(subtask, EndKind.FAILED)
        sim.advance(300)
    assert state(sim, "a" * 16) is JobState.FAILED


@pytest.mark.parametrize("end", ["cancelled", "failed"])
def test_ends_are_confirmed_after_the_final_state_is_stored(
    sim: Simulation, end: str
) -> None:
    # Guards against ends that are confirmed because their job has ended, before its
    # final state is stored: for a successor the job has not ended, and it starts the
    # subtasks again (TWICE of gagnon-jobs hunt-a85d-11 and others).
    sim.submit(make_job("a" * 16, Step(3, SMALL)))
    (subtask, name), *_ = sim.running()
    executor = sim.executors[name]
    sim.is_store_down = True
    job_run = sim.scheduler.jobs.by_id["a" * 16]
    executor.end(subtask, EndKind.DONE)
    sim.scheduler.jobs.close(job_run, JobState(end))
    sim.run()
    sim.advance(500)
    assert sim.scheduler.hosts.by_id[name].confirmed == 0
    starts = len(sim.starts)
    sim.is_store_down = False
    sim.take_over(9)
    sim.list_machines()
    sim.advance(500)
    assert subtask not in [started for started, _ in sim.starts[starts:]]


def test_calls_for_an_unknown_job_are_referred_to_the_store(sim: Simulation) -> None:
    # Guards against the answer "no such job" for a job that was stored while no
    # scheduler was reached.
    request = JobRequest("intake", 1, QueryJob("b" * 16))
    sim.scheduler.jobs.handle_request(request)
    sim.scheduler.jobs.handle_request(JobRequest("intake", 2, CancelJob("b" * 16)))
    sim.run()
    assert sim.answers == [None, None]


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_no_subtask_runs_twice_at_once_under_any_failure(data: st.DataObject) -> None:
    # Guards against any sequence of takeovers, partitions, lost hosts and late starts
    # in which two runs of a subtask overlap or a job never ends.
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(3)])
    sim.list_machines()
    sim.advance(100)
    jobs = [
        make_job(f"{n:016x}", Step(2, SMALL), Step(2, SMALL, after=(0,)))
        for n in range(3)
    ]
    for job in jobs:
        sim.submit(job)
    token = 9
    for _ in range(data.draw(st.integers(3, 14))):
        event = data.draw(
            st.sampled_from(["take", "cut", "heal", "end", "late", "wait"])
        )
        executor = sim.executors[data.draw(st.sampled_from(sorted(sim.executors)))]
        if event == "take":
            token += 1
            sim.take_over(token)
            sim.list_machines()
        elif event in ("cut", "heal"):
            executor.is_reachable = event == "heal"
        elif event == "end" and executor.running:
            executor.end(next(iter(executor.running)), EndKind.DONE)
        elif event == "late" and sim.undelivered:
            name, order = sim.undelivered.pop(0)
            sim.executors[name].handle_order(order, sim.now_ms)
        sim.advance(data.draw(st.sampled_from([50, 400, 2_000])))
        subtasks = [subtask for subtask, _ in sim.running()]
        assert len(subtasks) == len(set(subtasks))
    for executor in sim.executors.values():
        executor.is_reachable = True
    for _ in range(40):
        sim.advance(500)
        for executor in sim.executors.values():
            for subtask in [*executor.running]:
                executor.end(subtask, EndKind.DONE)
    sim.advance(1_000)
    assert {state(sim, job.job_id) for job in jobs} == {JobState.SUCCEEDED}


@pytest.mark.parametrize("evidence", ["list of machines", "registry"])
def test_runs_of_an_ended_executor_wait_while_the_lease_is_unconfirmed(
    sim: Simulation, evidence: str
) -> None:
    # Guards against a second run after a partition: a scheduler without a confirmed
    # lease sees that executors of other zones have ended, and starts their subtasks
    # again, although its successor has seen them done.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    # A report lists the run, which proves that the incarnation that ends has it.
    sim.advance(100)
    ((subtask, name),) = sim.running()
    sim.scheduler.term.is_unconfirmed = True
    executor = sim.executors[name]
    executor.running.clear()
    executor.is_reachable = False
    sim.starts.clear()
    if evidence == "registry":
        executor.born_ms += 1
        sim.scheduler.hosts.register(executor.registration())
    else:
        pools = tuple((other, "pool") for other in sim.executors if other != name)
        # Nobody listens at the address of a machine that was taken down.
        executor.is_listening = False
        sim.now_ms += 1
        sim._update_time()
        sim.scheduler.apply_machines(
            MachinesListed(pools, (name,), requested_ms=sim.now_ms)
        )
    sim.advance(1_000)
    assert sim.starts == []
    sim.scheduler.term.is_unconfirmed = False
    sim.advance(500)
    assert [started for started, _ in sim.starts] == [subtask]


def end_all(sim: Simulation) -> int:
    """End all runs as done and return their number."""
    count = len(sim.running())
    for executor in sim.executors.values():
        for subtask in [*executor.running]:
            executor.end(subtask, EndKind.DONE)
    return count


def test_a_run_whose_end_is_not_listed_yet_is_not_started_again(
    sim: Simulation,
) -> None:
    # Guards against a subtask that runs again after its end as done: an executor lists
    # 500 ends at a time, and during an outage of the store none is confirmed.
    for executor in sim.executors.values():
        executor.max_listed_ends = 2
    job = make_job("a" * 16, Step(12, SMALL))
    sim.submit(job)
    sim.is_store_down = True
    assert end_all(sim) == 12
    sim.advance(3_000)
    assert len(sim.starts) == 12
    sim.is_store_down = False
    for executor in sim.executors.values():
        # The ledger repeats the writes that were lost.
        host = sim.scheduler.hosts.by_id[executor.executor_id]
        host.unstored_ends.clear()
        host.advance_confirmed()
    sim.advance(1_000)
    assert len(sim.starts) == 12
    assert state(sim, job.job_id) is JobState.SUCCEEDED


@pytest.mark.parametrize("wait_ms", [1_000, 20_000])
def test_a_successor_waits_for_the_ends_that_a_host_has_not_listed(
    sim: Simulation, wait_ms: int
) -> None:
    # Guards against a takeover with more ends than one answer lists: the subtasks of
    # the others count as not started, and start again.
    job = make_job("a" * 16, Step(12, SMALL))
    sim.submit(job)
    end_all(sim)
    for executor in sim.executors.values():
        executor.max_listed_ends = 2
    sim.take_over(9)
    sim.is_store_down = True
    sim.list_machines()
    sim.advance(wait_ms)
    assert len(sim.starts) == 12
    sim.is_store_down = False
    for host in sim.scheduler.hosts.by_id.values():
        host.unstored_ends.clear()
        host.advance_confirmed()
    sim.advance(1_000)
    assert len(sim.starts) == 12
    assert state(sim, job.job_id) is JobState.SUCCEEDED


@pytest.mark.parametrize("evidence", ["report", "registry"])
@pytest.mark.parametrize("is_unconfirmed", [False, True])
def test_a_start_that_the_next_incarnation_accepted_is_kept(
    evidence: str, is_unconfirmed: bool
) -> None:
    # Guards against a second run of a subtask: an executor starts again under its id
    # and accepts a start before its new entry is read. The entry or its first report
    # then shows another start time, and the run counts as lost although it is listed.
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2"), FakeExecutor("e3")])
    sim.list_machines()
    sim.advance(100)
    restarted = [sim.executors["e1"], sim.executors["e2"]]
    for executor in restarted:
        executor.restart()
    # The third executor becomes usable once the runs have started.
    sim.scheduler.cordon(frozenset({"e3"}), frozenset())
    sim.submit(make_job("a" * 16, Step(2, SMALL)))
    sim.scheduler.cordon(frozenset(), frozenset())
    running = sorted(sim.running())
    sim.scheduler.term.is_unconfirmed = is_unconfirmed
    if evidence == "registry":
        for executor in restarted:
            sim.scheduler.hosts.register(executor.registration())
    sim.advance(500)
    sim.scheduler.term.is_unconfirmed = False
    for executor in restarted:
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(500)
    assert len(sim.starts) == 2 and sorted(sim.running()) == running
    assert end_all(sim) == 2
    sim.advance(500)
    assert len(sim.starts) == 2
    assert state(sim, "a" * 16) is JobState.SUCCEEDED


def test_runs_of_the_former_incarnation_start_again_at_once(sim: Simulation) -> None:
    # Guards against subtasks that wait for the end of a lease although their executor
    # has started again.
    sim.submit(make_job("a" * 16, Step(2, SMALL)))
    sim.advance(100)
    for executor in sim.executors.values():
        executor.restart()
    sim.advance(100)
    for executor in sim.executors.values():
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(200)
    assert len(sim.starts) == 4 and len(sim.running()) == 2


def test_an_unanswered_start_for_a_former_incarnation_is_stopped_first(
    sim: Simulation,
) -> None:
    # Guards against a start that is repeated elsewhere and then carried out late by the
    # next incarnation of the executor.
    for executor in sim.executors.values():
        executor.is_reachable = False
    sim.submit(make_job("a" * 16))
    ((name, order),) = [row for row in sim.undelivered if hasattr(row[1], "spec")]
    for executor in sim.executors.values():
        executor.is_reachable = True
        executor.restart()
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(1_000)
    sim.executors[name].handle_order(order, sim.now_ms)
    sim.advance(1_000)
    assert len(sim.running()) == 1


def test_a_late_entry_of_a_former_incarnation_is_ignored(sim: Simulation) -> None:
    # Guards against runs that are dropped because the registry still shows an entry
    # from before the executor started again.
    former = [executor.registration() for executor in sim.executors.values()]
    for executor in sim.executors.values():
        executor.restart()
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(100)
    sim.submit(make_job("a" * 16))
    sim.advance(100)
    for registration in former:
        sim.scheduler.hosts.register(registration)
    sim.advance(500)
    assert len(sim.starts) == 1 and len(sim.running()) == 1


def test_ends_are_not_confirmed_after_a_silence(sim: Simulation) -> None:
    # Guards against ends that nobody has read: a poll with the number of the former
    # incarnation's ends reaches the next one, which forgets its own up to that number,
    # and a subtask that is done runs again. Found by the model with seed 103.
    sim.submit(make_job("a" * 16, Step(8, SMALL)))
    sim.advance(100)
    end_all(sim)
    sim.advance(100)
    sim.starts.clear()
    sim.undelivered.clear()
    for executor in sim.executors.values():
        executor.is_reachable = False
    sim.submit(make_job("b" * 16, Step(2, SMALL)))
    late = [row for row in sim.undelivered if isinstance(row[1], Start)]
    assert len(late) == 2
    sim.advance(900)
    # The next incarnation carries the starts out, and both runs end before a poll.
    for executor in sim.executors.values():
        executor.restart()
    for name, order in late:
        sim.executors[name].handle_order(order, sim.now_ms)
    end_all(sim)
    for executor in sim.executors.values():
        executor.is_reachable = True
    sim.advance(500)
    for executor in sim.executors.values():
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(500)
    assert len(sim.starts) == 2
    assert state(sim, "b" * 16) is JobState.SUCCEEDED
    assert not any(executor.ended for executor in sim.executors.values())


def test_an_entry_of_an_older_life_ends_nothing(sim: Simulation) -> None:
    # Guards against subtasks that run twice: an executor has started again twice before
    # the registry shows the first of its new lives, and its reports name the second.
    sim.submit(make_job("a" * 16))
    ((_, name),) = sim.running()
    executor = sim.executors[name]
    executor.restart()
    between = executor.registration()
    executor.restart()
    sim.scheduler.cordon(frozenset(sim.executors) - {name}, frozenset())
    sim.scheduler.hosts.register(executor.registration())
    sim.advance(500)
    assert [row for _, row in sim.running()] == [name]
    sim.scheduler.cordon(frozenset(), frozenset())
    sim.scheduler.hosts.register(between)
    sim.advance(500)
    assert [row for _, row in sim.running()] == [name]
    assert len(sim.starts) == 2


def test_a_life_after_a_clock_that_was_set_back_is_recognised(sim: Simulation) -> None:
    # Guards against subtasks that wait for ever because the entry of a new life looks
    # older than that of the life before.
    for executor in sim.executors.values():
        executor.born_ms = 5_000
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(2, SMALL)))
    sim.advance(100)
    for executor in sim.executors.values():
        executor.restart()
        executor.born_ms = 3_000
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(200)
    for executor in sim.executors.values():
        sim.scheduler.hosts.register(executor.registration())
    sim.advance(200)
    assert len(sim.starts) == 4 and len(sim.running()) == 2
