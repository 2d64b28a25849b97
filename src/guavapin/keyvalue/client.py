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
from guavapin.keyvalue.messages import ChangesTooLong
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import PlatformRequest
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.native_codec import NativeCodec
from guavapin.metrics.messages import QueryCounters

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.kernel import TimerHandle
    from guavapin.keyvalue.codec import HttpCall
    from guavapin.keyvalue.codec import StoreCodec


# Transfers that may share the link of a list's answer, each of the largest size: the
# table of a host that starts comes from the store and from the scheduler.
MAX_LINK_SHARES = 2

# Time that the answer to a list may take beyond the deadline for its first bytes. Such
# an answer would be as large the next time, so that it is given up only if it stalls.
LIST_TRANSFER_MS = MAX_LINK_SHARES * transfer_ms(MAX_ANSWER_BYTES)


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Settings of the client.

    `deadline_ms` limits a call from its arrival at this task to its answer; a watch
    adds its own wait time, and a body the time that the slowest link takes for it.
    Lists, whose answers are large, have `list_deadline_ms` instead, and their answers
    as much more time as a shared link takes; a list whose transfer stalls is abandoned
    earlier. The rates limit this process's share of the
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


class PlatformTask:
    """Service ``platform``: answers each `PlatformRequest` with a `Reply`.

    The future of a request that was sent with `Kernel.ask` gets the outcome instead. A
    call that never reached the wire is `NotSent`. A call that was sent and got no
    answer, or one outside the protocol, is `Unknown`; only a watch with too long an
    answer is `ChangesTooLong`. No call is repeated.
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
        transfer = Transfer(pending, pending.call.is_write, memory=self._memory)
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        remaining_ms = max(pending.due_ms - now_ms, 1)
        prepared = self._prepare_handle(curl, transfer, remaining_ms)
        if isinstance(prepared, Refused):
            self._keep_idle(curl)
            self._answer(pending, NotSent(prepared.detail))
            return
        self._transfers[curl] = transfer
        self._watches += pending.call.kind == "watch"
        self._driver.add(curl)

    def _prepare_handle(
        self, curl: Any, transfer: Transfer[_PendingCall], remaining_ms: int
    ) -> Outcome[None]:
        call = transfer.owner.call
        is_list = call.kind == "list"
        answer_ms = LIST_TRANSFER_MS if is_list else call.wait_ms
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
                aborts_stalled=is_list,
            ),
        )

    def _on_done(self, curl: Any, code: int, detail: str) -> None:
        transfer = self._transfers.pop(curl)
        transfer.release()
        pending = transfer.owner
        self._watches -= pending.call.kind == "watch"
        outcome: PlatformOutcome
        if code == 0:
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            body = bytes(transfer.body)
            outcome = self._codec.decode(pending.req, status, transfer.revision, body)
        elif transfer.transmissions == 0:
            outcome = NotSent(detail)
        elif pending.call.kind == "watch" and _exceeds_limits(transfer, code):
            outcome = ChangesTooLong()
        else:
            outcome = Unknown(detail)
        self._keep_idle(curl)
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
