"""A successor holds up only what a handed over host may run."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.model import Subtask
from guavapin.scheduling.handover import HANDOVER_KEY
from guavapin.scheduling.handover import HandedEntry
from guavapin.scheduling.handover import HandedHost
from guavapin.scheduling.handover import HandedRun
from guavapin.scheduling.handover import collect_hosts
from guavapin.scheduling.handover_codec import decode_handover
from guavapin.scheduling.handover_codec import encode_handover
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.run import RunPhase
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

JOB, OTHER_JOB = "a" * 16, "b" * 16


@pytest.fixture
def sim() -> Simulation:
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job(JOB, Step(2, SMALL)))
    return sim


def cut_off_and_hand_over(sim: Simulation) -> str:
    """Cut off the host of the running job, and begin a term that knows its runs."""
    silent = sim.running()[0][1]
    sim.executors[silent].is_reachable = False
    # A job that the predecessor has stored and not started.
    sim.jobs[OTHER_JOB] = make_job(OTHER_JOB, Step(1, SMALL))
    handed_hosts = collect_hosts(sim.scheduler.hosts)
    sim.take_over(9)
    sim.scheduler.apply_handover(handed_hosts)
    return silent


def jobs_started(sim: Simulation) -> list[str]:
    return [subtask.job_id for subtask, _ in sim.starts]


def test_inherited_jobs_start_although_a_host_is_silent(sim: Simulation) -> None:
    # Guards against jobs that wait for the end of a partition: in gagnon-jobs-large
    # scale-1, the scheduler was stopped while a zone was cut off, and the jobs of all
    # pools waited for five seconds.
    cut_off_and_hand_over(sim)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(500)
    assert jobs_started(sim) == [OTHER_JOB]


def test_a_host_without_a_record_holds_the_jobs_of_its_pool_up(sim: Simulation) -> None:
    # Guards against a record that is used for hosts that it does not contain.
    silent = sim.running()[0][1]
    sim.executors[silent].is_reachable = False
    sim.jobs[OTHER_JOB] = make_job(OTHER_JOB, Step(1, SMALL))
    hosts = collect_hosts(sim.scheduler.hosts)
    sim.take_over(9)
    sim.scheduler.apply_handover(h for h in hosts if h.executor_id != silent)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(500)
    assert jobs_started(sim) == []


def test_a_handed_over_run_starts_elsewhere_only_after_its_lease(
    sim: Simulation,
) -> None:
    # Guards against a second run beside one that continues behind a partition.
    silent = cut_off_and_hand_over(sim)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(1_000)
    ((other, host),) = sim.starts
    sim.executors[host].end(other, EndKind.DONE)
    sim.advance(5_000)
    assert JOB not in jobs_started(sim)
    sim.advance(1_000)
    assert jobs_started(sim).count(JOB) == 2
    assert not sim.executors[silent].running


def test_a_handed_over_run_goes_on_when_its_host_answers(sim: Simulation) -> None:
    # Guards against a run that is started again, or stopped, after a short partition.
    silent = cut_off_and_hand_over(sim)
    running = sorted(sim.executors[silent].running)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(1_000)
    sim.executors[silent].is_reachable = True
    sim.advance(1_000)
    assert sorted(sim.executors[silent].running) == running
    assert jobs_started(sim) == [OTHER_JOB]


@pytest.mark.parametrize(
    ("doubt", "starts"),
    [
        ("", 2),
        ("unlisted", 0),
        ("renewed", 0),
        ("unsettled", 1),
        ("silent", 0),
        ("unsettled, address of another", 2),
    ],
)
def test_runs_on_a_machine_that_went_down_at_a_takeover_start_elsewhere(
    sim: Simulation, doubt: str, starts: int
) -> None:
    # Guards against work that waits for the end of a lease (LOST) on an executor that
    # ended between two terms, and against a second run (TWICE) if it may still be up,
    # or a start may reach its next life.
    silent = cut_off_and_hand_over(sim)
    handed = {row.executor_id: row for row in collect_hosts(sim.scheduler.hosts)}
    record = replace(
        handed[silent],
        runs=tuple(
            replace(run, is_settled="unsettled" not in doubt or index > 0)
            for index, run in enumerate(handed[silent].runs)
        ),
        is_listed=handed[silent].is_listed and doubt != "unlisted",
    )
    sim.take_over(11)
    sim.scheduler.apply_handover(decode_handover(encode_handover((record,))))
    (removal,) = sim.scheduler.term.drain_actions()
    sim.scheduler.handle_stored(removal.entry.tags[0])
    gone = sim.executors[silent]
    # A list alone may be out of date, so it counts only if nobody listens there either.
    gone.is_listening = doubt in ("renewed", "silent")
    gone.is_replaced = "another" in doubt
    if doubt == "renewed":
        sim.scheduler.hosts.register(gone.registration())
    sim.starts.clear()
    list_without(sim, silent)
    sim.advance(1_000)
    assert jobs_started(sim).count(JOB) == starts


def test_a_machine_that_stays_down_after_a_takeover_is_not_waited_for(
    sim: Simulation,
) -> None:
    # Guards against work that waits for the end of a lease (LOST) on a machine without
    # power, whose address refuses nothing, although lists show it as down for seconds.
    silent = cut_off_and_hand_over(sim)
    sim.starts.clear()
    for percent in range(6):
        # A run without progress would be stopped.
        for executor in sim.executors.values():
            executor.percent = percent
        list_without(sim, silent)
        sim.advance(700)
    assert jobs_started(sim).count(JOB) == 2


def list_without(sim: Simulation, name: str) -> None:
    """Deliver a list that shows the machine of an executor as down."""
    sim.now_ms += 1
    sim._update_time()
    pools = tuple((other, "pool") for other in sim.executors if other != name)
    listed = MachinesListed(pools, requested_ms=sim.now_ms)
    sim.scheduler.apply_machines(listed)
    sim.run()


def test_a_machine_that_one_list_left_out_without_a_sure_lease_is_kept(
    sim: Simulation,
) -> None:
    # Guards against second runs (TWICE) once the lease is sure again, of an executor
    # that has answered meanwhile.
    silent = cut_off_and_hand_over(sim)
    handed = {row.executor_id: row for row in collect_hosts(sim.scheduler.hosts)}
    sim.take_over(11)
    sim.scheduler.apply_handover((handed[silent],))
    (removal,) = sim.scheduler.term.drain_actions()
    sim.scheduler.handle_stored(removal.entry.tags[0])
    left_out = sim.executors.pop(silent)
    sim.scheduler.term.is_unconfirmed = True
    sim.list_machines()
    sim.executors[silent] = left_out
    left_out.is_reachable = True
    sim.list_machines()
    sim.advance(500)
    sim.scheduler.hosts.register(left_out.registration())
    sim.advance(500)
    host = sim.scheduler.hosts.by_id[silent]
    assert host.has_answered and host.runs
    sim.scheduler.term.is_unconfirmed = False
    sim.advance(50)
    assert sim.scheduler.hosts.by_id[silent] is host


def test_an_end_that_is_not_stored_is_handed_over(sim: Simulation) -> None:
    # Guards against a subtask that runs again after its host has listed its end.
    sim.is_store_down = True
    subtask, silent = sim.running()[0]
    sim.executors[silent].end(subtask, EndKind.DONE)
    sim.advance(100)
    cut_off_and_hand_over(sim)
    sim.is_store_down = False
    sim.starts.clear()
    sim.list_machines()
    sim.advance(1_000)
    assert jobs_started(sim) == [OTHER_JOB]


@pytest.mark.parametrize(("is_reachable", "steps"), [(True, 60), (False, 400)])
def test_runs_of_an_executor_without_an_entry_are_not_started_again(
    sim: Simulation, is_reachable: bool, steps: int
) -> None:
    # Guards against second runs: the registry had lost the entry of an executor that
    # was up, and the first list of machines showed its machine as down.
    silent = sim.running()[0][1]
    handed = encode_handover(collect_hosts(sim.scheduler.hosts))
    executor = sim.executors.pop(silent)
    sim.take_over(9)
    sim.scheduler.apply_handover(decode_handover(handed))
    sim.list_machines()
    sim.executors[silent] = executor
    executor.is_reachable = is_reachable
    sim.starts.clear()
    sim.advance(1_500)
    assert sim.starts == []
    sim.list_machines()
    for _ in range(steps):
        sim.advance(50)
        subtasks = [subtask for subtask, _ in sim.running()]
        assert len(subtasks) == len({*subtasks})
    # One that stays silent has let its runs lapse.
    assert bool(sim.starts) is not is_reachable


def test_an_executor_that_has_ended_holds_no_start_without_an_answer(
    sim: Simulation,
) -> None:
    # Guards against subtasks that wait for 12 s in each term of a series of stops:
    # their start had no answer, and the executor and its entry were gone.
    silent = sim.running()[0][1]
    executor = sim.executors.pop(silent)
    for run in sim.scheduler.hosts.by_id[silent].runs.values():
        run.phase = RunPhase.UNSETTLED
    handed_hosts = collect_hosts(sim.scheduler.hosts)
    sim.take_over(9)
    sim.scheduler.apply_handover(handed_hosts)
    sim.list_machines()
    sim.executors[silent] = executor
    executor.is_listening = False
    executor.running.clear()
    sim.starts.clear()
    sim.advance(1_000)
    assert len(sim.starts) == 2


def test_nothing_starts_before_the_record_is_removed(sim: Simulation) -> None:
    # Guards against a record that a later scheduler reads, although it does not hold
    # what this one has started (found by the model of takeovers, seed 0).
    cut_off_and_hand_over(sim)
    actions = sim.scheduler.term.actions
    (removal,) = [action for action in actions if isinstance(action, StoreEntry)]
    assert removal.entry.key == HANDOVER_KEY and removal.entry.value is None
    sim.is_store_down = True
    sim.starts.clear()
    sim.list_machines()
    sim.advance(500)
    assert jobs_started(sim) == []
    sim.scheduler.handle_stored(removal.entry.tags[0])
    sim.run()
    assert jobs_started(sim) == [OTHER_JOB]


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    # Guards against a run whose start is taken as settled or as wanted.
    subtask = Subtask("c" * 16, 1, 2, 3)
    runs = (HandedRun(subtask, 4, False, True), HandedRun(subtask, 5, True, False))
    entry = HandedEntry("h:1", "p", "z", Resources(4_000, 512, 1))
    hosts = (
        HandedHost("e1", 7, runs, entry=entry),
        HandedHost("e2", 8, (), is_listed=True),
    )
    assert decode_handover(encode_handover(hosts)) == hosts
    assert decode_handover(b'[["e1",7,[]]]') == (HandedHost("e1", 7, ()),)


@pytest.mark.parametrize("value", [b"", b"{", b"[1]", b'[["e1",1,[["x"]]]]'])
def test_a_record_that_cannot_be_read_is_no_record(value: bytes) -> None:
    # Guards against a term that cannot begin because of the record of another build.
    assert decode_handover(value) is None


def test_a_refused_removal_of_the_record_is_repeated(sim: Simulation) -> None:
    # Guards against a term in which nothing ever starts: the store refused to remove
    # the record of the predecessor, and the removal was given up.
    sim.is_refused = lambda entry: entry.key == HANDOVER_KEY
    cut_off_and_hand_over(sim)
    sim.starts.clear()
    sim.list_machines()
    sim.advance(3_000)
    assert jobs_started(sim) == []
    sim.is_refused = lambda entry: False
    sim.advance(1_000)
    assert jobs_started(sim) == [OTHER_JOB]
