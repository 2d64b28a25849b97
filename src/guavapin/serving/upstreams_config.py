"""Settings of the task `upstreams`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamsConfig:
    """Limits on connections to upstreams.

    `host_connections` is this process's share of the 64 connections that an executor
    accepts, divided among the seats of the zone. Above it, libcurl closes an idle
    connection or lets the attempt wait. `max_age_s` and `max_idle_s` limit how long a
    connection is reused. The slot of a cancelled attempt is kept until the upstream has
    closed the connection, but no longer than `close_timeout_ms`: a silent upstream
    never closes it, and its slots are needed to find out that it is silent.
    """

    host_connections: int = 8
    max_connections: int = 1_024
    max_age_s: int = 300
    max_idle_s: int = 30
    keepalive_idle_s: int = 15
    keepalive_interval_s: int = 5
    idle_handles: int = 256
    close_timeout_ms: int = 5_000
