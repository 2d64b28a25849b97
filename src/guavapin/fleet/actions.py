"""What a fleet command asks for; one frozen class for each kind of change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.fleet.state import HostPhase


@dataclass(frozen=True, slots=True)
class AdmitHost:
    """Place a declared host that is in no pool into `pool`, in service."""

    host: str
    pool: str


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """Forget a host that is no longer declared; it must not serve in a pool."""

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
    """Take the step that follows `phase`, which must be the present one."""

    host: str
    phase: HostPhase


@dataclass(frozen=True, slots=True)
class UndoMove:
    """Give up a move; the host serves in the pool it came from."""

    host: str


@dataclass(frozen=True, slots=True)
class StartWave:
    """Start a wave, from the beginning if it ran before."""

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
    """End a wave; draining hosts are returned, rebooting hosts are finished."""

    wave: str


@dataclass(frozen=True, slots=True)
class StopWave:
    """Stop a wave because of what was seen; an operator may resume it."""

    wave: str
    detail: str


@dataclass(frozen=True, slots=True)
class FinishWave:
    """Record that every host of a wave is done or has failed."""

    wave: str


@dataclass(frozen=True, slots=True)
class StartWaveHost:
    """Begin the maintenance of one host by draining it."""

    wave: str
    host: str


@dataclass(frozen=True, slots=True)
class AdvanceWaveHost:
    """Take the step that follows `phase`, which must be the present one."""

    host: str
    phase: HostPhase


@dataclass(frozen=True, slots=True)
class ReturnWaveHost:
    """Return a host that has not been rebooted yet; it is planned again later."""

    host: str


@dataclass(frozen=True, slots=True)
class FinishWaveHost:
    """End the maintenance of one host, as done or as failed."""

    host: str
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class RaiseFence:
    """Refuse all duty commands whose token is below the command's token."""


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
