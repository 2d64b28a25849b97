"""The `claims` task: executes the actions of its claim store."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import SERVICE
from guavapin.claims.store import CallPlatform
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import SendAnswer
from guavapin.claims.store import Wake
from guavapin.claims.store import WakeAfter
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel.outcome import InvariantError
from guavapin.keyvalue.messages import Reply

if TYPE_CHECKING:
    from guavapin.claims.store import Actions
    from guavapin.claims.store import ClaimStore
    from guavapin.kernel import TaskContext


@dataclass(frozen=True, slots=True)
class ReadCounters:
    """Requests the store's counters; sent as a `Call`."""


class ClaimsTask:
    """Service ``claims``; requires ``platform`` and sends its answers to `reply_to`.

    The default store keeps one record per key. Its process id is random, because claim
    ids must never repeat, even after a restart.
    """

    name = SERVICE

    def __init__(
        self,
        cfg: ClaimsConfig,
        store: ClaimStore | None = None,
        reply_to: str = "exchanges",
    ) -> None:
        self._store = store or RecordStore(cfg, secrets.token_hex(8))
        self._reply_to = reply_to
        self._is_stopped = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the store; the platform need not be reachable."""
        self._context = context
        self._run(self._store.on_start(context.now_ms()))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a message of `claims.messages`, a platform reply or a wake-up."""
        if self._is_stopped:
            if isinstance(message, Call):
                message.fut.cancel()
            return
        now_ms = self._context.now_ms()
        match message:
            case Reply(request_id, outcome):
                self._run(self._store.on_reply(request_id, outcome, now_ms))
            case ClaimKey():
                self._run(self._store.on_claim(message, now_ms))
            case RecordAnswer() | RecordUnknown():
                self._run(self._store.on_outcome(message, now_ms))
            case ReleaseClaim():
                self._run(self._store.on_release(message, now_ms))
            case Wake():
                self._run(self._store.on_wake(message, now_ms))
            case Call(ReadCounters(), fut):
                if fut.set_running_or_notify_cancel():
                    fut.set_result(self._store.counters())
            case _:
                raise InvariantError(f"claims: unexpected message {message!r}")

    def stop(self) -> None:
        """Ignore all later messages; claims without an outcome stay claimed.

        A graceful shutdown first waits until the counter `keys` is 0, because outcomes
        may still wait for a page or for the platform.
        """
        self._is_stopped = True

    def _run(self, actions: Actions) -> None:
        for action in actions:
            match action:
                case CallPlatform(request):
                    self._context.send("platform", request)
                case WakeAfter(delay_ms, wake):
                    self._context.set_timer(delay_ms, wake)
                case SendAnswer(answer):
                    self._context.send(self._reply_to, answer)
