"""Metrics of ``guavapin-resident``, and the rate limit of its log lines.

Each decision is one log line. Lines above the rate limit are left out but counted, so
that a flood of decisions costs little and the counters stay complete.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from guavapin.metrics.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Mapping

# Log lines per second and in one burst. The busiest second of a usual day has about 150
# decisions. A line takes 30 microseconds, so 300 lines take one percent of a core.
MAX_LINES_PER_SECOND = 300
MAX_BURST_LINES = 600

# The same for the lines that show where each subtask runs, and once more for the rarer
# ones that show why a run was given up. One missing line leaves a second start of a
# subtask unexplained, so more frequent lines do not use them up. The starts of a large
# fleet come in bursts of some thousands.
MAX_RUN_LINES_PER_SECOND = 300
MAX_RUN_BURST_LINES = 3_000
RUN_MESSAGES = frozenset(
    {
        "host known",
        "run adopted",
        "run ended",
        "run of an ended job ended",
        "run ordered",
    }
)
LOSS_MESSAGES = frozenset(
    {
        "host answers after all",
        "host gone",
        "host may have ended",
        "leases ended",
        "run lost",
        "start refused",
    }
)

# Buckets of callers' waiting times in seconds. Most answers need one write to the
# store, and callers time out after about three seconds.
CALL_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0)

# Buckets of jobs' and runs' times in seconds.
WORK_BUCKETS = (0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0)


# Organisations with a label of their own; all others share one.
MAX_ORGANISATIONS = 64
OTHER_ORGANISATIONS = "other"


class CallObserver(Protocol):
    """Observes every answered call of a caller."""

    def observe_call(self, call: str, answer: str, elapsed_ms: int) -> None:
        """Record the kinds of a call and its answer, and the time between them."""
        ...


class ResidentMetrics:
    """The process's metrics; also a `logging.Filter` on its handler."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._decisions = Counter(
            "guavapin_decisions",
            "Decisions and changes of belief, by logger and message.",
            ("logger", "message"),
            registry=self._registry,
        )
        self._lines_left_out = Counter(
            "guavapin_log_lines_left_out",
            "Log lines left out because of their number.",
            registry=self._registry,
        )
        self._calls = Histogram(
            "guavapin_call_seconds",
            "Time from a caller's request to its answer, by kinds of both.",
            ("call", "answer"),
            buckets=CALL_BUCKETS,
            registry=self._registry,
        )
        self._work = Histogram(
            "guavapin_work_seconds",
            "Time from the acceptance of a job or the start of a run to its end.",
            ("what", "end"),
            buckets=WORK_BUCKETS,
            registry=self._registry,
        )
        self._scheduling = Gauge(
            "guavapin_scheduling",
            "1 while this process schedules.",
            registry=self._registry,
        )
        self._refused = Counter(
            "guavapin_organisation_refused",
            "Jobs of an organisation that the scheduler refused, by reason.",
            ("organisation", "reason"),
            registry=self._registry,
        )
        self._held = Gauge(
            "guavapin_organisation_held",
            "1 while the cap of an organisation holds waiting work.",
            ("organisation",),
            registry=self._registry,
        )
        self._organisations: set[str] = set()
        self._pairs = Gauge(
            "guavapin_interference_pairs",
            "Pairs of images of which one is known to slow down the other.",
            registry=self._registry,
        )
        self._client_connections = Gauge(
            "guavapin_client_connections",
            "Open connections of a listener.",
            ("listener",),
            registry=self._registry,
        )
        self._client_bytes = Gauge(
            "guavapin_client_held_bytes",
            "Memory that the connections of a listener hold, as last accounted.",
            ("listener",),
            registry=self._registry,
        )
        self._clients_refused = Counter(
            "guavapin_clients_refused",
            "Requests and connections that a listener refused, by cause.",
            ("listener", "cause"),
            registry=self._registry,
        )
        self._lines = LineBudget(MAX_LINES_PER_SECOND, MAX_BURST_LINES)
        self._run_lines = LineBudget(MAX_RUN_LINES_PER_SECOND, MAX_RUN_BURST_LINES)
        self._loss_lines = LineBudget(MAX_RUN_LINES_PER_SECOND, MAX_RUN_BURST_LINES)
        self._unreported = 0

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def observe_call(self, call: str, answer: str, elapsed_ms: int) -> None:
        """Record the time of a call by the kinds of the call and its answer."""
        self._calls.labels(call, answer).observe(elapsed_ms / 1_000)

    def observe_clients(
        self,
        listener: str,
        connections: int,
        held_bytes: int,
        refused: Mapping[str, int],
    ) -> None:
        """Record open connections, held bytes, and refusals since the last call."""
        self._client_connections.labels(listener).set(connections)
        self._client_bytes.labels(listener).set(held_bytes)
        for cause, count in refused.items():
            self._clients_refused.labels(listener, cause).inc(count)

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a log line and return whether it is within the rate limit.

        Warnings and errors always pass, and lines about runs have a limit of their own.
        The next line that passes carries the number of lines left out.
        """
        message = str(record.msg)
        self._decisions.labels(record.name, message).inc()
        self._update_from_record(record, message)
        if record.levelno < logging.WARNING and not self._budget_of(record).take():
            self._unreported += 1
            self._lines_left_out.inc()
            return False
        if self._unreported:
            record.lines_left_out, self._unreported = self._unreported, 0
        return True

    def _budget_of(self, record: logging.LogRecord) -> LineBudget:
        """Return the budget of a line; the start of a lost subtask explains a loss."""
        message = str(record.msg)
        if message in LOSS_MESSAGES or hasattr(record, "replaced_on"):
            return self._loss_lines
        return self._run_lines if message in RUN_MESSAGES else self._lines

    def _update_from_record(self, record: logging.LogRecord, message: str) -> None:
        elapsed_ms = getattr(record, "after_ms", -1)
        if message == "job ended" and elapsed_ms >= 0:
            end = str(getattr(record, "state", ""))
            self._work.labels("job", end).observe(elapsed_ms / 1_000)
        elif message == "run ended" and elapsed_ms >= 0:
            end = str(getattr(record, "end", ""))
            self._work.labels("run", end).observe(elapsed_ms / 1_000)
        elif message == "scheduling":
            self._scheduling.set(1)
        elif message == "term ends":
            self._scheduling.set(0)
            self._held.clear()
            self._pairs.set(0)
        elif message in ("interference found", "interference dropped"):
            self._pairs.set(getattr(record, "pairs", 0))
        elif message == "job refused" and hasattr(record, "organisation"):
            if record.organisation:
                label = self._organisation_label(record)
                self._refused.labels(label, str(getattr(record, "detail", ""))).inc()
        elif message == "organisation held by its cap":
            is_held = str(getattr(record, "state", "")) == "begins"
            self._held.labels(self._organisation_label(record)).set(is_held)

    def _organisation_label(self, record: logging.LogRecord) -> str:
        name = str(getattr(record, "organisation", ""))
        if name not in self._organisations:
            if len(self._organisations) >= MAX_ORGANISATIONS:
                return OTHER_ORGANISATIONS
            self._organisations.add(name)
        return name
