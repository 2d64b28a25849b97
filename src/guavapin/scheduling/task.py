"""The service `scheduler`: runs the scheduler while this process holds the duty."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import PostponeCompetition
from guavapin.duties.messages import ReleaseDuty
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
from guavapin.ledger.messages import EntriesRefused
from guavapin.ledger.messages import LedgerFenced
from guavapin.ledger.messages import OpenLedger
from guavapin.scheduling.action_sender import ActionSender
from guavapin.scheduling.describe import describe_job
from guavapin.scheduling.describe import describe_scheduling
from guavapin.scheduling.duty_release import DutyRelease
from guavapin.scheduling.duty_release import ReleaseTimeout
from guavapin.scheduling.fleet_load import fleet_load
from guavapin.scheduling.handover import HANDOVER_PREFIX
from guavapin.scheduling.handover import collect_hosts
from guavapin.scheduling.loop_load import LoopLoad
from guavapin.scheduling.messages import AdviceReply
from guavapin.scheduling.messages import CordonHosts
from guavapin.scheduling.messages import DescribeScheduling
from guavapin.scheduling.messages import ExplainPlacement
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import PlacementExplained
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.scheduling.messages import SchedulingDescribed
from guavapin.scheduling.messages import SchedulingEnded
from guavapin.scheduling.messages import StepDown
from guavapin.scheduling.organisation_rate import DEFAULT_WINDOW_MS
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.store_changes import apply_changed
from guavapin.scheduling.store_changes import apply_listed
from guavapin.scheduling.term import MAX_UNCONFIRMED_MS
from guavapin.scheduling.term import Term
from guavapin.scheduling.term_loader import TermLoader
from guavapin.scheduling.where import explain_job
from guavapin.scheduling.where import explain_waiting

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.ledger.ledger import Entry
    from guavapin.scheduling.describe import JobView
    from guavapin.scheduling.describe import SchedulingView
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.term_loader import RegistryDecoder
    from guavapin.scheduling.where import PlacementView
    from guavapin.settings.resident import Times

# Interval of the timer that sends due polls, detects lost hosts and opens the steps
# of repeating jobs; each is late by at most this time.
TICK_MS = 50

# Interval of the load reports to the machine planner. A machine takes over a second
# to move, and jobs that run for a second miss their objective soon after that.
LOAD_INTERVAL_MS = 100

# A term that has not read all lists after this time releases the duty, so that a
# process on a host with a better link can acquire it.
READ_TIMEOUT_MS = 6_000

# Time for which a process that has become slow does not compete for the duty. Others
# compete within half a second.
SLOW_BACK_OFF_MS = 2_000

# Interval between two removals of ended jobs that have expired.
EXPIRY_INTERVAL_MS = 1_000

# Delay before a failed read of a job is repeated.
FETCH_RETRY_MS = 200

FOLLOW_JOBS = "follow_jobs"
FOLLOW_PROGRESS = "follow_progress"
FOLLOW_INBOX = "follow_inbox"
FOLLOW_REGISTRY = "follow_registry"
FOLLOW_HANDOVER = "follow_handover"
_FOLLOWERS = (
    FOLLOW_JOBS,
    FOLLOW_PROGRESS,
    FOLLOW_INBOX,
    FOLLOW_REGISTRY,
    FOLLOW_HANDOVER,
)
# Lists that do not change during a term except by its own writes.
_READ_ONCE = {
    JOBS_PREFIX: FOLLOW_JOBS,
    PROGRESS_PREFIX: FOLLOW_PROGRESS,
    HANDOVER_PREFIX: FOLLOW_HANDOVER,
}

log = logging.getLogger("guavapin.scheduling.task")


class Phase(Enum):
    """State of the task: without a term, reading the store, or scheduling."""

    IDLE = "idle"
    READING = "reading"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class HandOver:
    """To ``scheduler``: the process stops; let another process schedule at once."""


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: run the periodic work of the term with this token."""

    token: int


@dataclass(frozen=True, slots=True)
class _Dispatch:
    """To itself: start the waiting subtasks that fit on a host."""


@dataclass(frozen=True, slots=True)
class _ReadTimeout:
    """Timer: the term with this token must have read all lists by now."""

    token: int


@dataclass(frozen=True, slots=True)
class _RetryFetch:
    """Timer: repeat the read of a job that failed."""

    job_id: str


