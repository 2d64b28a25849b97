"""Rates of organisations and the rejection of their jobs, without a network."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from guavapin.console.commands.scheduling import _overview_text
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.organisations import Organisation
from guavapin.scheduling.describe import describe_job
from guavapin.scheduling.describe import describe_scheduling
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.organisation_admission import WIDER_THAN_CAP
from guavapin.scheduling.organisation_rate import OrganisationRate
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job


def count_within(weight: float, seconds: int, per_second: int) -> int:
    """Count the jobs within the share of an organisation that always submits more."""
    rate, organisation, count = OrganisationRate(5_000), Organisation("a", weight), 0
    for number in range(seconds * per_second):
        now_ms = number * 1_000 // per_second
        if not rate.is_excess(organisation, now_ms):
            rate.take(organisation, now_ms)
            count += 1
    return count


@pytest.mark.parametrize(
    ("weight", "expected"), [(4.0, 60), (0.5, 7), (0.01, 1), (0.0, 0), (1e300, 200)]
)
def test_the_rate_of_a_share_is_its_weight(weight: float, expected: int) -> None:
    # Guards against a share that is never or always used up: depth of 5 s of the
    # weight, at least one job, and 10 s of refill.
    assert abs(count_within(weight, 10, 20) - expected) <= 1


def simulation(weight: float, cap: Resources) -> Simulation:
    sim = Simulation([FakeExecutor("e1")])
    rows = (Organisation("a", weight, cap), Organisation("b", 1.0))
    sim.scheduler.term.table = replace(TABLE, organisations=rows)
    sim.list_machines()
    sim.advance(100)
    return sim


def submit(sim: Simulation, number: int, step: Step, owner: str = "a"):
    job = replace(make_job(f"{number:016x}", step), organisation=owner)
    sim.jobs[job.job_id] = job
    sim.answers.clear()
    sim.scheduler.jobs.handle_request(JobRequest("intake", number, SubmitJob(job)))
    sim.run()
    return sim.answers[-1]


def test_a_gang_wider_than_the_cap_is_rejected_at_once() -> None:
    # Guards against a gang that waits forever, and against the rejection of a single
    # subtask, which may run alone.
    sim = simulation(1.0, Resources(4_000, 0, 0))
    rejection = submit(sim, 1, Step(5, SMALL, is_gang=True))
    assert isinstance(rejection, Rejected)
    assert rejection.detail == WIDER_THAN_CAP
    assert submit(sim, 2, Step(4, SMALL, is_gang=True)) == Accepted()
    assert submit(sim, 3, Step(1, Resources(5_000, 1, 0), is_gang=True)) == Accepted()
    assert sim.scheduler.jobs.by_id.keys() == {f"{2:016x}", f"{3:016x}"}


def test_jobs_within_the_share_are_not_rejected_for_a_backlog() -> None:
    # Guards against the rejection of a job that the organisation is entitled to, while
    # jobs beyond its rate are turned away.
    sim = simulation(0.2, Resources(2_000, 0, 0))
    long = Step(8, SMALL, estimate_ms=4_000)
    assert submit(sim, 1, long) == Accepted()
    answers = [submit(sim, number, long) for number in range(2, 8)]
    assert isinstance(answers[-1], Rejected)
    assert 1_000 <= answers[-1].retry_after_ms <= 10_000
    sim.advance(5_000)
    assert submit(sim, 9, long) == Accepted()
    assert submit(sim, 10, long, owner="b") == Accepted()


def test_operators_see_caps_shares_and_rejections() -> None:
    # Guards against a job that waits for the cap of its organisation without a reason.
    sim = simulation(0.2, Resources(2_000, 0, 0))
    submit(sim, 1, Step(8, SMALL, estimate_ms=4_000))
    submit(sim, 2, Step(5, SMALL, is_gang=True))
    view = describe_scheduling(sim.scheduler).organisations[0]
    assert (view.organisation, view.runs, view.waiting) == ("a", 2, 6)
    assert view.running == Resources(2_000, 2_000, 0)
    assert view.is_held
    assert view.rejected == ((WIDER_THAN_CAP, 1),)
    job = describe_job(sim.scheduler, f"{1:016x}")
    assert job is not None
    assert job.reason.startswith("the cap of organisation a: running 2000 cpu")
    body = msgspec.json.decode(msgspec.json.encode(describe_scheduling(sim.scheduler)))
    rows = [line.split() for line in _overview_text(body).splitlines()]
    (row,) = [row for row in rows if row[:1] == ["a"]]
    assert row[:5] == ["a", "2", "2000/2000/0", "2000/2000/0", "2000/0/0"]
    assert row[8:12] == ["1", "6", "yes", "1"]


def test_the_log_names_the_begin_and_the_end_of_a_hold(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a line for each start of an organisation that stays at its cap.
    caplog.set_level("INFO", "guavapin")
    sim = simulation(0.2, Resources(2_000, 0, 0))
    submit(sim, 1, Step(8, SMALL))
    sim.advance(2_000)
    # Also when nothing waits any more.
    sim.scheduler.jobs.close(sim.scheduler.jobs.by_id[f"{1:016x}"], JobState.CANCELLED)
    sim.advance(2_000)
    held = "organisation held by its cap"
    states = [row.state for row in caplog.records if row.message == held]
    assert states == ["begins", "ends"]
