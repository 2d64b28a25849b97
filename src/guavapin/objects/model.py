"""The named objects; they refer to one another by name.

Times are in milliseconds, shares are fractions of one, sizes are counts unless the
field name carries a unit.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone; `seats` is its number of serving entry processes."""

    name: str
    region: str
    seats: int = 1


@dataclass(frozen=True, slots=True)
class Host:
    """A worker with one executor; `pool` is the pool it is declared for.

    `address` is ``IP:PORT`` of the executor; `cost_per_hour` is in the operators'
    own currency and is used to price spare capacity.
    """

    name: str
    zone: str
    rack: str
    pool: str
    address: str
    cores: int = 16
    memory_gb: int = 64
    accelerators: int = 0
    cost_per_hour: float = 1.0


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of hosts that serves services under one availability budget.

    `slots` and `connections` are the limits of each executor. `is_spare` marks the
    pool from which others borrow. `max_ejected_share` limits how many hosts the health
    checks may take out of use. `burst_hosts` is the number of hosts that a peak of
    demand needs beyond the budget.
    """

    name: str
    budget: str
    slots: int = 8
    connections: int = 64
    is_spare: bool = False
    max_ejected_share: float = 0.3
    burst_hosts: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service of callers, found by host name or by path prefix.

    `idempotent` declares that all methods are safe to repeat; otherwise only GET,
    HEAD, OPTIONS, PUT and DELETE are. `timeout_ms` limits a request from its arrival;
    `queue_limit` is the number of waiting requests per entry process.
    """

    name: str
    pool: str
    path_prefix: str = ""
    host_names: tuple[str, ...] = ()
    idempotent: bool = False
    timeout_ms: int = 30_000
    queue_limit: int = 256
    expected_run_ms: int = 100
    max_body_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class AvailabilityBudget:
    """How many hosts of a pool must stay available.

    `min_available` is a count and `min_available_share` a fraction of the pool's
    hosts; the larger one applies. The `max_down` fields limit how many hosts of one
    zone or rack may be down by plan at once; 0 means no such limit.
    """

    name: str
    min_available: int = 0
    min_available_share: float = 0.0
    max_down_per_zone: int = 0
    max_down_per_rack: int = 0


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Maintenance of the hosts of pools or racks, a few at a time.

    An empty `pools` means all pools, an empty `racks` all racks. The window lasts
    `window_length_ms` from `window_start_ms`, a wall time since the Unix epoch; a
    start of 0 means at once. The wave stops when `max_failed` hosts have not come
    back. `after` names a wave that must have ended first.
    """

    name: str
    pools: tuple[str, ...] = ()
    racks: tuple[str, ...] = ()
    max_at_once: int = 4
    max_failed: int = 2
    drain_timeout_ms: int = 600_000
    reboot_timeout_ms: int = 600_000
    window_start_ms: int = 0
    window_length_ms: int = 21 * DAY_MS
    after: str = ""


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Limits of one team on one service: rate per second, burst and share of slots."""

    name: str
    team: str
    service: str
    requests_per_second: float
    burst: int = 1
    max_slots: int = 0


@dataclass(frozen=True, slots=True)
class GrowthPlan:
    """A demand surge that a pool must be able to meet.

    `hosts` beyond the present number must be usable within `notice_ms` of the surge;
    `probability` is the planners' estimate that it comes before `until_ms`, a wall
    time.
    """

    name: str
    pool: str
    hosts: int
    notice_ms: int
    until_ms: int
    probability: float = 0.5


@dataclass(frozen=True, slots=True)
class ObjectSet:
    """The whole set of objects, each kind a mapping from name to object."""

    zones: dict[str, AvailabilityZone] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    budgets: dict[str, AvailabilityBudget] = field(default_factory=dict)
    waves: dict[str, MaintenanceWave] = field(default_factory=dict)
    quotas: dict[str, TeamQuota] = field(default_factory=dict)
    growth_plans: dict[str, GrowthPlan] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in one object: its field, the value found and the value expected."""

    kind: str
    name: str
    field: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.kind} {self.name!r}: {self.field} = {self.value}; "
            f"expected {self.expected}"
        )
