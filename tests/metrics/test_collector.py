"""Metrics of the tasks: the samples of a scrape, and the page that lists them."""

from __future__ import annotations

import re
from concurrent.futures import Future
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.metrics.catalog import SPECS
from guavapin.metrics.catalog import Sample
from guavapin.metrics.collector import TasksCollector
from guavapin.metrics.metrics import Metrics
from guavapin.metrics.sources import CONTROL_SOURCES
from guavapin.metrics.sources import ENTRY_SOURCES
from guavapin.metrics.sources import MetricSource
from guavapin.operators.access import AccessPolicy
from guavapin.operators.app import OperatorsApp
from guavapin.serving.messages import SetReady
from guavapin.serving.readiness import BeginStop
from guavapin.serving.readiness import ReadinessTask

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "metrics.md"
READY = next(src for src in ENTRY_SOURCES if src.service == "readiness")


class FakeServiceClient:
    """Answers with the given replies; a service without one never answers."""

    def __init__(self, replies):
        self.replies = replies
        self.asked = []
        self.futs = []

    def ask(self, service, message):
        fut = Future()
        self.asked.append(service)
        self.futs.append(fut)
        if service in self.replies:
            fut.set_result(self.replies[service])
        return fut


def read_one(value):
    yield Sample("ready", value)


def scrape(collector):
    metrics = Metrics()
    metrics.add_collector(collector)
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(metrics.render().decode())
        for sample in family.samples
    }


def test_page_lists_exactly_the_exported_names():
    # Guards against a metric that operators cannot look up, or that no longer exists.
    metrics = Metrics()
    OperatorsApp((), AccessPolicy(), metrics, lambda: True)
    own = re.findall(r"^# HELP (\S+)", metrics.render().decode(), re.MULTILINE)
    exported = {name for name in own if not name.endswith("_created")}
    exported |= {spec.exported_name for spec in SPECS}
    listed = re.findall(r"^\| `(\w+)` \|", PAGE.read_text(), re.MULTILINE)
    assert sorted(listed) == sorted(exported)


def test_page_marks_the_metrics_of_the_control_daemon():
    control = {"operator_calls", "scrape_silent_services"}
    for spec in SPECS:
        service = spec.name.split("_")[0]
        is_writer = spec.name.startswith("fleet_writer")
        if service in {"platform", "configuration", "duty"} or is_writer:
            control.add(spec.name)
    marked = re.findall(
        r"^\| `guavapin_(\w+?)(?:_total)?` \| C \|", PAGE.read_text(), re.M
    )
    assert set(marked) == control
    services = {src.service for src in CONTROL_SOURCES}
    assert services == {"platform", "configuration", "fleet_writer", "duty_fleet"}


def test_silent_service_is_left_out_and_not_queried_again():
    # Guards against scrapes that hang, or that pile up in the queue of a stuck task.
    client = FakeServiceClient({"one": 1})
    sources = (
        MetricSource("one", "?", read_one),
        MetricSource("stuck", "?", read_one),
    )
    collector = TasksCollector(client, sources, timeout_ms=20)
    for _ in range(2):
        values = scrape(collector)
        assert values == {
            "guavapin_ready": 1,
            "guavapin_scrape_silent_services": 1,
        }
    assert client.asked == ["one", "stuck", "one"]
    stuck = client.futs[1]
    stuck.set_result(0)
    scrape(collector)
    assert client.asked[3:] == ["one", "stuck"]


def test_service_that_stops_counts_as_silent():
    client = FakeServiceClient({})
    collector = TasksCollector(client, (READY,), timeout_ms=20)
    client.ask = lambda service, message: cancelled()
    assert scrape(collector) == {"guavapin_scrape_silent_services": 1}


def cancelled():
    fut = Future()
    fut.cancel()
    return fut


class Sink:
    """Service `front` that ignores the readiness that it receives."""

    name = "front"

    def start(self, context):
        return Ok(None)

    def handle(self, message):
        assert isinstance(message, SetReady)

    def stop(self):
        pass


def test_running_task_answers_a_scrape_by_a_message():
    kernel = Kernel(SystemClock())
    kernel.register(Sink())
    kernel.register(ReadinessTask(), requires=("front",))
    collector = TasksCollector(kernel, (READY,))
    assert isinstance(kernel.start(), Ok)
    try:
        kernel.ask("readiness", BeginStop()).result(10)
        assert scrape(collector) == {
            "guavapin_ready": 0,
            "guavapin_scrape_silent_services": 0,
        }
    finally:
        kernel.stop()
