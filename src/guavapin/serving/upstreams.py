"""The task `upstreams`: sends attempts through libcurl's multi interface."""

from __future__ import annotations

import selectors
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pycurl

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.serving.attempt_handle import AttemptHandle
from guavapin.serving.closing_connections import ClosingConnections
from guavapin.serving.closing_connections import duplicate_connection
from guavapin.serving.deadlines import DeadlineTimer
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import GetCounts
from guavapin.serving.messages import StartAttempt

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.kernel import TimerHandle
    from guavapin.serving.upstreams_config import UpstreamsConfig

# libcurl requests an immediate run with a timeout of 0. This many runs are made in a
# row before the loop handles other messages.
MAX_RUNS_PER_EVENT = 4


@dataclass(frozen=True, slots=True)
class _DeadlinePassed:
    """Timer: a deadline of an attempt may have passed."""


@dataclass(frozen=True, slots=True)
class _CloseTimeout:
    """Timer: an upstream may have kept a cancelled attempt's connection too long."""


@dataclass(frozen=True, slots=True)
class _CurlTimeout:
    """Timer: the timeout that libcurl requested has passed."""


@dataclass(frozen=True, slots=True)
class _ContinueReading:
    """Continue to read; the task queues this behind its pending messages."""

    attempt_id: int


