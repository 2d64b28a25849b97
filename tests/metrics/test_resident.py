"""Metrics of the resident daemon that are read from the scheduler's log lines."""

from __future__ import annotations

import io
import logging
from typing import TYPE_CHECKING

import pytest
from prometheus_client.parser import text_string_to_metric_families

from guavapin.executors.model import EndKind
from guavapin.ledger.messages import LedgerFenced
from guavapin.metrics.resident import ResidentMetrics
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job
from tests.scheduling.test_task import begin

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def metrics() -> Iterator[ResidentMetrics]:
    """Return metrics that filter every log record of the product."""
    metrics = ResidentMetrics()
    handler = logging.StreamHandler(io.StringIO())
    handler.addFilter(metrics)
    logger = logging.getLogger("guavapin")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield metrics
    logger.removeHandler(handler)
    logger.setLevel(level)


def samples(metrics: ResidentMetrics, name: str) -> dict[tuple[str, ...], float]:
    """Return a metric's samples by their label values, in the order of the names."""
    return {
        tuple(value for _, value in sorted(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(metrics.render().decode())
        for sample in family.samples
        if sample.name == name
    }


def run_job(*ends: EndKind) -> None:
    """Run a job of one subtask whose attempts end one by one, each after 200 ms."""
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16))
    for end in ends:
        sim.advance(200)
        ((subtask, name),) = sim.running()
        sim.executors[name].end(subtask, end)
        sim.advance(100)


def test_work_seconds_count_the_end_of_each_job_and_run(
    metrics: ResidentMetrics,
) -> None:
    # Guards against a log message or log field that is renamed in the scheduler, so
    # that the histogram no longer counts ends or loses its label.
    run_job(EndKind.FAILED, EndKind.DONE)
    run_job(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED)
    assert samples(metrics, "guavapin_work_seconds_count") == {
        ("succeeded", "job"): 1,
        ("failed", "job"): 1,
        ("done", "run"): 1,
        ("failed", "run"): 4,
    }


def test_work_seconds_observe_the_time_that_the_log_line_gives(
    metrics: ResidentMetrics,
) -> None:
    # Guards against a time of another unit or from another field.
    run_job(EndKind.DONE)
    sums = samples(metrics, "guavapin_work_seconds_sum")
    assert sums.keys() == {("succeeded", "job"), ("done", "run")}
    assert all(0.2 <= seconds <= 0.3 for seconds in sums.values())


def test_the_scheduling_gauge_follows_the_term(metrics: ResidentMetrics) -> None:
    # Guards against a log message of the scheduler's task that is renamed, so that the
    # gauge stays at its last value.
    task, _ = begin()
    assert samples(metrics, "guavapin_scheduling") == {(): 1}
    task.handle(LedgerFenced())
    assert samples(metrics, "guavapin_scheduling") == {(): 0}


def test_decisions_are_counted_by_logger_and_message(metrics: ResidentMetrics) -> None:
    # Guards against a logger or log message that is renamed and so becomes another
    # time series.
    run_job(EndKind.FAILED, EndKind.DONE)
    task, _ = begin()
    task.handle(LedgerFenced())
    assert samples(metrics, "guavapin_decisions_total") == {
        ("guavapin.scheduling", "run ended"): 2,
        ("guavapin.scheduling.hosts", "host known"): 1,
        ("guavapin.scheduling.jobs", "job accepted"): 1,
        ("guavapin.scheduling.jobs", "job ended"): 1,
        ("guavapin.scheduling.starts", "run ordered"): 2,
        ("guavapin.scheduling.task", "term begins"): 1,
        ("guavapin.scheduling.task", "scheduling"): 1,
        ("guavapin.scheduling.task", "term ends"): 1,
    }


def test_organisations_beyond_the_first_64_share_a_label(
    metrics: ResidentMetrics,
) -> None:
    # Guards against a time series for each of any number of organisations.
    log = logging.getLogger("guavapin.scheduling")
    for number in range(70):
        extra = {"organisation": f"o{number}", "detail": "too long"}
        log.info("job refused", extra=extra)
        log.info("job refused", extra=extra | {"organisation": ""})
    refused = samples(metrics, "guavapin_organisation_refused_total")
    assert len(refused) == 65
    assert refused["other", "too long"] == 6
    held = {"organisation": "o1", "state": "begins"}
    log.info("organisation held by its cap", extra=held)
    assert samples(metrics, "guavapin_organisation_held") == {("o1",): 1}
    log.info("organisation held by its cap", extra=held | {"state": "ends"})
    assert samples(metrics, "guavapin_organisation_held") == {("o1",): 0}


@pytest.mark.parametrize("flood", ["job refused", "run ended"])
@pytest.mark.parametrize(
    "fields", [{"msg": "run lost"}, {"msg": "run ordered", "replaced_on": "e1"}]
)
def test_a_flood_of_other_lines_leaves_out_no_line_about_a_lost_run(
    metrics: ResidentMetrics, flood: str, fields: dict[str, str]
) -> None:
    # Guards against a second start of a subtask that no line explains: the lines about
    # the loss of its run were left out beside many others.
    log = logging.getLogger("guavapin.scheduling")
    for _ in range(5_000):
        log.info(flood, extra={"organisation": "", "detail": "", "end": "done"})
    assert samples(metrics, "guavapin_log_lines_left_out_total")[()] > 0
    record = logging.makeLogRecord({"name": log.name, "levelno": 20, **fields})
    assert metrics.filter(record)


@pytest.mark.parametrize("message", ["run ended", "run lost"])
def test_lines_about_runs_are_bounded(metrics: ResidentMetrics, message: str) -> None:
    # Guards against a log that grows without limit with the starts of a large fleet.
    record = logging.makeLogRecord({"levelno": 20, "msg": message})
    assert not all(metrics.filter(record) for _ in range(20_000))
