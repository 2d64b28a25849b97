"""Replays of a turn that asks for more than its pool holds, with wrong estimates."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from guavapin.jobs.model import JobState
from guavapin.scheduling import lateness
from guavapin.scheduling import learned_times
from guavapin.scheduling.lateness import TURN_INTERVAL_MS
from guavapin.scheduling.lateness import TurnQueue
from guavapin.scheduling.lateness import WorkTimes
from guavapin.scheduling.learned_times import LearnedTimes
from tests.loads.pool import PoolReplay
from tests.loads.pool import step
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import FakeExecutor

SHORT_MS, LONG_MS = 750, 1_500
SLO_MS = 500
TERMS = replace(QUEUE.terms, stretch=1.6, latency_objective_ms=SLO_MS)
SEEDS = range(4)
TURN_MS = 4_500


class TurnReplay(PoolReplay):
    """Two queues of jobs of two steps, whose estimates are off by a factor each."""

    def __init__(self, seed: int, short_factor: float, long_factor: float) -> None:
        executors = [FakeExecutor(f"e{number:02}") for number in range(8)]
        super().__init__(seed, executors, self._draw_run_ms, 0.0)
        self._factors = {"short": short_factor, "long": long_factor}
        self.true_ms = {"short": SHORT_MS, "long": LONG_MS}
        self.kinds: dict[str, str] = {}

    def _draw_run_ms(self, rng: random.Random) -> int:
        return 0

    def run_time_ms(self, subtask, rng: random.Random) -> int:
        mean_ms = self.true_ms[self.kinds[subtask.job_id]]
        return round(mean_ms * rng.uniform(0.8, 1.2))

    def submit_kind(self, kind: str) -> None:
        estimate_ms = round(self.true_ms[kind] * self._factors[kind])
        cpu = 3_000 if kind == "short" else 5_000
        self.kinds[f"{len(self.submitted_ms):016x}"] = kind
        rows = (step(4, cpu, estimate_ms), step(4, cpu, estimate_ms, after=0))
        self.submit(*rows, queue=f"h/{kind}/", terms=TERMS)

    def objective_ms(self, job_id: str) -> float:
        return 1.6 * 2 * self.true_ms[self.kinds[job_id]] + SLO_MS

    def count(self, factor: float, kind: str = "") -> int:
        """Count the jobs that took longer than a multiple of their true objective."""
        return sum(
            self.sim.scheduler.jobs.by_id[job_id].state is not JobState.SUCCEEDED
            or self.ended_ms[job_id] - submitted_ms > factor * self.objective_ms(job_id)
            for job_id, submitted_ms in self.submitted_ms.items()
            if kind in ("", self.kinds[job_id])
        )


def replay(seed: int, factors: tuple[float, float], load=1.0) -> TurnReplay:
    """Play a calm, in which run times are learned, and a turn beyond the room."""
    pool = TurnReplay(seed, *factors)
    for number in range(10):
        pool.submit_kind("short" if number % 2 else "long")
        pool.advance(400)
    pool.advance(3_000)
    due = 0.0
    for _ in range(TURN_MS // 50):
        due += load / 2
        while due >= 1:
            due -= 1
            pool.submit_kind("short" if pool.rng.random() < 0.6 else "long")
        pool.advance(50)
    pool.advance(30_000)
    return pool


@pytest.fixture
def earlier(monkeypatch: pytest.MonkeyPatch):
    """Return a replay under the earlier policy, which judged by the estimates."""

    def run(*args) -> TurnReplay:
        with monkeypatch.context() as patch:
            patch.setattr(LearnedTimes, "expected_ms", lambda self, queue, step, ms: ms)
            patch.setattr(lateness, "TURN_FACTOR", 1e9)
            patch.setattr(
                WorkTimes, "sorting_ms", lambda t, now: t.accepted_ms + t.allowed_ms
            )
            return replay(*args)

    return run


def total(pools: list[TurnReplay], factor: float) -> int:
    return sum(pool.count(factor) for pool in pools)


@pytest.mark.parametrize("factors", [(2.0, 0.5), (0.5, 0.5)])
def test_wrong_estimates_make_fewer_jobs_late(
    earlier, factors: tuple[float, float]
) -> None:
    # Guards against jobs that are served although they are late in any case, and late
    # although they could be in time, because their estimates are off.
    now = [replay(seed, factors) for seed in SEEDS]
    before = [earlier(seed, factors) for seed in SEEDS]
    assert total(now, 1) < 0.8 * total(before, 1)
    assert total(now, 3) <= total(before, 3)


def test_right_estimates_stay_in_use(earlier) -> None:
    # Guards against learned run times that are worse than good estimates.
    now = [replay(seed, (1.0, 1.0)) for seed in SEEDS]
    before = [earlier(seed, (1.0, 1.0)) for seed in SEEDS]
    assert total(now, 1) <= 1.05 * total(before, 1)


def late_job_ends_after(duration_ms: int) -> int | None:
    """Return the age at which a late job ends beside a stream of jobs in time."""
    pool = PoolReplay(0, [FakeExecutor("e")], lambda rng: 400, 0.0)
    pool.submit(step(1, 16_000, 400))
    late = pool.submit(step(1, 16_000, 400), terms=replace(TERMS, stretch=0.1))
    for _ in range(duration_ms // 200):
        pool.submit(step(1, 16_000, 400), terms=TERMS)
        pool.advance(200)
        if late.job_id in pool.ended_ms:
            return pool.ended_ms[late.job_id] - pool.submitted_ms[late.job_id]
    return None


def test_late_work_gets_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a late job that never starts while jobs in time use all room.
    turn_ms = WorkTimes(0, 0.1 * 400 + SLO_MS, 400).turn_ms
    age_ms = late_job_ends_after(20_000)
    assert age_ms is not None and turn_ms < age_ms < turn_ms + 1_500
    monkeypatch.setattr(lateness, "TURN_FACTOR", 1e9)
    assert late_job_ends_after(20_000) is None


def test_a_pool_gives_one_turn_at_a_time() -> None:
    # Guards against a late backlog that takes all room when its turn has come.
    pool = PoolReplay(0, [FakeExecutor("e")], lambda rng: 400, 0.0)
    turns = TurnQueue()
    for number in range(3):
        job = pool.submit(step(1, 16_000, 400))
        step_run = pool.sim.scheduler.jobs.by_id[job.job_id].step_run((0, 0))
        turns.add("pool" if number else "other", step_run, 100.0)
    counts = [
        len(turns.pop_due(now_ms, lambda step_run: True))
        for now_ms in (99, 100, 100 + TURN_INTERVAL_MS - 1, 100 + TURN_INTERVAL_MS)
    ]
    assert counts == [0, 2, 0, 1]


def test_of_late_work_the_last_steps_come_first() -> None:
    # Guards against jobs that are begun one after the other and of no use in the end.
    begun = WorkTimes(1_000, 1_000.0, 500, completes_job=True)
    new = WorkTimes(1_400, 1_000.0, 500)
    assert begun.sorting_ms(1_400) == 2_000 > begun.sorting_ms(1_600) == 1_000
    assert new.sorting_ms(2_100) == 2_400


def test_the_prediction_with_the_least_error_is_used() -> None:
    # Guards against a mean over jobs of different size whose estimates are only scaled.
    times, rng = LearnedTimes(), random.Random(1)
    for _ in range(50):
        estimate_ms = rng.randrange(100, 2_000)
        times.record("scaled", 0, estimate_ms, 2 * estimate_ms)
        times.record("flat", 0, estimate_ms, 700)
        times.record("right", 0, estimate_ms, estimate_ms)
    assert times.expected_ms("scaled", 0, 300) == pytest.approx(600, rel=0.05)
    assert times.expected_ms("flat", 0, 300) == pytest.approx(700, rel=0.05)
    assert times.expected_ms("right", 0, 300) == 300
    assert times.expected_ms("scaled", 5, 300) == pytest.approx(600, rel=0.05)
    assert times.expected_ms("unknown", 0, 300) == 300


def test_the_classes_of_run_times_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against queues that come and go and take more and more memory.
    monkeypatch.setattr(learned_times, "MAX_CLASSES", 10)
    times = LearnedTimes()
    for number in range(100):
        times.record(f"q{number}", number, 100, 200)
    assert len(times._classes) <= 10
