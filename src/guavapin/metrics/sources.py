"""The query of a scrape to each service, and the conversion of replies to samples."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.claims.task import ReadCounters
from guavapin.duties.messages import QueryDuty
from guavapin.fleet.messages import QueryFleet
from guavapin.metrics.catalog import Sample
from guavapin.metrics.messages import QueryCounters
from guavapin.peers.messages import QueryPeers
from guavapin.publication.messages import QueryConfiguration
from guavapin.publication.messages import QueryPublisher
from guavapin.serving.messages import GetCounts
from guavapin.serving.readiness import QueryReady

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.duties.messages import DutyStatus
    from guavapin.fleet.effective import FollowedFleet
    from guavapin.peers.messages import PeersStatus
    from guavapin.publication.messages import ConfigurationStatus
    from guavapin.publication.messages import PublisherStatus


@dataclass(frozen=True, slots=True)
class MetricSource:
    """A service, the query that is sent as a `Call`, and the reader of replies."""

    service: str
    query: object
    read: Callable[[Any], Iterator[Sample]]


def _events(
    name: str, counts: Mapping[str, int], metric_names: Mapping[str, str]
) -> Iterator[Sample]:
    """Yield each counter as a label of `name`, or as its own metric.

    `metric_names` holds the metrics of the events that have one.
    """
    for event, count in counts.items():
        if event in metric_names:
            yield Sample(metric_names[event], count)
        else:
            yield Sample(name, count, (event,))


def _read_front(counts: dict[str, int]) -> Iterator[Sample]:
    names = (
        "open_connections",
        "requests_in_progress",
        "largest_output_bytes",
        "held_bytes",
    )
    return _events("front_events", counts, {n: f"front_{n}" for n in names})


def _read_exchanges(counts: dict[str, int]) -> Iterator[Sample]:
    names = ("requests_in_progress", "attempts_in_progress")
    return _events("exchanges_events", counts, {n: f"exchanges_{n}" for n in names})


def _read_upstreams(counts: dict[str, int]) -> Iterator[Sample]:
    names = ("attempts_in_progress", "largest_body_bytes")
    return _events("upstreams_events", counts, {n: f"upstreams_{n}" for n in names})


def _read_platform(counts: dict[tuple[str, str], int]) -> Iterator[Sample]:
    for labels, count in counts.items():
        yield Sample("platform_calls", count, labels)


def _read_claims(counts: dict[str, int]) -> Iterator[Sample]:
    names = ("keys", "pages")
    return _events("claims_events", counts, {n: f"claims_{n}" for n in names})


def _read_peers(status: PeersStatus) -> Iterator[Sample]:
    names = ("sent_bytes", "received_bytes")
    metric_names = {name: f"peers_{name}" for name in names}
    yield from _events("peers_events", status.counters, metric_names)
    members = Counter(member.status.value for member in status.members)
    for value, count in members.items():
        yield Sample("peers_members", count, (value,))


def _read_configuration(status: ConfigurationStatus) -> Iterator[Sample]:
    yield from _events("configuration_events", status.counters, {})
    yield Sample("configuration_generation", status.generation)
    yield Sample("configuration_target_generation", status.target)
    yield Sample("configuration_watching", status.is_watching)


def _read_publisher(status: PublisherStatus) -> Iterator[Sample]:
    metric_names = {"bytes_written": "publisher_written_bytes"}
    yield from _events("publisher_events", status.counters, metric_names)
    yield Sample("publisher_waiting", status.waiting)


def _read_writer(counts: dict[str, int]) -> Iterator[Sample]:
    return _events("fleet_writer_commands", counts, {})


def _read_view_counters(counts: dict[str, int]) -> Iterator[Sample]:
    return _events("fleet_view_events", counts, {})


def _read_fleet(fleet: FollowedFleet) -> Iterator[Sample]:
    yield Sample("fleet_revision", fleet.revision)
    available = sum(host.takes_new_work for host in fleet.hosts.values())
    yield Sample("fleet_hosts", available, ("yes",))
    yield Sample("fleet_hosts", len(fleet.hosts) - available, ("no",))


def _read_registration(counts: dict[str, int]) -> Iterator[Sample]:
    return _events("registration_events", counts, {})


def _read_ready(is_ready: bool) -> Iterator[Sample]:
    yield Sample("ready", is_ready)


def _read_duty(status: DutyStatus) -> Iterator[Sample]:
    yield Sample("duty_held", status.is_held, (status.duty,))


_COMMON_SOURCES = (
    MetricSource("platform", QueryCounters(), _read_platform),
    MetricSource("configuration", QueryConfiguration(), _read_configuration),
    MetricSource("fleet_writer", QueryCounters(), _read_writer),
)

ENTRY_SOURCES = (
    *_COMMON_SOURCES,
    MetricSource("front", GetCounts(), _read_front),
    MetricSource("exchanges", GetCounts(), _read_exchanges),
    MetricSource("upstreams", GetCounts(), _read_upstreams),
    MetricSource("claims", ReadCounters(), _read_claims),
    MetricSource("peers", QueryPeers(), _read_peers),
    MetricSource("publisher", QueryPublisher(), _read_publisher),
    MetricSource("fleet_view", QueryCounters(), _read_view_counters),
    MetricSource("fleet_view", QueryFleet(), _read_fleet),
    MetricSource("registration", QueryCounters(), _read_registration),
    MetricSource("readiness", QueryReady(), _read_ready),
)

CONTROL_SOURCES = (
    *_COMMON_SOURCES,
    MetricSource("duty_fleet", QueryDuty(), _read_duty),
)
