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
from guavapin.fleet.execution import CommandExecution
from guavapin.fleet.execution import CommandInputs
from guavapin.fleet.execution import PendingWrite
from guavapin.fleet.execution import RetryRead
from guavapin.fleet.execution import WriterCounters
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

# Each conflict means that another writer made progress. The fleet makes few changes
# per second, so eight conflicts in a row indicate a fault.
MAX_CONFLICTS = 8

# Time to resolve a lost answer before the outcome is reported as unknown.
RESOLVE_TIMEOUT_MS = 10_000
RESOLVE_INTERVAL_MS = 250

# The platform's list lags, so reading it more often adds calls but no newer data.
HOSTS_MAX_AGE_MS = 2_000

# Limits the commands that wait while a lost answer is being resolved.
MAX_WAITING = 256


class FleetWriterTask:
    """Executes one command at a time: read, apply, compare-and-swap.

    A command is first evaluated on the record as this process last wrote it, which
    saves a read of the whole record. After a conflict or a refusal it is evaluated
    again on a new read. A lost answer is resolved by the command id in the record's
    audit entries before anything else is written, so no command is applied twice. If
    the platform cannot be reached, a command is refused at once.
    """

    def __init__(self, name: str = FLEET_WRITER) -> None:
        self.name = name
        self.counters = WriterCounters()
        self._inputs = CommandInputs()
        self._waiting: deque[CommandExecution] = deque()
        self._execution: CommandExecution | None = None
        self._pending_write: PendingWrite | None = None
        self._read_state: tuple[FleetState, int] | None = None
        self._last_written: tuple[FleetState, int] | None = None
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; nothing is opened."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Refuse waiting commands; a write in progress may or may not take effect."""
        if self._execution is not None:
            is_written = (
                self._pending_write is not None or self._execution.lost is not None
            )
            reason = Reason.OUTCOME_UNKNOWN if is_written else Reason.STOPPING
            self._answer(self._execution, Refused(reason, "the process stops"))
            self._execution = None
        while self._waiting:
            self._answer(self._waiting.popleft(), Refused(Reason.STOPPING))

    def handle(self, message: object) -> None:
        """Handle a command, updated inputs, a query, a reply or a timer."""
        if isinstance(message, Call) and isinstance(message.body, FleetCommand):
            if message.fut.set_running_or_notify_cancel():
                self._accept(CommandExecution(message.body, fut=message.fut))
        elif isinstance(message, Call) and isinstance(message.body, QueryCounters):
            message.fut.set_result(asdict(self.counters))
        elif isinstance(message, Execute):
            execution = CommandExecution(
                message.command,
                reply_to=message.reply_to,
                request_id=message.request_id,
            )
            self._accept(execution)
        elif isinstance(message, ObjectsUpdate):
            if message.generation >= self._inputs.generation:
                self._inputs = replace(
                    self._inputs,
                    objects=message.objects,
                    generation=message.generation,
                )
        elif isinstance(message, HostsDown):
            self._inputs = replace(self._inputs, down=message.hosts)
        elif isinstance(message, platform.Reply):
            self._on_reply(message)
        elif isinstance(message, RetryRead):
            if self._execution is not None:
                self._read_record()
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _accept(self, execution: CommandExecution) -> None:
        if len(self._waiting) >= MAX_WAITING:
            self._answer(
                execution, Refused(Reason.OVERLOADED, "too many fleet commands")
            )
            return
        self._waiting.append(execution)
        if self._execution is None:
            self._start_next()

    def _start_next(self) -> None:
        self._execution = self._waiting.popleft() if self._waiting else None
        if self._execution is None:
            return
        if self._last_written is None:
            self._read_record()
        else:
            self._execution = replace(self._execution, is_cached=True)
            self._evaluate(self._execution, *self._last_written)

    def _on_reply(self, reply: platform.Reply) -> None:
        if self._execution is None or reply.request_id != self._request_id:
            return
        outcome = reply.outcome
        if self._pending_write is not None:
            written, self._pending_write = self._pending_write, None
            self._on_write(self._execution, written, outcome)
        elif self._read_state is not None:
            snapshot, self._read_state = self._read_state, None
            self._on_hosts(outcome)
            self._decide(self._execution, *snapshot)
        else:
            self._on_read(self._execution, outcome)

    def _read_record(self) -> None:
        self._last_written = None
        if self._execution is not None:
            self._execution = replace(self._execution, is_cached=False)
        request_id = self._new_id()
        self._context.send(PLATFORM, platform.Get(self.name, request_id, FLEET_KEY))

    def _on_read(
        self, execution: CommandExecution, outcome: platform.PlatformOutcome
    ) -> None:
        if isinstance(outcome, platform.Missing):
            self._evaluate(execution, FleetState(), platform.NO_REVISION)
        elif isinstance(outcome, platform.Found):
            decoded = decode_fleet(outcome.value)
            if isinstance(decoded, Refused):
                self._finish(decoded)
            else:
                self._evaluate(execution, decoded.value, outcome.revision)
        elif execution.lost is not None:
            self._schedule_resolution(execution)
        else:
            self._finish(_unreachable(outcome))

    def _evaluate(
        self, execution: CommandExecution, state: FleetState, revision: int
    ) -> None:
        entry = find_applied(state, execution.command.command_id)
        if entry is not None:
            self._finish(Ok(Applied(entry.sequence, revision, state)))
            return
        if execution.lost is not None:
            lost_outcome = resolve_lost_write(execution.lost, state, revision)
            if lost_outcome is LostWriteOutcome.UNDECIDABLE:
                self._finish(Refused(Reason.OUTCOME_UNKNOWN, "audit entry is trimmed"))
                return
            if lost_outcome is LostWriteOutcome.HAD_NO_EFFECT:
                execution = replace(execution, lost=None)
                self._execution = execution
        if self._needs_hosts():
            self._read_state = (state, revision)
            self._context.send(PLATFORM, platform.ListHosts(self.name, self._new_id()))
        else:
            self._decide(execution, state, revision)

    def _needs_hosts(self) -> bool:
        listed_at_ms = self._inputs.listed_at_ms
        return (
            listed_at_ms is None
            or self._context.now_ms() - listed_at_ms >= HOSTS_MAX_AGE_MS
        )

    def _on_hosts(self, outcome: platform.PlatformOutcome) -> None:
        """Store the host list; without a list no host is known to be live."""
        live: frozenset[str] = frozenset()
        listed_at_ms = None
        if isinstance(outcome, platform.Hosts):
            live = frozenset(h.host for h in outcome.hosts if h.state == "live")
            listed_at_ms = self._context.now_ms()
        self._inputs = replace(self._inputs, listed=live, listed_at_ms=listed_at_ms)

    def _decide(
        self, execution: CommandExecution, state: FleetState, revision: int
    ) -> None:
        inputs = self._inputs
        outcome = apply(
            state,
            execution.command,
            inputs.objects,
            Liveness(inputs.listed - inputs.down),
            self._context.clock.wall_ms(),
            inputs.generation,
        )
        if isinstance(outcome, Refused):
            self._refuse(execution, outcome)
            return
        value = encode_fleet(outcome.value)
        if len(value) > MAX_VALUE_BYTES:
            detail = f"fleet record of {len(value)} bytes"
            self._refuse(execution, Refused(Reason.TOO_LARGE, detail))
            return
        self._pending_write = PendingWrite(outcome.value, revision, state.next_sequence)
        put = platform.Put(self.name, self._new_id(), FLEET_KEY, value, revision)
        self._context.send(PLATFORM, put)

    def _refuse(self, execution: CommandExecution, refused: Refused) -> None:
        """Report a refusal, unless the record may be old or a write unresolved."""
        if execution.is_cached:
            self._read_record()
        elif execution.lost is not None:
            self._schedule_resolution(execution)
        else:
            self._finish(refused)

    def _on_write(
        self,
        execution: CommandExecution,
        written: PendingWrite,
        outcome: platform.PlatformOutcome,
    ) -> None:
        match outcome:
            case platform.Written(revision):
                self._last_written = (written.state, revision)
                self._finish(Ok(Applied(written.sequence, revision, written.state)))
            case platform.Conflict():
                self._on_conflict(execution)
            case platform.Unknown():
                self._last_written = None
                self._on_lost_answer(execution, written)
            case platform.RateLimited() | platform.NotSent():
                if execution.lost is not None:
                    self._schedule_resolution(execution)
                else:
                    self._finish(_unreachable(outcome))
            case _:
                raise InvariantError(
                    f"{self.name}: outcome {outcome!r} of a write is unexpected"
                )

    def _on_conflict(self, execution: CommandExecution) -> None:
        self.counters = replace(self.counters, conflicts=self.counters.conflicts + 1)
        if execution.lost is None and execution.conflicts + 1 >= MAX_CONFLICTS:
            self._finish(
                Refused(Reason.CONFLICT, f"{MAX_CONFLICTS} conflicts in a row")
            )
            return
        self._execution = replace(execution, conflicts=execution.conflicts + 1)
        self._read_record()

    def _on_lost_answer(
        self, execution: CommandExecution, written: PendingWrite
    ) -> None:
        lost_answers = self.counters.lost_answers + 1
        self.counters = replace(self.counters, lost_answers=lost_answers)
        lost = LostWrite(written.expected, written.sequence)
        if execution.lost is None:
            execution = replace(
                execution, lost=lost, lost_since_ms=self._context.now_ms()
            )
        self._schedule_resolution(replace(execution, lost=lost))

    def _schedule_resolution(self, execution: CommandExecution) -> None:
        self._execution = execution
        if self._context.now_ms() - execution.lost_since_ms >= RESOLVE_TIMEOUT_MS:
            self._finish(Refused(Reason.OUTCOME_UNKNOWN, "no answer to the write"))
        else:
            self._context.set_timer(RESOLVE_INTERVAL_MS, RetryRead())

    def _finish(self, outcome: Outcome[Applied]) -> None:
        execution, self._execution = self._execution, None
        assert execution is not None
        self._answer(execution, outcome)
        self._start_next()

    def _answer(self, execution: CommandExecution, outcome: Outcome[Applied]) -> None:
        if isinstance(outcome, Ok):
            self.counters = replace(self.counters, applied=self.counters.applied + 1)
        else:
            self.counters = replace(self.counters, refused=self.counters.refused + 1)
        if execution.fut is not None:
            execution.fut.set_result(outcome)
        else:
            self._context.send(
                execution.reply_to, Executed(execution.request_id, outcome)
            )

    def _new_id(self) -> int:
        self._request_id += 1
        return self._request_id


def _unreachable(outcome: platform.PlatformOutcome) -> Refused:
    if isinstance(outcome, platform.RateLimited):
        return Refused(Reason.RATE_LIMITED, "the platform refused the call")
    detail = getattr(outcome, "detail", "")
    return Refused(Reason.UNREACHABLE, f"platform: {detail}")
