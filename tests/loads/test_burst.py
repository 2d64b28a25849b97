"""Replays of a burst in one queue that exceeds what a scheduler can hold."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.limits import MAX_SUBTASKS
from guavapin.jobs.model import Job
from guavapin.jobs.model import Step
from guavapin.scheduling import admission
from guavapin.scheduling.admission import MAX_RETURN_MS
from guavapin.scheduling.admission import MIN_RETURN_MS
from guavapin.scheduling.admission import RETURN_SPREAD
from guavapin.scheduling.admission import Admission
from guavapin.scheduling.messages import JobRequest
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation

PLACES = 100
BURST = 5 * PLACES


@pytest.fixture
def sim(monkeypatch: pytest.MonkeyPatch) -> Simulation:
    monkeypatch.setattr(admission, "MAX_OPEN_JOBS", PLACES)
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    return sim


def replay(sim: Simulation) -> tuple[int, int]:
    """Return the jobs accepted of a burst, and of another queue after it."""
    burst = [submit(sim, number) for number in range(BURST)]
    others = [submit(sim, BURST + number, "h/other/") for number in range(PLACES // 4)]
    return count_accepted(burst), count_accepted(others)


def test_jobs_of_many_subtasks_leave_places_for_other_queues(sim: Simulation) -> None:
    # Guards against a burst of large jobs that takes all memory of each process that
    # schedules, one after the other.
    wide = Job("b" * 16, QUEUE.key, "pool", "spec", (Step(MAX_SUBTASKS, SMALL),))
    places = Admission()
    accepted = 0
    while places.rejection(wide, 0) is None:
        accepted += 1
        places.add(replace(wide, job_id=f"{accepted:016x}"))
    assert accepted == admission.MAX_OPEN_SUBTASKS // MAX_SUBTASKS // 2
    other = replace(wide, queue="h/other/", steps=(Step(1, SMALL),))
    assert places.rejection(other, 0) is None
    places.remove(f"{1:016x}", 0)
    assert places.rejection(wide, 0) is None


def count_accepted(answers: list) -> int:
    return sum(isinstance(answer, Accepted) for answer in answers)


def submit(sim: Simulation, number: int, queue: str = QUEUE.key):
    """Submit a job as a caller does, and return the answer."""
    job = Job(f"{number:016x}", queue, "pool", "spec", (Step(1, SMALL),))
    sim.jobs[job.job_id] = job
    sim.answers.clear()
    sim.scheduler.jobs.handle_request(JobRequest("intake", number, SubmitJob(job)))
    sim.run()
    return sim.answers[-1]


def test_a_burst_in_one_queue_leaves_places_for_the_others(sim: Simulation) -> None:
    # Guards against a burst that takes all places, so that the jobs of every other
    # queue are turned away until it has ended.
    burst, others = replay(sim)
    assert burst == PLACES // 2
    assert others == PLACES // 4


def test_the_earlier_policy_turned_the_other_queues_away(
    sim: Simulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a replay that shows no gain: the limit used to be one for all.
    def reject_above_limit(table, job, now_ms) -> Rejected | None:
        is_full = len(table._open_jobs) >= PLACES
        return Rejected("too many jobs are open", 2_000) if is_full else None

    monkeypatch.setattr(Admission, "rejection", reject_above_limit)
    assert replay(sim) == (PLACES, 0)


def test_the_table_never_holds_more_jobs_than_its_places(sim: Simulation) -> None:
    # Guards against queues that together take more memory than one may.
    for number in range(BURST):
        submit(sim, number, f"h/{number % 7}/")
    assert len(sim.scheduler.jobs.by_id) < PLACES


def test_rejected_callers_do_not_return_together(sim: Simulation) -> None:
    # Guards against a second burst of all callers that were turned away at one moment.
    answers = [submit(sim, number) for number in range(BURST)]
    delays = [row.retry_after_ms for row in answers if isinstance(row, Rejected)]
    assert min(delays) >= MIN_RETURN_MS * (1 - RETURN_SPREAD)
    assert max(delays) <= MAX_RETURN_MS * (1 + RETURN_SPREAD)
    late = sorted(delays[-PLACES:])
    tenths = [late[PLACES * tenth // 10] for tenth in range(10)]
    assert all(later > earlier for earlier, later in pairwise(tenths))


def test_callers_return_sooner_if_jobs_end_faster(sim: Simulation) -> None:
    # Guards against a time of return that says nothing about the backlog.
    job = replace(next(iter(submit_all(sim))), job_id="f" * 16)
    before = sim.scheduler.jobs._admission.rejection(job, sim.now_ms)
    for subtask, name in sim.running():
        sim.executors[name].end(subtask, EndKind.DONE)
    sim.advance(100)
    submit_all(sim)
    after = sim.scheduler.jobs._admission.rejection(job, sim.now_ms)
    assert before is not None and after is not None
    assert after.retry_after_ms < before.retry_after_ms


def test_ended_jobs_make_places(sim: Simulation) -> None:
    # Guards against places that are never free again.
    for _ in range(3):
        submit_all(sim)
        while sim.running():
            for subtask, name in sim.running():
                sim.executors[name].end(subtask, EndKind.DONE)
            sim.advance(200)
    assert sim.scheduler.jobs._admission.open_in_queue(QUEUE.key) == 0


def submit_all(sim: Simulation) -> list[Job]:
    """Submit jobs until the queue has no place left, and return the accepted ones."""
    accepted: list[Job] = []
    number = sim.now_ms * 1_000
    while isinstance(submit(sim, number + len(accepted)), Accepted):
        accepted.append(sim.jobs[f"{number + len(accepted):016x}"])
    return accepted
