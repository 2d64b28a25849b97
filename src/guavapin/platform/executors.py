"""Codecs of the executors' and the adviser's HTTP calls."""

from __future__ import annotations

from typing import Any

import msgspec

from guavapin.executors.model import Done
from guavapin.executors.model import EndedRow
from guavapin.executors.model import EndKind
from guavapin.executors.model import HostOrder
from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Order
from guavapin.executors.model import OrderOutcome
from guavapin.executors.model import Pace
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import RunningRow
from guavapin.executors.model import Start
from guavapin.executors.model import Stop
from guavapin.http.messages import Answered
from guavapin.http.messages import CallOutcome
from guavapin.http.messages import PeerCall
from guavapin.jobs.limits import MAX_NUMBER
from guavapin.jobs.model import Subtask
from guavapin.kernel.decimal import parse_decimal
from guavapin.platform.bodies import WireInt
from guavapin.platform.bodies import WireNumber
from guavapin.platform.bodies import decode_body
from guavapin.platform.bodies import encode_body

_REFUSAL_KINDS = {
    "fence": RefusalKind.FENCED,
    # The attempt is not above one that was stopped or has ended on this executor.
    "old": RefusalKind.OUTDATED,
    "late": RefusalKind.LATE,
    "room": RefusalKind.NO_ROOM,
    "ticket": RefusalKind.TICKET,
}

# Ends in one answer of an executor, at most.
MAX_LISTED_ENDS = 500

JSON_HEADER = ("Content-Type", "application/json")


class _Answer(msgspec.Struct, rename="kebab", frozen=True):
    clock_ms: WireNumber = 0
    born: WireInt = 0
    reason: str = ""
    running: list[list[Any]] = []
    finished: list[list[Any]] = []


class PlatformExecutorCodec:
    """Translates host orders to HTTP calls of the executors; never raises."""

    def encode(self, reply_to: str, request_id: int, order: HostOrder) -> PeerCall:
        """Return the HTTP call that carries an order.

        An executor with another id at the same address refuses the call.
        """
        path, body = _encode_order(order.order)
        return PeerCall(
            reply_to=reply_to,
            request_id=request_id,
            address=order.address,
            method="POST",
            path=path,
            body=encode_body(body),
            timeout_ms=order.timeout_ms,
            headers=(JSON_HEADER, ("X-Expect-Instance", order.executor_id)),
            uses_new_connection=order.uses_new_connection,
            receiver=order.executor_id,
            # An order that was given up must not arrive at the end of a partition.
            resets_connection=True,
        )

    def decode(self, order: Order, outcome: CallOutcome) -> OrderOutcome:
        """Return the outcome of an order; an unreadable answer is `NoAnswer`."""
        if not isinstance(outcome, Answered):
            return NoAnswer(outcome.was_sent, outcome.detail, outcome.is_refused)
        answer = decode_body(outcome.body, _Answer) if outcome.body else _Answer()
        if outcome.status == 200 and answer is not None:
            if not isinstance(order, Look):
                return Done(int(answer.clock_ms))
            if not outcome.body:
                return NoAnswer(True, "the answer to a poll has no body")
            return _decode_report(answer) or NoAnswer(True, "the lists cannot be read")
        clock_ms = int(answer.clock_ms) if answer is not None else 0
        reason = answer.reason if answer is not None else ""
        if outcome.status == 421:
            return Refusal(RefusalKind.OTHER_LIFE, clock_ms)
        if outcome.status == 409:
            kind = _REFUSAL_KINDS.get(reason, RefusalKind.MALFORMED)
            return Refusal(kind, clock_ms, reason)
        if outcome.status in (429, 503):
            return Refusal(RefusalKind.UNHEALTHY, clock_ms)
        if outcome.status == 400:
            return Refusal(RefusalKind.MALFORMED, clock_ms, reason)
        return NoAnswer(True, f"unexpected answer with status {outcome.status}")


