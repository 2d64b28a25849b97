"""Simulation of a scheduler with fake executors and a fake store, advanced by tests."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from guavapin.executors.model import Done
from guavapin.executors.model import EndedRow
from guavapin.executors.model import EndKind
from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Registration
from guavapin.executors.model import RunningRow
from guavapin.executors.model import Start
from guavapin.executors.model import Stop
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.scheduling.messages import AnswerCall
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import SendOrder
from guavapin.scheduling.messages import StepDown
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.scheduler import Scheduler
from guavapin.scheduling.term import Term
from guavapin.settings.resident import Times

TIMES = Times(grace_ms=6_000, max_lease_ms=6_000, stop_ms=400)
QUEUE = Queue("q", "h", "/q/", "pool", attempts=3, stretch=1.6)
TABLE = QueueTable(1, (QUEUE,), (Pool("pool"), Pool("off", is_standby=True)))
HOST_CAPACITY = Resources(16_000, 65_536, 0)


def make_job(job_id: str = "0" * 16, *steps: Step) -> Job:
    """Return a job of `QUEUE`, by default with one step of one subtask."""
    steps = steps or (Step(1, SMALL),)
    return Job(job_id, QUEUE.key, "pool", "spec", steps, terms=QUEUE.terms)


SMALL = Resources(1_000, 1_000, 0)


@dataclass
class FakeExecutor:
    """One incarnation of an executor, with its runs, ends, highest token and lease.

    `refused` has, by subtask, the highest attempt that may no longer start. A stopped
    run is listed as running for `stop_duration_ms`; `stopping` has the end of that time
    by subtask. A report lists the first `max_listed_ends` ends.
    """

    executor_id: str
    born_ms: int = 1
    token: int = 0
    lease_ms: int = 0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    refused: dict = field(default_factory=dict)
    last_end_number: int = 0
    is_reachable: bool = True
    # Unset if nobody listens at the address, so that connections are refused.
    is_listening: bool = True
    # Set if another executor listens there, which refuses its orders.
    is_replaced: bool = False
    percent: int = 0
    stop_duration_ms: int = 0
    stopping: dict = field(default_factory=dict)
    max_listed_ends: int = 500
    # Tickets that starts need, if any does.
    valid_tickets: set = field(default_factory=set)
    pool: str = "pool"

    def registration(self, capacity: Resources = HOST_CAPACITY) -> Registration:
        return Registration(
            self.executor_id,
            self.born_ms,
            self.pool,
            f"{self.executor_id}:1",
            "z",
            False,
            capacity,
            ("a", "r1"),
            "r1",
            0,
        )

    def handle_order(self, order, now_ms: int):
        """Apply an order that arrives at `now_ms` and return its outcome."""
        self.expire(now_ms)
        if order.token < self.token:
            return Refusal(RefusalKind.FENCED, now_ms)
        self.token = order.token
        if isinstance(order, Look):
            self.lease_ms = max(self.lease_ms, order.until_ms)
            self.ended = [row for row in self.ended if row.number > order.confirmed]
            rows = tuple(
                RunningRow(subtask, attempt, "", self.percent)
                for subtask, attempt in self.running.items()
            )
            listed = tuple(self.ended[: self.max_listed_ends])
            has_all_ends = len(listed) < self.max_listed_ends
            return HostReport(now_ms, self.born_ms, rows, listed, has_all_ends)
        if isinstance(order, Start):
            if order.attempt <= self.refused.get(order.subtask, 0):
                return Refusal(RefusalKind.OUTDATED, now_ms)
            if self.valid_tickets and order.ticket not in self.valid_tickets:
                return Refusal(RefusalKind.TICKET, now_ms)
            self.lease_ms = max(self.lease_ms, order.until_ms)
            self.running[order.subtask] = order.attempt
        elif isinstance(order, Stop):
            last = self.refused.get(order.subtask, 0)
            self.refused[order.subtask] = max(last, order.attempt)
            if self.running.get(order.subtask) == order.attempt:
                self.stopping.setdefault(order.subtask, now_ms + self.stop_duration_ms)
                self.expire(now_ms)
        return Done(now_ms)

    def end(self, subtask, kind: EndKind) -> None:
        """End the run of a subtask and refuse further starts of its attempt."""
        attempt = self.running.pop(subtask)
        self.stopping.pop(subtask, None)
        last = self.refused.get(subtask, 0)
        self.refused[subtask] = max(last, attempt)
        self.last_end_number += 1
        self.ended.append(EndedRow(self.last_end_number, subtask, attempt, kind, ""))

    def restart(self) -> None:
        """Start again under the same id, without anything of before."""
        self.born_ms += 1
        self.token = self.lease_ms = self.last_end_number = 0
        for held in (self.running, self.ended, self.refused, self.stopping):
            held.clear()

    def expire(self, now_ms: int) -> None:
        """End the runs whose stop is complete, and all runs if the lease has ended."""
        for subtask, stopped_ms in [*self.stopping.items()]:
            if now_ms >= stopped_ms:
                self.end(subtask, EndKind.STOPPED)
        if self.running and now_ms > self.lease_ms:
            for subtask in [*self.running]:
                self.end(subtask, EndKind.LAPSED)


class Simulation:
    """Performs a scheduler's actions on fake executors and a fake store.

    Entries are stored at once; while `is_store_down` is set, they are lost. Orders to
    an unreachable executor are kept in `undelivered`. The store refuses the entries for
    which `is_refused` returns True. A term begins under `table`.
    """

    def __init__(
        self,
        executors: list[FakeExecutor],
        token: int = 5,
        table: QueueTable = TABLE,
    ) -> None:
        self.table = table
        self.executors = {executor.executor_id: executor for executor in executors}
        self.now_ms = 1_000
        self.stored: dict[str, bytes] = {}
        self.jobs: dict[str, Job] = {}
        self.answers: list = []
        self.is_store_down = False
        self.is_refused = lambda entry: False
        self.stepped_down = False
        self.undelivered: list = []
        self.starts: list = []
        self.on_action = lambda action: None
        self.take_over(token)

    def take_over(self, token: int) -> None:
        """Begin a new term, with a new scheduler that loads what is stored."""
        term = Term(token, self.times(), self.table, self.now_ms)
        self.scheduler = Scheduler(term)
        self._update_time()
        self.scheduler.hosts.replace_registrations(
            executor.registration() for executor in self.executors.values()
        )
        progress = {
            key.removeprefix(PROGRESS_PREFIX): decode_progress(value)
            for key, value in self.stored.items()
        }
        self.scheduler.jobs.load(self.jobs.values(), progress)

    def times(self) -> Times:
        """Return the times of the deployment."""
        return TIMES

    def list_machines(self) -> None:
        """Deliver the platform's list of machines."""
        pools = tuple((name, row.pool) for name, row in self.executors.items())
        self._update_time()
        self.scheduler.apply_machines(MachinesListed(pools, requested_ms=self.now_ms))
        self.run()

    def submit(self, job: Job) -> None:
        """Open a job as if its entry had just been stored."""
        self.jobs[job.job_id] = job
        self._update_time()
        self.scheduler.jobs.open_stored(job)
        self.run()

    def advance(self, delta_ms: int, step_ms: int = 50) -> None:
        """Advance the time in steps, with a tick of the scheduler after each."""
        for _ in range(delta_ms // step_ms):
            self.now_ms += step_ms
            for executor in self.executors.values():
                executor.expire(self.now_ms)
            self._update_time()
            self.scheduler.tick()
            self.run()

    def run(self) -> None:
        """Dispatch and perform actions until none are left."""
        self._update_time()
        self.scheduler.dispatch()
        while actions := self.scheduler.term.drain_actions():
            for action in actions:
                self._perform(action)
            self.scheduler.dispatch()

    def running(self) -> list:
        """Return the subtask and the executor of each run."""
        return [
            (subtask, executor.executor_id)
            for executor in self.executors.values()
            for subtask in executor.running
        ]

    def _update_time(self) -> None:
        self.scheduler.term.now_ms = self.now_ms
        self.scheduler.term.wall_ms = self.now_ms

    def _perform(self, action) -> None:
        self.on_action(action)
        if isinstance(action, SendOrder):
            self._deliver(action)
        elif isinstance(action, StoreEntry):
            entry = action.entry
            if self.is_refused(entry):
                self.scheduler.handle_refused(entry, False)
            elif not self.is_store_down:
                if entry.value is not None and entry.key.startswith(PROGRESS_PREFIX):
                    self.stored[entry.key] = entry.value
                if entry.value is None and entry.key.startswith(JOBS_PREFIX):
                    self.jobs.pop(entry.key.removeprefix(JOBS_PREFIX), None)
                for tag in entry.tags:
                    self.scheduler.handle_stored(tag)
        elif isinstance(action, StepDown):
            self.stepped_down = True
        elif isinstance(action, AnswerCall):
            self.answers.append(action.answer)

    def _deliver(self, action: SendOrder) -> None:
        executor = self.executors.get(action.context.executor_id)
        order = action.context.order
        if isinstance(order, Start):
            self.starts.append((order.subtask, action.context.executor_id))
        if executor is not None and executor.is_replaced:
            outcome = Refusal(RefusalKind.OTHER_LIFE)
        elif executor is not None and not executor.is_listening:
            outcome = NoAnswer(False, "refused", is_refused=True)
        elif executor is None or not executor.is_reachable:
            outcome = NoAnswer(True, "silent")
            self.undelivered.append((action.context.executor_id, order))
        else:
            outcome = executor.handle_order(order, self.now_ms)
        self.scheduler.hosts.handle_answer(action.context, outcome)
