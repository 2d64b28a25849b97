"""Replays of a pool that cannot grow and gets more work than callers can wait for."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace

import pytest

from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.scheduling.admission import MAX_RETURN_MS
from guavapin.scheduling.admission import RETURN_SPREAD
from guavapin.scheduling.backlog import MAX_REJECTED_JOBS
from guavapin.scheduling.backlog import RATE_WINDOW_MS
from guavapin.scheduling.backlog import USEFUL_FACTOR
from guavapin.scheduling.backlog import BacklogRule
from guavapin.scheduling.backlog import OpenWork
from guavapin.scheduling.backlog import PoolLoad
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import MachinesListed
from tests.loads.pool import PoolReplay
from tests.loads.pool import step
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import make_job

RUN_MS = 700
TERMS = replace(QUEUE.terms, stretch=1.6, latency_objective_ms=500)
OBJECTIVE_MS = 1.6 * RUN_MS + 500
BUDGET_MS = 3_000
RETRIES = 4
DURATION_MS = 15_000
SEEDS = range(3)


@dataclass
class Caller:
    job: Job
    first_ms: int
    due_ms: int
    tries: int = 0
    accepted_ms: int = 0
    is_told: bool = False


class CallersReplay(PoolReplay):
    """Callers who return after a rejection as long as they have time and tries."""

    def __init__(self, seed: int, off: tuple[Resources, ...] = ()) -> None:
        executors = [FakeExecutor(f"e{number}") for number in range(4)]
        super().__init__(seed, executors, lambda rng: RUN_MS, 0.0)
        pools = tuple((row.executor_id, "pool") for row in executors)
        self.sim.scheduler.apply_machines(MachinesListed(pools, off=off))
        self.callers: list[Caller] = []

    def arrive(self) -> None:
        number = len(self.callers)
        rows = (step(4, 4_000, RUN_MS),)
        job = make_job(f"{number:016x}", *rows)
        job = replace(job, terms=TERMS, queue="h/other/")
        self.callers.append(Caller(job, self.sim.now_ms, self.sim.now_ms))

    def send_due(self) -> None:
        sim = self.sim
        for caller in self.callers:
            if caller.accepted_ms or caller.is_told or sim.now_ms < caller.due_ms:
                continue
            caller.tries += 1
            sim.answers.clear()
            request = JobRequest("intake", caller.tries, SubmitJob(caller.job))
            sim.jobs[caller.job.job_id] = caller.job
            sim.scheduler.jobs.handle_request(request)
            sim.run()
            answer = sim.answers[-1]
            if isinstance(answer, Accepted):
                caller.accepted_ms = sim.now_ms
                self.submitted_ms[caller.job.job_id] = sim.now_ms
                continue
            assert isinstance(answer, Rejected)
            caller.due_ms = sim.now_ms + answer.retry_after_ms
            left_ms = caller.first_ms + BUDGET_MS - caller.due_ms
            caller.is_told = caller.tries > RETRIES or left_ms <= 0

    def count_useful(self) -> int:
        """Count the accepted jobs that ended while they were of use."""
        return sum(
            self.sim.scheduler.jobs.by_id[job_id].state is JobState.SUCCEEDED
            and self.ended_ms[job_id] - submitted_ms <= USEFUL_FACTOR * OBJECTIVE_MS
            for job_id, submitted_ms in self.submitted_ms.items()
        )


def replay(seed: int) -> tuple[int, int, int]:
    """Offer two and a half times the room of the pool.

    Return the jobs that were of use, those that were accepted and of none, and the
    callers that were turned away.
    """
    pool = CallersReplay(seed)
    due = 0.0
    for _ in range(DURATION_MS // 50):
        due += 2.5 * 50 * 4 / RUN_MS
        while due >= pool.rng.uniform(0.5, 1.5):
            due -= 1
            pool.arrive()
        pool.send_due()
        pool.advance(50)
    pool.advance(40_000)
    useful = pool.count_useful()
    accepted = len(pool.submitted_ms)
    told = sum(caller.is_told for caller in pool.callers)
    for caller in pool.callers:
        if not caller.accepted_ms:
            assert caller.job.job_id not in pool.sim.scheduler.jobs.by_id
    return useful, accepted - useful, told


def earlier(monkeypatch: pytest.MonkeyPatch, seed: int) -> tuple[int, int, int]:
    with monkeypatch.context() as patch:
        patch.setattr(BacklogRule, "rejection", lambda rule, job, now_ms: None)
        return replay(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_fewer_jobs_are_of_no_use(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    # Guards against jobs that are accepted although their pool has more work than their
    # callers can wait for, and against rejections that cost jobs which were of use.
    useful, useless, told = replay(seed)
    useful_before, useless_before, told_before = earlier(monkeypatch, seed)
    assert useful >= 0.95 * useful_before
    assert useless < useless_before / 2
    assert told > told_before == 0


def test_a_pool_that_can_grow_rejects_nothing_early() -> None:
    # Guards against rejections at the beginning of a turn, before machines have moved.
    pool = CallersReplay(0, (Resources(10_000_000, 1, 0),))
    for _ in range(100):
        pool.arrive()
    pool.send_due()
    assert all(caller.accepted_ms for caller in pool.callers)


def test_nothing_is_rejected_without_backlog() -> None:
    # Guards against an idle pool whose measured rate is 0.
    pool = CallersReplay(0)
    for _ in range(4):
        pool.arrive()
        pool.send_due()
        pool.advance(3_000)
    assert all(caller.accepted_ms for caller in pool.callers)


def test_the_measured_rate_counts_once_a_pool_cannot_grow() -> None:
    # Guards against a rate that is that of all machines, though not all work is done.
    load = PoolLoad(60_000, 4 * RATE_WINDOW_MS, 10, can_grow=False)
    assert load.backlog_ms == 15_000
    assert replace(load, can_grow=True).backlog_ms == 6_000
    assert replace(load, completed=0).backlog_ms == 6_000
    assert replace(load, completed=0, cpu_millis=0).backlog_ms == 0


def test_work_of_lower_priority_does_not_count() -> None:
    # Guards against urgent jobs that are turned away because others wait.
    work = OpenWork()
    work.add("a", "pool", 0, 100)
    work.add("b", "pool", 1, 1_000)
    work.add("c", "elsewhere", 0, 10_000)
    assert work.backlog("pool", 0) == 100
    assert work.backlog("pool", 1) == 1_100
    work.complete("b", 400, 5_000)
    assert work.backlog("pool", 1) == 700
    assert work.completed("pool", 5_000 + RATE_WINDOW_MS - 1) == 400
    assert work.completed("pool", 5_000 + RATE_WINDOW_MS) == 0
    work.remove("b")
    work.remove("a")
    assert work.backlog("pool", 1) == 0


class FixedLoad:
    """Load with a backlog of a number of milliseconds."""

    def __init__(self, backlog_ms: int) -> None:
        self.load = PoolLoad(backlog_ms, 0, 1, can_grow=False)

    def allowed_ms(self, job: Job) -> float:
        return 1_000.0

    def load_before(self, job: Job) -> PoolLoad:
        return self.load


def job_number(number: int) -> Job:
    return make_job(f"{number:016x}", step(1, 1_000, RUN_MS))


def test_late_jobs_that_are_of_use_are_accepted() -> None:
    # Guards against rejections of jobs that are late but of use to their callers.
    assert BacklogRule(FixedLoad(3_000)).rejection(job_number(1), 0) is None
    assert BacklogRule(FixedLoad(3_001)).rejection(job_number(1), 0) is not None


def test_callers_that_have_waited_longest_return_first() -> None:
    # Guards against callers that are overtaken by those who were rejected later.
    rule = BacklogRule(FixedLoad(12_000))
    first, later = job_number(1), job_number(1 << 40)
    before = rule.rejection(first, 0)
    again, new = rule.rejection(first, 5_000), rule.rejection(later, 5_000)
    assert before is not None and again is not None and new is not None
    assert again.retry_after_ms == pytest.approx(before.retry_after_ms * 4 / 9, abs=2)
    assert again.retry_after_ms < new.retry_after_ms


def test_times_of_return_are_spread_and_bounded() -> None:
    # Guards against callers that return together, or long after they have given up.
    rule, rng = BacklogRule(FixedLoad(100_000)), random.Random(1)
    delays = {
        rule.rejection(job_number(rng.randrange(1 << 60)), 0).retry_after_ms
        for _ in range(5_000)
    }
    assert max(delays) <= MAX_RETURN_MS * (1 + RETURN_SPREAD)
    assert max(delays) - min(delays) > MAX_RETURN_MS * RETURN_SPREAD
    assert len(rule._first_rejected_ms) <= MAX_REJECTED_JOBS
