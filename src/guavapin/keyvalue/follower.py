"""A task that follows the items under one prefix for another service."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachabilityReport

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"

# First and longest pause after a failed call, doubled in between. A store that comes
# back is noticed within half a second at a cost of two calls a second.
RETRY_MS = 100
MAX_RETRY_MS = 500

log = logging.getLogger("guavapin.follower")


@dataclass(frozen=True, slots=True)
class Follow:
    """List the prefix and follow its changes from now on."""


@dataclass(frozen=True, slots=True)
class Unfollow:
    """Stop following; answers on their way are dropped."""


@dataclass(frozen=True, slots=True)
class PrefixListed:
    """To the subscriber: all items under the prefix."""

    prefix: str
    items: tuple[kv.Item, ...]


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """To the subscriber: items that changed, in order."""

    prefix: str
    items: tuple[kv.Item, ...]


@dataclass(frozen=True, slots=True)
class _Next:
    """Timer: make the next call of round `generation`."""

    generation: int


class PrefixFollower:
    """Service `name`; tells `subscribers` what stands under `prefix`.

    A watch waits `wait_ms` at most, so that a connection that went silent is noticed.
    After changes the next watch starts `pause_ms` later, which bounds the calls for a
    prefix that changes all the time. When the store's history is gone, the prefix is
    listed again. With `is_eager` it follows from the start. An `observer` is told of
    each call whether it was answered.
    """

    def __init__(
        self,
        name: str,
        prefix: str,
        subscribers: tuple[str, ...],
        wait_ms: int,
        pause_ms: int = 0,
        is_eager: bool = False,
        observer: str = "",
    ) -> None:
        self.name = name
        self._prefix = prefix
        self._subscribers = subscribers
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._is_eager = is_eager
        self._observer = observer
        self._generation = 0
        self._request_id = 0
        self._revision = -1
        self._pages: list[kv.Item] = []
        self._retry_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Begin to follow if eager."""
        self._context = context
        if self._is_eager:
            self._follow()
        return Ok(None)

    def stop(self) -> None:
        """Drop the answers on their way."""
        self._generation += 1

    def handle(self, message: object) -> None:
        """Take a command, a timer or an answer of the store."""
        if isinstance(message, Follow):
            self._follow()
        elif isinstance(message, Unfollow):
            self._generation += 1
            self._request_id += 1
        elif isinstance(message, _Next):
            if message.generation == self._generation:
                self._call()
        elif isinstance(message, kv.Reply):
            if message.request_id == self._request_id:
                self._take(message.outcome)
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _follow(self) -> None:
        self._generation += 1
        self._revision = -1
        self._pages = []
        self._call()

    def _call(self) -> None:
        self._request_id += 1
        request: kv.PlatformRequest
        if self._revision < 0:
            after = self._pages[-1].key if self._pages else ""
            request = kv.ReadItems(self.name, self._request_id, self._prefix, after)
        else:
            request = kv.WatchItems(
                self.name, self._request_id, self._prefix, self._revision, self._wait_ms
            )
        self._context.send(PLATFORM, request)

    def _take(self, outcome: kv.PlatformOutcome) -> None:
        match outcome:
            case kv.Items(items=items, has_more=has_more, revision=revision):
                self._note_regained()
                self._take_page(items, has_more, revision)
            case kv.ItemsChanged(items=items, revision=revision):
                self._note_regained()
                self._revision = max(self._revision, revision)
                if items:
                    self._tell(PrefixChanged(self._prefix, items))
                self._next(self._pause_ms if items else 0)
            case kv.Compacted():
                log.info("history is gone, listing", extra={"prefix": self._prefix})
                self._revision = -1
                self._pages = []
                self._next(0)
            case _:
                self._note_failure(outcome)

    def _take_page(
        self, items: tuple[kv.Item, ...], has_more: bool, revision: int
    ) -> None:
        if not self._pages:
            # Changes between two pages come again with the watch from the first one.
            self._first_revision = revision
        self._pages.extend(items)
        if has_more and items:
            self._next(0)
            return
        pages, self._pages = tuple(self._pages), []
        self._revision = self._first_revision
        self._tell(PrefixListed(self._prefix, pages))
        self._next(self._pause_ms)

    def _tell(self, message: PrefixListed | PrefixChanged) -> None:
        for subscriber in self._subscribers:
            self._context.send(subscriber, message)

    def _next(self, delay_ms: int) -> None:
        if delay_ms:
            self._context.set_timer(delay_ms, _Next(self._generation))
        else:
            self._call()

    def _observe(self, is_answered: bool) -> None:
        if self._observer:
            self._context.send(self._observer, ReachabilityReport(is_answered))

    def _note_failure(self, outcome: kv.PlatformOutcome) -> None:
        self._observe(False)
        if not self._retry_ms:
            extra = {"prefix": self._prefix, "outcome": repr(outcome)}
            log.warning("store lost", extra=extra)
        self._retry_ms = min(max(self._retry_ms * 2, RETRY_MS), MAX_RETRY_MS)
        self._next(self._retry_ms)

    def _note_regained(self) -> None:
        self._observe(True)
        if self._retry_ms:
            log.info("store regained", extra={"prefix": self._prefix})
            self._retry_ms = 0
