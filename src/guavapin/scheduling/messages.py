"""Messages between the scheduler and other services, and the scheduler's actions.

An action is a decision of the scheduler that `ActionSender` turns into a message.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.executors.model import Order
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Subtask
    from guavapin.jobs.queues import QueueTable
    from guavapin.ledger.ledger import Entry
    from guavapin.scheduling.describe import JobView
    from guavapin.scheduling.describe import SchedulingView
    from guavapin.scheduling.where import PlacementView


@dataclass(frozen=True, slots=True)
class JobRequest:
    """To ``scheduler``: a call about a job."""

    reply_to: str
    request_id: int
    call: JobCall


@dataclass(frozen=True, slots=True)
class JobReply:
    """From ``scheduler``: the answer to a call.

    `answer` is None if the job is not known here or this process does not schedule. A
    submission or cancellation without an answer may still take effect if
    `may_have_effect` is set. `known_scheduler` is the last scheduler known to this
    process, None if this process schedules.
    """

    request_id: int
    answer: JobAnswer | None
    may_have_effect: bool = False
    known_scheduler: KnownScheduler | None = None


@dataclass(frozen=True, slots=True)
class DescribeScheduling:
    """To ``scheduler``: a query of an operator; `job_id` is "" for the overview."""

    reply_to: str
    request_id: int
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class SchedulingDescribed:
    """From ``scheduler``: the view that was queried, None if there is none.

    `scheduler` is the address of the known scheduler, "" if it is this process or none
    is known.
    """

    request_id: int
    view: SchedulingView | JobView | None
    scheduler: str


@dataclass(frozen=True, slots=True)
class ExplainPlacement:
    """To ``scheduler``: where a job would start now.

    `job` is a job that was not submitted; without one, `job_id` names a submitted job.
    """

    reply_to: str
    request_id: int
    job_id: str = ""
    job: Job | None = None


@dataclass(frozen=True, slots=True)
class PlacementExplained:
    """From ``scheduler``: the explanation, None if the job is not known here.

    `is_scheduling` is unset if this process does not schedule; `scheduler` is then the
    last one known to it.
    """

    request_id: int
    view: PlacementView | None
    is_scheduling: bool
    scheduler: KnownScheduler


@dataclass(frozen=True, slots=True)
class PeerScheduler:
    """The scheduler that another entry host named; it may be out of date."""

    scheduler: KnownScheduler


@dataclass(frozen=True, slots=True)
class QueueTableChanged:
    """From ``tables``: the queues and pools of a newer version."""

    table: QueueTable


@dataclass(frozen=True, slots=True)
class KnownScheduler:
    """The process that schedules, and the address of its peer listener.

    `address` is "" and `token` 0 if no process schedules. Of two schedulers, the one
    with the higher token is the newer one.
    """

    address: str
    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class HostLoad:
    """Load and state of a host; `run_count` includes runs that are being stopped.

    `used_share` is the reserved share of processor or memory, whichever is larger.
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
    """Resource demand of a pool, in thousandths of a core and megabytes.

    `waiting_cpu` and `waiting_memory` are the needs of the subtasks that could start
    now, and `waiting_core_ms` is their work in thousandths of a core times seconds.
    `held_cpu` and `held_memory` are reserved by runs, `lasting_cpu` is the part of
    long-running ones. `following_cpu` is the need of later steps beyond that of the
    open steps of their jobs. `arriving_cpu` is the need of jobs that keep arriving at
    the present rate.
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
    """To ``machines``: loads and demands, sent while this process schedules."""

    token: int
    hosts: tuple[HostLoad, ...]
    demands: tuple[PoolDemand, ...]


@dataclass(frozen=True, slots=True)
class SchedulingEnded:
    """To ``machines``: this process no longer schedules."""


@dataclass(frozen=True, slots=True)
class CordonHosts:
    """From ``machines``: start nothing on these hosts and evacuate them.

    Hosts in `urgent` must be empty soon, so their runs are stopped.
    """

    executor_ids: frozenset[str]
    urgent: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """From ``machines``: the executors in the platform's list of machines.

    `pools` has each executor of a machine that is up with its pool. Of the executors in
    the lists before, `ended` has those whose machines are listed without them, and
    `missing` those whose machines are not listed. `capacities` is in the order of
    `pools`, empty if it is not known. `off` has the capacity of each machine without an
    executor that is up, None if it is not known. `requested_ms` is the scheduler's
    monotonic time at which the list was requested, 0 if it is not known.
    """

    pools: tuple[tuple[str, str], ...]
    ended: tuple[str, ...] = ()
    capacities: tuple[Resources, ...] = ()
    off: tuple[Resources, ...] | None = None
    missing: tuple[str, ...] = ()
    requested_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderContext:
    """The host and run state that an order was sent for, to match its answer.

    An order `is_on_new_connection` if it is sent over a connection of its own, which
    leads to whoever listens at the host's address then.
    """

    executor_id: str
    born_ms: int
    order: Order
    sent_ms: int
    is_on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order to a host."""

    address: str
    context: OrderContext
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """Action: store an entry; an urgent one waits less for others to join its write."""

    entry: Entry
    is_urgent: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Action: answer a call about a job; None if the store must be queried.

    A call without an answer may still take effect if `may_have_effect` is set.
    """

    reply_to: str
    request_id: int
    answer: JobAnswer | None
    may_have_effect: bool = False


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """To ``advice``, and an action: request tickets of these executors for a step.

    `step` is any subtask of the step; its index is ignored. `born_ms` has the start
    time of each executor, in the same order.
    """

    step: Subtask
    executors: tuple[str, ...]
    timeout_ms: int
    born_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class AdviceReply:
    """From ``advice``: tickets by executor, None if no usable answer arrived."""

    request: AdviceRequest
    tickets: dict[str, str] | None


@dataclass(frozen=True, slots=True)
class FetchJob:
    """Action: read a job that was stored by another process."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StepDown:
    """Action: end the term, since another scheduler has a higher token."""

    detail: str


Action: TypeAlias = (
    SendOrder | StoreEntry | AnswerCall | AdviceRequest | FetchJob | StepDown
)
