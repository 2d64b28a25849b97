"""The fleet record: one value in the platform's service, changed by compare-and-swap.

All that must be decided together stands in this one value: the pool of each host,
the disruptions in progress, the moves, the waves' progress, the fencing token and
the audit entries of the changes that made it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

FLEET_KEY = "fleet/state"


class DisruptionKind(Enum):
    """Why a host is out of service by plan."""

    DRAIN = "drain"
    MOVE = "move"
    WAVE = "wave"


class HostPhase(Enum):
    """Step of a planned disruption of one host.

    A drain ends at `DRAINED`, a move goes on to `RELEASED` and `JOINING`, a wave to
    `REBOOTING`, `CHECKING` and `RETURNING`.
    """

    DRAINING = "draining"
    DRAINED = "drained"
    RELEASED = "released"
    JOINING = "joining"
    REBOOTING = "rebooting"
    CHECKING = "checking"
    RETURNING = "returning"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Disruption:
    """A host taken out of service by plan; it holds a place in its pool's budget.

    `since_ms` is the wall time at which `phase` began. `target_pool` is set for a
    move, `wave` for a wave.
    """

    host: str
    pool: str
    kind: DisruptionKind
    phase: HostPhase
    actor: str
    since_ms: int
    target_pool: str = ""
    wave: str = ""


class WaveStatus(Enum):
    """Status of a maintenance wave."""

    PENDING = "pending"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    ABORTED = "aborted"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of one wave; `detail` says why it is stopped or what it waits for."""

    wave: str
    status: WaveStatus
    started_ms: int
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change or action; `sequence` rises by one and is never used twice.

    `command_id` identifies the command that made the change, so that a writer whose
    answer was lost can tell whether its write took effect.
    """

    sequence: int
    wall_ms: int
    actor: str
    action: str
    object: str
    generation: int
    old: str = ""
    new: str = ""
    reason: str = ""
    command_id: str = ""


@dataclass(frozen=True, slots=True)
class FleetState:
    """The fleet record.

    `placements` maps host to pool; a host without an entry is in no pool.
    `disruptions` maps host to its one disruption. `fence` is the highest fencing
    token seen. `outbox` holds the audit entries not yet archived.
    """

    fence: int = 0
    next_sequence: int = 1
    placements: dict[str, str] = field(default_factory=dict)
    disruptions: dict[str, Disruption] = field(default_factory=dict)
    waves: dict[str, WaveProgress] = field(default_factory=dict)
    maintained_ms: dict[str, int] = field(default_factory=dict)
    outbox: tuple[AuditEntry, ...] = ()
