"""Messages of the duty services."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

FLEET_DUTY = "fleet_duty"
HOST_ACTIONS = "host_actions"


@dataclass(frozen=True, slots=True)
class DutyHeld:
    """The duty may be carried out with `token` until `until_ms`, monotonic time."""

    duty: str
    token: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class DutyLost:
    """The duty must not be carried out any more."""

    duty: str


@dataclass(frozen=True, slots=True)
class ReleaseDuty:
    """From a worker: a write with `token` was refused because of a higher fence."""

    token: int


@dataclass(frozen=True, slots=True)
class RetireFromDuty:
    """To a duty's task: the process stops; give the duty up and do not compete."""


@dataclass(frozen=True, slots=True)
class QueryDuty:
    """To the duty's task, as a `Call`: the reply is `DutyStatus`."""


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """Whether this process holds `duty`, and its fencing token."""

    duty: str
    is_held: bool
    token: int


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """To `fleet_duty`: hosts that the present load of each pool needs."""

    hosts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class LongWork:
    """To `fleet_duty`: hosts whose running work is expected to take long."""

    hosts: frozenset[str]


class HostStep(Enum):
    """What is done to a host during a planned disruption.

    `DRAIN` waits until the work of the host has ended; `CHECKPOINT` saves the work
    that is left, so that it continues elsewhere; `JOIN` prepares it for its new pool.
    """

    DRAIN = "drain"
    CHECKPOINT = "checkpoint"
    REBOOT = "reboot"
    CHECK_HEALTH = "check_health"
    JOIN = "join"


@dataclass(frozen=True, slots=True)
class DoHostStep:
    """To `host_actions`: do a step and answer with `HostStepDone` when it has ended.

    The same `step_id` is sent again after a takeover or without an answer. A step that
    ended well or is under way must not be done again; one that failed may be.
    """

    reply_to: str
    step_id: str
    host: str
    step: HostStep


@dataclass(frozen=True, slots=True)
class HostStepDone:
    """From `host_actions`: the step has ended, well or not."""

    step_id: str
    is_ok: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """To a duty's task: its key was removed, so compete for it now."""
