"""Counters, gauges and histograms of one process under one prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from prometheus_client.registry import Collector

PREFIX = "guavapin"
# Upper bounds in seconds; the low end resolves the added time of an entry process,
# the high end the longest service timeouts.
DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """Creates the metrics of the services of one kernel and renders them.

    Several kernels may run in one process, so each has a registry of its own. A
    second request for a name returns the same metric.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._by_name: dict[str, Counter | Gauge | Histogram] = {}

    def counter(self, name: str, text: str, labels: Sequence[str] = ()) -> Counter:
        """Return the counter ``guavapin_NAME_total``."""
        metric = self._by_name.get(name)
        if not isinstance(metric, Counter):
            metric = Counter(
                name, text, labels, namespace=PREFIX, registry=self._registry
            )
            self._by_name[name] = metric
        return metric

    def gauge(self, name: str, text: str, labels: Sequence[str] = ()) -> Gauge:
        """Return the gauge ``guavapin_NAME``."""
        metric = self._by_name.get(name)
        if not isinstance(metric, Gauge):
            metric = Gauge(
                name, text, labels, namespace=PREFIX, registry=self._registry
            )
            self._by_name[name] = metric
        return metric

    def duration(self, name: str, text: str, labels: Sequence[str] = ()) -> Histogram:
        """Return the histogram ``guavapin_NAME``; `name` ends in ``_seconds``."""
        metric = self._by_name.get(name)
        if not isinstance(metric, Histogram):
            metric = Histogram(
                name,
                text,
                labels,
                namespace=PREFIX,
                registry=self._registry,
                buckets=DURATION_BUCKETS_S,
            )
            self._by_name[name] = metric
        return metric

    def add_collector(self, collector: Collector) -> None:
        """Add metrics that are collected at each scrape."""
        self._registry.register(collector)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
