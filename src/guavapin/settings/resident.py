"""Settings of ``guavapin-resident``, the process on each entry host."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Times:
    """Timeouts and intervals of the deployment, in milliseconds.

    `order_separation_ms` must pass between the orders of two holders for one machine.
    After an absence of `notice_ms` a long-running subtask counts as ended. It may miss
    its target for `max_target_miss_ms`. The state of an ended job can be queried for
    `ended_job_retention_ms`.
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
    gang_timeout_ms: int = 3_000


@dataclass(frozen=True, slots=True)
class KeyTerms:
    """How soon a key that was removed from the configuration is refused.

    With `is_strict`, every entry host refuses it `revoke_ms` after the change was
    stored, also one that does not reach the store.
    """

    is_strict: bool = False
    revoke_ms: int = 5_000


@dataclass(frozen=True, slots=True)
class ResidentSettings:
    """Addresses and limits of one entry host.

    `store`, `machines` and `advice` are ``host:port`` of the platform's services, or
    "" if the deployment has none. `cores` and `link_mbps` are the limits of the host,
    or 0 if they are unknown, like `memory_mb` and `max_fds`, the limits of this process
    in megabytes and file descriptors. `clients_mb` is the memory that connections may
    hold, 0 for a share of `memory_mb`; a body that arrives slower than
    `min_body_bytes_per_s` for long is refused. With `requires_keys`, calls need a key
    even while the table holds no organisation. `quota_window_ms` is the time over which
    the jobs of an organisation are counted.
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
    memory_mb: int = 0
    max_fds: int = 0
    clients_mb: int = 0
    min_body_bytes_per_s: int = 1_000
    requires_keys: bool = False
    key_terms: KeyTerms = KeyTerms()
    quota_window_ms: int = 5_000
