"""The service `reach`: decides whether this entry host is cut off.

A process that reaches neither the store nor a scheduler cannot serve calls. It then
reports to the platform that it is not ready, so that callers are sent to other hosts,
and rejects calls at once, so that callers return in time to reach one.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.jobs.table_messages import ViewExpired
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import SetReady

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

# Consecutive failed calls after which the host counts as cut off; a single call may be
# lost at any time.
MAX_FAILURES = 3

# Time without any answer after which a probe is sent, and interval of further ones.
PROBE_INTERVAL_MS = 250

# Time without any answer after which the host counts as cut off. A slow store answers
# within 400 ms.
MAX_SILENCE_MS = 700

log = logging.getLogger("guavapin.reach")


@dataclass(frozen=True, slots=True)
class CutOff:
    """To ``intake``: whether neither the store nor a scheduler can be reached."""

    is_cut_off: bool


@dataclass(frozen=True, slots=True)
class Reachability:
    """Conditions of readiness: a table in force, its age, and answers to calls.

    `failures` are those since the last answer, which came at `answered_ms`. The host
    `is_silent` if no answer has come for `MAX_SILENCE_MS` since then. With
    `is_view_expired` the table is too old for calls with keys, which other hosts may
    still serve.
    """

    has_table: bool = False
    is_view_expired: bool = False
    failures: int = 0
    answered_ms: int = 0
    is_silent: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Whether neither the store nor a scheduler can be reached."""
        return self.is_silent or self.failures >= MAX_FAILURES

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.has_table and not (self.is_view_expired or self.is_cut_off)

    def after_call(self, is_answered: bool, now_ms: int) -> Reachability:
        """Return the state after one more call to the store or a scheduler."""
        if not is_answered:
            return replace(self, failures=self.failures + 1)
        return replace(self, failures=0, answered_ms=now_ms, is_silent=False)

    def after_interval(self, elapsed_ms: int, now_ms: int) -> Reachability:
        """Return the state after `elapsed_ms` without a check.

        A process that has been suspended itself could not receive an answer, so its
        silence counts from now on.
        """
        if elapsed_ms >= MAX_SILENCE_MS:
            return replace(self, answered_ms=now_ms)
        return replace(self, is_silent=now_ms - self.answered_ms >= MAX_SILENCE_MS)


@dataclass(frozen=True, slots=True)
class _Check:
    """Timer: check for how long no answer has come."""


class ReachabilityTask:
    """Service ``reach``.

    It sends `SetReady` to `front` and `CutOff` to `intake` when they change. It reads
    `probe_key` from the store while no other calls are answered.
    """

    name = "reach"

    def __init__(self, front: str, intake: str, probe_key: str) -> None:
        self._front = front
        self._intake = intake
        self._probe_key = probe_key
        self._reachability = Reachability()
        self._is_ready = False
        self._is_cut_off = False
        self._request_id = 0
        self._checked_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Begin to check for answers."""
        self._context = context
        now_ms = self._checked_ms = context.now_ms()
        self._reachability = replace(self._reachability, answered_ms=now_ms)
        context.set_timer(PROBE_INTERVAL_MS, _Check())
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Apply an answer, a failure, a table or a check, and report any change."""
        now_ms = self._context.now_ms()
        match message:
            case ReachabilityReport(is_answered=is_answered):
                self._reachability = self._reachability.after_call(is_answered, now_ms)
            case kv.Reply(outcome=outcome):
                failures = (kv.NotSent, kv.RateLimited, kv.Unknown)
                is_answered = not isinstance(outcome, failures)
                self._reachability = self._reachability.after_call(is_answered, now_ms)
            case QueueTableChanged():
                self._reachability = replace(self._reachability, has_table=True)
            case ViewExpired(is_expired=is_expired):
                self._reachability = replace(
                    self._reachability, is_view_expired=is_expired
                )
            case _Check():
                self._check(now_ms)
            case _:
                raise InvariantError(f"reach: unexpected message {message!r}")
        self._report_changes()

    def _check(self, now_ms: int) -> None:
        elapsed_ms, self._checked_ms = now_ms - self._checked_ms, now_ms
        self._reachability = self._reachability.after_interval(elapsed_ms, now_ms)
        if now_ms - self._reachability.answered_ms >= PROBE_INTERVAL_MS:
            self._request_id += 1
            probe = kv.Get(
                self.name, self._request_id, self._probe_key, may_be_stale=True
            )
            self._context.send("platform", probe)
        self._context.set_timer(PROBE_INTERVAL_MS, _Check())

    def _report_changes(self) -> None:
        reachability = self._reachability
        if reachability.is_cut_off != self._is_cut_off:
            self._is_cut_off = reachability.is_cut_off
            self._context.send(self._intake, CutOff(self._is_cut_off))
        if reachability.is_ready != self._is_ready:
            self._is_ready = reachability.is_ready
            extra = {
                "ready": self._is_ready,
                "failures": reachability.failures,
                "silent": reachability.is_silent,
            }
            log.info("readiness changed", extra=extra)
            self._context.send(self._front, SetReady(self._is_ready))
