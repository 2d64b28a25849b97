"""Machines, maintenance waves, and the orders for machines with their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources


class MachineState(Enum):
    """State of a machine in the platform's list."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in_maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """Machine as the platform lists it.

    `executor_id` is the executor that runs on it now, "" if there is none.
    """

    name: str
    pool: str
    state: MachineState
    zone: str
    rack: str
    capacity: Resources
    executor_id: str


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines that must be maintained within `duration_ms`.

    At most `max_at_once` of them may be down for maintenance at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_at_once: int


@dataclass(frozen=True, slots=True, order=True)
class WaveMachine:
    """Machine as a part of the maintenance wave with this number."""

    wave: int
    machine: str


@dataclass(frozen=True, slots=True)
class ListMachines:
    """Query for a page of the list of machines; `page` is "" for the first page."""

    page: str = ""


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Order to move a machine to another pool, which ends every run on it."""

    machine: str
    pool: str
    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class MaintainMachine:
    """Order to take a machine down for a wave, which ends every run on it."""

    machine: str
    wave: int
    holder: str
    token: int


MachineOrder: TypeAlias = ListMachines | MoveMachine | MaintainMachine


@dataclass(frozen=True, slots=True)
class Validity:
    """Time for which an order may be under way.

    The order must not reach the platform after `not_after_ms`, which is monotonic time.
    """

    timeout_ms: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class MachinePage:
    """Page of the list of machines; `next_page` is "" on the last page."""

    machines: tuple[Machine, ...]
    next_page: str


@dataclass(frozen=True, slots=True)
class OrderDone:
    """Outcome: the order was carried out, now or when it was sent before."""


class OrderRefusal(Enum):
    """Reason for which the platform did not carry out an order."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    RATE_LIMITED = "rate_limited"
    MALFORMED = "malformed"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Outcome: the order was refused and has had no effect."""

    kind: OrderRefusal


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """Outcome: no answer came.

    The order may have been carried out if it `was_sent`, otherwise it was not.
    """

    was_sent: bool


MachineOutcome: TypeAlias = MachinePage | OrderDone | OrderRefused | OrderUnanswered
