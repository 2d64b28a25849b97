"""The service `scheduler`: runs the scheduler while this process holds the duty."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import GiveUpDuty
from guavapin.duties.messages import RetireFromDuty
from guavapin.executors.model import HostAnswer
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import Follow
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.keyvalue.follower import Unfollow
from guavapin.ledger.messages import CloseLedger
from guavapin.ledger.messages import EntriesDurable
from guavapin.ledger.messages import EntriesExisted
from guavapin.ledger.messages import LedgerFenced
from guavapin.ledger.messages import OpenLedger
from guavapin.scheduling.courier import Courier
from guavapin.scheduling.describe import describe_job
from guavapin.scheduling.describe import describe_scheduling
from guavapin.scheduling.fleet_load import fleet_load
from guavapin.scheduling.messages import AdviceGiven
from guavapin.scheduling.messages import CordonHosts
from guavapin.scheduling.messages import DescribeScheduling
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import SchedulerKnown
from guavapin.scheduling.messages import SchedulingDescribed
from guavapin.scheduling.messages import SchedulingEnded
from guavapin.scheduling.messages import StepDown
from guavapin.scheduling.messages import TableInForce
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.store_news import take_changed
from guavapin.scheduling.store_news import take_listed
from guavapin.scheduling.term import UNCONFIRMED_MS
from guavapin.scheduling.term import Term
from guavapin.scheduling.term_reading import TermReading

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.scheduling.describe import JobView
    from guavapin.scheduling.describe import SchedulingView
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.term_reading import RegistryCodec
    from guavapin.settings.resident import Times

# Looks that are due, lost hosts and timed jobs are noticed this late at most.
TICK_MS = 50

# The planner of machines sees the load this often. A machine takes over a second to
# move, and jobs of a second are late soon after.
LOAD_MS = 100

# Time after which a term that has not read everything leaves the duty to another
# process, whose host may have a better link.
READ_LIMIT_MS = 6_000

# Pause between two looks for ended jobs that need not be kept any longer.
EXPIRY_MS = 1_000

# Pause before a job that could not be read is read again.
FETCH_RETRY_MS = 200

FOLLOW_JOBS = "follow_jobs"
FOLLOW_PROGRESS = "follow_progress"
FOLLOW_INBOX = "follow_inbox"
FOLLOW_REGISTRY = "follow_registry"
_FOLLOWERS = (FOLLOW_JOBS, FOLLOW_PROGRESS, FOLLOW_INBOX, FOLLOW_REGISTRY)

log = logging.getLogger("guavapin.scheduling.task")


class Phase(Enum):
    """How far a term has come."""

    IDLE = "idle"
    READING = "reading"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class HandOver:
    """To ``scheduler``: the process stops; let another one schedule at once."""


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer of one term."""

    token: int


@dataclass(frozen=True, slots=True)
class _Dispatch:
    """To itself: start what became possible."""


@dataclass(frozen=True, slots=True)
class _ReadLimit:
    """Timer: the term should have read everything."""

    token: int


@dataclass(frozen=True, slots=True)
class _FetchAgain:
    """Timer: read a job again."""

    job_id: str


