"""Builds the report of host loads and pool demands for the machine planner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.messages import FleetLoad
from guavapin.scheduling.messages import HostLoad

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.scheduler import Scheduler


def fleet_load(scheduler: Scheduler) -> FleetLoad:
    """Return the load of each host and the demand of each pool."""
    now_ms = scheduler.term.now_ms
    hosts = tuple(_host_load(host, now_ms) for host in scheduler.hosts.by_id.values())
    return FleetLoad(scheduler.term.token, hosts, scheduler.pool_demands())


def _host_load(host: Host, now_ms: int) -> HostLoad:
    capacity = host.registration.capacity
    cpu_share = host.used.cpu_millis / max(capacity.cpu_millis, 1)
    memory_share = host.used.memory_mb / max(capacity.memory_mb, 1)
    return HostLoad(
        executor_id=host.executor_id,
        pool=host.pool,
        run_count=len(host.runs),
        used_share=max(cpu_share, memory_share),
        idle_ms=0 if host.runs else now_ms - host.idle_since_ms,
        is_cordoned=host.is_cordoned,
        has_long_running=host.has_long_running,
        is_usable=host.has_answered and host.is_answering,
    )
