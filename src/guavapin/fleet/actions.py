"""The actions of fleet commands; one frozen class for each kind of change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.fleet.state import HostPhase


@dataclass(frozen=True, slots=True)
class AdmitHost:
    """Place a declared host that is in no pool into `pool`, where it serves."""

    host: str
    pool: str


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """Remove a host that is no longer declared; it must be drained or down."""

    host: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Take a host out of service until it is undrained."""

    host: str


@dataclass(frozen=True, slots=True)
class AdvanceDrain:
    """Record that the work of a draining host has ended."""

    host: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Return a drained host, or a repaired host whose maintenance failed."""

    host: str


@dataclass(frozen=True, slots=True)
class StartMove:
    """Begin to move a host to another pool by draining it."""

    host: str
    target_pool: str


@dataclass(frozen=True, slots=True)
class AdvanceMove:
    """Advance a move to the phase after `phase`, which must be the current one."""

    host: str
    phase: HostPhase


@dataclass(frozen=True, slots=True)
class UndoMove:
    """Cancel a move; the host serves in the pool that it came from."""

    host: str


@dataclass(frozen=True, slots=True)
class StartWave:
    """Start a wave; one that ran before starts from the beginning."""

    wave: str


@dataclass(frozen=True, slots=True)
class PauseWave:
    """Start no further host; hosts in progress are finished."""

    wave: str


@dataclass(frozen=True, slots=True)
class ResumeWave:
    """Continue a paused or stopped wave."""

    wave: str


@dataclass(frozen=True, slots=True)
class AbortWave:
    """End a wave; draining hosts return, rebooting hosts finish their maintenance."""

    wave: str


@dataclass(frozen=True, slots=True)
class StopWave:
    """Stop a wave for the reason in `detail`; an operator may resume it."""

    wave: str
    detail: str


@dataclass(frozen=True, slots=True)
class FinishWave:
    """Mark a wave as done; each of its hosts is done or has failed."""

    wave: str


@dataclass(frozen=True, slots=True)
class StartWaveHost:
    """Begin the maintenance of one host by draining it."""

    wave: str
    host: str


@dataclass(frozen=True, slots=True)
class AdvanceWaveHost:
    """Advance a host to the phase after `phase`, which must be the current one."""

    host: str
    phase: HostPhase


@dataclass(frozen=True, slots=True)
class ReturnWaveHost:
    """Return a host that has not been rebooted yet; a later plan includes it."""

    host: str


@dataclass(frozen=True, slots=True)
class FinishWaveHost:
    """End the maintenance of one host, as done or as failed."""

    host: str
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class RaiseFence:
    """Raise the fence: commands with a token below the command's are refused."""


@dataclass(frozen=True, slots=True)
class TrimOutbox:
    """Drop audit entries up to `sequence`, which have been archived."""

    sequence: int


OperatorAction: TypeAlias = (
    AdmitHost
    | RemoveHost
    | Drain
    | Undrain
    | StartMove
    | UndoMove
    | StartWave
    | PauseWave
    | ResumeWave
    | AbortWave
)

DutyAction: TypeAlias = (
    AdvanceDrain
    | AdvanceMove
    | StopWave
    | FinishWave
    | StartWaveHost
    | AdvanceWaveHost
    | ReturnWaveHost
    | FinishWaveHost
    | RaiseFence
    | TrimOutbox
)

FleetAction: TypeAlias = OperatorAction | DutyAction
