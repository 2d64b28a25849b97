"""Registrations and reports of executors, and the orders that they accept."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Subtask


@dataclass(frozen=True, slots=True)
class Registration:
    """Entry of an executor in the registry.

    `born_ms` is the start time of the executor, which distinguishes two incarnations
    with one `executor_id`. `clock_ms` is the executor's own clock when it wrote the
    entry. `rack` is "" if the entry names none.
    """

    executor_id: str
    born_ms: int
    service: str
    address: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    clock_ms: int


class EndKind(Enum):
    """Way in which a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """Run that an executor reports as running.

    `percent` is its progress, and 100 for a long-running run that is at work. `load` is
    the tail latency in milliseconds for a subtask that serves requests, and the
    processor use in thousandths of a core for any other. It is 0 if not reported.
    """

    subtask: Subtask
    attempt: int
    saved: str
    percent: int
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRow:
    """End of a run, which the executor reports until it is confirmed.

    `number` rises with each end on the executor, so one number confirms all up to it.
    """

    number: int
    subtask: Subtask
    attempt: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """Answer to `Look`: the executor's running and ended runs.

    `clock_ms` is the executor's clock and `born_ms` its start time. `ended` holds the
    ends with the lowest numbers. Unless `has_all_ends` is set there may be others,
    which follow once these are confirmed; a run that is in neither list may then have
    ended.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    has_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class Look:
    """Order to extend the lease of all runs, confirm ends and return the lists.

    `confirmed` is the highest confirmed number of an end. `until_ms` is the end of the
    lease on the executor's clock, 0 to leave the lease as it is. The executor waits up
    to `wait_ms` for an end before it answers.
    """

    token: int
    confirmed: int
    until_ms: int = 0
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Order to start a run, whose lease ends at `until_ms` on the executor's clock."""

    subtask: Subtask
    attempt: int
    spec: str
    saved: str
    until_ms: int
    token: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class Stop:
    """Order to stop a run, or to refuse its start if that arrives later."""

    subtask: Subtask
    attempt: int
    token: int


@dataclass(frozen=True, slots=True)
class Pace:
    """Order to throttle a run to `percent` of its full speed."""

    subtask: Subtask
    attempt: int
    percent: int
    token: int


Order: TypeAlias = Look | Start | Stop | Pace


class RefusalKind(Enum):
    """Reason for which an executor did not carry out an order."""

    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    OTHER_LIFE = "other_life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Done:
    """Outcome: the order was carried out, now or when it was sent before."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome: the order was refused and has had no effect.

    `clock_ms` is the executor's clock, 0 if the answer has none.
    """

    kind: RefusalKind
    clock_ms: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Outcome: no usable answer came.

    An order that `was_sent` may be carried out, even seconds later. Otherwise it has
    had no effect and never will. `is_refused` is set if nobody listens at the address.
    """

    was_sent: bool
    detail: str
    is_refused: bool = False


OrderOutcome: TypeAlias = HostReport | Done | Refusal | NoAnswer


@dataclass(frozen=True, slots=True)
class HostOrder:
    """To the service ``executors``: an order for one executor at an address.

    An executor with another `executor_id` at the same address refuses the order. With
    `uses_new_connection` the order reaches the executor that listens there now.
    """

    reply_to: str
    request_id: int
    address: str
    executor_id: str
    order: Order
    timeout_ms: int
    uses_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """From the service ``executors``: the outcome of an order."""

    request_id: int
    outcome: OrderOutcome
