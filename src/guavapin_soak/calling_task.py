"""Makes the calls of a plan through the service `http` and records the replies."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Outcome
from guavapin_soak.call_checks import CallRecord

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin_soak.call_plan import PlannedCall


@dataclass(frozen=True, slots=True)
class BeginCalls:
    """Message: make `calls`, each at its time from now, to its target's address."""

    calls: tuple[PlannedCall, ...]
    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PauseLoop:
    """Message: block the loop of client and caller, as a suspended process would."""

    for_ms: int


@dataclass(frozen=True, slots=True)
class CollectRecords:
    """Call: return all `CallRecord` values."""


@dataclass(frozen=True, slots=True)
class _DueCall:
    """Timer: make a call."""

    call_id: int
    call: PlannedCall
    address: str


class CallingTask:
    """Service ``caller``, on the loop of the service `http`."""

    name = "caller"

    def __init__(self) -> None:
        self._records: dict[int, CallRecord] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for the calls."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Nothing to close."""

    def handle(self, message: object) -> None:
        """Make a call, record a reply, or block the loop."""
        if isinstance(message, BeginCalls):
            for call_id, call in enumerate(message.calls, start=1):
                due = _DueCall(call_id, call, message.addresses[call.target])
                self._context.set_timer(call.at_ms, due)
        elif isinstance(message, _DueCall):
            self._make(message)
        elif isinstance(message, PeerReply):
            record = self._records[message.request_id]
            self._records[message.request_id] = replace(
                record,
                outcomes=(*record.outcomes, message.outcome),
                ended_us=record.ended_us or _now_us(),
            )
        elif isinstance(message, PauseLoop):
            time.sleep(message.for_ms / 1_000)
        elif isinstance(message, Call):
            message.fut.set_result(tuple(self._records.values()))
        else:
            raise InvariantError(f"caller: unexpected message {message!r}")

    def _make(self, due: _DueCall) -> None:
        call = due.call
        body = {"call": due.call_id, "wait-ms": call.wait_ms, "pad": ""}
        body["pad"] = "x" * (call.body_bytes - len(json.dumps(body)))
        now_ms = self._context.clock.now_ms()
        self._records[due.call_id] = CallRecord(
            due.call_id, call.target, _now_us(), call.uses_new_connection
        )
        peer_call = PeerCall(
            reply_to=self.name,
            request_id=due.call_id,
            address=due.address,
            method="POST",
            path=call.path,
            body=json.dumps(body).encode(),
            timeout_ms=call.timeout_ms,
            headers=(("X-Call", str(due.call_id)),),
            not_after_ms=now_ms + call.not_after_ms if call.not_after_ms else 0,
            uses_new_connection=call.uses_new_connection,
            receiver=call.receiver,
            resets_connection=call.resets_connection,
        )
        self._context.send("http", peer_call)


def _now_us() -> int:
    return time.monotonic_ns() // 1_000
