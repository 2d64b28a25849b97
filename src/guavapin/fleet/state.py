"""The fleet record: one value in the platform's service, changed by compare-and-swap.

The value holds all state that must change atomically: the pool of each host, the
disruptions in progress, the moves, the progress of the waves, the fencing token and the
audit entries of the changes that produced it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

FLEET_KEY = "fleet/state"


class DisruptionKind(Enum):
    """Cause of a planned disruption."""

    DRAIN = "drain"
    MOVE = "move"
    WAVE = "wave"


class HostPhase(Enum):
    """Phase of a planned disruption of one host.

    All disruptions begin with `DRAINING`. A drain ends with `DRAINED`, a move continues
    with `RELEASED` and `JOINING`, a wave with `REBOOTING`, `CHECKING` and `RETURNING`.
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
    """A planned disruption of a host, which counts against its pool's budget.

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
    """Progress of one wave; `detail` says why it stopped or what it waits for."""

    wave: str
    status: WaveStatus
    started_ms: int
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change or action; `sequence` increases by one and is never reused.

    `command_id` identifies the command that made the change, so that a writer whose
    answer was lost can determine whether its write took effect.
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

    `placements` maps each host to its pool; a host without an entry is in no pool.
    `disruptions` maps each host to its only disruption. `fence` is the highest fencing
    token seen. `outbox` holds the audit entries that have not been archived.
    """

    fence: int = 0
    next_sequence: int = 1
    placements: dict[str, str] = field(default_factory=dict)
    disruptions: dict[str, Disruption] = field(default_factory=dict)
    waves: dict[str, WaveProgress] = field(default_factory=dict)
    maintained_ms: dict[str, int] = field(default_factory=dict)
    outbox: tuple[AuditEntry, ...] = ()
