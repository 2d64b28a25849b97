"""Routes from requests to services, and from pools to their upstreams; pure data."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.objects.model import ObjectSet
    from guavapin.objects.model import Pool
    from guavapin.objects.model import Service


@dataclass(frozen=True, slots=True)
class Upstream:
    """The executor on one host; `takes_work` is False while the host is leaving."""

    host: str
    address: str
    zone: str
    rack: str
    pool: str
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration generation and one revision of the fleet record.

    `services` is in descending order of the path prefix's length, so that the first
    match is the most specific one. `upstreams` maps a pool to its executors in all
    zones, and `seats` maps a zone to its number of entry seats.
    """

    generation: int = 0
    services: tuple[Service, ...] = ()
    services_by_host: Mapping[str, Service] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    upstreams: Mapping[str, tuple[Upstream, ...]] = field(default_factory=dict)
    seats: Mapping[str, int] = field(default_factory=dict)
    objects: ObjectSet | None = None


@dataclass(frozen=True, slots=True)
class RouteTableChanged:
    """Route by this table from now on; sent to `exchanges` and other subscribers."""

    table: RouteTable


def build_route_table(
    objects: ObjectSet,
    generation: int,
    placements: Mapping[str, str],
    out_of_service: frozenset[str] = frozenset(),
) -> RouteTable:
    """Return the routes for `objects`.

    `placements` maps a host to its effective pool; a host without an entry is in no
    pool. Hosts in `out_of_service` take no new work, but stay in the table so that
    their work in progress is accounted for.
    """
    upstreams: dict[str, list[Upstream]] = {name: [] for name in objects.pools}
    for name, pool in placements.items():
        host = objects.hosts.get(name)
        if host is None or pool not in upstreams:
            continue
        takes_work = name not in out_of_service
        upstreams[pool].append(
            Upstream(name, host.address, host.zone, host.rack, pool, takes_work)
        )
    by_prefix = sorted(
        (service for service in objects.services.values() if service.path_prefix),
        key=lambda service: (-len(service.path_prefix), service.name),
    )
    return RouteTable(
        generation=generation,
        services=tuple(by_prefix),
        services_by_host={
            host_name.lower(): service
            for service in objects.services.values()
            for host_name in service.host_names
        },
        pools=dict(objects.pools),
        upstreams={pool: tuple(members) for pool, members in upstreams.items()},
        seats={zone.name: zone.seats for zone in objects.zones.values()},
        objects=objects,
    )


def match_service(table: RouteTable, host_header: str, target: str) -> Service | None:
    """Return the service that matches the host header, or else the path prefix.

    A prefix matches whole path segments: ``/renewals`` matches ``/renewals/1`` and
    ``/renewals?x=1`` but not ``/renewals-old``.
    """
    by_host = table.services_by_host.get(host_header.partition(":")[0].lower())
    if by_host is not None:
        return by_host
    path = target.partition("?")[0]
    for service in table.services:
        prefix = service.path_prefix.rstrip("/")
        if path == prefix or path.startswith(prefix + "/"):
            return service
    return None
