"""Which connections are refused when the memory of a listener's clients is short.

The load: many clients send heads or bodies almost to their end and then stop, so that
each holds memory without a request that can run. A client that makes progress completes
its request within a second, and a complete request is never refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A connection without a request may be closed after this time if all connections of its
# listener are in use. Clients send their first request at once, and the clients of
# keep-alive connections repeat a request that was not received.
MIN_IDLE_MS = 1_000


@dataclass(frozen=True, slots=True)
class ClientLoad:
    """What one connection holds.

    `received_bytes` is the part of its request that has arrived within `age_ms`.
    `is_refusable` is set while the request is incomplete and nothing of it has run.
    """

    conn_id: int
    held_bytes: int
    received_bytes: int
    age_ms: int
    is_refusable: bool


@dataclass(frozen=True, slots=True)
class IdleClient:
    """A connection without a request; `has_served` is set after its first one."""

    conn_id: int
    idle_ms: int
    has_served: bool


def choose_refusals(loads: Iterable[ClientLoad], excess_bytes: int) -> tuple[int, ...]:
    """Return the connections to refuse so that `excess_bytes` become free.

    Those that hold the most memory for the least progress come first: the order is that
    of held bytes per received byte, multiplied by the age of the request. Input whose
    objects cost more than its bytes therefore goes before plain input of the same age,
    and a trickle of bytes does not protect an old request.
    """
    refusable = [load for load in loads if load.is_refusable]
    refusable.sort(key=_cost, reverse=True)
    chosen = []
    for load in refusable:
        if excess_bytes <= 0:
            break
        chosen.append(load.conn_id)
        excess_bytes -= load.held_bytes
    return tuple(chosen)


def choose_idle(clients: Iterable[IdleClient], count: int) -> tuple[int, ...]:
    """Return up to `count` idle connections to close, silent and longest idle first."""
    idle = [client for client in clients if client.idle_ms >= MIN_IDLE_MS]
    idle.sort(key=lambda client: (client.has_served, -client.idle_ms))
    return tuple(client.conn_id for client in idle[:count])


def _cost(load: ClientLoad) -> float:
    return load.held_bytes * (load.age_ms + 1) / (load.received_bytes + 1)
