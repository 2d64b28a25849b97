"""The metrics of the tasks: their names, units and help texts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """Type of a metric: the value of a counter only rises, a gauge may fall."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """One metric; `name` has the unit but neither prefix nor ``_total``."""

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()

    @property
    def exported_name(self) -> str:
        """Return the name of its samples."""
        suffix = "_total" if self.kind is MetricKind.COUNTER else ""
        return f"guavapin_{self.name}{suffix}"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric; `labels` are in the order of its `MetricSpec`."""

    name: str
    value: float
    labels: tuple[str, ...] = ()


def _counter(name: str, text: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.COUNTER, text, labels)


def _gauge(name: str, text: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.GAUGE, text, labels)


SPECS = (
    _counter("front_events", "Events at the callers' listener", "event"),
    _gauge("front_open_connections", "Callers' connections open"),
    _gauge("front_requests_in_progress", "Requests received and not yet answered"),
    _gauge("front_largest_output_bytes", "Largest output held for one caller"),
    _gauge("front_held_bytes", "Memory that callers' connections hold"),
    _counter("exchanges_events", "Events of requests and attempts", "event"),
    _gauge("exchanges_requests_in_progress", "Requests queued, running or answering"),
    _gauge("exchanges_attempts_in_progress", "Attempts that hold a slot"),
    _counter("upstreams_events", "Events of connections to upstreams", "event"),
    _gauge("upstreams_attempts_in_progress", "Attempts on a connection"),
    _gauge("upstreams_largest_body_bytes", "Largest body held for one attempt"),
    _counter("platform_calls", "Calls of the platform's service", "kind", "outcome"),
    _counter("claims_events", "Events of idempotency keys", "event"),
    _gauge("claims_keys", "Keys whose outcome is not recorded yet"),
    _gauge("claims_pages", "Pages of outcomes in memory"),
    _counter("peers_events", "Events of peer messages", "event"),
    _counter("peers_sent_bytes", "Bytes sent to peers"),
    _counter("peers_received_bytes", "Bytes received from peers"),
    _gauge("peers_members", "Known entry processes by state", "status"),
    _counter("configuration_events", "Events of the configuration", "event"),
    _gauge("configuration_generation", "Generation in effect, 0 without one"),
    _gauge("configuration_target_generation", "Generation being fetched, 0 for none"),
    _gauge("configuration_watching", "1 while this process holds the zone's watch"),
    _counter("publisher_events", "Events of publications", "event"),
    _counter("publisher_written_bytes", "Bytes of configuration written"),
    _gauge("publisher_waiting", "Publications in progress or waiting"),
    _counter("fleet_writer_commands", "Fleet commands by result", "result"),
    _counter("fleet_view_events", "Events of the fleet view", "event"),
    _gauge("fleet_revision", "Revision of the fleet record in effect"),
    _gauge("fleet_hosts", "Hosts in the fleet view", "takes_new_work"),
    _counter("registration_events", "Failures of the registration", "event"),
    _gauge("ready", "1 while this process should get callers' requests"),
    _gauge("duty_held", "1 while this process holds the duty", "duty"),
    _gauge("scrape_silent_services", "Services that did not answer this scrape"),
)
