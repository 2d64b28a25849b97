"""Settings of ``guavapin-resident``, the process on each entry host."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Times:
    """Bounds of the deployment in milliseconds.

    `order_separation_ms` must pass between orders of two holders for one machine.
    `notice_ms` is how long a long-running subtask may be away before it counts as
    ended, `max_target_miss_ms` how long one may miss its target, and
    `ended_job_retention_ms` how long the state of an ended job can be queried.
    """

    grace_ms: int
    max_lease_ms: int
    stop_ms: int
    move_ms: int = 2_000
    maintenance_ms: int = 2_000
    order_separation_ms: int = 3_300
    notice_ms: int = 4_500
    max_target_miss_ms: int = 4_000
    pace_ms: int = 100
    ended_job_retention_ms: int = 120_000
    early_ms: int = 0
    restore_ms: int = 0
    heartbeat_ms: int = 1_500
    gang_ms: int = 3_000


@dataclass(frozen=True, slots=True)
class ResidentSettings:
    """Addresses and bounds of one entry host.

    `store`, `machines` and `advice` are ``host:port`` of the platform's services, ""
    where the deployment has none. `cores` and `link_mbps` are the host's limits, 0 if
    they are not known.
    """

    node: str
    zone: str
    front: Address
    ready: Address
    peer: Address
    store: str
    machines: str
    advice: str
    store_writes_per_second: int
    store_reads_per_second: int
    machine_orders_per_second: int
    times: Times
    cores: float = 0.0
    link_mbps: float = 0.0
