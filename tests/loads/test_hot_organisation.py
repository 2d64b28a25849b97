"""Replays of one organisation that submits a multiple of its usual rate."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.executors.model import EndKind
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.organisations import Organisation
from guavapin.scheduling.messages import JobRequest
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable

# Four organisations, each with a job of 2.4 core seconds every half second, need 19 of
# the 32 cores. One of them then submits up to eight times as much for 8 s.
NAMES = ("hot", "b", "c", "d")
HOT = NAMES[0]
INTERVAL_MS = 500
DURATION_MS = 8_000
RUN_MS = 600
STEP_MS = 50
OBJECTIVE_MS = round(QUEUE.stretch * RUN_MS) + 1_000
JOB_STEP = Step(2, Resources(2_000, 1_000, 0), RUN_MS)
SHARED = replace(
    TABLE,
    queues=(replace(QUEUE, latency_objective_ms=1_000),),
    organisations=tuple(Organisation(name, 2.0) for name in NAMES),
)
# The earlier policy knows no organisation.
PLAIN = replace(SHARED, organisations=())


@dataclass
class Result:
    """Times of the jobs that ended by organisation, and the rejections."""

    ended_ms: dict[str, list[int]] = field(
        default_factory=lambda: {name: [] for name in NAMES}
    )
    rejected: dict[str, list[Rejected]] = field(
        default_factory=lambda: {name: [] for name in NAMES}
    )

    def slowest_of_others(self) -> int:
        return max(max(self.ended_ms[name]) for name in NAMES if name != HOT)


def replay(factor: int, table: QueueTable) -> Result:
    """Play the load with the hot organisation at a multiple of its usual rate."""
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.scheduler.term.table = table
    sim.list_machines()
    sim.advance(100)
    result, begun, open_jobs, number = Result(), {}, {}, 0
    while sim.now_ms < 60_000:
        at_ms = sim.now_ms - 1_100
        for name in NAMES:
            count = factor if name == HOT else 1
            if at_ms < DURATION_MS and at_ms % INTERVAL_MS == 0:
                for _ in range(count):
                    number += 1
                    answer = submit(sim, number, name)
                    if isinstance(answer, Accepted):
                        open_jobs[f"{number:016x}"] = name, sim.now_ms
                    else:
                        result.rejected[name].append(answer)
        for subtask, holder in sim.running():
            begun.setdefault(subtask, sim.now_ms)
            if sim.now_ms - begun[subtask] >= RUN_MS:
                sim.executors[holder].end(subtask, EndKind.DONE)
        sim.advance(STEP_MS)
        for job_id, (name, begin_ms) in [*open_jobs.items()]:
            state = sim.scheduler.jobs.by_id[job_id].state
            if state is JobState.SUCCEEDED:
                result.ended_ms[name].append(sim.now_ms - begin_ms)
                del open_jobs[job_id]
        if at_ms > DURATION_MS and not open_jobs:
            break
    assert not open_jobs
    return result


def submit(sim: Simulation, number: int, name: str):
    job = replace(make_job(f"{number:016x}", JOB_STEP), organisation=name)
    sim.jobs[job.job_id] = job
    sim.answers.clear()
    sim.scheduler.jobs.handle_request(JobRequest("intake", number, SubmitJob(job)))
    sim.run()
    return sim.answers[-1]


@pytest.mark.parametrize("factor", [5, 8])
def test_a_hot_organisation_does_not_make_others_late(factor: int) -> None:
    # Guards against callers that wait, or are turned away, because of another
    # organisation's load. One run may be under way on the cores that a job needs.
    usual, hot = replay(1, SHARED), replay(factor, SHARED)
    assert hot.slowest_of_others() <= usual.slowest_of_others() + RUN_MS + 2 * STEP_MS
    assert not any(hot.rejected[name] for name in NAMES if name != HOT)


@pytest.mark.parametrize("factor", [5, 8])
def test_the_earlier_policy_made_others_late(factor: int) -> None:
    # Guards against a replay that shows no gain.
    usual, hot = replay(1, PLAIN), replay(factor, PLAIN)
    assert hot.slowest_of_others() > usual.slowest_of_others() + 2 * RUN_MS


def test_the_callers_of_a_hot_organisation_are_told_at_once() -> None:
    # Guards against jobs that are accepted and end when nobody waits any more, and
    # against times of return that lie outside of the bounds.
    hot, earlier = replay(8, SHARED), replay(8, PLAIN)
    rejected = hot.rejected[HOT]
    assert rejected
    assert all(1_000 <= row.retry_after_ms <= 10_000 for row in rejected)
    assert share_in_time(hot) > 0.9 > share_in_time(earlier)


def share_in_time(result: Result) -> float:
    """Return the share of the hot organisation's accepted jobs that were in time."""
    ended_ms = result.ended_ms[HOT]
    return sum(end_ms <= OBJECTIVE_MS for end_ms in ended_ms) / len(ended_ms)


def test_a_hot_organisation_uses_what_the_others_leave() -> None:
    # Guards against rejections while executors are free.
    usual, hot = replay(1, SHARED), replay(2, SHARED)
    assert hot.rejected[HOT] == []
    assert len(hot.ended_ms[HOT]) == 2 * len(usual.ended_ms[HOT])
