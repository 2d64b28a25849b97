"""Evidence from reports, placement away from interfering neighbours, moved fillers."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from guavapin.console.commands.scheduling import _overview_text
from guavapin.executors.model import EndKind
from guavapin.executors.model import Look
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.metrics.resident import ResidentMetrics
from guavapin.scheduling import placement
from guavapin.scheduling.describe import describe_scheduling
from guavapin.scheduling.host_health import Health
from guavapin.scheduling.interference import Pair
from guavapin.scheduling.interference_comparison import Measure
from guavapin.scheduling.supervision import MOVE_AFTER_MS
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

WEB = Step(1, SMALL, image="web", target_ms=100, is_long_running=True)
NOISY = Step(1, SMALL, image="noisy", is_long_running=True)


class LoadedExecutor(FakeExecutor):
    """Executor whose load figures the test decides, by job."""

    rack = "r1"
    loads: dict = {}  # noqa: RUF012 -- shared by all executors of a test

    def registration(self):
        return replace(super().registration(), rack=self.rack)

    def handle_order(self, order, now_ms: int):
        outcome = super().handle_order(order, now_ms)
        if not isinstance(order, Look) or not hasattr(outcome, "running"):
            return outcome
        rows = tuple(
            replace(row, load=self.load(row.subtask), percent=100)
            for row in outcome.running
        )
        return replace(outcome, running=rows)

    def load(self, subtask) -> float:
        return self.loads.get(subtask.job_id, 0.0)


@pytest.fixture
def sim() -> Simulation:
    LoadedExecutor.loads = {}
    return simulation(4)


def simulation(hosts: int) -> Simulation:
    sim = Simulation([LoadedExecutor(f"e{number}") for number in range(hosts)])
    sim.list_machines()
    sim.advance(100)
    return sim


def pair(sim: Simulation, image: str = "web", neighbour: str = "noisy") -> None:
    """Let a pair be known."""
    table = sim.scheduler.interference.table
    now_ms = sim.now_ms + 60_000
    row = Pair(image, neighbour, Measure.LATENCY, 2.0, 0.999, 3, 12, now_ms, now_ms)
    table._pairs[image, neighbour] = row
    table._paired_images |= {image, neighbour}


def host_of(sim: Simulation, letter: str) -> str:
    (host,) = (name for task, name in sim.running() if task.job_id == letter * 16)
    return host


def test_a_start_avoids_the_host_of_an_interfering_neighbour(sim) -> None:
    # Guards against best fit that puts a service beside what disturbs it.
    sim.submit(make_job("a" * 16, NOISY))
    sim.submit(make_job("b" * 16, WEB))
    assert host_of(sim, "a") == host_of(sim, "b")
    pair(sim)
    sim.submit(make_job("c" * 16, WEB))
    assert host_of(sim, "c") != host_of(sim, "a")


def test_a_start_is_neither_refused_nor_delayed_for_a_neighbour() -> None:
    # Guards against a preference that becomes a condition.
    sim = simulation(1)
    pair(sim)
    sim.submit(make_job("a" * 16, NOISY))
    sim.submit(make_job("b" * 16, WEB))
    gang = replace(WEB, count=3, is_gang=True, is_long_running=False)
    sim.submit(make_job("c" * 16, gang))
    assert len(sim.running()) == 5


def test_rack_and_spread_come_before_the_neighbour(sim) -> None:
    # Guards against a step that leaves the rack of its data, or exceeds its bound of
    # subtasks on a host, to avoid a neighbour.
    for name in ("e0", "e1"):
        sim.executors[name].rack = "r2"
    sim.scheduler.hosts.replace_registrations(
        executor.registration() for executor in sim.executors.values()
    )
    pair(sim)
    near = replace(NOISY, count=2, preferred_rack="r2", max_per_host=1)
    sim.submit(make_job("a" * 16, near))
    web = replace(WEB, count=3, preferred_rack="r2", max_per_host=1)
    sim.submit(make_job("b" * 16, web))
    hosts = {name for task, name in sim.running() if task.job_id == "b" * 16}
    assert len(hosts) == 3 and {"e0", "e1"} <= hosts
    gang = replace(WEB, count=20, is_gang=True, is_tightly_coupled=True)
    sim.submit(make_job("c" * 16, replace(gang, is_long_running=False)))
    hosts = {name for task, name in sim.running() if task.job_id == "c" * 16}
    assert len({sim.executors[name].rack for name in hosts}) == 1


def test_a_start_looks_at_a_bounded_number_of_hosts(monkeypatch) -> None:
    # Guards against a start that goes through a whole fleet, or through any host
    # besides the first for a step without an image or without a pair.
    sim = simulation(3 * placement.MAX_PREFERRED_FROM)
    seen = []
    fits = placement._fits
    monkeypatch.setattr(
        placement,
        "_fits",
        lambda step_run, host: seen.append(1) or fits(step_run, host),
    )
    sim.submit(make_job("a" * 16, replace(NOISY, count=3 * len(sim.executors))))
    assert len(seen) == 3 * len(sim.executors)
    seen.clear()
    pair(sim)
    sim.submit(make_job("b" * 16, Step(1, SMALL)))
    assert len(seen) == 1
    seen.clear()
    noisy = replace(NOISY, max_per_host=1, count=len(sim.executors) - 5)
    sim.submit(make_job("c" * 16, noisy))
    seen.clear()
    sim.submit(make_job("d" * 16, WEB))
    assert len(seen) == placement.MAX_PREFERRED_FROM


def test_loads_of_reports_reveal_the_neighbour(sim, caplog) -> None:
    # Guards against evidence that is not taken from reports, and pairs that operators
    # cannot see.
    caplog.set_level("INFO", "guavapin")
    web = replace(WEB, count=4, max_per_host=1)
    sim.submit(make_job("a" * 16, web))
    sim.submit(make_job("b" * 16, replace(NOISY, count=2, max_per_host=1)))
    noisy = {name for task, name in sim.running() if task.job_id == "b" * 16}
    for name, executor in sim.executors.items():
        executor.loads = {"a" * 16: 90.0 if name in noisy else 40.0}
    sim.advance(6_000)
    (found,) = sim.scheduler.interference.table.pairs()
    assert (found.image, found.neighbour) == ("web", "noisy")
    (line,) = [row for row in caplog.records if row.message == "interference found"]
    assert (line.slowdown, line.executors, line.pairs) == (2.25, 2, 1)
    (view,) = describe_scheduling(sim.scheduler).pairs
    slowdown = round(found.slowdown_at(sim.now_ms), 2)
    assert (view.image, view.neighbour, view.slowdown) == ("web", "noisy", slowdown)
    body = msgspec.to_builtins(describe_scheduling(sim.scheduler))
    text = _overview_text(body)
    assert "SLOWED BY" in text and "noisy" in text and f"{slowdown:.2f}" in text
    metrics = ResidentMetrics()
    metrics.filter(line)
    assert b"guavapin_interference_pairs 1.0" in metrics.render()


def test_a_failing_host_gives_no_evidence(sim) -> None:
    # Guards against failing executors, whose few successful runs take longer.
    sim.submit(make_job("a" * 16, replace(WEB, count=4, max_per_host=1)))
    sim.submit(make_job("b" * 16, replace(NOISY, count=2, max_per_host=1)))
    noisy = {name for task, name in sim.running() if task.job_id == "b" * 16}
    for name, executor in sim.executors.items():
        executor.loads = {"a" * 16: 90.0 if name in noisy else 40.0}
        health = Health(evidence=float(name in noisy))
        sim.scheduler.hosts.by_id[name].health = health
    sim.advance(6_000)
    assert not sim.scheduler.interference.table.pairs()


def test_run_times_of_done_runs_count_with_their_neighbours(sim) -> None:
    # Guards against failed runs as evidence, and against a neighbour that ended before.
    batch = Step(1, SMALL, image="batch", estimate_ms=1_000)
    sim.submit(make_job("a" * 16, replace(batch, count=4, max_per_host=1)))
    sim.submit(make_job("b" * 16, replace(NOISY, is_long_running=False)))
    noisy = host_of(sim, "b")
    sim.advance(1_000)
    for name, executor in sim.executors.items():
        ended = [task for task in executor.running if task.job_id == "a" * 16]
        executor.end(ended[0], EndKind.FAILED if name == "e3" else EndKind.DONE)
        if name == noisy:
            executor.end(next(iter(executor.running)), EndKind.DONE)
    sim.advance(200)
    samples = sim.scheduler.interference.table._samples["batch", Measure.RUN_TIME]
    beside = {row.executor_id: row.neighbours for row in samples}
    assert set(beside) == {"e0", "e1", "e2"}
    assert beside[noisy] == {"noisy"} and sum(map(len, beside.values())) == 1
    assert all(1.0 <= row.value <= 1.3 for row in samples)


def filler_beside_service(sim: Simulation, filler: Step, load: float = 150.0) -> str:
    """Start a service over its target with a filler; return the host."""
    web = replace(WEB, need=Resources(1_000, 20_000, 0), count=1)
    for letter in "wx":
        sim.submit(make_job(letter * 16, web))
    sim.submit(make_job("f" * 16, filler))
    host = host_of(sim, "f")
    for letter in "wx":
        if host_of(sim, letter) == host:
            LoadedExecutor.loads[letter * 16] = load
    return host


def add_small_host(sim: Simulation) -> None:
    sim.executors["e9"] = LoadedExecutor("e9")
    row = sim.executors["e9"].registration()
    small = replace(row, capacity=Resources(2_000, 9_000))
    sim.scheduler.hosts.replace_registrations(
        [sim.executors["e0"].registration(), small]
    )


FILLER = Step(1, SMALL, is_filler=True, is_long_running=True, saves_progress=True)


def test_a_filler_beside_a_service_over_its_target_moves_after_pacing() -> None:
    # Guards against a filler that is paced to 0 for good, and a service that stays over
    # its target although the filler fits elsewhere.
    LoadedExecutor.loads = {}
    sim = simulation(1)
    first = filler_beside_service(sim, FILLER)
    sim.executors["e9"] = LoadedExecutor("e9")
    sim.scheduler.hosts.replace_registrations(
        executor.registration() for executor in sim.executors.values()
    )
    sim.advance(MOVE_AFTER_MS - 200)
    (run,) = (
        run for run in sim.scheduler.hosts.by_id[first].runs.values() if run.is_filler
    )
    assert host_of(sim, "f") == first and run.pace == 0
    sim.advance(1_500)
    assert host_of(sim, "f") == "e9"


def test_a_moved_filler_does_not_return_to_the_host_that_it_left() -> None:
    # Guards against a filler that returns at once, since its host has the most room.
    LoadedExecutor.loads = {}
    sim = simulation(1)
    first = filler_beside_service(sim, FILLER)
    add_small_host(sim)
    sim.advance(MOVE_AFTER_MS + 1_500)
    assert first == "e0" and host_of(sim, "f") == "e9"


@pytest.mark.parametrize(
    "filler",
    [
        FILLER,
        replace(FILLER, image="f"),
        replace(FILLER, may_be_absent=0),
        replace(FILLER, may_be_absent=0, is_long_running=False),
    ],
)
def test_a_filler_stays_if_it_may_not_miss_one_or_fits_nowhere_else(filler) -> None:
    # Guards against a stop that only costs the work of the filler.
    LoadedExecutor.loads = {}
    sim = simulation(1)
    first = filler_beside_service(sim, filler)
    if filler.may_be_absent == 0:
        add_small_host(sim)
    sim.starts.clear()
    sim.advance(3 * MOVE_AFTER_MS)
    assert host_of(sim, "f") == first and not sim.starts
