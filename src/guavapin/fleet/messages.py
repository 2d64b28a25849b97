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
    """The configuration in force; sent to each task that depends on its objects."""

    objects: ObjectSet
    generation: int


@dataclass(frozen=True, slots=True)
class HostsDown:
    """All hosts that health checks find down, even if the platform lists them live."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class Execute:
    """To `fleet_writer`: execute `command` and answer with `Executed`.

    A sender that is not a task sends a `Call` whose body is the `FleetCommand` itself;
    the future returns the `Outcome[Applied]`.
    """

    reply_to: str
    request_id: int
    command: FleetCommand


@dataclass(frozen=True, slots=True)
class Applied:
    """A command took effect: `state` is the record written at `revision`."""

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
    """To `fleet_view`: whether this process watches the record for its zone."""

    is_holder: bool


@dataclass(frozen=True, slots=True)
class RecordRelayed:
    """The fleet record, exchanged between `fleet_view` and `fleet_relay`."""

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LeavingRelayed:
    """The hosts listed as leaving, between `fleet_view` and `fleet_relay`."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class RequestRelay:
    """To `fleet_view`: relay the known state, since a peer has joined or lags."""


@dataclass(frozen=True, slots=True)
class QueryFleet:
    """To `fleet_view`, as a `Call`; the reply is the `FollowedFleet` in effect."""
