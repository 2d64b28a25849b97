"""State of the fleet writer and of the command that it executes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.objects.model import ObjectSet

if TYPE_CHECKING:
    from concurrent.futures import Future
    from typing import Any

    from guavapin.fleet.commands import FleetCommand
    from guavapin.fleet.lost_write import LostWrite
    from guavapin.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class CommandExecution:
    """A command that waits or is being executed.

    `lost` is set while a write has no answer and its effect is unknown. `is_cached` is
    set while the command is evaluated on the record as this process last wrote it.
    """

    command: FleetCommand
    fut: Future[Any] | None = None
    reply_to: str = ""
    request_id: int = 0
    conflicts: int = 0
    is_cached: bool = False
    lost: LostWrite | None = None
    lost_since_ms: int = 0


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A compare-and-swap whose answer is awaited."""

    state: FleetState
    expected: int
    sequence: int


@dataclass(frozen=True, slots=True)
class RetryRead:
    """Timer: read the record again to resolve a lost answer."""


@dataclass(frozen=True, slots=True)
class WriterCounters:
    """Counters of the writer since its start."""

    applied: int = 0
    refused: int = 0
    conflicts: int = 0
    lost_answers: int = 0


@dataclass(frozen=True, slots=True)
class CommandInputs:
    """The inputs, besides the record, on which commands are evaluated."""

    objects: ObjectSet = field(default_factory=ObjectSet)
    generation: int = 0
    listed: frozenset[str] = frozenset()
    listed_at_ms: int | None = None
    down: frozenset[str] = frozenset()
