"""Computes which hosts serve which pool and which of them take new work; pure."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Mapping

LIST_LEAVING = "listed as leaving"


@dataclass(frozen=True, slots=True)
class HostView:
    """A host as seen by routing.

    `is_returning` requests a slow start; `reason` says why the host takes no new work.
    """

    host: str
    pool: str
    takes_new_work: bool = True
    is_returning: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """To subscribers: the whole view, and the hosts that changed since the last."""

    revision: int
    hosts: Mapping[str, HostView]
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FollowedFleet:
    """The newest known record, and the hosts that the platform lists as leaving."""

    revision: int = 0
    state: FleetState = field(default_factory=FleetState)
    leaving: frozenset[str] = frozenset()
    hosts: Mapping[str, HostView] = field(default_factory=dict)


def adopt_record(fleet: FollowedFleet, revision: int, value: bytes) -> FollowedFleet:
    """Adopt a valid record of a higher revision; otherwise return `fleet` itself."""
    if revision <= fleet.revision:
        return fleet
    decoded = decode_fleet(value)
    if isinstance(decoded, Refused):
        return fleet
    return _refresh(replace(fleet, revision=revision, state=decoded.value))


def adopt_leaving(fleet: FollowedFleet, leaving: frozenset[str]) -> FollowedFleet:
    """Adopt the platform's list of leaving hosts; return `fleet` if unchanged."""
    if leaving == fleet.leaving:
        return fleet
    return _refresh(replace(fleet, leaving=leaving))


def diff_views(old: FollowedFleet, new: FollowedFleet) -> FleetChanged | None:
    """Return the message to subscribers, None if no host changed."""
    names = old.hosts.keys() | new.hosts.keys()
    changed = sorted(n for n in names if old.hosts.get(n) != new.hosts.get(n))
    if not changed:
        return None
    return FleetChanged(new.revision, new.hosts, tuple(changed))


def view_host(state: FleetState, host: str, leaving: frozenset[str]) -> HostView:
    """Return the view of one placed host."""
    pool = state.placements[host]
    item = state.disruptions.get(host)
    if host in leaving:
        return HostView(host, pool, takes_new_work=False, reason=LIST_LEAVING)
    if item is None:
        return HostView(host, pool)
    if item.phase is HostPhase.RETURNING:
        return HostView(host, pool, is_returning=True)
    reason = f"{item.kind.value}: {item.phase.value}"
    return HostView(host, pool, takes_new_work=False, reason=reason)


def _refresh(fleet: FollowedFleet) -> FollowedFleet:
    hosts = {
        host: view_host(fleet.state, host, fleet.leaving)
        for host in fleet.state.placements
    }
    return replace(fleet, hosts=hosts)
