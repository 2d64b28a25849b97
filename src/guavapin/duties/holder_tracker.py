"""The service `roster`: tracks the holder of a duty and reports when it is free."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.duties.messages import AcquireDuty
from guavapin.duties.messages import PostponeCompetition
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.scheduling.messages import KnownScheduler

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.keyvalue.messages import Item

# Spreads competing processes over time, so that most of them see the new holder before
# they make a call.
MAX_JITTER_MS = 60

# Delay before a process competes again for a duty that is still free. A failed call to
# the store has ended by then.
COMPETITION_RETRY_MS = 1_000

log = logging.getLogger("guavapin.duty")


@dataclass(frozen=True, slots=True)
class _Compete:
    """Timer: compete for the duty if it is still free."""


class HolderTrackerTask:
    """Service ``roster``, which subscribes to the duty's key.

    `listeners` get `KnownScheduler` on each change. `duty_task` gets `AcquireDuty`
    `election_delay_ms` after the key was removed, and again while the duty is free. A
    process that has handed the duty over postpones its competition.
    """

    name = "roster"

    def __init__(
        self,
        key: str,
        duty_task: str,
        listeners: tuple[str, ...],
        election_delay_ms: int = 0,
        seed: int | None = None,
    ) -> None:
        self._key = key
        self._election_delay_ms = election_delay_ms
        self._is_competing = False
        self._postponed_until_ms = 0
        self._duty_task = duty_task
        self._listeners = listeners
        self._known: KnownScheduler | None = None
        self._random = random.Random(seed)

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; the follower sends the key."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Nothing to close."""

    def handle(self, message: object) -> None:
        """Handle a listing or a change of the key, or the timer."""
        match message:
            case PrefixListed(items=items):
                items = tuple(item for item in items if item.key == self._key)
                self._update_holder(items[-1] if items else None)
            case PrefixChanged(items=items):
                for item in items:
                    if item.key == self._key:
                        self._update_holder(item)
            case _Compete():
                self._is_competing = False
                if self._known is not None and not self._known.address:
                    if self._context.now_ms() >= self._postponed_until_ms:
                        self._context.send(self._duty_task, AcquireDuty())
                    self._schedule_competition(COMPETITION_RETRY_MS)
            case PostponeCompetition(delay_ms=delay_ms):
                self._postponed_until_ms = self._context.now_ms() + delay_ms
            case _:
                raise InvariantError(f"roster: unexpected message {message!r}")

    def _update_holder(self, item: Item | None) -> None:
        known = KnownScheduler("", "", 0)
        if item is not None and item.value is not None:
            holder = item.value.decode(errors="replace").partition(" ")[0]
            known = KnownScheduler(holder_address(holder), holder, item.revision)
        if known != self._known:
            self._known = known
            extra = {"holder": known.holder, "token": known.token}
            log.info("scheduler known", extra=extra)
            for listener in self._listeners:
                self._context.send(listener, known)
        if not known.address:
            self._schedule_competition(self._election_delay_ms)

    def _schedule_competition(self, delay_ms: int) -> None:
        if not self._is_competing:
            self._is_competing = True
            jitter_ms = self._random.randint(0, MAX_JITTER_MS)
            self._context.set_timer(delay_ms + jitter_ms, _Compete())


def holder_name(node: str, address: tuple[str, int], started_ms: int) -> str:
    """Return the holder's name, ``NODE@HOST:PORT#STARTED``, unique for each start."""
    return f"{node}@{address[0]}:{address[1]}#{started_ms}"


def holder_address(holder: str) -> str:
    """Return the peer address contained in a holder's name."""
    return holder.partition("@")[2].partition("#")[0]
