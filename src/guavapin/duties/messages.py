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
    """To workers: the duty may be carried out with `token` until `until_ms`.

    `until_ms` is monotonic time.
    """

    duty: str
    token: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class DutyLost:
    """To workers: the duty must no longer be carried out."""

    duty: str


@dataclass(frozen=True, slots=True)
class ReleaseDuty:
    """To a duty's task: release the duty, since a higher fence refused `token`."""

    token: int


@dataclass(frozen=True, slots=True)
class RetireFromDuty:
    """To a duty's task: the process stops; release the duty and stop competing."""


@dataclass(frozen=True, slots=True)
class QueryDuty:
    """To a duty's task, as a `Call`; the reply is `DutyStatus`."""


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """Whether this process holds `duty`, and its fencing token."""

    duty: str
    is_held: bool
    token: int


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """To `fleet_duty`: the number of hosts that each pool's current load needs."""

    hosts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class LongWork:
    """To `fleet_duty`: the hosts whose running work is expected to take long."""

    hosts: frozenset[str]


class HostStep(Enum):
    """An operation on a host during a planned disruption.

    `DRAIN` waits until the work of the host has ended. `CHECKPOINT` saves the remaining
    work, so that it continues elsewhere. `JOIN` prepares the host for its new pool.
    """

    DRAIN = "drain"
    CHECKPOINT = "checkpoint"
    REBOOT = "reboot"
    CHECK_HEALTH = "check_health"
    JOIN = "join"


@dataclass(frozen=True, slots=True)
class PerformHostStep:
    """To `host_actions`: perform a step and answer with `HostStepDone` at its end.

    The same `step_id` is sent again after a takeover or if no answer arrives. A step
    that succeeded or is in progress must not be repeated; a failed step may be.
    """

    reply_to: str
    step_id: str
    host: str
    step: HostStep


@dataclass(frozen=True, slots=True)
class HostStepDone:
    """From `host_actions`: the step has succeeded or failed."""

    step_id: str
    is_ok: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """To a duty's task: its key was removed; try to acquire the duty now."""


@dataclass(frozen=True, slots=True)
class PostponeCompetition:
    """To ``roster``: do not compete for the duty during the next `delay_ms`."""

    delay_ms: int
