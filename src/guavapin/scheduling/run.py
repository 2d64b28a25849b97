"""One start of a subtask on a host."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Subtask

RunKey = tuple["Subtask", int]


class RunPhase(Enum):
    """What is known of a run.

    An unsettled run is one whose start was not answered: it may begin later, so that
    its room stays taken until the host's list, a stop or the end of the lease tells.
    """

    STARTING = "starting"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """State of a run, owned by the scheduler.

    `counted_ms` is the time from which a look at the host that does not list the run
    proves that it is not there. `moved_ms` is when `percent` last changed.
    """

    __slots__ = (
        "attempt",
        "counted_ms",
        "executor_id",
        "is_long_running",
        "is_stop_answered",
        "is_wanted",
        "load",
        "moved_ms",
        "ordered_ms",
        "pace",
        "paced_ms",
        "percent",
        "phase",
        "reserved",
        "started_ms",
        "stop_ms",
        "subtask",
    )

    def __init__(
        self,
        subtask: Subtask,
        attempt: int,
        executor_id: str,
        reserved: Resources,
        phase: RunPhase,
        now_ms: int,
    ) -> None:
        self.subtask = subtask
        self.attempt = attempt
        self.executor_id = executor_id
        self.reserved = reserved
        self.phase = phase
        self.ordered_ms = now_ms
        self.started_ms = now_ms
        self.counted_ms = now_ms
        self.moved_ms = now_ms
        self.stop_ms = 0
        self.is_stop_answered = False
        self.is_wanted = True
        self.is_long_running = False
        self.percent = 0
        self.load = 0.0
        self.pace = 100
        self.paced_ms = now_ms

    @property
    def key(self) -> RunKey:
        """Return what identifies the run on its host."""
        return self.subtask, self.attempt
