"""Replays of executors that fail or reset connections in a busy pool."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from guavapin.scheduling import host as host_module
from guavapin.scheduling.host_health import AVOIDANCE_EVIDENCE
from guavapin.scheduling.host_health import TRIAL_EVIDENCE
from guavapin.scheduling.host_health import TRIAL_MS
from guavapin.scheduling.host_health import Health
from tests.loads.pool import FaultyExecutor
from tests.loads.pool import PoolReplay
from tests.loads.pool import count_starts
from tests.loads.pool import step
from tests.scheduling.simulation import QUEUE

ESTIMATE_MS = 700
OBJECTIVE_MS = round(QUEUE.stretch * ESTIMATE_MS) + QUEUE.latency_objective_ms
FAULTY = 4
HOSTS = 12
SEEDS = range(4)


class StreakHealth(Health):
    """The earlier policy: three failures in a row, and no trial."""

    def after_start(self, now_ms: int) -> Health:
        return self

    def after_silence(self, now_ms: int) -> Health:
        return self

    def after_success(self, started_ms: int, now_ms: int) -> Health:
        return replace(self, evidence=0.0, avoidances=0)

    def after_failure(self, started_ms: int, now_ms: int) -> Health:
        streak = self.evidence + 1
        if streak < 3:
            return replace(self, evidence=streak)
        delay_ms = min(1_500 << self.avoidances, 6_000)
        return replace(
            self,
            evidence=2.0,
            not_before_ms=now_ms + delay_ms,
            avoidances=min(self.avoidances + 1, 2),
        )


def replay(seed: int, failing: float, resets: float, faulty_ms=4_000) -> dict:
    """Run a pool at two thirds of its room, with a third of its hosts faulty."""
    executors = [
        FaultyExecutor(
            f"e{number:02}",
            faulty_until_ms=1_200 + faulty_ms if number < FAULTY else 0,
            failing_share=failing,
            reset_share=resets,
        )
        for number in range(HOSTS)
    ]
    pool = PoolReplay(seed, executors, lambda rng: rng.randrange(640, 850), 0.01)
    names = {f"e{number:02}" for number in range(FAULTY)}
    starts = count_starts(pool.sim, names)
    for _ in range(80):
        pool.submit(step(8, 2_000, ESTIMATE_MS))
        pool.advance(100)
    pool.advance(12_000)
    return {
        "late": pool.late_count(OBJECTIVE_MS),
        "failures": pool.failures,
        "starts": starts(),
    }


@pytest.fixture
def earlier(monkeypatch: pytest.MonkeyPatch):
    """Return a replay under the earlier policy."""

    def run(*args: float) -> dict:
        with monkeypatch.context() as patch:
            patch.setattr(host_module, "Health", StreakHealth)
            return replay(*args)

    return run


@pytest.mark.parametrize("resets", [0.25, 0.5])
def test_resetting_hosts_make_fewer_jobs_late(earlier, resets: float) -> None:
    # Guards against hosts that answer one poll of several and get a full load each
    # time: eight of them were part of an outage with 184 of 312 jobs late.
    now = [replay(seed, 0.0, resets, 12_000) for seed in SEEDS]
    before = [earlier(seed, 0.0, resets, 12_000) for seed in SEEDS]
    assert total(now, "late") < 0.85 * total(before, "late")
    assert total(now, "starts") < 0.7 * total(before, "starts")


@pytest.mark.parametrize("failing", [0.5, 1.0])
def test_failing_hosts_fail_fewer_subtasks(earlier, failing: float) -> None:
    # Guards against a host that fails and gets a full load after each avoidance.
    now = [replay(seed, failing, 0.0, 12_000) for seed in SEEDS]
    before = [earlier(seed, failing, 0.0, 12_000) for seed in SEEDS]
    assert total(now, "failures") < 0.85 * total(before, "failures")


def test_a_short_fault_makes_fewer_jobs_late(earlier) -> None:
    # Guards against a host that stays avoided because each failure of one load doubles
    # the time.
    now = [replay(seed, 1.0, 0.0) for seed in SEEDS]
    before = [earlier(seed, 1.0, 0.0) for seed in SEEDS]
    assert total(now, "late") < 0.8 * total(before, "late")


def test_working_hosts_are_hardly_avoided_for_failures_of_their_subtasks() -> None:
    # Guards against avoiding hosts because three in a hundred subtasks fail for
    # reasons of their own. Each host runs eight subtasks at a time.
    rng = random.Random(1)
    ends, trials, avoidances = 0, 0, 0
    for _ in range(500):
        health = Health()
        for turn in range(100):
            now_ms = 1_000 * turn
            for _ in range(8):
                before, ends = health, ends + 1
                if rng.random() < 0.03:
                    health = health.after_failure(now_ms - 700, now_ms)
                else:
                    health = health.after_success(now_ms - 700, now_ms)
                trials += health.is_on_trial and not before.is_on_trial
                avoidances += health.avoidances > before.avoidances
    assert trials < ends / 400
    assert avoidances < ends / 10_000


def test_a_host_on_trial_gets_one_subtask_until_it_succeeds() -> None:
    # Guards against a full load for a host of which only one poll was answered.
    executor = FaultyExecutor("e")
    pool = PoolReplay(0, [executor], lambda rng: 700, 0.0)
    host = pool.sim.scheduler.hosts.by_id["e"]
    host.set_aside(pool.sim.now_ms)
    pool.submit(step(8, 1_000, ESTIMATE_MS))
    pool.advance(1_400)
    assert not executor.running
    pool.advance(200)
    assert len(executor.running) == 1
    pool.advance(800)
    assert len(executor.running) == 7


def test_a_trial_ends_although_its_subtask_does_not() -> None:
    # Guards against a host that holds one long-running subtask for good.
    health = Health().avoided(0).after_start(2_000)
    assert health.not_before_ms == 2_000 + TRIAL_MS
    assert not health.after_start(2_000 + TRIAL_MS).is_on_trial


def test_a_stopped_trial_subtask_permits_the_next_trial() -> None:
    # Guards against a host that waits for the success of a subtask that is gone.
    health = Health().avoided(0).after_start(2_000)
    ended = health.after_end(2_000, 2_100)
    assert ended.is_on_trial and ended.not_before_ms == 2_100
    assert health.after_end(-100, 2_100) == health


def test_failures_of_one_load_count_as_one_avoidance() -> None:
    # Guards against the eight failures of one load, each of which doubled the time.
    health = Health()
    for _ in range(8):
        health = health.after_failure(0, 100)
    assert health.avoidances == 1
    assert health.evidence == AVOIDANCE_EVIDENCE > TRIAL_EVIDENCE


def test_answers_to_starts_of_before_the_silence_end_no_trial() -> None:
    # Guards against a host that is opened by an answer that was late.
    health = Health().after_silence(500)
    assert health.after_answered_start(400, 600).is_on_trial
    assert not health.after_answered_start(550, 600).is_on_trial


def test_a_gang_starts_on_a_host_that_nothing_else_tries() -> None:
    # Guards against a gang that waits for a trial that no other subtask begins.
    health = Health().avoided(0)
    assert not health.takes_gang(health.not_before_ms)
    assert health.takes_gang(health.not_before_ms + TRIAL_MS)


def total(results: list[dict], name: str) -> int:
    return sum(result[name] for result in results)