class SchedulerTask:
    """Service ``scheduler``.

    While the process holds the duty, the task runs a term: it reads all jobs, their
    progress, the inbox and the registry, and polls every host before it sends the host
    an order. The term ends when another process schedules, or when the store cannot be
    reached for `MAX_UNCONFIRMED_MS`.
    """

    name = "scheduler"

    def __init__(
        self,
        decoder: RegistryDecoder,
        times: Times,
        duty: str,
        key: str,
        quota_window_ms: int = DEFAULT_WINDOW_MS,
    ) -> None:
        self._decoder = decoder
        self._times = times
        self._quota_window_ms = quota_window_ms
        self._duty_service = f"duty_{duty}"
        self._key = key
        self._phase = Phase.IDLE
        self._token = 0
        self._is_stopping = False
        self._unconfirmed_until_ms = 0
        self._table: QueueTable | None = None
        self._loader = TermLoader(decoder)
        self._scheduler: Scheduler | None = None
        self._known_scheduler = KnownScheduler("", "", 0)
        self._next_load_ms = 0
        self._next_expiry_ms = 0
        self._is_dispatch_queued = False
        self._loop_load = LoopLoad(0, 0, 0, 0)

    def start(self, context: TaskContext) -> Outcome[None]:
        """Create the action sender; a term begins with the first `DutyHeld`."""
        self._context = context
        self._action_sender = ActionSender(context, self.name)
        self._release = DutyRelease(context, self.name, self._duty_service, self._key)
        return Ok(None)

    def stop(self) -> None:
        """Drop the state of the term without sending anything."""
        self._phase = Phase.IDLE
        self._scheduler = None

    def handle(self, message: object) -> None:
        """Handle a message; raise `InvariantError` for one of an unknown type."""
        match message:
            case HostAnswer(request_id=request_id, outcome=outcome):
                order = self._action_sender.pop_order(request_id)
                if order is not None and self._scheduler is not None:
                    self._update_time()
                    self._scheduler.hosts.handle_answer(order, outcome)
                    self._finish_event()
            case JobRequest():
                self._handle_request(message)
            case _Dispatch():
                self._dispatch()
            case _Tick(token=token):
                self._tick(token)
            case PrefixListed(prefix=prefix, items=items):
                self._handle_listed(prefix, items)
            case PrefixChanged(prefix=prefix, items=items):
                self._handle_changed(prefix, items)
            case EntriesDurable(entries=entries):
                self._handle_entries(entries, is_durable=True)
            case EntriesExisted(entries=entries):
                self._handle_entries(entries, is_durable=False)
            case EntriesRefused(entries=entries, may_be_stored=may_be_stored):
                self._handle_refused(entries, may_be_stored)
            case kv.Reply(request_id=request_id, outcome=outcome):
                if not self._release.finish(request_id):
                    self._handle_fetched(request_id, outcome)
            case _:
                self._handle_term_event(message)

    def _handle_term_event(self, message: object) -> None:
        match message:
            case DutyHeld(token=token):
                self._handle_duty_held(token)
            case DutyLost():
                if self._phase is Phase.ACTIVE:
                    now_ms = self._context.clock.now_ms()
                    self._unconfirmed_until_ms = now_ms + MAX_UNCONFIRMED_MS
                else:
                    self._end("the duty was lost")
            case DescribeScheduling():
                self._describe(message)
            case ExplainPlacement():
                self._explain(message)
            case KnownScheduler():
                self._handle_known_scheduler(message)
            case PeerScheduler(scheduler=scheduler):
                if scheduler.token > self._known_scheduler.token:
                    self._handle_known_scheduler(scheduler)
            case LedgerFenced():
                self._end("the store refused a write")
            case HandOver():
                self._is_stopping = True
                self._hand_over("the process stops", RetireFromDuty())
            case QueueTableChanged(table=table):
                self._table = table
                if self._scheduler is not None:
                    self._scheduler.term.table = table
                self._activate()
            case CordonHosts():
                if self._scheduler is not None:
                    self._update_time()
                    self._scheduler.cordon(message.executor_ids, message.urgent)
                    self._finish_event()
            case AdviceReply():
                if self._scheduler is not None:
                    self._update_time()
                    self._scheduler.apply_advice(message)
                    self._finish_event()
            case MachinesListed():
                if self._scheduler is not None:
                    self._update_time()
                    self._scheduler.apply_machines(message)
                    self._finish_event()
            case _ReadTimeout(token=token):
                if token == self._token and self._phase is Phase.READING:
                    self._end("the lists were not read from the store in time")
                    self._context.send(self._duty_service, ReleaseDuty(token))
            case ReleaseTimeout(request_id=request_id):
                self._release.finish(request_id)
            case _RetryFetch(job_id=job_id):
                if self._scheduler is not None:
                    self._action_sender.fetch(job_id)
            case _:
                raise InvariantError(f"scheduler: unexpected message {message!r}")

    def _handle_duty_held(self, token: int) -> None:
        if self._release.is_pending:
            # A renewal that was under way when the term ended.
            return
        was_unconfirmed = self._unconfirmed_until_ms > 0
        self._unconfirmed_until_ms = 0
        if token != self._token and not self._is_stopping:
            self._begin(token)
        elif self._scheduler is not None and was_unconfirmed:
            # Markers that arrived while the lease was unconfirmed were ignored, so
            # the inbox is listed again.
            self._context.send(FOLLOW_INBOX, Follow())
        elif self._phase is Phase.IDLE:
            # A second term with the same token would reuse attempt numbers, so the
            # duty is released instead.
            self._context.send(self._duty_service, ReleaseDuty(token))

    def _begin(self, token: int) -> None:
        self._end("a new term begins")
        self._token = token
        self._phase = Phase.READING
        self._loader = TermLoader(self._decoder)
        log.info("term begins", extra={"token": token})
        self._context.set_timer(READ_TIMEOUT_MS, _ReadTimeout(token))
        for follower in _FOLLOWERS:
            self._context.send(follower, Follow())

    def _handle_known_scheduler(self, known: KnownScheduler) -> None:
        self._known_scheduler = known
        if known.token > self._token and self._phase is not Phase.IDLE:
            self._end("another process schedules")
            self._context.send(self._duty_service, ReleaseDuty(self._token))

    def _handle_listed(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        if self._phase is Phase.IDLE:
            return
        if prefix in _READ_ONCE:
            self._context.send(_READ_ONCE[prefix], Unfollow())
        if self._phase is Phase.READING:
            self._loader.add(prefix, items)
            self._activate()
        elif self._scheduler is not None:
            self._update_time()
            apply_listed(self._scheduler, self._decoder, prefix, items)
            self._finish_event()

    def _activate(self) -> None:
        if self._phase is not Phase.READING or not self._loader.is_complete:
            return
        if self._table is None:
            return
        now_ms = self._context.clock.now_ms()
        term = Term(
            self._token, self._times, self._table, now_ms, self._quota_window_ms
        )
        term.wall_ms = self._context.clock.wall_ms()
        fence = kv.KeyRevision(self._key, self._token)
        self._context.send("ledger", OpenLedger(fence, self._loader.revisions))
        self._scheduler = self._loader.load(term)
        self._phase = Phase.ACTIVE
        idle_ms = self._context.idle_ms()
        self._loop_load = LoopLoad(now_ms, now_ms, idle_ms, now_ms)
        extra = {
            "token": self._token,
            "jobs": len(self._scheduler.jobs.by_id),
            "hosts": len(self._scheduler.hosts.by_id),
        }
        log.info("scheduling", extra=extra)
        self._tick(self._token)

    def _hand_over(self, reason: str, release: RetireFromDuty | ReleaseDuty) -> None:
        """End the term, store what runs for the successor, and release the duty."""
        handed_hosts = None
        if self._scheduler is not None and not self._unconfirmed_until_ms:
            self._update_time()
            handed_hosts = collect_hosts(self._scheduler.hosts)
        self._end(reason)
        request_id = self._action_sender.next_request_id()
        self._release.begin(release, request_id, self._token, handed_hosts)

    def _end(self, reason: str) -> None:
        if self._phase is Phase.IDLE:
            return
        log.info("term ends", extra={"token": self._token, "reason": reason})
        self._phase = Phase.IDLE
        self._unconfirmed_until_ms = 0
        requests = self._scheduler.jobs.pending_requests() if self._scheduler else []
        self._scheduler = None
        self._action_sender.clear()
        for req in requests:
            # The write that the request waits for may have reached the store.
            reply = JobReply(req.request_id, None, True, self._known_scheduler)
            self._context.send(req.reply_to, reply)
        for follower in _FOLLOWERS:
            self._context.send(follower, Unfollow())
        self._context.send("ledger", CloseLedger())
        self._context.send("machines", SchedulingEnded())

    def _tick(self, token: int) -> None:
        if self._scheduler is None or token != self._token:
            return
        self._update_time()
        now_ms = self._scheduler.term.now_ms
        if self._unconfirmed_until_ms and now_ms >= self._unconfirmed_until_ms:
            self._end("the store could not be reached for too long")
            self._context.send(self._duty_service, ReleaseDuty(self._token))
            return
        self._loop_load = self._loop_load.after(self._context.idle_ms(), now_ms)
        if self._loop_load.must_hand_over(now_ms) and not self._unconfirmed_until_ms:
            self._context.send("roster", PostponeCompetition(SLOW_BACK_OFF_MS))
            self._hand_over("this host is too slow", ReleaseDuty(self._token))
            return
        self._scheduler.tick()
        self._finish_event()
        if self._scheduler is None:
            return
        if now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + LOAD_INTERVAL_MS
            self._context.send("machines", fleet_load(self._scheduler))
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self._scheduler.jobs.remove_expired()
            self._finish_event()
        if self._scheduler is not None:
            self._context.set_timer(TICK_MS, _Tick(token))

    def _describe(self, req: DescribeScheduling) -> None:
        view: SchedulingView | JobView | None = None
        address = self._known_scheduler.address
        if self._scheduler is not None:
            self._update_time()
            address = ""
            if req.job_id:
                view = describe_job(self._scheduler, req.job_id)
            else:
                view = describe_scheduling(self._scheduler)
        answer = SchedulingDescribed(req.request_id, view, address)
        self._context.send(req.reply_to, answer)

    def _explain(self, req: ExplainPlacement) -> None:
        """Answer where a job would start, unless another process may schedule."""
        view: PlacementView | None = None
        is_scheduling = self._scheduler is not None and not self._unconfirmed_until_ms
        if self._scheduler is not None and is_scheduling:
            self._update_time()
            if req.job is not None:
                view = explain_job(self._scheduler, req.job)
            else:
                view = explain_waiting(self._scheduler, req.job_id)
        answer = PlacementExplained(
            req.request_id, view, is_scheduling, self._known_scheduler
        )
        self._context.send(req.reply_to, answer)

    def _handle_request(self, req: JobRequest) -> None:
        # While the lease is unconfirmed, another process may schedule and the state
        # of this one may be out of date.
        if self._scheduler is None or self._unconfirmed_until_ms:
            reply = JobReply(
                req.request_id, None, known_scheduler=self._known_scheduler
            )
            self._context.send(req.reply_to, reply)
            return
        self._update_time()
        self._scheduler.jobs.handle_request(req)
        self._finish_event()

    def _handle_changed(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        if self._phase is Phase.READING:
            self._loader.update(prefix, items)
            return
        if self._scheduler is None:
            return
        self._update_time()
        apply_changed(self._scheduler, self._decoder, prefix, items)
        self._finish_event()

    def _handle_entries(self, entries: tuple[object, ...], is_durable: bool) -> None:
        if self._scheduler is None:
            return
        self._update_time()
        for entry in entries:
            for tag in getattr(entry, "tags", ()):
                if is_durable:
                    self._scheduler.handle_stored(tag)
                else:
                    self._scheduler.jobs.handle_existing(tag)
        self._finish_event()

    def _handle_refused(self, entries: tuple[Entry, ...], may_be_stored: bool) -> None:
        if self._scheduler is None:
            return
        self._update_time()
        for entry in entries:
            self._scheduler.handle_refused(entry, may_be_stored)
        self._finish_event()

    def _handle_fetched(self, request_id: int, outcome: kv.PlatformOutcome) -> None:
        job_id = self._action_sender.pop_fetch(request_id)
        if not job_id or self._scheduler is None:
            return
        is_read = isinstance(outcome, kv.Found | kv.Missing)
        if is_read and not self._unconfirmed_until_ms:
            found = decode_job(outcome.value) if isinstance(outcome, kv.Found) else None
            self._update_time()
            if found is None and isinstance(outcome, kv.Found):
                self._scheduler.jobs.handle_unreadable(job_id)
            else:
                self._scheduler.jobs.handle_fetched(job_id, found)
            self._finish_event()
        else:
            self._context.set_timer(FETCH_RETRY_MS, _RetryFetch(job_id))

    def _update_time(self) -> None:
        assert self._scheduler is not None
        clock = self._context.clock
        self._scheduler.term.now_ms = clock.now_ms()
        self._scheduler.term.wall_ms = clock.wall_ms()
        self._scheduler.term.is_unconfirmed = self._unconfirmed_until_ms > 0

    def _finish_event(self) -> None:
        """Send the actions of an event, and queue a dispatch if one is needed.

        The dispatch runs after the messages that are already queued, so that answers
        which arrive together share it.
        """
        if self._scheduler is None:
            return
        if self._scheduler.needs_dispatch and not self._is_dispatch_queued:
            self._is_dispatch_queued = True
            self._context.send(self.name, _Dispatch())
        self._send_actions()

    def _dispatch(self) -> None:
        """Start the waiting subtasks that fit on a host."""
        self._is_dispatch_queued = False
        if self._scheduler is not None:
            self._update_time()
            self._scheduler.dispatch()
            self._send_actions()

    def _send_actions(self) -> None:
        if self._scheduler is None:
            return
        for action in self._scheduler.term.drain_actions():
            if isinstance(action, StepDown):
                self._end(action.detail)
                self._context.send(self._duty_service, ReleaseDuty(self._token))
                return
            self._action_sender.send(action)
