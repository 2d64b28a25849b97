"""One start of a subtask on a host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Subtask

RunKey = tuple["Subtask", int]


class RunPhase(Enum):
    """State of a run as observed by the scheduler.

    A run is unsettled if its start was not answered. The run may still begin, so its
    resources stay reserved until a report of the host, an answered stop or the end of
    the lease shows whether it began.
    """

    STARTING = "starting"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """A run and its orders; only the scheduler changes it.

    A poll of the host proves that the run is not there if it was sent after
    `counted_ms` and its answer does not list the run. `moved_ms` is the time at which
    `percent` last changed, `ordered_ms` that of the start order, `first_stop_ms` and
    `stop_ms` those of the first and the last stop, 0 without one, and `paced_ms` that
    of the last change of `pace`, which is in percent.
    `load` is the last load that the host reported. A run that is not `is_wanted` is to
    be stopped. `is_listed` is set once a report of the host has listed the run, which
    proves that this incarnation of the executor has it. `is_filler` is set for a run
    that works on what other runs leave. `is_need_known` is unset for an adopted run
    whose job is not known, so that `reserved` says nothing about its resources, and
    `is_owner_known` if its organisation is not known either. `need`
    has all resources of the subtask, also the processor time that a filler does not
    reserve; they count for `organisation`, "" for none. `image` is that of its step.
    `over_target_since_ms` is the time since which each report has shown a load above
    the target of its step, 0 if the last one has not.
    """

    __slots__ = (
        "attempt",
        "counted_ms",
        "executor_id",
        "first_stop_ms",
        "image",
        "is_filler",
        "is_listed",
        "is_long_running",
        "is_need_known",
        "is_owner_known",
        "is_stop_answered",
        "is_wanted",
        "load",
        "moved_ms",
        "need",
        "ordered_ms",
        "organisation",
        "over_target_since_ms",
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
        organisation: str = "",
        need: Resources | None = None,
    ) -> None:
        self.subtask = subtask
        self.attempt = attempt
        self.executor_id = executor_id
        self.reserved = reserved
        self.need = reserved if need is None else need
        self.organisation = organisation
        self.phase = phase
        self.ordered_ms = now_ms
        self.started_ms = now_ms
        self.counted_ms = now_ms
        self.moved_ms = now_ms
        self.first_stop_ms = 0
        self.stop_ms = 0
        self.is_stop_answered = False
        self.is_wanted = True
        self.is_listed = False
        self.is_long_running = False
        self.is_filler = False
        self.is_need_known = True
        self.is_owner_known = True
        self.percent = 0
        self.load = 0.0
        self.image = ""
        self.over_target_since_ms = 0
        self.pace = 100
        self.paced_ms = now_ms

    @property
    def key(self) -> RunKey:
        """Return the identity of the run on its host."""
        return self.subtask, self.attempt

    @property
    def is_settled(self) -> bool:
        """Whether the start was answered, so that it cannot arrive later."""
        return self.phase in (RunPhase.RUNNING, RunPhase.STOPPING)


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was given up without a reported end, with the reason for it.

    Times are the scheduler's monotonic time in ms. The log line of the next start of
    the subtask says what that start rests on.
    """

    attempt: int
    executor_id: str
    reason: str
    ordered_ms: int
    lost_ms: int

    def describe(self, now_ms: int) -> dict[str, int | str]:
        """Return the fields of a log line about the start that replaces the run."""
        return {
            "replaced_attempt": self.attempt,
            "replaced_on": self.executor_id,
            "replaced_reason": self.reason,
            "replaced_ordered_ms": now_ms - self.ordered_ms,
            "replaced_lost_ms": now_ms - self.lost_ms,
        }
