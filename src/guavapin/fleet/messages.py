"""Messages of the services `fleet_writer` and `fleet_view`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.fleet.commands import FleetCommand
    from guavapin.fleet.state import FleetState
    from guavapin.kernel.outcome import Outcome
    from guavapin.objects.model import ObjectSet

FLEET_WRITER = "fleet_writer"
FLEET_VIEW = "fleet_view"


@dataclass(frozen=True, slots=True)
class ObjectsUpdate:
    """The accepted configuration; sent to every fleet task that decides by it."""

    objects: ObjectSet
    generation: int


@dataclass(frozen=True, slots=True)
class HostsDown:
    """All hosts that health checks find down, whatever the platform's list says."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class Execute:
    """To `fleet_writer`: execute `command` and answer with `Executed`.

    A sender outside of the tasks asks with a `Call` whose body is the `FleetCommand`
    itself, and gets the `Outcome[Applied]` through the future.
    """

    reply_to: str
    request_id: int
    command: FleetCommand


@dataclass(frozen=True, slots=True)
class Applied:
    """A command took effect in the record at `revision`, as `state` shows it."""

    sequence: int
    revision: int
    state: FleetState


@dataclass(frozen=True, slots=True)
class Executed:
    """Answer to `Execute`."""

    request_id: int
    outcome: Outcome[Applied]


@dataclass(frozen=True, slots=True)
class WatchRole:
    """To `fleet_view`: whether this process holds the watch of its zone."""

    is_holder: bool


@dataclass(frozen=True, slots=True)
class RecordRelayed:
    """The fleet record, between `fleet_view` and the task that reaches the peers."""

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LeavingRelayed:
    """The hosts listed as leaving, between `fleet_view` and the peers' task."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class RequestRelay:
    """To `fleet_view`: a peer has just appeared or lags; relay what is known."""


@dataclass(frozen=True, slots=True)
class QueryFleet:
    """To `fleet_view`, as a `Call`: the reply is the `FollowedFleet` in effect."""
