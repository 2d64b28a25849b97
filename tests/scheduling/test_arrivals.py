"""Estimate of the rate at which work arrives."""

from __future__ import annotations

from guavapin.scheduling.arrivals import Arrivals


def arrive(arrivals: Arrivals, begin_ms: int, end_ms: int, gap_ms: int) -> None:
    for at_ms in range(begin_ms, end_ms, gap_ms):
        arrivals.record(at_ms, "pool", 10_000)


def test_a_sharp_rise_of_the_rate_is_seen_within_half_a_second() -> None:
    # Guards against a pool that grows too late: in gagnon-jobs-grown trouble-2, a pool
    # that needed forty machines had fifteen one second after its turn began.
    arrivals = Arrivals()
    arrive(arrivals, 0, 5_000, 500)
    assert arrivals.cpu_millis("pool", 5_000) == 0
    arrive(arrivals, 5_000, 5_400, 25)
    assert arrivals.cpu_millis("pool", 5_400) >= 0.9 * 40 * 10_000


def test_few_jobs_and_old_jobs_give_no_rate() -> None:
    # Guards against machines that are ordered for a chance cluster of jobs or for a
    # burst that is over.
    arrivals = Arrivals()
    arrive(arrivals, 0, 100, 20)
    assert arrivals.cpu_millis("pool", 100) == 0
    arrive(arrivals, 1_000, 2_000, 25)
    assert arrivals.cpu_millis("pool", 4_000) == 0
    assert arrivals.cpu_millis("other", 2_000) == 0


def test_one_large_job_does_not_set_the_rate() -> None:
    # Guards against a pool that grows because of a single job with much work.
    arrivals = Arrivals()
    arrive(arrivals, 0, 1_000, 25)
    before = arrivals.cpu_millis("pool", 1_000)
    arrivals.record(1_000, "pool", 200_000)
    assert arrivals.cpu_millis("pool", 1_000) < before * 1.6
