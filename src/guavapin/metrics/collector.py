"""Collects the metrics of the tasks by messages at each scrape."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import wait
from typing import TYPE_CHECKING
from typing import Any

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from guavapin.metrics.catalog import SPECS
from guavapin.metrics.catalog import MetricKind
from guavapin.metrics.catalog import Sample
from guavapin.metrics.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from guavapin.metrics.catalog import MetricSpec
    from guavapin.metrics.sources import MetricSource
    from guavapin.operators.api import ServiceClient

# All tasks are queried at once, so a scrape takes at most this long. A task that is
# busy for longer is left out and counted instead of failing the scrape.
SCRAPE_TIMEOUT_MS = 500


class TasksCollector(Collector):
    """Queries the tasks and converts their replies to metrics.

    A service is not queried again before it has answered the last query, so that
    scrapes do not pile up in the queue of a task that hangs.
    """

    def __init__(
        self,
        services: ServiceClient,
        sources: tuple[MetricSource, ...],
        timeout_ms: int = SCRAPE_TIMEOUT_MS,
    ) -> None:
        self._services = services
        self._sources = sources
        self._timeout_ms = timeout_ms
        self._late: dict[MetricSource, Future[Any]] = {}
        self._lock = threading.Lock()

    def describe(self) -> Iterable[Metric]:
        """Return no names, so that the registration queries no task."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Return the metrics of all tasks that answer in time."""
        with self._lock:
            samples, silent = self._read()
        by_name: dict[str, list[Sample]] = {}
        for sample in samples:
            by_name.setdefault(sample.name, []).append(sample)
        by_name["scrape_silent_services"] = [
            Sample("scrape_silent_services", len(silent))
        ]
        for spec in SPECS:
            if spec.name in by_name:
                yield build_family(spec, by_name[spec.name])

    def _read(self) -> tuple[list[Sample], set[str]]:
        late = {src: fut for src, fut in self._late.items() if not fut.done()}
        requested = {
            source: self._services.ask(source.service, source.query)
            for source in self._sources
            if source not in late
        }
        futs = late | requested
        done, _ = wait(futs.values(), self._timeout_ms / 1_000)
        self._late = {src: fut for src, fut in futs.items() if fut not in done}
        samples: list[Sample] = []
        silent = {source.service for source in self._late}
        for source, fut in futs.items():
            if fut not in done:
                continue
            # A task that stops cancels its unanswered calls.
            if fut.cancelled() or fut.exception() is not None:
                silent.add(source.service)
            else:
                samples.extend(source.read(fut.result()))
        return samples, silent


def build_family(spec: MetricSpec, samples: Iterable[Sample]) -> Metric:
    """Return the samples of one metric as a family of the Prometheus client."""
    is_gauge = spec.kind is MetricKind.GAUGE
    cls = GaugeMetricFamily if is_gauge else CounterMetricFamily
    family = cls(f"{PREFIX}_{spec.name}", spec.text, labels=spec.labels)
    for sample in samples:
        family.add_metric(sample.labels, sample.value)
    return family
