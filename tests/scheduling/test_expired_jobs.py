"""Ended jobs are removed in time, and never while callers may still query them."""

from __future__ import annotations

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import StateIs
from guavapin.jobs.model import JobState
from guavapin.scheduling.messages import AnswerCall
from guavapin.scheduling.messages import JobRequest
from tests.scheduling.simulation import TIMES
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

JOB = make_job("a" * 16)
RETENTION_MS = TIMES.ended_job_retention_ms
HOUR_MS = 3_600_000


@pytest.fixture
def sim() -> Simulation:
    """Return a simulation in which `JOB` has succeeded."""
    executor = FakeExecutor("e1")
    sim = Simulation([executor])
    sim.list_machines()
    sim.advance(100)
    sim.submit(JOB)
    sim.advance(100)
    ((subtask, _),) = sim.running()
    executor.end(subtask, EndKind.DONE)
    sim.advance(1_000)
    assert state(sim) is JobState.SUCCEEDED
    return sim


def remove_expired(sim: Simulation, wall_ms: int) -> None:
    """Remove expired jobs at a time of the wall clock."""
    sim.scheduler.term.now_ms = sim.now_ms
    sim.scheduler.term.wall_ms = wall_ms
    sim.scheduler.jobs.remove_expired()


def state(sim: Simulation) -> JobState | None:
    """Return the state that a query is answered with, None for an unknown job."""
    sim.scheduler.jobs.handle_request(JobRequest("intake", 1, QueryJob(JOB.job_id)))
    rows = sim.scheduler.term.drain_actions()
    (answer,) = [row.answer for row in rows if isinstance(row, AnswerCall)]
    return answer.state if isinstance(answer, StateIs) else None


@pytest.mark.parametrize("has_successor", [False, True])
def test_a_clock_that_jumps_ahead_removes_no_ended_job(
    sim: Simulation, has_successor: bool
) -> None:
    # Guards against "no such job" for a job that ended a moment ago: a host whose wall
    # clock is ahead of that of the host where the job ended removed it at once.
    if has_successor:
        sim.take_over(6)
    for _ in range(10):
        remove_expired(sim, sim.now_ms + HOUR_MS)
        assert state(sim) is JobState.SUCCEEDED
        sim.now_ms += RETENTION_MS // 10
    assert sim.scheduler.term.actions == []


@pytest.mark.parametrize("has_successor", [False, True])
def test_a_job_that_ended_long_ago_is_removed(
    sim: Simulation, has_successor: bool
) -> None:
    # Guards against a store that fills up with jobs that ended long ago.
    if has_successor:
        sim.take_over(6)
    sim.now_ms += 2 * RETENTION_MS + 1_000
    remove_expired(sim, sim.now_ms)
    assert state(sim) is None
