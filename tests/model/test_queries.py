"""Accepted jobs stay known at every front, and end only with a cause."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from guavapin.intake import fallback as store_fallback
from guavapin.scheduling.job_table import JobTable
from guavapin.scheduling.step_run import StepRun
from tests.model.queries import DEADLINE_MS
from tests.model.queries import MAX_RETRIES
from tests.model.queries import RETRY_MS
from tests.model.test_takeover_model import play

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.jobs.model import Job
    from tests.model.world import Submission
    from tests.model.world import World

SEEDS = 6

# Number of seeds within which a fault that is put back in must be found.
MAX_SEEDS = 10

# Interval of the calls of all callers together, and share of submissions among them.
CALL_INTERVAL_MS = (10, 150)
SUBMITTED_SHARE = 0.05

# Share of the runs that fail; one subtask in 64 fails three times.
FAILING_SHARE = 0.25

# Items in a page of a list of the store, so that a term reads several pages.
MAX_LISTED_ITEMS = 6

# Longest step of the wall clock in one direction.
MAX_CLOCK_STEP_MS = 5_000

PROFILES = (
    ("kill", "stop", "freeze", "cancel", "peer cut", "mend peers", "none"),
    ("outage", "outage", "refused", "compact", "kill", "stop", "mend peers"),
    (
        *("kill", "stop", "freeze", "core cut", "cut", "mend", "mend all", "zone cut"),
        *("executor cut", "outage", "outage", "crash", "restart", "cancel", "refused"),
        *("peer cut", "mend peers", "mend peers", "compact", "step clock", "none"),
    ),
)


def _refuse(world: World) -> None:
    world.rng.choice(world.nodes).is_refused_by_store = True


def _cut_peers(world: World) -> None:
    world.rng.choice(world.nodes).reaches_peers = False


def _mend_peers(world: World) -> None:
    for node in world.nodes:
        node.reaches_peers, node.is_refused_by_store = True, False


def _step_clock(world: World) -> None:
    world.clock.step_ms += world.rng.randint(-MAX_CLOCK_STEP_MS, MAX_CLOCK_STEP_MS)


EVENTS: dict[str, Callable[[World], None]] = {
    "refused": _refuse,
    "peer cut": _cut_peers,
    "mend peers": _mend_peers,
    "compact": lambda world: world.store.discard_history(),
    "step clock": _step_clock,
}


def _call_at_fronts(world: World) -> None:
    """Query a recent job or submit a new one at any node, again and again."""
    rng = world.rng
    node = rng.choice(world.nodes)
    if world.has_faults and rng.random() < SUBMITTED_SHARE:
        world.queries.submit(node, world.draw_submission())
    elif world.submissions:
        world.queries.query(node, _draw_job(world))
    world.schedule(rng.randint(*CALL_INTERVAL_MS), _call_at_fronts, world)


def _draw_job(world: World) -> Submission:
    jobs = [*world.submissions.values()]
    return world.rng.choice(jobs if world.rng.random() < 0.5 else jobs[-6:])


def _begin(world: World) -> None:
    world.store.max_listed_items = MAX_LISTED_ITEMS
    world.fleet.failing_share = FAILING_SHARE
    _call_at_fronts(world)


def play_queries(seed: int) -> World:
    """Play random events beside callers at all fronts, then query every job."""
    profile = PROFILES[seed % len(PROFILES)]
    world = play(seed, profile, extra=EVENTS, prepare=_begin)
    if not world.violations:
        world.queries.query_all()
        world.run((MAX_RETRIES + 1) * (DEADLINE_MS + RETRY_MS[1]))
    return world


@pytest.mark.parametrize("seed", range(SEEDS))
def test_accepted_jobs_are_known_at_every_front(seed: int) -> None:
    # Guards against "no such job" for an accepted job, against a job that is shown as
    # failed or cancelled without cause, and against queries without an answer once
    # nothing fails any more.
    world = play_queries(seed)
    assert world.violations == []
    assert world.queries.answered_in_calm > 0


def read_only_the_progress_from_the_store(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(store_fallback, "_step_after_missing", lambda fallback: None)


def count_each_failure_twice(patch: pytest.MonkeyPatch) -> None:
    record = StepRun.record_failure
    patch.setattr(StepRun, "record_failure", lambda *args: 2 * record(*args))


def never_end_the_read_of_a_job(patch: pytest.MonkeyPatch) -> None:
    handle_fetched = JobTable.handle_fetched

    def handle(jobs: JobTable, job_id: str, job: Job | None) -> None:
        handle_fetched(jobs, job_id, None)
        jobs._fetching.add(job_id)

    patch.setattr(JobTable, "handle_fetched", handle)


@pytest.mark.parametrize(
    ("fault", "detail"),
    [
        (read_only_the_progress_from_the_store, "is not known"),
        (count_each_failure_twice, "shown as failed"),
        (never_end_the_read_of_a_job, "the job is being stored"),
    ],
)
def test_a_lost_job_or_query_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    detail: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model that cannot find one of the three faults of queries.
    fault(monkeypatch)
    played = (play_queries(seed) for seed in range(MAX_SEEDS))
    violations = next(world.violations for world in played if world.violations)
    assert any("LOST" in row and detail in row for row in violations)


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time and print those that break a promise."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    answered = in_calm = 0
    while time.monotonic() < end_s:
        world = play_queries(seed)
        if world.violations:
            broken += 1
            report(f"seed {seed}: {world.violations[0]}")
        answered += world.queries.answered
        in_calm += world.queries.answered_in_calm
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    report(f"{answered} queries answered with a state, {in_calm} of them in calm")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