class UpstreamsTask:
    """Service `upstreams`.

    The sockets and the timer of libcurl are registered on the loop of the task, which
    runs libcurl with `socket_action`. No call blocks.
    """

    name = "upstreams"

    def __init__(self, cfg: UpstreamsConfig) -> None:
        self.counts: Counter[str] = Counter()
        self._cfg = cfg
        self._multi = pycurl.CurlMulti()
        self._attempts: dict[int, AttemptHandle] = {}
        self._by_curl: dict[pycurl.Curl, AttemptHandle] = {}
        self._idle: list[AttemptHandle] = []
        self._is_run_due = False
        self._timer: TimerHandle | None = None
        self._timer_due_ms = 0
        self._curl_due_ms = -1
        self._context: TaskContext
        self._deadlines: DeadlineTimer
        self._closing: ClosingConnections

    def start(self, context: TaskContext) -> Outcome[None]:
        """Register libcurl on the loop of `context`."""
        self._context = context
        self._deadlines = DeadlineTimer(context, _DeadlinePassed())
        self._closing = ClosingConnections(
            context,
            _CloseTimeout(),
            self._cfg.close_timeout_ms,
            lambda attempt_id: self.forward(AttemptClosed(attempt_id)),
        )
        multi = self._multi
        multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_curl_socket)
        multi.setopt(pycurl.M_TIMERFUNCTION, self._on_curl_timer)
        multi.setopt(pycurl.M_MAXCONNECTS, self._cfg.max_connections)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, self._cfg.host_connections)
        multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, self._cfg.max_connections)
        return Ok(None)

    def stop(self) -> None:
        """End all attempts and close all connections."""
        for handle in list(self._attempts.values()):
            self._remove(handle)
        self._idle.clear()
        self._multi.close()
        self._closing.close()

    def handle(self, message: object) -> None:
        """Handle a message of `exchanges` or a timer."""
        match message:
            case StartAttempt():
                self._on_start(message)
            case AttemptRequestBody(attempt_id, data, is_last):
                self._on_request_body(attempt_id, data, is_last)
            case CancelAttempt(attempt_id):
                self._on_cancel(attempt_id)
            case FlowControl(attempt_id, is_paused):
                self._on_flow_control(attempt_id, is_paused)
            case _ContinueReading(attempt_id):
                self._on_continue_reading(attempt_id)
            case _CurlTimeout():
                self._on_curl_timeout()
            case _DeadlinePassed():
                self._on_deadlines()
            case _CloseTimeout():
                self.counts["close_timeouts"] += self._closing.on_timer()
            case Call(GetCounts(), fut):
                fut.set_result(self._read_counts())

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self._context.now_ms()

    def forward(self, message: object) -> None:
        """Send a message to `exchanges`."""
        self._context.send("exchanges", message)

    def on_head(self, handle: AttemptHandle) -> None:
        """Apply the timeout for the first part of the body.

        A deadline that moves to a later time is not set again until it is due.
        """
        start = handle.start
        if not start.first_byte_ms or start.progress_ms < start.first_byte_ms:
            self._update_deadline(handle)

    def on_batch_full(self, handle: AttemptHandle) -> None:
        """Continue to read after the messages that are queued now."""
        self._context.send(self.name, _ContinueReading(handle.attempt_id))

    def on_body_needed(self, handle: AttemptHandle) -> None:
        """Suspend the timeout while the attempt waits for its caller."""
        self._deadlines.discard(handle.attempt_id)

    def pause_request(self, attempt_id: int, is_paused: bool) -> None:
        """Ask `exchanges` to pause or resume the request's body."""
        self.counts["request_pauses"] += is_paused
        self.forward(FlowControl(attempt_id, is_paused, is_attempt=True))

    def record_body_size(self, size_bytes: int) -> None:
        """Record the size of a waiting request body if it is the largest so far."""
        if size_bytes > self.counts["largest_body_bytes"]:
            self.counts["largest_body_bytes"] = size_bytes

    def _on_start(self, start: StartAttempt) -> None:
        handle = self._idle.pop() if self._idle else AttemptHandle(self._cfg, self)
        self.counts["attempts"] += 1
        try:
            handle.prepare(start)
            self._multi.add_handle(handle.curl)
        except (pycurl.error, ValueError, TypeError) as exc:
            # Nothing was sent, for example because the address is malformed.
            self.forward(
                AttemptEnded(start.attempt_id, AttemptResult.NOT_SENT, repr(exc))
            )
            return
        self._attempts[start.attempt_id] = handle
        self._by_curl[handle.curl] = handle
        self._update_deadline(handle)
        self._run_due()

    def _on_request_body(self, attempt_id: int, data: bytes, is_last: bool) -> None:
        handle = self._attempts.get(attempt_id)
        if handle is None:
            self.counts["late_messages"] += 1
            return
        handle.add_body(data, is_last)
        self._update_deadline(handle)
        self._run_due()

    def _on_cancel(self, attempt_id: int) -> None:
        handle = self._attempts.get(attempt_id)
        if handle is None:
            self.counts["late_messages"] += 1
            self.forward(AttemptClosed(attempt_id))
            return
        self.counts["cancelled"] += 1
        sock = duplicate_connection(handle.curl) if handle.has_sent() else None
        self._remove(handle)
        if sock is None:
            self.forward(AttemptClosed(attempt_id))
        else:
            self._closing.add(attempt_id, sock)
        self._run_due()

    def _on_flow_control(self, attempt_id: int, is_paused: bool) -> None:
        handle = self._attempts.get(attempt_id)
        if handle is not None:
            handle.pause_answer(is_paused)
            self._update_deadline(handle)
            self._run_due()

    def _on_continue_reading(self, attempt_id: int) -> None:
        handle = self._attempts.get(attempt_id)
        if handle is not None:
            handle.start_next_batch()
            self._run_due()

    def _read_counts(self) -> dict[str, int]:
        return {
            **self.counts,
            "attempts_in_progress": len(self._attempts),
            "connections_closing": len(self._closing),
        }

    def _update_deadline(self, handle: AttemptHandle) -> None:
        handle.last_progress_ms = self._context.now_ms()
        timeout_ms = self._timeout_ms(handle)
        if timeout_ms > 0:
            self._deadlines.set(handle.attempt_id, timeout_ms)
        else:
            self._deadlines.discard(handle.attempt_id)

    def _timeout_ms(self, handle: AttemptHandle) -> int:
        """Return the time allowed without progress, 0 if there is no limit now."""
        if handle.is_answer_paused or handle.is_waiting_for_body:
            return 0
        start = handle.start
        return start.progress_ms if handle.is_head_done else start.first_byte_ms

    def _on_deadlines(self) -> None:
        now_ms = self._context.now_ms()
        for attempt_id in self._deadlines.pop_due():
            handle = self._attempts.get(attempt_id)
            timeout_ms = self._timeout_ms(handle) if handle is not None else 0
            if handle is None or timeout_ms <= 0:
                continue
            if handle.last_progress_ms + timeout_ms > now_ms:
                self._deadlines.set(
                    attempt_id, handle.last_progress_ms + timeout_ms - now_ms
                )
                continue
            if handle.is_head_done:
                result = AttemptResult.PROGRESS_TIMEOUT
            elif handle.has_sent():
                result = AttemptResult.FIRST_BYTE_TIMEOUT
            else:
                result = AttemptResult.NOT_SENT
            # Removing a transfer in progress closes its connection. The connection may
            # be dead and must not be reused.
            self._remove(handle)
            self.counts[result.value] += 1
            self.forward(AttemptEnded(attempt_id, result, "time bound passed"))
        self._run_due()

    def _on_curl_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        if event == pycurl.POLL_REMOVE:
            self._context.unwatch(fd)
            return
        events = 0
        if event & pycurl.POLL_IN:
            events |= selectors.EVENT_READ
        if event & pycurl.POLL_OUT:
            events |= selectors.EVENT_WRITE
        self._context.watch(fd, events, lambda ready: self._on_socket(fd, ready))

    def _on_socket(self, fd: int, ready: int) -> None:
        mask = 0
        if ready & selectors.EVENT_READ:
            mask |= pycurl.CSELECT_IN
        if ready & selectors.EVENT_WRITE:
            mask |= pycurl.CSELECT_OUT
        self._run(fd, mask)
        self._run_due()

    def _on_curl_timer(self, timeout_ms: int) -> None:
        if timeout_ms == 0:
            self._is_run_due = True
            self._curl_due_ms = -1
        elif timeout_ms < 0:
            self._curl_due_ms = -1
        else:
            self._curl_due_ms = self._context.clock.now_ms() + timeout_ms
            self._arm_timer()

    def _arm_timer(self) -> None:
        # libcurl changes its timer several times per request. A timer that fires too
        # early costs less than setting the timer at each change.
        if self._timer is not None:
            if self._timer_due_ms <= self._curl_due_ms:
                return
            self._context.cancel_timer(self._timer)
        delay_ms = max(self._curl_due_ms - self._context.clock.now_ms(), 0)
        self._timer = self._context.set_timer(delay_ms, _CurlTimeout())
        self._timer_due_ms = self._curl_due_ms

    def _on_curl_timeout(self) -> None:
        self._timer = None
        if self._curl_due_ms < 0:
            return
        if self._curl_due_ms > self._context.clock.now_ms():
            self._arm_timer()
            return
        self._curl_due_ms = -1
        self._is_run_due = True
        self._run_due()

    def _run_due(self) -> None:
        for _ in range(MAX_RUNS_PER_EVENT):
            if not self._is_run_due:
                return
            self._is_run_due = False
            self._run(pycurl.SOCKET_TIMEOUT, 0)
        if self._is_run_due:
            self._is_run_due = False
            self._curl_due_ms = self._context.clock.now_ms()
            self._arm_timer()

    def _run(self, fd: int, mask: int) -> None:
        _, running = self._multi.socket_action(fd, mask)
        if running < len(self._attempts):
            self._collect_ended()

    def _collect_ended(self) -> None:
        more = 1
        while more:
            more, done, failed = self._multi.info_read()
            for curl in done:
                self._end(self._by_curl[curl], 0, "")
            for curl, code, detail in failed:
                self._end(self._by_curl[curl], code, detail)

    def _end(self, handle: AttemptHandle, code: int, detail: str) -> None:
        attempt_id = handle.attempt_id
        result = handle.result(code)
        if result is AttemptResult.BROKEN and code == 0:
            detail = "the answer announced no length"
        self._remove(handle)
        self.counts[result.value] += 1
        self.forward(AttemptEnded(attempt_id, result, detail))

    def _remove(self, handle: AttemptHandle) -> None:
        self._multi.remove_handle(handle.curl)
        del self._attempts[handle.attempt_id]
        del self._by_curl[handle.curl]
        self._deadlines.discard(handle.attempt_id)
        handle.release()
        if len(self._idle) < self._cfg.idle_handles:
            self._idle.append(handle)
