"""Object sets of the two sites and of a generated fleet of any size."""

from __future__ import annotations

from dataclasses import dataclass

from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.objects.model import TeamQuota

HOSTS_PER_RACK = 4
FIRST_PORT = 20_000


@dataclass(frozen=True, slots=True)
class Site:
    """Size of a site; `seats` is the number of entry hosts in each zone.

    Jobs of `long_service` run several times longer than those of other services.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    seats: tuple[int, ...]
    services: tuple[str, ...]
    long_service: str
    spare_pool: str
    executors: int
    cores: int
    caller_delay_ms: float
    zone_delay_ms: float


GAGNON = Site(
    name="gagnon",
    region="quebec",
    zones=("rimouski", "matane", "gaspe"),
    seats=(3, 2, 2),
    services=(
        "season-pricing",
        "route-building",
        "renewals",
        "bag-labels",
        "feeding-reminders",
    ),
    long_service="route-building",
    spare_pool="feeding-reminders",
    executors=6,
    cores=16,
    caller_delay_ms=3.0,
    zone_delay_ms=0.5,
)

MANDALI = Site(
    name="mandali",
    region="gujarat",
    zones=("ahmedabad", "vadodara", "surat", "rajkot"),
    seats=(2, 2, 2, 2),
    services=(
        "clause-checks",
        "signage-validation",
        "schedule-rendering",
        "order-compilation",
        "office-services",
    ),
    long_service="order-compilation",
    spare_pool="office-services",
    executors=8,
    cores=32,
    caller_delay_ms=1.0,
    zone_delay_ms=1.4,
)

SITES = {site.name: site for site in (GAGNON, MANDALI)}


def build_objects(site: Site) -> ObjectSet:
    """Return the object set of `site`: one pool per service, hosts over all zones.

    A rack lies in one zone and holds `HOSTS_PER_RACK` hosts of different pools, so
    that the loss of a rack takes few hosts of each pool.
    """
    hosts = {}
    count = site.executors * len(site.services)
    zone_count = len(site.zones)
    for index in range(count):
        zone = site.zones[index % zone_count]
        index_in_zone = index // zone_count
        rack = f"{zone}-r{index_in_zone // HOSTS_PER_RACK + 1}"
        name = f"{zone}-h{index_in_zone + 1:02d}"
        pool = site.services[(index_in_zone + index % zone_count) % len(site.services)]
        hosts[name] = Host(
            name=name,
            zone=zone,
            rack=rack,
            pool=pool,
            address=f"127.0.0.1:{FIRST_PORT + index}",
            cores=site.cores,
        )
    return ObjectSet(
        zones={
            zone: AvailabilityZone(zone, site.region, seats)
            for zone, seats in zip(site.zones, site.seats, strict=True)
        },
        hosts=hosts,
        pools={
            name: Pool(name, budget=f"{name}-budget", is_spare=name == site.spare_pool)
            for name in site.services
        },
        services={
            name: Service(name, pool=name, path_prefix=f"/{name}")
            for name in site.services
        },
        budgets={
            f"{name}-budget": AvailabilityBudget(
                f"{name}-budget", min_available=site.executors - 2, max_down_per_rack=2
            )
            for name in site.services
        },
    )


def build_fleet(hosts: int = 1_100, pools: int = 47, teams: int = 57) -> ObjectSet:
    """Return a generated object set; the defaults are the two-year size."""
    zones = tuple(f"zone-{index + 1}" for index in range(5))
    per_pool = max(hosts // pools, 1)
    return ObjectSet(
        zones={
            zone: AvailabilityZone(zone, f"region-{index // 3 + 1}", seats=2)
            for index, zone in enumerate(zones)
        },
        hosts={
            f"h{index:05d}": Host(
                name=f"h{index:05d}",
                zone=zones[index % len(zones)],
                rack=f"r{index % len(zones)}-{index // len(zones) // HOSTS_PER_RACK}",
                pool=f"pool-{(index // len(zones)) % pools:02d}",
                address=f"127.0.0.1:{FIRST_PORT + index}",
                accelerators=2 + index % 11 // 10,
            )
            for index in range(hosts)
        },
        pools={
            f"pool-{index:02d}": Pool(
                f"pool-{index:02d}", budget="default", is_spare=index == 0
            )
            for index in range(pools)
        },
        services={
            f"service-{index:02d}": Service(
                f"service-{index:02d}",
                pool=f"pool-{index:02d}",
                path_prefix=f"/service-{index:02d}",
            )
            for index in range(pools)
        },
        budgets={
            "default": AvailabilityBudget(
                "default", min_available=max(per_pool * 3 // 4, 1)
            )
        },
        quotas={
            f"team-{index:02d}": TeamQuota(
                f"team-{index:02d}",
                team=f"team-{index:02d}",
                service=f"service-{index % pools:02d}",
                requests_per_second=50.0,
                burst=100,
            )
            for index in range(teams)
        },
    )
