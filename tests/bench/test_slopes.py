from __future__ import annotations

import pytest

from guavapin.objects.check import check
from guavapin_bench import slopes
from guavapin_bench.__main__ import BENCHMARKS
from guavapin_bench.__main__ import Benchmark
from guavapin_bench.__main__ import run
from guavapin_bench.slopes_points import objects_of
from guavapin_bench.slopes_work import request_us


def test_a_line_is_fitted_exactly() -> None:
    # Guards against a wrong slope, which all two-year figures are computed from.
    line = slopes.fit([(4, 11.0), (8, 19.0), (16, 35.0)])
    assert line == pytest.approx({"constant": 3.0, "slope": 2.0, "residual": 0.0})


def test_a_curve_has_a_large_residual() -> None:
    # Guards against a quadratic cost that is reported as linear.
    line = slopes.fit([(4, 16.0), (8, 64.0), (16, 256.0)])
    assert line["residual"] > 10


@pytest.mark.parametrize("point", slopes.POINTS)
def test_measured_object_sets_are_valid(point: slopes.Point) -> None:
    # Guards against a site whose publication is refused, and against zones whose seats
    # do not add up to the number of entry processes.
    objects = objects_of(point)
    assert not check(objects)
    seats = sum(zone.seats for zone in objects.zones.values())
    assert seats == max(point.entries, len(objects.zones))


def test_every_measured_request_is_sent() -> None:
    # Guards against a processor time that is measured on refused requests.
    assert request_us(10) > 0


def test_all_benchmarks_end_within_ten_minutes() -> None:
    # Guards against limits that add up to more than 10 minutes.
    assert sum(item.limit_s for item in BENCHMARKS) <= 600


def test_a_benchmark_is_killed_at_its_time_limit() -> None:
    # Guards against a benchmark that hangs and blocks all later ones.
    assert "limit" in run(Benchmark("fleet", (), 0.05), seed=1)
