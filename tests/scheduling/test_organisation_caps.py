"""What an organisation may have running, decided without a network."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.model import Subtask
from guavapin.jobs.organisations import Organisation
from guavapin.scheduling.cap_gate import MAX_REFUSALS
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.organisation_usage import OrganisationUsage
from guavapin.scheduling.record import Progress
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.record import encode_progress
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


def capped(cpu_millis: int, memory_mb: int = 0, gpus: int = 0):
    cap = Resources(cpu_millis, memory_mb, gpus)
    rows = (Organisation("a", 1.0, cap), Organisation("b", 1.0))
    return replace(TABLE, organisations=rows)


def simulation(cpu_millis: int, executors: int = 2) -> Simulation:
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(executors)])
    sim.scheduler.term.table = capped(cpu_millis)
    sim.list_machines()
    sim.advance(100)
    return sim


def owned(number: int, *steps: Step, owner: str = "a") -> Job:
    return replace(make_job(f"{number:016x}", *steps), organisation=owner)


def count(sim: Simulation, owner: str = "a") -> int:
    jobs = sim.scheduler.jobs.by_id
    running = [jobs.get(subtask.job_id) for subtask, _ in sim.running()]
    return sum(row is None or row.job.organisation == owner for row in running)


def test_starts_stop_at_the_cap_and_go_on_as_runs_end() -> None:
    # Guards against a start beyond the cap, and against a wait that outlasts it.
    sim = simulation(4_000)
    sim.submit(owned(1, Step(9, SMALL)))
    assert count(sim) == 4
    (subtask, holder), *_ = sim.running()
    sim.executors[holder].end(subtask, EndKind.DONE)
    sim.advance(100)
    assert count(sim) == 4


def test_a_run_that_is_being_stopped_counts() -> None:
    # Guards against the work of a cancelled job that goes on beside its successor.
    sim = simulation(4_000)
    for executor in sim.executors.values():
        executor.stop_duration_ms = 400
    sim.submit(owned(1, Step(4, SMALL)))
    sim.submit(owned(2, Step(4, SMALL)))
    sim.scheduler.jobs.close(sim.scheduler.jobs.by_id[f"{1:016x}"], JobState.CANCELLED)
    sim.run()
    assert len(sim.running()) == 4
    sim.advance(1_000)
    assert {subtask.job_id for subtask, _ in sim.running()} == {f"{2:016x}"}


def test_a_subtask_larger_than_the_cap_runs_alone() -> None:
    # Guards against a job that waits forever, and against two of them at a time.
    sim = simulation(500)
    sim.submit(owned(1, Step(3, SMALL)))
    assert count(sim) == 1


def test_a_gang_starts_only_if_all_its_members_fit() -> None:
    # Guards against a part of a gang that holds the cap and waits for the rest.
    sim = simulation(4_000)
    sim.submit(owned(1, Step(2, SMALL)))
    sim.submit(owned(2, Step(3, SMALL, is_gang=True)))
    assert count(sim) == 2
    for subtask, holder in sim.running():
        sim.executors[holder].end(subtask, EndKind.DONE)
    sim.advance(100)
    assert count(sim) == 3


def test_a_filler_counts_with_the_processor_time_that_it_may_use() -> None:
    # Guards against fillers, which reserve none, beyond the cap.
    sim = simulation(2_000)
    sim.submit(owned(1, Step(5, SMALL, is_filler=True)))
    assert count(sim) == 2


def test_a_held_organisation_does_not_hold_up_others() -> None:
    # Guards against thousands of held steps ahead of another organisation's job, and
    # against a dispatch that goes through all of them.
    sim = simulation(1_000)
    for number in range(3_000):
        job = owned(number, Step(1, Resources(990 + number % 3, 1_000 + number % 7, 0)))
        sim.jobs[job.job_id] = job
        sim.scheduler.jobs.open_stored(job)
    sim.run()
    assert count(sim) == 1
    usage, checks = sim.scheduler.hosts.usage, []
    allows = usage.allows
    usage.allows = lambda *args: checks.append(args) or allows(*args)  # type: ignore
    sim.submit(owned(5_000, Step(2, SMALL), owner="b"))
    assert count(sim, "b") == 2
    sim.advance(50)
    assert len(checks) <= 4 * MAX_REFUSALS


def held_simulation(cap: Resources, used: Resources) -> Simulation:
    """Return a simulation in which `a` has one run of this need."""
    sim = Simulation([FakeExecutor(f"e{number}") for number in range(4)])
    rows = (Organisation("a", 1.0, cap), Organisation("b", 1.0))
    sim.scheduler.term.table = replace(TABLE, organisations=rows)
    sim.list_machines()
    sim.advance(100)
    sim.submit(owned(0, Step(1, used, 60_000)))
    assert count(sim) == 1
    return sim


def submit_each(sim: Simulation, needs: list[Resources]) -> None:
    for number, need in enumerate(needs, start=1):
        job = owned(number, Step(1, need, 60_000))
        sim.jobs[job.job_id] = job
        sim.scheduler.jobs.open_stored(job)
    sim.run()


@pytest.mark.parametrize("ahead", [MAX_REFUSALS, 5 * MAX_REFUSALS])
@pytest.mark.parametrize(
    ("large", "small"),
    [
        (Resources(4_150, 1_000, 0), Resources(4_000, 1_000, 0)),
        (Resources(4_000, 2_000, 0), Resources(4_000, 1_100, 0)),
    ],
)
def test_a_step_that_fits_is_found_behind_larger_ones(
    ahead: int, large: Resources, small: Resources
) -> None:
    # Guards against a step within the cap that waits as long as the larger steps of its
    # class ahead of it, since each dispatch begins with these.
    cap, used = Resources(10_000, 10_000, 0), Resources(6_000, 8_500, 0)
    sim = held_simulation(cap, used)
    submit_each(sim, [*[large] * ahead, small])
    sim.advance(500)
    assert (f"{ahead + 1:016x}", 2) in {
        (subtask.job_id, count(sim)) for subtask, _ in sim.running()
    }


def test_the_first_step_comes_before_those_behind_the_refused_ones() -> None:
    # Guards against a search that goes on behind the refused steps and gives them the
    # room that has become enough for the first one.
    cap, used = Resources(10_000, 0, 0), Resources(6_000, 1_000, 0)
    sim = held_simulation(cap, used)
    submit_each(sim, [Resources(4_150, 1_000, 0)] * 5 * MAX_REFUSALS)
    sim.advance(200)
    ((subtask, holder),) = sim.running()
    sim.executors[holder].end(subtask, EndKind.DONE)
    sim.advance(100)
    assert [row.job_id for row, _ in sim.running()] == [
        f"{number:016x}" for number in (1, 2)
    ]


def test_a_changed_table_applies_to_the_next_start() -> None:
    # Guards against starts under a cap that is no longer in force.
    sim = simulation(8_000)
    sim.submit(owned(1, Step(9, SMALL)))
    sim.scheduler.term.table = capped(3_000)
    for _ in range(5):
        subtask, holder = sim.running()[0]
        sim.executors[holder].end(subtask, EndKind.DONE)
        sim.advance(100)
    assert count(sim) == 3
    sim.submit(owned(2, Step(9, SMALL)))
    sim.scheduler.term.table = capped(6_000)
    sim.advance(50)
    assert count(sim) == 6
    sim.scheduler.term.table = TABLE
    sim.advance(50)
    assert count(sim) == 13


@pytest.mark.parametrize("cap", [(4_000, 0, 0), (0, 4_000, 0), (0, 0, 4)])
def test_each_resource_has_a_cap(cap: tuple[int, int, int]) -> None:
    # Guards against a resource of 0, which has no limit, that is taken as one.
    usage, organisation = OrganisationUsage(), capped(*cap).organisation("a")
    assert organisation is not None
    need = Resources(1_000, 1_000, 1)
    usage.inherit_ended("0", "a", need)
    usage.unseen_capacity = need
    assert usage.allows(organisation, need, 3)
    assert not usage.allows(organisation, need, 4)


@pytest.mark.parametrize(("copies", "most"), [(False, 1), (True, 2)])
def test_an_inherited_subtask_counts_for_the_runs_it_may_have(
    copies: bool, most: int
) -> None:
    # Guards against steps with copies that count as all hosts which have not reported,
    # and against a copy of a known run that does not count.
    usage, step = OrganisationUsage(), Step(1, SMALL, is_speculative=copies)
    usage.unseen_capacity = Resources(100_000, 100_000, 100)
    job = owned(1, step)
    usage.inherit(JobRun(job, 0, is_inherited=True))
    for left in range(most, -1, -1):
        assert usage.possible("a").cpu_millis == left * step.need.cpu_millis
        usage.mark_seen(Subtask(job.job_id, 0, 0, 0))


def cancelled_on_a_silent_host(sim: Simulation) -> int:
    """Cancel a job whose host does not answer, take over, and submit another one."""
    sim.submit(owned(1, Step(4, SMALL)))
    (holder,) = {name for _, name in sim.running()}
    sim.executors[holder].is_reachable = False
    sim.scheduler.jobs.close(sim.scheduler.jobs.by_id[f"{1:016x}"], JobState.CANCELLED)
    sim.run()
    sim.take_over(6)
    sim.scheduler.term.table = capped(4_000)
    sim.list_machines()
    sim.submit(owned(2, Step(4, SMALL)))
    sim.advance(1_000)
    return len(sim.running())


def test_runs_of_ended_jobs_on_silent_hosts_count_after_a_takeover() -> None:
    # Guards against a cancelled job that goes on where no stop arrived.
    sim = simulation(4_000)
    assert cancelled_on_a_silent_host(sim) == 4
    # Once no lease of the predecessor can be left, the next job starts.
    sim.advance(13_000)
    assert {subtask.job_id for subtask, _ in sim.running()} == {f"{2:016x}"}


def test_ended_jobs_that_do_not_count_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a scenario in which the fault has no effect.
    monkeypatch.setattr(OrganisationUsage, "inherit_ended", lambda *args: None)
    assert cancelled_on_a_silent_host(simulation(4_000)) == 8


def test_a_job_without_runs_holds_up_no_successor() -> None:
    # Guards against the runs of a cancelled job that count after their end was known.
    sim = simulation(4_000)
    sim.submit(owned(1, Step(4, SMALL)))
    sim.scheduler.jobs.close(sim.scheduler.jobs.by_id[f"{1:016x}"], JobState.CANCELLED)
    sim.advance(1_000)
    (stored,) = map(decode_progress, sim.stored.values())
    assert stored is not None
    assert stored.running == Resources()


def test_the_final_progress_keeps_what_still_runs() -> None:
    # Guards against a record that loses a resource on its way.
    progress = Progress(JobState.FAILED, (), 5, "a", "q", Resources(1, 2, 3))
    assert decode_progress(encode_progress(progress)) == progress


def test_deployments_without_organisations_ask_for_no_cap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a cost, or a delay, where no organisation is configured.
    def fail(*args: object) -> bool:
        raise AssertionError

    monkeypatch.setattr(OrganisationUsage, "allows", fail)
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job(f"{1:016x}", Step(4, SMALL)))
    assert len(sim.running()) == 4
    assert sim.scheduler.hosts.usage._used == {}


@pytest.mark.parametrize(
    ("capacities", "is_speculative", "expected"),
    [
        # Nothing tells the capacity of the missing executor: all inherited needs count.
        ((), False, 8_000),
        ((HOST_CAPACITY, Resources(3_000, 9_000, 0)), False, 3_000),
        # Copies of subtasks that are known to run may run there too.
        ((HOST_CAPACITY, HOST_CAPACITY), True, 16_000),
    ],
)
def test_an_executor_without_a_registration_bounds_what_may_run(
    capacities: tuple[Resources, ...], is_speculative: bool, expected: int
) -> None:
    # Guards against runs of a predecessor on an executor that the store has lost.
    sim = simulation(8_000)
    sim.submit(owned(1, Step(8, SMALL, is_speculative=is_speculative)))
    # The runs are on one host, which loses its registration.
    (holder,) = {name for _, name in sim.running()}
    (other,) = sim.executors.keys() - {holder}
    lost = sim.executors.pop(holder)
    sim.take_over(6)
    sim.scheduler.term.table = capped(8_000)
    listed = ((other, "pool"), (holder, "pool"))
    sim.scheduler.apply_machines(MachinesListed(listed, (), capacities))
    sim.advance(100)
    usage = sim.scheduler.hosts.usage
    assert usage.possible("a").cpu_millis == expected
    assert usage.used("a") == Resources()
    sim.executors[holder] = lost
    sim.scheduler.hosts.register(lost.registration())
    sim.advance(200)
    assert usage.possible("a").cpu_millis == 8_000


def take_over_beside_stale_entries(sim: Simulation, stale: int, refuses: bool) -> None:
    """Take over while the registry has entries of executors that are gone.

    Their machines have moved, so that the platform's list does not name them; their
    addresses refuse connections or are silent.
    """
    sim.take_over(6)
    sim.scheduler.term.table = capped(8_000)
    for number in range(stale):
        gone = FakeExecutor(f"gone{number}")
        sim.executors[gone.executor_id] = gone
        gone.is_reachable, gone.is_listening = False, not refuses
        sim.scheduler.hosts.register(gone.registration())
    list_others(sim)


def list_others(sim: Simulation) -> None:
    """Deliver a list of machines that does not name the executors that are gone."""
    sim.now_ms += 1
    sim._update_time()
    pools = tuple((name, "pool") for name in sim.executors if "gone" not in name)
    sim.scheduler.apply_machines(MachinesListed(pools, requested_ms=sim.now_ms))
    sim.run()


@pytest.mark.parametrize(("refuses", "lists"), [(True, 1), (False, 3)])
def test_executors_that_are_gone_do_not_count_after_a_takeover(
    refuses: bool, lists: int
) -> None:
    # Guards against an organisation whose cap holds everything for 3 s (LOST) and more,
    # though nothing of it runs, until no lease of the predecessor can be left.
    sim = simulation(8_000)
    sim.submit(owned(1, Step(16, SMALL)))
    take_over_beside_stale_entries(sim, 4, refuses)
    for subtask, holder in sim.running():
        sim.executors[holder].end(subtask, EndKind.DONE)
    for _ in range(lists):
        sim.advance(700)
        list_others(sim)
    sim.advance(300)
    assert count(sim) == 8
    for number in range(4):
        sim.scheduler.hosts.unregister(f"gone{number}")
    assert sim.scheduler.hosts.usage.possible("a").cpu_millis == 8_000


@pytest.mark.parametrize("owner", ["", "a"])
def test_runs_of_an_ended_job_count_for_no_more_than_they_need(owner: str) -> None:
    # Guards against caps that hold everything while the runs of one cancelled job are
    # being stopped: each counted as its whole host, for all organisations if the job
    # has none.
    sim = simulation(20_000, executors=4)
    for executor in sim.executors.values():
        executor.stop_duration_ms = 900
    sim.submit(owned(1, Step(4, SMALL, max_per_host=1), owner=owner))
    sim.scheduler.jobs.close(sim.scheduler.jobs.by_id[f"{1:016x}"], JobState.CANCELLED)
    sim.run()
    assert len(sim.running()) == 4
    sim.take_over(6)
    sim.scheduler.term.table = capped(20_000)
    sim.list_machines()
    sim.advance(200)
    assert len(sim.running()) == 4
    possible = sim.scheduler.hosts.usage.possible("a")
    assert possible.cpu_millis == (4_000 if owner else 0)
