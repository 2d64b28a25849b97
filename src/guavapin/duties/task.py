"""A task that competes for one duty and notifies its workers when it holds the duty."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.duties import lease as lease_machine
from guavapin.duties.lease import DutyLease
from guavapin.duties.messages import AcquireDuty
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import DutyStatus
from guavapin.duties.messages import QueryDuty
from guavapin.duties.messages import ReleaseDuty
from guavapin.duties.messages import RetireFromDuty
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.task import Call
from guavapin.keyvalue import messages as platform

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.kernel.task import TimerHandle

PLATFORM = "platform"

# The holder detects an expired lease within this time, even without an answer.
EXPIRY_CHECK_INTERVAL_MS = 250

log = logging.getLogger("guavapin.duty")


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: poll or renew."""


@dataclass(frozen=True, slots=True)
class _CheckExpiry:
    """Timer: suspend or release the duty if its lease was not confirmed in time."""


class DutyTask:
    """Owns the lease of `duty`; `workers` are the services that carry it out.

    `holder` must differ between processes and between starts of one process.
    """

    def __init__(
        self,
        duty: str,
        holder: str,
        workers: tuple[str, ...],
        seed: int = 0,
        terms: lease_machine.LeaseTerms | None = None,
    ) -> None:
        self.name = f"duty_{duty}"
        self._workers = workers
        self._lease = DutyLease(duty, holder, terms=terms or lease_machine.LeaseTerms())
        self._random = random.Random(seed)
        self._request_id = 0
        self._awaited_id = 0
        # Unanswered renewals by request id: lease id and time of sending. A slow store
        # answers a renewal after the next one is sent, and each answer counts.
        self._renewals: dict[int, tuple[str, int]] = {}
        self._notified_until_ms = 0
        self._timer: TimerHandle | None = None
        self._is_retired = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start to compete for the duty, unless `poll_ms` is 0, and check its lease."""
        self._context = context
        if self._lease.terms.poll_ms:
            self._tick()
        self._context.set_timer(EXPIRY_CHECK_INTERVAL_MS, _CheckExpiry())
        return Ok(None)

    def stop(self) -> None:
        """Release the duty at once, so that another process can take over."""
        self._apply_transition(lease_machine.release(self._lease))

    def handle(self, message: object) -> None:
        """Handle a timer, an order to acquire or release, a query or a reply."""
        if isinstance(message, RetireFromDuty):
            self._is_retired = True
            self._apply_transition(lease_machine.release(self._lease))
        elif self._is_retired and isinstance(
            message, _Tick | AcquireDuty | platform.Reply
        ):
            # A stopping process must not acquire the duty that it has released.
            pass
        elif isinstance(message, _Tick):
            self._tick()
        elif isinstance(message, AcquireDuty):
            if self._lease.phase is lease_machine.LeasePhase.IDLE:
                now_ms = self._context.clock.now_ms()
                self._apply_transition(lease_machine.tick(self._lease, now_ms))
        elif isinstance(message, ReleaseDuty):
            if message.token == self._lease.token:
                self._apply_transition(lease_machine.release(self._lease))
        elif isinstance(message, Call) and isinstance(message.body, QueryDuty):
            message.fut.set_result(self._status())
        elif isinstance(message, _CheckExpiry):
            self._check_expiry()
        elif isinstance(message, platform.Reply):
            self._on_reply(message)
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _on_reply(self, reply: platform.Reply) -> None:
        now_ms = self._context.clock.now_ms()
        lease_id, sent_ms = self._renewals.pop(reply.request_id, ("", 0))
        if lease_id:
            if lease_id == self._lease.lease_id:
                transition = lease_machine.handle_renewal(
                    self._lease, reply.outcome, sent_ms, now_ms
                )
                self._apply_transition(transition)
        elif reply.request_id == self._awaited_id:
            self._apply_transition(
                lease_machine.handle_answer(self._lease, reply.outcome, now_ms)
            )

    def _tick(self) -> None:
        self._apply_transition(
            lease_machine.tick(self._lease, self._context.clock.now_ms())
        )
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._context.cancel_timer(self._timer)
        phases = (lease_machine.LeasePhase.HELD, lease_machine.LeasePhase.SUSPENDED)
        is_held = self._lease.phase in phases
        terms = self._lease.terms
        delay_ms = terms.renew_ms if is_held else terms.poll_ms
        if not delay_ms:
            self._timer = None
            return
        if not is_held:
            delay_ms = round(delay_ms * self._random.uniform(0.6, 1.0))
        self._timer = self._context.set_timer(delay_ms, _Tick())

    def _check_expiry(self) -> None:
        now_ms = self._context.clock.now_ms()
        is_held = self._lease.phase is lease_machine.LeasePhase.HELD
        if is_held and not self._lease.is_held(now_ms):
            self._apply_transition(lease_machine.expire(self._lease, now_ms))
        self._context.set_timer(EXPIRY_CHECK_INTERVAL_MS, _CheckExpiry())

    def _status(self) -> DutyStatus:
        lease = self._lease
        is_held = lease.is_held(self._context.clock.now_ms())
        return DutyStatus(lease.duty, is_held, lease.token)

    def _apply_transition(self, transition: lease_machine.Transition) -> None:
        old, (self._lease, actions) = self._lease, transition
        for action in actions:
            self._perform(action)
        if self._lease.phase is lease_machine.LeasePhase.HELD:
            if old.phase is not lease_machine.LeasePhase.HELD:
                extra = {"duty": old.duty, "token": self._lease.token}
                log.info("duty held", extra=extra)
                # The scheduled poll may be due only after the lease has ended.
                self._schedule_tick()
            self._notify_held()
        elif old.phase is lease_machine.LeasePhase.HELD:
            extra = {"duty": old.duty, "token": old.token}
            is_suspended = self._lease.phase is lease_machine.LeasePhase.SUSPENDED
            log.info("duty lost", extra={**extra, "may_return": is_suspended})
            self._notified_until_ms = 0
            self._notify_workers(DutyLost(old.duty))

    def _notify_held(self) -> None:
        lease = self._lease
        if lease.until_ms > self._notified_until_ms:
            self._notified_until_ms = lease.until_ms
            self._notify_workers(DutyHeld(lease.duty, lease.token, lease.until_ms))

    def _notify_workers(self, message: DutyHeld | DutyLost) -> None:
        for worker in self._workers:
            self._context.send(worker, message)

    def _perform(self, action: lease_machine.LeaseAction) -> None:
        self._request_id += 1
        request_id, lease = self._request_id, self._lease
        request: platform.PlatformRequest
        match action:
            case lease_machine.Revoke(lease_id):
                # No answer is awaited. If the call fails, the lease lapses by itself.
                request = platform.LeaseRevoke(self.name, request_id, lease_id)
                self._context.send(PLATFORM, request)
                return
            case lease_machine.ReadKey():
                request = platform.Get(self.name, request_id, lease.key)
            case lease_machine.Grant(lease_ms):
                request = platform.LeaseGrant(self.name, request_id, lease_ms)
            case lease_machine.Claim():
                request = platform.Put(
                    self.name,
                    request_id,
                    lease.key,
                    lease.value,
                    platform.NO_REVISION,
                    lease.lease_id,
                )
            case lease_machine.Renew():
                now_ms = self._context.clock.now_ms()
                self._renewals[request_id] = lease.lease_id, now_ms
                request = platform.LeaseRenew(self.name, request_id, lease.lease_id)
        self._awaited_id = request_id
        self._context.send(PLATFORM, request)