class SchedulerTask:
    """Service ``scheduler``.

    When the duty is held, it reads all jobs, their progress, the inbox and the
    registry, then looks at every host before its first order. It steps down when
    another process schedules, or when the store cannot be reached for too long.
    """

    name = "scheduler"

    def __init__(self, codec: RegistryCodec, times: Times, duty: str, key: str) -> None:
        self._codec = codec
        self._times = times
        self._duty_task = f"duty_{duty}"
        self._key = key
        self._phase = Phase.IDLE
        self._token = 0
        self._is_stopping = False
        self._unconfirmed_until_ms = 0
        self._table: QueueTable | None = None
        self._reading = TermReading(codec)
        self._scheduler: Scheduler | None = None
        self._known = SchedulerKnown("", "", 0)
        self._next_load_ms = 0
        self._next_expiry_ms = 0
        self._is_dispatch_queued = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for the duty."""
        self._context = context
        self._courier = Courier(context, self.name)
        return Ok(None)

    def stop(self) -> None:
        """Forget the term."""
        self._phase = Phase.IDLE
        self._scheduler = None

    def handle(self, message: object) -> None:
        """Take a message of any of the services around."""
        match message:
            case HostAnswer(request_id=number, outcome=outcome):
                order = self._courier.take_order(number)
                if order is not None and self._scheduler is not None:
                    self._note_time()
                    self._scheduler.hosts.take_answer(order, outcome)
                    self._run()
            case JobRequest():
                self._take_request(message)
            case _Dispatch():
                self._dispatch()
            case _Tick(token=token):
                self._tick(token)
            case PrefixListed(prefix=prefix, items=items):
                self._take_listed(prefix, items)
            case PrefixChanged(prefix=prefix, items=items):
                self._take_changed(prefix, items)
            case EntriesDurable(entries=entries):
                self._take_entries(entries, is_durable=True)
            case EntriesExisted(entries=entries):
                self._take_entries(entries, is_durable=False)
            case kv.Reply(request_id=number, outcome=outcome):
                self._take_fetched(number, outcome)
            case _:
                self._handle_term(message)

    def _handle_term(self, message: object) -> None:
        match message:
            case DutyHeld(token=token):
                self._take_held(token)
            case DutyLost():
                if self._phase is Phase.ACTIVE:
                    now_ms = self._context.clock.now_ms()
                    self._unconfirmed_until_ms = now_ms + UNCONFIRMED_MS
                else:
                    self._end("the duty was lost")
            case DescribeScheduling():
                self._describe(message)
            case SchedulerKnown():
                self._take_known(message)
            case PeerScheduler(scheduler=scheduler):
                if scheduler.token > self._known.token:
                    self._take_known(scheduler)
            case LedgerFenced():
                self._end("the store refused a write")
            case HandOver():
                self._is_stopping = True
                self._end("the process stops")
                self._context.send(self._duty_task, RetireFromDuty())
            case TableInForce(table=table):
                self._table = table
                if self._scheduler is not None:
                    self._scheduler.term.table = table
                self._activate()
            case CordonHosts():
                if self._scheduler is not None:
                    self._note_time()
                    self._scheduler.cordon(message.executor_ids, message.urgent)
                    self._run()
            case AdviceGiven():
                if self._scheduler is not None:
                    self._note_time()
                    self._scheduler.take_advice(message)
                    self._run()
            case MachinesListed():
                if self._scheduler is not None:
                    self._note_time()
                    self._scheduler.take_machines(message)
                    self._run()
            case _ReadLimit(token=token):
                if token == self._token and self._phase is Phase.READING:
                    self._end("the store's lists were not read in time")
                    self._context.send(self._duty_task, GiveUpDuty(token))
            case _FetchAgain(job_id=job_id):
                if self._scheduler is not None:
                    self._courier.fetch(job_id)
            case _:
                raise InvariantError(f"scheduler: unexpected message {message!r}")

    def _take_held(self, token: int) -> None:
        was_unconfirmed = self._unconfirmed_until_ms > 0
        self._unconfirmed_until_ms = 0
        if token != self._token and not self._is_stopping:
            self._begin(token)
        elif self._scheduler is not None and was_unconfirmed:
            # Markers that came in between were left alone.
            self._context.send(FOLLOW_INBOX, Follow())
        elif self._phase is Phase.IDLE:
            # The numbers of attempts of a term that has ended must not come again.
            self._context.send(self._duty_task, GiveUpDuty(token))

    def _begin(self, token: int) -> None:
        self._end("a new term begins")
        self._token = token
        self._phase = Phase.READING
        self._reading = TermReading(self._codec)
        log.info("term begins", extra={"token": token})
        self._context.set_timer(READ_LIMIT_MS, _ReadLimit(token))
        for follower in _FOLLOWERS:
            self._context.send(follower, Follow())

    def _take_known(self, known: SchedulerKnown) -> None:
        self._known = known
        if known.token > self._token and self._phase is not Phase.IDLE:
            self._end("another process schedules")
            self._context.send(self._duty_task, GiveUpDuty(self._token))

    def _take_listed(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        if self._phase is Phase.IDLE:
            return
        if prefix == JOBS_PREFIX:
            self._context.send(FOLLOW_JOBS, Unfollow())
        elif prefix == PROGRESS_PREFIX:
            self._context.send(FOLLOW_PROGRESS, Unfollow())
        if self._phase is Phase.READING:
            self._reading.take(prefix, items)
            self._activate()
        elif self._scheduler is not None:
            self._note_time()
            take_listed(self._scheduler, self._codec, prefix, items)
            self._run()

    def _activate(self) -> None:
        if self._phase is not Phase.READING or not self._reading.is_complete:
            return
        if self._table is None:
            return
        now_ms = self._context.clock.now_ms()
        term = Term(self._token, self._times, self._table, now_ms)
        term.wall_ms = self._context.clock.wall_ms()
        fence = kv.KeyRevision(self._key, self._token)
        self._context.send("ledger", OpenLedger(fence, self._reading.revisions))
        self._scheduler = self._reading.load(term)
        self._phase = Phase.ACTIVE
        extra = {
            "token": self._token,
            "jobs": len(self._scheduler.jobs.jobs),
            "hosts": len(self._scheduler.hosts.hosts),
        }
        log.info("scheduling", extra=extra)
        self._tick(self._token)

    def _end(self, reason: str) -> None:
        if self._phase is Phase.IDLE:
            return
        log.info("term ends", extra={"token": self._token, "reason": reason})
        self._phase = Phase.IDLE
        self._unconfirmed_until_ms = 0
        requests = self._scheduler.jobs.unanswered() if self._scheduler else []
        self._scheduler = None
        self._courier.forget()
        for req in requests:
            # What they wait for may have been stored.
            reply = JobReply(req.request_id, None, True, self._known)
            self._context.send(req.reply_to, reply)
        for follower in _FOLLOWERS:
            self._context.send(follower, Unfollow())
        self._context.send("ledger", CloseLedger())
        self._context.send("machines", SchedulingEnded())

    def _tick(self, token: int) -> None:
        if self._scheduler is None or token != self._token:
            return
        self._note_time()
        now_ms = self._scheduler.term.now_ms
        if self._unconfirmed_until_ms and now_ms >= self._unconfirmed_until_ms:
            self._end("the store was not reached for too long")
            self._context.send(self._duty_task, GiveUpDuty(self._token))
            return
        self._scheduler.tick()
        self._run()
        if self._scheduler is None:
            return
        if now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + LOAD_MS
            self._context.send("machines", fleet_load(self._scheduler))
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_MS
            self._scheduler.jobs.remove_expired()
            self._run()
        if self._scheduler is not None:
            self._context.set_timer(TICK_MS, _Tick(token))

    def _describe(self, req: DescribeScheduling) -> None:
        view: SchedulingView | JobView | None = None
        address = self._known.address
        if self._scheduler is not None:
            self._note_time()
            address = ""
            if req.job_id:
                view = describe_job(self._scheduler, req.job_id)
            else:
                view = describe_scheduling(self._scheduler)
        answer = SchedulingDescribed(req.request_id, view, address)
        self._context.send(req.reply_to, answer)

    def _take_request(self, req: JobRequest) -> None:
        # Without a confirmed lease another process may schedule, so that what is
        # known here may be out of date.
        if self._scheduler is None or self._unconfirmed_until_ms:
            reply = JobReply(req.request_id, None, elsewhere=self._known)
            self._context.send(req.reply_to, reply)
            return
        self._note_time()
        self._scheduler.jobs.take_request(req)
        self._run()

    def _take_changed(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        if self._scheduler is None:
            return
        self._note_time()
        take_changed(self._scheduler, self._codec, prefix, items)
        self._run()

    def _take_entries(self, entries: tuple[object, ...], is_durable: bool) -> None:
        if self._scheduler is None:
            return
        self._note_time()
        for entry in entries:
            for tag in getattr(entry, "tags", ()):
                if is_durable:
                    self._scheduler.take_stored(tag)
                else:
                    self._scheduler.jobs.take_existing(tag)
        self._run()

    def _take_fetched(self, number: int, outcome: kv.PlatformOutcome) -> None:
        job_id = self._courier.take_fetch(number)
        if not job_id or self._scheduler is None:
            return
        is_read = isinstance(outcome, kv.Found | kv.Missing)
        if is_read and not self._unconfirmed_until_ms:
            found = decode_job(outcome.value) if isinstance(outcome, kv.Found) else None
            self._note_time()
            self._scheduler.jobs.take_fetched(job_id, found)
            self._run()
        else:
            self._context.set_timer(FETCH_RETRY_MS, _FetchAgain(job_id))

    def _note_time(self) -> None:
        assert self._scheduler is not None
        clock = self._context.clock
        self._scheduler.term.now_ms = clock.now_ms()
        self._scheduler.term.wall_ms = clock.wall_ms()
        self._scheduler.term.is_unconfirmed = self._unconfirmed_until_ms > 0

    def _run(self) -> None:
        """Carry out the actions; what became possible starts after what is queued.

        A dispatch looks at all that waits, so that answers which come together share
        one.
        """
        if self._scheduler is None:
            return
        if self._scheduler.is_dirty and not self._is_dispatch_queued:
            self._is_dispatch_queued = True
            self._context.send(self.name, _Dispatch())
        self._act()

    def _dispatch(self) -> None:
        """Start what became possible."""
        self._is_dispatch_queued = False
        if self._scheduler is not None:
            self._note_time()
            self._scheduler.dispatch()
            self._act()

    def _act(self) -> None:
        if self._scheduler is None:
            return
        for action in self._scheduler.term.take_actions():
            if isinstance(action, StepDown):
                self._end(action.detail)
                self._context.send(self._duty_task, GiveUpDuty(self._token))
                return
            self._courier.carry_out(action)