class PlatformAdviceCodec:
    """Translates requests for the hosts that a step may run on; never raises."""

    def encode(
        self,
        reply_to: str,
        request_id: int,
        address: str,
        step: Subtask,
        executors: tuple[str, ...],
        timeout_ms: int,
    ) -> PeerCall:
        """Return the call that requests tickets of `executors` for a step."""
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = encode_body({"step": name, "workers": list(executors)})
        path = "/guavapin/advise"
        return PeerCall(
            reply_to,
            request_id,
            address,
            "POST",
            path,
            body,
            timeout_ms,
            (JSON_HEADER,),
        )

    def decode(self, outcome: CallOutcome) -> dict[str, str] | None:
        """Return tickets by executor, or None if there is no readable answer."""
        if not isinstance(outcome, Answered) or outcome.status != 200:
            return None
        answer = decode_body(outcome.body, _Advice)
        return None if answer is None else dict(answer.good)


class _Advice(msgspec.Struct):
    good: list[tuple[str, str]] = []


def subtask_name(subtask: Subtask) -> str:
    """Return the name of a subtask in the executors' protocol."""
    job_id, occurrence = subtask.job_id, subtask.occurrence
    return f"{job_id}.{occurrence}.{subtask.step}.{subtask.index}"


def parse_subtask(name: object) -> Subtask | None:
    """Return the subtask with a name, or None if the name is malformed."""
    parts = name.split(".") if isinstance(name, str) else []
    if len(parts) != 4:
        return None
    numbers = [parse_decimal(part) for part in parts[1:]]
    if None in numbers:
        return None
    return Subtask(parts[0], *(number for number in numbers if number is not None))


def _encode_order(order: Order) -> tuple[str, dict[str, object]]:
    body: dict[str, object] = {"fencing-token": order.token}
    match order:
        case Look():
            body["last-seen"] = order.confirmed
            if order.until_ms:
                body["deadline-ms"] = order.until_ms
            if order.wait_ms:
                body["wait-ms"] = order.wait_ms
            return "/guavapin/hold", body
        case Start():
            body |= {
                "task": subtask_name(order.subtask),
                "attempt": order.attempt,
                "spec": order.spec,
                "deadline-ms": order.until_ms,
            }
            if order.saved:
                body["saved"] = order.saved
            if order.ticket:
                body["ticket"] = order.ticket
            return "/guavapin/run-start", body
        case Stop():
            body |= {"task": subtask_name(order.subtask), "attempt": order.attempt}
            return "/guavapin/run-stop", body
        case Pace():
            body |= {
                "task": subtask_name(order.subtask),
                "attempt": order.attempt,
                "percent": order.percent,
            }
            return "/guavapin/pace", body


def _decode_report(answer: _Answer) -> HostReport | None:
    """Return the lists, or None if any row cannot be read.

    A list without the unreadable row would show its run as gone.
    """
    running = tuple(_decode_running(row) for row in answer.running)
    ended = tuple(_decode_ended(row) for row in answer.finished)
    if None in running or None in ended:
        return None
    return HostReport(
        int(answer.clock_ms),
        answer.born,
        tuple(row for row in running if row is not None),
        tuple(row for row in ended if row is not None),
        has_all_ends=len(ended) < MAX_LISTED_ENDS,
    )


def _decode_running(row: list[Any]) -> RunningRow | None:
    subtask = parse_subtask(row[0]) if len(row) >= 4 else None
    if subtask is None or not _is_count(row[1]) or not isinstance(row[2], str):
        return None
    numbers = [part if isinstance(part, int | float) else 0 for part in row[3:5]]
    if any(not 0 <= number <= MAX_NUMBER for number in numbers):
        return None
    load = float(numbers[1]) if len(numbers) > 1 else 0.0
    return RunningRow(subtask, row[1], row[2], int(numbers[0]), load)


def _decode_ended(row: list[Any]) -> EndedRow | None:
    subtask = parse_subtask(row[1]) if len(row) >= 5 else None
    if subtask is None or not _is_count(row[0]) or not _is_count(row[2]):
        return None
    kind = _END_KINDS.get(row[3]) if isinstance(row[3], str) else None
    if kind is None or not isinstance(row[4], str):
        return None
    return EndedRow(row[0], subtask, row[2], kind, row[4])


def _is_count(part: Any) -> bool:
    return isinstance(part, int) and 0 <= part <= MAX_NUMBER


_END_KINDS = {kind.value: kind for kind in EndKind}
