"""The `fleet_writer` service: executes fleet commands by compare-and-swap."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.fleet.budget import Liveness
from guavapin.fleet.codec import MAX_VALUE_BYTES
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.commands import apply
from guavapin.fleet.commands import find_applied
from guavapin.fleet.job import Job
from guavapin.fleet.job import Knowledge
from guavapin.fleet.job import PendingWrite
from guavapin.fleet.job import Retry
from guavapin.fleet.job import WriterCounters
from guavapin.fleet.lost_write import LostWrite
from guavapin.fleet.lost_write import LostWriteOutcome
from guavapin.fleet.lost_write import resolve_lost_write
from guavapin.fleet.messages import FLEET_WRITER
from guavapin.fleet.messages import Applied
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import Executed
from guavapin.fleet.messages import HostsDown
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.keyvalue import messages as platform
from guavapin.metrics.messages import QueryCounters

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"

# Each conflict means that another writer made progress; with the fleet's few changes
# a second, eight in a row point to a fault.
MAX_CONFLICTS = 8

# A lost answer is settled for this long before the outcome is reported as unknown.
SETTLE_TIMEOUT_MS = 10_000
SETTLE_INTERVAL_MS = 250

# The platform's list lags by itself; reading it more often adds calls, not truth.
HOSTS_MAX_AGE_MS = 2_000

# Bounds what waits behind a command that is being settled.
MAX_WAITING = 256


class FleetWriterTask:
    """Executes one command at a time: read, apply, compare-and-swap.

    A command is first tried on the record as this process wrote it last, which saves
    a read of the whole record. A conflict or a refusal is judged again on a new read.
    A lost answer is settled by the command id in the record's audit entries before
    anything is written again, so no command is applied twice. A command is refused at
    once when the platform cannot be reached.
    """

    def __init__(self, name: str = FLEET_WRITER) -> None:
        self.name = name
        self.counters = WriterCounters()
        self._known = Knowledge()
        self._waiting: deque[Job] = deque()
        self._job: Job | None = None
        self._write: PendingWrite | None = None
        self._read: tuple[FleetState, int] | None = None
        self._newest: tuple[FleetState, int] | None = None
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Remember the context; nothing is opened."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Refuse what waits; a write under way may or may not take effect."""
        if self._job is not None:
            is_written = self._write is not None or self._job.lost is not None
            reason = Reason.OUTCOME_UNKNOWN if is_written else Reason.STOPPING
            self._answer(self._job, Refused(reason, "the process stops"))
            self._job = None
        while self._waiting:
            self._answer(self._waiting.popleft(), Refused(Reason.STOPPING))

    def handle(self, message: object) -> None:
        """Take a command, an update of what is known, or an answer."""
        if isinstance(message, Call) and isinstance(message.body, FleetCommand):
            if message.fut.set_running_or_notify_cancel():
                self._accept(Job(message.body, fut=message.fut))
        elif isinstance(message, Call) and isinstance(message.body, QueryCounters):
            message.fut.set_result(asdict(self.counters))
        elif isinstance(message, Execute):
            job = Job(
                message.command,
                reply_to=message.reply_to,
                request_id=message.request_id,
            )
            self._accept(job)
        elif isinstance(message, ObjectsUpdate):
            if message.generation >= self._known.generation:
                self._known = replace(
                    self._known,
                    objects=message.objects,
                    generation=message.generation,
                )
        elif isinstance(message, HostsDown):
            self._known = replace(self._known, down=message.hosts)
        elif isinstance(message, platform.Reply):
            self._on_reply(message)
        elif isinstance(message, Retry):
            if self._job is not None:
                self._read_record()
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _accept(self, job: Job) -> None:
        if len(self._waiting) >= MAX_WAITING:
            self._answer(job, Refused(Reason.OVERLOADED, "too many fleet commands"))
            return
        self._waiting.append(job)
        if self._job is None:
            self._next_job()

    def _next_job(self) -> None:
        self._job = self._waiting.popleft() if self._waiting else None
        if self._job is None:
            return
        if self._newest is None:
            self._read_record()
        else:
            self._job = replace(self._job, is_cached=True)
            self._judge(self._job, *self._newest)

    def _on_reply(self, reply: platform.Reply) -> None:
        if self._job is None or reply.request_id != self._request_id:
            return
        outcome = reply.outcome
        if self._write is not None:
            written, self._write = self._write, None
            self._on_write(self._job, written, outcome)
        elif self._read is not None:
            read, self._read = self._read, None
            self._on_hosts(outcome)
            self._decide(self._job, *read)
        else:
            self._on_read(self._job, outcome)

    def _read_record(self) -> None:
        self._newest = None
        if self._job is not None:
            self._job = replace(self._job, is_cached=False)
        request_id = self._new_id()
        self._context.send(PLATFORM, platform.Get(self.name, request_id, FLEET_KEY))

    def _on_read(self, job: Job, outcome: platform.PlatformOutcome) -> None:
        if isinstance(outcome, platform.Missing):
            self._judge(job, FleetState(), platform.NO_REVISION)
        elif isinstance(outcome, platform.Found):
            decoded = decode_fleet(outcome.value)
            if isinstance(decoded, Refused):
                self._finish(decoded)
            else:
                self._judge(job, decoded.value, outcome.revision)
        elif job.lost is not None:
            self._wait_to_settle(job)
        else:
            self._finish(_unreachable(outcome))

    def _judge(self, job: Job, state: FleetState, revision: int) -> None:
        entry = find_applied(state, job.command.command_id)
        if entry is not None:
            self._finish(Ok(Applied(entry.sequence, revision, state)))
            return
        if job.lost is not None:
            lost_outcome = resolve_lost_write(job.lost, state, revision)
            if lost_outcome is LostWriteOutcome.UNDECIDABLE:
                self._finish(Refused(Reason.OUTCOME_UNKNOWN, "audit entry is trimmed"))
                return
            if lost_outcome is LostWriteOutcome.HAD_NO_EFFECT:
                job = replace(job, lost=None)
                self._job = job
        if self._needs_hosts():
            self._read = (state, revision)
            self._context.send(PLATFORM, platform.ListHosts(self.name, self._new_id()))
        else:
            self._decide(job, state, revision)

    def _needs_hosts(self) -> bool:
        listed_at_ms = self._known.listed_at_ms
        return (
            listed_at_ms is None
            or self._context.now_ms() - listed_at_ms >= HOSTS_MAX_AGE_MS
        )

    def _on_hosts(self, outcome: platform.PlatformOutcome) -> None:
        """Take the list; without one no host is known to be live."""
        live: frozenset[str] = frozenset()
        listed_at_ms = None
        if isinstance(outcome, platform.Hosts):
            live = frozenset(h.host for h in outcome.hosts if h.state == "live")
            listed_at_ms = self._context.now_ms()
        self._known = replace(self._known, listed=live, listed_at_ms=listed_at_ms)

    def _decide(self, job: Job, state: FleetState, revision: int) -> None:
        known = self._known
        outcome = apply(
            state,
            job.command,
            known.objects,
            Liveness(known.listed - known.down),
            self._context.clock.wall_ms(),
            known.generation,
        )
        if isinstance(outcome, Refused):
            self._refuse(job, outcome)
            return
        value = encode_fleet(outcome.value)
        if len(value) > MAX_VALUE_BYTES:
            detail = f"fleet record of {len(value)} bytes"
            self._refuse(job, Refused(Reason.TOO_LARGE, detail))
            return
        self._write = PendingWrite(outcome.value, revision, state.next_sequence)
        put = platform.Put(self.name, self._new_id(), FLEET_KEY, value, revision)
        self._context.send(PLATFORM, put)

    def _refuse(self, job: Job, refused: Refused) -> None:
        """Answer a refusal, unless the record is old or a lost write may still land."""
        if job.is_cached:
            self._read_record()
        elif job.lost is not None:
            self._wait_to_settle(job)
        else:
            self._finish(refused)

    def _on_write(
        self, job: Job, written: PendingWrite, outcome: platform.PlatformOutcome
    ) -> None:
        match outcome:
            case platform.Written(revision):
                self._newest = (written.state, revision)
                self._finish(Ok(Applied(written.sequence, revision, written.state)))
            case platform.Conflict():
                self._on_conflict(job)
            case platform.Unknown():
                self._newest = None
                self._on_lost(job, written)
            case platform.RateLimited() | platform.NotSent():
                if job.lost is not None:
                    self._wait_to_settle(job)
                else:
                    self._finish(_unreachable(outcome))
            case _:
                raise InvariantError(f"{self.name}: {outcome!r} answers a write")

    def _on_conflict(self, job: Job) -> None:
        self.counters = replace(self.counters, conflicts=self.counters.conflicts + 1)
        if job.lost is None and job.conflicts + 1 >= MAX_CONFLICTS:
            self._finish(
                Refused(Reason.CONFLICT, f"{MAX_CONFLICTS} conflicts in a row")
            )
            return
        self._job = replace(job, conflicts=job.conflicts + 1)
        self._read_record()

    def _on_lost(self, job: Job, written: PendingWrite) -> None:
        lost_answers = self.counters.lost_answers + 1
        self.counters = replace(self.counters, lost_answers=lost_answers)
        lost = LostWrite(written.expected, written.sequence)
        if job.lost is None:
            job = replace(job, lost=lost, lost_since_ms=self._context.now_ms())
        self._wait_to_settle(replace(job, lost=lost))

    def _wait_to_settle(self, job: Job) -> None:
        self._job = job
        if self._context.now_ms() - job.lost_since_ms >= SETTLE_TIMEOUT_MS:
            self._finish(Refused(Reason.OUTCOME_UNKNOWN, "no answer to the write"))
        else:
            self._context.set_timer(SETTLE_INTERVAL_MS, Retry())

    def _finish(self, outcome: Outcome[Applied]) -> None:
        job, self._job = self._job, None
        assert job is not None
        self._answer(job, outcome)
        self._next_job()

    def _answer(self, job: Job, outcome: Outcome[Applied]) -> None:
        if isinstance(outcome, Ok):
            self.counters = replace(self.counters, applied=self.counters.applied + 1)
        else:
            self.counters = replace(self.counters, refused=self.counters.refused + 1)
        if job.fut is not None:
            job.fut.set_result(outcome)
        else:
            self._context.send(job.reply_to, Executed(job.request_id, outcome))

    def _new_id(self) -> int:
        self._request_id += 1
        return self._request_id


def _unreachable(outcome: platform.PlatformOutcome) -> Refused:
    if isinstance(outcome, platform.RateLimited):
        return Refused(Reason.RATE_LIMITED, "the platform refused the call")
    detail = getattr(outcome, "detail", "")
    return Refused(Reason.UNREACHABLE, f"platform: {detail}")
