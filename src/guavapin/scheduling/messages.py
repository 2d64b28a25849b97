"""Messages between the scheduler and the services beside it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.executors.model import Order
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.model import Subtask
    from guavapin.jobs.queues import QueueTable
    from guavapin.ledger.ledger import Entry
    from guavapin.scheduling.describe import JobView
    from guavapin.scheduling.describe import SchedulingView


@dataclass(frozen=True, slots=True)
class JobRequest:
    """To ``scheduler``: a call about a job."""

    reply_to: str
    request_id: int
    call: JobCall


@dataclass(frozen=True, slots=True)
class JobReply:
    """From ``scheduler``: the answer; None if it does not know or does not schedule.

    Without an answer a submission or cancellation `may_have_effect` all the same.
    `known_scheduler` is who schedules as far as this process has heard, None if it is
    this process.
    """

    request_id: int
    answer: JobAnswer | None
    may_have_effect: bool = False
    known_scheduler: KnownScheduler | None = None


@dataclass(frozen=True, slots=True)
class DescribeScheduling:
    """To ``scheduler``: what operators ask; `job_id` is "" for the overview."""

    reply_to: str
    request_id: int
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class SchedulingDescribed:
    """From ``scheduler``: a view; None without one, and who schedules if not here."""

    request_id: int
    view: SchedulingView | JobView | None
    scheduler: str


@dataclass(frozen=True, slots=True)
class PeerScheduler:
    """Another entry host has told who schedules; it may be out of date."""

    scheduler: KnownScheduler


@dataclass(frozen=True, slots=True)
class QueueTableChanged:
    """From ``configuration``: queues and pools of a newer version."""

    table: QueueTable


@dataclass(frozen=True, slots=True)
class KnownScheduler:
    """Who schedules: the address of its peer listener, "" if nobody does.

    `token` is 0 if nobody does; of two schedulers the one with the higher token is the
    later one.
    """

    address: str
    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class HostLoad:
    """How a host stands: `run_count` includes runs that are being stopped.

    `used_share` is the larger of the shares of processor and memory in use.
    """

    executor_id: str
    pool: str
    run_count: int
    used_share: float
    idle_ms: int
    is_cordoned: bool
    has_long_running: bool
    is_usable: bool


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool's jobs ask for, in thousandths of a core and megabytes.

    `waiting` is the room of the subtasks that could start now and `waiting_core_ms`
    their work, in thousandths of a core times seconds. `held` is the room of what
    runs, `lasting` that of work without an end among it, and `following` that of later
    steps beyond what their jobs take now. `arriving` is the room that jobs take which
    go on arriving as they did a moment ago.
    """

    pool: str
    waiting_cpu: int = 0
    waiting_memory: int = 0
    waiting_core_ms: int = 0
    following_cpu: int = 0
    arriving_cpu: int = 0
    held_cpu: int = 0
    held_memory: int = 0
    lasting_cpu: int = 0
    largest_spread: int = 0
    oldest_waiting_ms: int = 0


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """To ``machines``: loads and demands while this process schedules."""

    token: int
    hosts: tuple[HostLoad, ...]
    demands: tuple[PoolDemand, ...]


@dataclass(frozen=True, slots=True)
class SchedulingEnded:
    """To ``machines``: this process does not schedule any more."""


@dataclass(frozen=True, slots=True)
class CordonHosts:
    """From ``machines``: start nothing on these hosts and empty them.

    Hosts in `urgent` have to be empty soon, so that their work is stopped.
    """

    executor_ids: frozenset[str]
    urgent: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """From ``machines``: what the platform lists.

    `pools` has the executors of machines that are up, with their pools. `ended` has
    executors that ordered machines no longer run.
    """

    pools: tuple[tuple[str, str], ...]
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OrderContext:
    """What an order was about, to take its answer."""

    executor_id: str
    born_ms: int
    order: Order
    sent_ms: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: give an order to a host."""

    address: str
    context: OrderContext
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """Action: store an entry."""

    entry: Entry
    is_urgent: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Action: answer a call about a job; None if the store has to be asked."""

    reply_to: str
    request_id: int
    answer: JobAnswer | None


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """To ``advice``: ask which of these executors may run a step.

    `step` is any subtask of it; the index does not matter.
    """

    step: Subtask
    executors: tuple[str, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class AdviceReply:
    """From ``advice``: tickets by executor; None if no answer came."""

    request: AdviceRequest
    tickets: dict[str, str] | None


@dataclass(frozen=True, slots=True)
class FetchJob:
    """Action: read a job that was stored by another process."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StepDown:
    """Action: another scheduler has a higher token."""

    detail: str


Action: TypeAlias = (
    SendOrder | StoreEntry | AnswerCall | AdviceRequest | FetchJob | StepDown
)
