"""Interference between images, told apart from the other causes of slow subtasks."""

from __future__ import annotations

import random

import pytest

from guavapin.scheduling import interference
from guavapin.scheduling.interference import InterferenceTable
from guavapin.scheduling.interference_comparison import Measure
from guavapin.scheduling.interference_comparison import Sample

BESIDE, ALONE = frozenset({"noisy"}), frozenset()


class Fleet:
    """Hosts with the image "web"; every other one also runs "noisy"."""

    def __init__(self, seed: int = 1, hosts: int = 8) -> None:
        self.table = InterferenceTable()
        self.random = random.Random(seed)
        self.hosts = [f"e{number}" for number in range(hosts)]
        self.now_ms = 10_000
        self.changes: list = []

    def is_beside(self, host: str) -> bool:
        return int(host[1:]) % 2 == 0

    def report(self, slow=lambda host: 1.0, full=lambda host: False, ms=4_000) -> None:
        """Report a load of each host every half second, `slow` times the usual one."""
        for _ in range(ms // 500):
            self.now_ms += 500
            for host in self.hosts:
                value = slow(host) * self.random.uniform(80, 120)
                beside = BESIDE if self.is_beside(host) else ALONE
                row = Sample(self.now_ms, host, "job", value, beside, full(host))
                self.table.add("web", Measure.LATENCY, row)
            self.changes += self.table.judge(self.now_ms)

    def end_runs(self, factor, long_job: int = 99) -> None:
        """End a run of each job on each host, `factor` times as long as usual.

        From the job `long_job` on, the runs beside the neighbour are all of that job.
        """
        for number in range(24):
            self.now_ms += 300
            for host in self.hosts:
                job = min(number, long_job) if self.is_beside(host) else number
                value = factor(job, host) * self.random.uniform(0.5, 1.5)
                beside = BESIDE if self.is_beside(host) else ALONE
                row = Sample(self.now_ms, host, f"j{job}", value, beside, False)
                self.table.add("batch", Measure.RUN_TIME, row)
            self.changes += self.table.judge(self.now_ms)

    def found(self) -> list:
        return [(row.image, row.neighbour) for row in self.table.pairs()]


def test_a_neighbour_that_doubles_the_latency_is_found_and_forgotten() -> None:
    # Guards against amounts of before that are kept when the load has changed.
    fleet = Fleet()
    fleet.report(lambda host: 2.0 if fleet.is_beside(host) else 1.0, ms=4_000)
    (pair,) = fleet.table.pairs()
    assert (pair.image, pair.neighbour) == ("web", "noisy")
    assert 1.7 < pair.slowdown < 2.3 and pair.confidence > 0.99
    assert fleet.table.penalty("web", ["noisy"], fleet.now_ms) > 0.7
    assert fleet.table.penalty("noisy", ["web"], fleet.now_ms) > 0.7
    fleet.report(ms=6_000)
    assert [row.reason for row in fleet.changes] == ["", "no longer slower beside it"]


def test_a_pair_without_new_evidence_fades_within_seconds() -> None:
    # Guards against a pair that is never placed together again and kept for ever.
    fleet = Fleet()
    fleet.report(lambda host: 2.0 if fleet.is_beside(host) else 1.0)
    half_ms = fleet.now_ms + interference.HALF_LIFE_MS
    penalty = fleet.table.penalty("web", ["noisy"], fleet.now_ms)
    assert fleet.table.penalty("web", ["noisy"], half_ms) < 0.6 * penalty
    (dropped,) = fleet.table.judge(fleet.now_ms + 20_000)
    assert dropped.reason == "no evidence renews it" and not fleet.table.pairs()


@pytest.mark.parametrize("seed", range(10))
def test_longer_run_times_beside_a_neighbour_are_found(seed: int) -> None:
    # Guards against estimates that are off by half and hide the neighbour.
    fleet = Fleet(seed)
    fleet.end_runs(lambda job, host: 2.0 if fleet.is_beside(host) else 1.0)
    assert fleet.found() == [("batch", "noisy")]


@pytest.mark.parametrize("seed", range(10))
def test_a_slow_executor_is_not_blamed_on_the_neighbour(seed: int) -> None:
    # Guards against one slow executor, two that are slow for other images as well, and
    # one that is slow without the neighbour too.
    fleet = Fleet(seed)
    fleet.report(lambda host: 3.0 if host == "e0" else 1.0)
    assert fleet.found() == []
    fleet = Fleet(seed)
    fleet.is_beside = lambda host: host == "e0"
    fleet.report(lambda host: 3.0 if host == "e0" else 1.0, ms=8_000)
    assert fleet.found() == []
    fleet = Fleet(seed)
    for host in fleet.hosts:
        for _ in range(4):
            value = 300.0 if host in ("e0", "e2") else 100.0
            row = Sample(fleet.now_ms, host, "job", value, BESIDE, False)
            fleet.table.add("other", Measure.LATENCY, row)
    fleet.table.judge(fleet.now_ms)
    fleet.report(lambda host: 3.0 if host in ("e0", "e2") else 1.0)
    assert fleet.found() == []


@pytest.mark.parametrize("seed", range(10))
def test_a_job_with_long_runs_is_not_blamed_on_the_neighbour(seed: int) -> None:
    # Guards against the longest jobs, 7 times the mean, that happen to run beside it.
    fleet = Fleet(seed)
    fleet.end_runs(
        lambda job, host: 7.0 if job in (3, 8) and fleet.is_beside(host) else 1.0
    )
    assert fleet.found() == []
    # A job of many subtasks, all of which run beside the neighbour.
    fleet = Fleet(seed)
    fleet.end_runs(lambda job, host: 7.0 if job == 6 else 1.0, long_job=6)
    assert fleet.found() == []


@pytest.mark.parametrize("seed", range(10))
def test_a_full_host_is_not_blamed_on_the_neighbour(seed: int) -> None:
    # Guards against a neighbour that is more often on full hosts, which are slower.
    fleet = Fleet(seed, hosts=12)

    def is_full(host: str) -> bool:
        return fleet.is_beside(host) or host == "e1"

    fleet.report(lambda host: 2.0 if is_full(host) else 1.0, is_full)
    assert fleet.found() == []


@pytest.mark.parametrize("seed", range(10))
def test_a_turn_of_demand_is_not_blamed_on_the_neighbour(seed: int) -> None:
    # Guards against a latency that rises on all hosts while the neighbour runs on more.
    fleet = Fleet(seed)
    fleet.is_beside = lambda host: False
    fleet.report(ms=2_000)
    fleet.is_beside = lambda host: host not in ("e1", "e3", "e5")
    fleet.report(lambda host: 3.0)
    assert fleet.found() == []


@pytest.mark.parametrize("seed", range(5))
def test_chance_finds_no_pair_among_many_images(seed: int) -> None:
    # Guards against hundreds of comparisons a second, some of which look clear.
    fleet = Fleet(seed)
    images = [f"i{number}" for number in range(12)]
    for _ in range(40):
        fleet.now_ms += 500
        for host in fleet.hosts:
            present = frozenset(fleet.random.sample(images, 4))
            for image in present:
                value = fleet.random.lognormvariate(0, 0.4)
                row = Sample(fleet.now_ms, host, "job", value, present - {image}, False)
                fleet.table.add(image, Measure.LATENCY, row)
        fleet.changes += fleet.table.judge(fleet.now_ms)
    assert fleet.changes == []


def test_an_image_that_often_runs_beside_both_is_not_blamed() -> None:
    # Guards against two penalties for one cause.
    fleet = Fleet(hosts=12)
    for _ in range(12):
        fleet.now_ms += 500
        for number, host in enumerate(fleet.hosts):
            names = {"noisy", "quiet"} if number < 4 else set()
            names |= {"noisy"} if number == 4 else set()
            value = (2.0 if names else 1.0) * fleet.random.uniform(80, 120)
            names |= {"quiet"} if number == 5 else set()
            row = Sample(fleet.now_ms, host, "job", value, frozenset(names), False)
            fleet.table.add("web", Measure.LATENCY, row)
        fleet.table.judge(fleet.now_ms)
    assert fleet.found() == [("web", "noisy")]


def test_the_table_stays_within_its_bounds() -> None:
    # Guards against callers who name a new image for each job.
    table = InterferenceTable()
    for number in range(3 * interference.MAX_IMAGES):
        beside = frozenset({f"i{number + 1}"})
        for at_ms in range(2 * interference.MAX_SAMPLES):
            row = Sample(at_ms, f"e{number}", "j", 1.0, beside, False)
            table.add(f"i{number}", Measure.RUN_TIME, row)
    assert len(table._samples) == len(table._changed) == interference.MAX_IMAGES
    lengths = {len(samples) for samples in table._samples.values()}
    assert lengths == {interference.MAX_SAMPLES}
    table.judge(500)
    assert len(table._changed) == interference.MAX_IMAGES - interference.IMAGES_PER_PASS
