"""The `platform` task: calls the platform's service through libcurl."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl

from guavapin.http.answer_memory import DEFAULT_ANSWER_BYTES
from guavapin.http.answer_memory import AnswerMemory
from guavapin.http.multi_driver import MultiDriver
from guavapin.http.multi_driver import MultiTimer
from guavapin.http.transfer import MAX_ANSWER_BYTES
from guavapin.http.transfer import SHORT_HEAD
from guavapin.http.transfer import STALL_BYTES_PER_S
from guavapin.http.transfer import STALL_S
from guavapin.http.transfer import HttpRequest
from guavapin.http.transfer import Transfer
from guavapin.http.transfer import prepare
from guavapin.http.transfer import transfer_ms
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue.budget import TokenBucket
from guavapin.keyvalue.long_answers import Abandon
from guavapin.keyvalue.long_answers import LongAnswer
from guavapin.keyvalue.messages import ChangesTooLong
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import PlatformRequest
from guavapin.keyvalue.messages import ReadItems
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import WatchItems
from guavapin.keyvalue.native_codec import NativeCodec
from guavapin.metrics.messages import QueryCounters

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext
    from guavapin.kernel import TimerHandle
    from guavapin.keyvalue.codec import HttpCall
    from guavapin.keyvalue.codec import StoreCodec


# Transfers that may share the link of a list's answer, each of the largest size: the
# table of a host that starts comes from the store and from the scheduler.
MAX_LINK_SHARES = 2

# Time that the answer to a list or a watch may take beyond the deadline for its first
# bytes. Such an answer would be as large the next time, so that it is given up only if
# it stalls.
ITEMS_TRANSFER_MS = MAX_LINK_SHARES * transfer_ms(MAX_ANSWER_BYTES)

# Kinds of calls whose answers may be long.
ITEM_KINDS = ("list", "watch")


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Settings of the client.

    `deadline_ms` limits a call from its arrival at this task to its answer; a watch
    adds its own wait time, and a body the time that the slowest link takes for it.
    Lists have `list_deadline_ms` instead. The answers to lists and watches, which may
    be large, have as much more time as a shared link takes once they have begun; one
    that stalls is abandoned earlier. The rates limit this process's share of the
    platform's limits. At most `max_queued` calls wait for a token or for a free
    transfer; further calls are not sent. All answers in progress have at most
    `answer_bytes` together.
    """

    url: str
    zone: str = ""
    deadline_ms: int = 2_000
    list_deadline_ms: int = 2_000
    connect_ms: int = 500
    max_in_flight: int = 32
    max_watches: int = 16
    max_queued: int = 1_024
    writes_per_second: float = 60.0
    reads_per_second: float = 250.0
    answer_bytes: int = DEFAULT_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class _PendingCall:
    req: PlatformRequest
    call: HttpCall
    due_ms: int
    caller: Call | None


@dataclass(frozen=True, slots=True)
class _SendQueued:
    """Timer: send the queued calls that tokens and free transfers allow."""


@dataclass(frozen=True, slots=True)
class _CheckProgress:
    """Timer: abandon a watch without an answer, or whose answer has stalled."""

    pending: _PendingCall
    received: int


class PlatformTask:
    """Service ``platform``: answers each `PlatformRequest` with a `Reply`.

    The future of a request that was sent with `Kernel.ask` gets the outcome instead. A
    call that never reached the wire is `NotSent`. A call that was sent and got no
    answer, or one outside the protocol, is `Unknown`; only a watch with too long an
    answer is `ChangesTooLong`. No call is repeated. The sender of `ReadItems` or
    `WatchItems` gets `LongAnswer` while a long answer arrives.
    """

    name = "platform"

    def __init__(self, cfg: PlatformConfig, codec: StoreCodec | None = None) -> None:
        self._codec = codec or NativeCodec(cfg.zone)
        self.counters: Counter[tuple[str, str]] = Counter()
        self._cfg = cfg
        self._memory = AnswerMemory(cfg.answer_bytes)
        # Watches have their own queue, so that they cannot delay reads once
        # `max_watches` are in use.
        self._queues: dict[str, deque[_PendingCall]] = {
            "write": deque(),
            "read": deque(),
            "watch": deque(),
        }
        self._transfers: dict[Any, Transfer[_PendingCall]] = {}
        self._watches = 0
        self._timer: TimerHandle | None = None
        self._idle_handles: list[Any] = []
        self._is_stopped = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Create the multi handle without opening a connection."""
        self._context = context
        self._driver = MultiDriver(context, self._on_done, self._cfg.max_in_flight)
        self._buckets = {
            True: self._bucket(self._cfg.writes_per_second),
            False: self._bucket(self._cfg.reads_per_second),
        }
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a request, a timer or a query of the counters."""
        if isinstance(message, MultiTimer):
            if not self._is_stopped:
                self._driver.on_timer()
        elif isinstance(message, _SendQueued):
            self._timer = None
            self._send_queued()
        elif isinstance(message, _CheckProgress):
            self._check_progress(message)
        elif isinstance(message, Abandon):
            self._abandon(message)
        elif isinstance(message, Call) and isinstance(message.body, QueryCounters):
            message.fut.set_result(dict(self.counters))
        elif isinstance(message, Call):
            self._accept(message.body, message)
        else:
            self._accept(message, None)

    def stop(self) -> None:
        """End all calls: queued ones are `NotSent`, those in flight `Unknown`."""
        self._is_stopped = True
        self._driver.close()
        for queue in self._queues.values():
            while queue:
                self._answer(queue.popleft(), NotSent("the platform client stopped"))
        for transfer in self._transfers.values():
            self._answer(transfer.owner, Unknown("the platform client stopped"))
        self._transfers.clear()

    def _bucket(self, rate: float) -> TokenBucket:
        burst = max(rate / 10, 1)
        return TokenBucket(rate, burst, burst, self._context.now_ms())

    def _accept(self, req: object, caller: Call | None) -> None:
        if not isinstance(req, PlatformRequest):
            raise InvariantError(f"not a platform request: {req!r}")
        call = self._codec.encode(req)
        is_list = call.kind == "list"
        limit_ms = self._cfg.list_deadline_ms if is_list else self._cfg.deadline_ms
        due_ms = self._context.now_ms() + limit_ms
        pending = _PendingCall(req, call, due_ms, caller)
        if self._is_stopped:
            # Other services on this loop may still send requests.
            self._answer(pending, NotSent("the platform client stopped"))
            return
        if sum(map(len, self._queues.values())) >= self._cfg.max_queued:
            self._answer(pending, NotSent("too many calls wait"))
            return
        queue = "write" if call.is_write else "read"
        self._queues["watch" if call.kind == "watch" else queue].append(pending)
        self._send_queued()

    def _send_queued(self) -> None:
        now_ms = self._context.now_ms()
        for name, queue in self._queues.items():
            is_write = name == "write"
            while queue and queue[0].due_ms <= now_ms:
                self._answer(queue.popleft(), NotSent("deadline passed in the queue"))
            bucket = self._buckets[is_write].refilled(now_ms)
            while queue and bucket.wait_ms() == 0 and self._has_capacity(queue[0]):
                bucket = bucket.without_token()
                self._send(queue.popleft(), now_ms)
            self._buckets[is_write] = bucket
        self._schedule_send(now_ms)

    def _has_capacity(self, pending: _PendingCall) -> bool:
        if pending.call.kind == "watch":
            return self._watches < self._cfg.max_watches
        return len(self._transfers) - self._watches < self._cfg.max_in_flight

    def _schedule_send(self, now_ms: int) -> None:
        """Set the timer for the next token or the next deadline of a queued call."""
        if self._timer is not None:
            self._context.cancel_timer(self._timer)
            self._timer = None
        delays = []
        for name, queue in self._queues.items():
            if queue:
                delay_ms = queue[0].due_ms - now_ms
                if self._has_capacity(queue[0]):
                    delay_ms = min(delay_ms, self._buckets[name == "write"].wait_ms())
                delays.append(max(delay_ms, 1))
        if delays:
            self._timer = self._context.set_timer(min(delays), _SendQueued())

    def _send(self, pending: _PendingCall, now_ms: int) -> None:
        transfer = Transfer(
            pending,
            pending.call.is_write,
            memory=self._memory,
            on_long=lambda: self._report_long(pending),
        )
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        remaining_ms = max(pending.due_ms - now_ms, 1)
        prepared = self._prepare_handle(curl, transfer, remaining_ms)
        if isinstance(prepared, Refused):
            self._keep_idle(curl)
            self._answer(pending, NotSent(prepared.detail))
            return
        self._transfers[curl] = transfer
        self._driver.add(curl)
        if pending.call.kind == "watch":
            self._watches += 1
            delay_ms = min(self._answer_due_ms(pending) - now_ms, STALL_S * 1_000)
            self._context.set_timer(max(delay_ms, 1), _CheckProgress(pending, 0))

    def _prepare_handle(
        self, curl: Any, transfer: Transfer[_PendingCall], remaining_ms: int
    ) -> Outcome[None]:
        call = transfer.owner.call
        has_items = call.kind in ITEM_KINDS
        answer_ms = call.wait_ms + (ITEMS_TRANSFER_MS if has_items else 0)
        return prepare(
            curl,
            transfer,
            HttpRequest(
                method=call.method,
                url=self._cfg.url + call.path,
                headers=("Expect:", *self._codec.headers),
                body=call.body,
                timeout_ms=remaining_ms + answer_ms + transfer_ms(len(call.body)),
                connect_timeout_ms=min(self._cfg.connect_ms, remaining_ms),
                # A watch is silent while it waits, so that it has checks of its own.
                aborts_stalled=call.kind == "list",
            ),
        )

    def _answer_due_ms(self, pending: _PendingCall) -> int:
        return pending.due_ms + pending.call.wait_ms

    def _check_progress(self, check: _CheckProgress) -> None:
        curl = self._find(lambda pending: pending is check.pending)
        if curl is None:
            return
        received, stall_ms = len(self._transfers[curl].body), STALL_S * 1_000
        left_ms = self._answer_due_ms(check.pending) - self._context.now_ms()
        is_stalled = received - check.received < STALL_S * STALL_BYTES_PER_S
        if check.received and is_stalled:
            self._end(curl, ChangesTooLong())
        elif not received and left_ms <= 0:
            self._end(curl, Unknown("no answer in time"))
        else:
            delay_ms = stall_ms if received else min(left_ms, stall_ms)
            self._context.set_timer(delay_ms, _CheckProgress(check.pending, received))

    def _abandon(self, request: Abandon) -> None:
        names = (request.reply_to, request.request_id)
        curl = self._find(
            lambda pending: (
                pending.caller is None
                and isinstance(pending.req, ReadItems | WatchItems)
                and (pending.req.reply_to, pending.req.request_id) == names
            )
        )
        if curl is not None:
            self._end(curl, Unknown("the call was abandoned"))

    def _find(self, is_meant: Callable[[_PendingCall], bool]) -> Any:
        """Return the handle of the transfer whose call is meant, or None."""
        for curl, transfer in self._transfers.items():
            if is_meant(transfer.owner):
                return curl
        return None

    def _end(self, curl: Any, outcome: PlatformOutcome) -> None:
        """End a call before its answer is complete, which closes its connection."""
        self._driver.remove(curl)
        transfer = self._take(curl)
        self._answer(transfer.owner, outcome)
        self._send_queued()

    def _take(self, curl: Any) -> Transfer[_PendingCall]:
        transfer = self._transfers.pop(curl)
        transfer.release()
        self._watches -= transfer.owner.call.kind == "watch"
        self._keep_idle(curl)
        return transfer

    def _report_long(self, pending: _PendingCall) -> None:
        req = pending.req
        if pending.caller is None and isinstance(req, ReadItems | WatchItems):
            self._context.send(req.reply_to, LongAnswer(req.request_id))

    def _on_done(self, curl: Any, code: int, detail: str) -> None:
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        transfer = self._take(curl)
        pending = transfer.owner
        outcome: PlatformOutcome
        if code == 0 and not transfer.is_head_complete:
            outcome = Unknown(SHORT_HEAD)
        elif code == 0:
            body = bytes(transfer.body)
            outcome = self._codec.decode(pending.req, status, transfer.revision, body)
        elif transfer.transmissions == 0:
            outcome = NotSent(detail)
        elif pending.call.kind == "watch" and _exceeds_limits(transfer, code):
            outcome = ChangesTooLong()
        else:
            outcome = Unknown(detail)
        self._answer(pending, outcome)
        self._send_queued()

    def _keep_idle(self, curl: Any) -> None:
        if len(self._idle_handles) < self._cfg.max_in_flight:
            self._idle_handles.append(curl)

    def _answer(self, pending: _PendingCall, outcome: PlatformOutcome) -> None:
        self.counters[pending.call.kind, type(outcome).__name__] += 1
        if pending.caller is not None:
            # The caller may have cancelled the future.
            if pending.caller.fut.set_running_or_notify_cancel():
                pending.caller.fut.set_result(outcome)
        else:
            reply = Reply(pending.req.request_id, outcome)
            self._context.send(pending.req.reply_to, reply)


def _exceeds_limits(transfer: Transfer[_PendingCall], code: int) -> bool:
    """Return whether an answer exceeds the length or the time of its call."""
    is_late = code == pycurl.E_OPERATION_TIMEDOUT and len(transfer.body) > 0
    return transfer.is_too_long or is_late
