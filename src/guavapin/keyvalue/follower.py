"""A task that follows the items under one prefix for other services."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.long_answers import Abandon
from guavapin.keyvalue.long_answers import LongAnswer
from guavapin.keyvalue.reach import ReachabilityReport

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"

# The delay after a failed call doubles from the minimum to the maximum, counted from
# when the call was sent. A store that recovers is detected half a second or one call
# without an answer later, at a cost of two calls a second.
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 500

# Time beyond its wait after which an answer is late. What it proves is old by then, so
# that a follower with `is_prompt` has it proven again at once.
LATE_ANSWER_MS = 500

log = logging.getLogger("guavapin.follower")


@dataclass(frozen=True, slots=True)
class Follow:
    """Start following: list the prefix, then watch it for changes."""


@dataclass(frozen=True, slots=True)
class Unfollow:
    """Stop following; pending answers and timers are discarded."""


@dataclass(frozen=True, slots=True)
class PrefixListed:
    """Sent to the subscribers: all items under the prefix."""

    prefix: str
    items: tuple[kv.Item, ...]


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """Sent to the subscribers: the items that changed, in order."""

    prefix: str
    items: tuple[kv.Item, ...]


@dataclass(frozen=True, slots=True)
class PrefixConfirmed:
    """Sent to the subscribers: they have had all changes up to `as_of_ms`.

    The time is monotonic and is that at which a call was sent that the store answered.
    All changes up to the store's `revision` are known.
    """

    prefix: str
    as_of_ms: int
    revision: int


@dataclass(frozen=True, slots=True)
class PrefixArriving:
    """Sent to the subscribers: a long answer arrives, which takes time on a slow link.

    The next message about the prefix ends this state: its items, or `PrefixLost`.
    """

    prefix: str


@dataclass(frozen=True, slots=True)
class PrefixLost:
    """Sent to the subscribers: the long answer that was arriving does not."""

    prefix: str


@dataclass(frozen=True, slots=True)
class ContinueFrom:
    """Follow the changes after `revision`, since those up to it are known elsewhere.

    An answer that is arriving is abandoned. Nothing is done if the follower knows more.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class _CallDue:
    """Timer: make the next call, unless following was restarted or stopped."""

    follow_id: int


PrefixMessage: TypeAlias = (
    PrefixListed | PrefixChanged | PrefixConfirmed | PrefixArriving | PrefixLost
)


class PrefixFollower:
    """Service `name`: sends items under `prefix` and their changes to `subscribers`.

    A watch waits at most `wait_ms`, so that a silent connection is detected. After
    changes, the next watch starts `watch_delay_ms` later, which limits the calls for a
    prefix that changes continuously. When the store's history is gone, or is too long
    for one answer, the prefix is listed again. With `is_eager`, following begins at the
    start. The service `observer` is notified whether each call was answered. With
    `is_confirming`, the subscribers get `PrefixConfirmed` after each answer, and
    `PrefixArriving` while a long one arrives; with `is_prompt`, the first watch after a
    failure or a late answer is answered at once.
    """

    def __init__(
        self,
        name: str,
        prefix: str,
        subscribers: tuple[str, ...],
        wait_ms: int,
        watch_delay_ms: int = 0,
        is_eager: bool = False,
        observer: str = "",
        is_confirming: bool = False,
        is_prompt: bool = False,
    ) -> None:
        self.name = name
        self._prefix = prefix
        self._subscribers = subscribers
        self._wait_ms = wait_ms
        self._watch_delay_ms = watch_delay_ms
        self._is_eager = is_eager
        self._observer = observer
        self._is_confirming = is_confirming
        self._is_prompt = is_prompt
        self._sent_ms = 0
        self._called_ms = 0
        self._follow_id = 0
        self._request_id = 0
        self._revision = -1
        self._listed_items: list[kv.Item] = []
        self._retry_delay_ms = 0
        self._is_arriving = False
        self._is_late = False

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start following if `is_eager` is set."""
        self._context = context
        if self._is_eager:
            self._follow()
        return Ok(None)

    def stop(self) -> None:
        """Discard pending timers."""
        self._follow_id += 1

    def handle(self, message: object) -> None:
        """Handle a command, a timer or a reply of the store."""
        if isinstance(message, Follow):
            self._follow()
        elif isinstance(message, Unfollow):
            self._follow_id += 1
            self._request_id += 1
        elif isinstance(message, _CallDue):
            if message.follow_id == self._follow_id:
                self._call()
        elif isinstance(message, kv.Reply):
            if message.request_id == self._request_id:
                self._handle_outcome(message.outcome)
        elif isinstance(message, LongAnswer):
            if message.request_id == self._request_id and self._is_confirming:
                self._is_arriving = True
                self._notify(PrefixArriving(self._prefix))
        elif isinstance(message, ContinueFrom):
            self._continue_from(message.revision)
        else:
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def _follow(self) -> None:
        self._follow_id += 1
        self._revision = -1
        self._listed_items = []
        self._call()

    def _continue_from(self, revision: int) -> None:
        if revision <= self._revision:
            return
        self._context.send(PLATFORM, Abandon(self.name, self._request_id))
        self._follow_id += 1
        self._revision = revision
        self._listed_items = []
        if self._is_arriving:
            self._is_arriving = False
            self._notify(PrefixLost(self._prefix))
        self._call()

    def _call(self) -> None:
        self._request_id += 1
        self._called_ms = self._context.clock.now_ms()
        if self._revision >= 0 or not self._listed_items:
            # Further pages of a list prove no more than the first one.
            self._sent_ms = self._called_ms
        request: kv.PlatformRequest
        if self._revision < 0:
            after = self._listed_items[-1].key if self._listed_items else ""
            request = kv.ReadItems(self.name, self._request_id, self._prefix, after)
        else:
            # After a failure or a late answer, an answer at once proves that nothing
            # was missed.
            is_urgent = self._is_prompt and (self._retry_delay_ms > 0 or self._is_late)
            request = kv.WatchItems(
                self.name,
                self._request_id,
                self._prefix,
                self._revision,
                0 if is_urgent else self._wait_ms,
            )
        self._context.send(PLATFORM, request)

    def _handle_outcome(self, outcome: kv.PlatformOutcome) -> None:
        elapsed_ms = self._context.clock.now_ms() - self._sent_ms
        self._is_late = elapsed_ms > self._wait_ms + LATE_ANSWER_MS
        was_arriving, self._is_arriving = self._is_arriving, False
        if was_arriving and not isinstance(outcome, kv.Items | kv.ItemsChanged):
            self._notify(PrefixLost(self._prefix))
        match outcome:
            case kv.Items(items=items, has_more=has_more, revision=revision):
                self._record_success()
                self._handle_page(items, has_more, revision)
            case kv.ItemsChanged(items=items, revision=revision):
                self._record_success()
                self._revision = max(self._revision, revision)
                if items:
                    self._notify(PrefixChanged(self._prefix, items))
                self._confirm()
                self._schedule_call(self._watch_delay_ms if items else 0)
            case kv.Compacted():
                self._list_again("history is gone, listing")
            case kv.ChangesTooLong():
                self._list_again("history is too long for an answer, listing")
            case _:
                self._record_failure(outcome)

    def _handle_page(
        self, items: tuple[kv.Item, ...], has_more: bool, revision: int
    ) -> None:
        if not self._listed_items:
            # Two pages are not a snapshot: a watch from the first page's revision
            # repeats the changes between them.
            self._first_revision = revision
        self._listed_items.extend(items)
        if has_more and items:
            self._schedule_call(0)
            return
        listed, self._listed_items = tuple(self._listed_items), []
        self._revision = self._first_revision
        self._notify(PrefixListed(self._prefix, listed))
        self._confirm()
        self._schedule_call(self._watch_delay_ms)

    def _list_again(self, reason: str) -> None:
        log.info(reason, extra={"prefix": self._prefix})
        self._revision = -1
        self._listed_items = []
        self._schedule_call(0)

    def _confirm(self) -> None:
        if self._is_confirming:
            self._notify(PrefixConfirmed(self._prefix, self._sent_ms, self._revision))

    def _notify(self, message: PrefixMessage) -> None:
        for subscriber in self._subscribers:
            self._context.send(subscriber, message)

    def _schedule_call(self, delay_ms: int) -> None:
        if delay_ms:
            self._context.set_timer(delay_ms, _CallDue(self._follow_id))
        else:
            self._call()

    def _report_reachability(self, is_answered: bool) -> None:
        if self._observer:
            self._context.send(self._observer, ReachabilityReport(is_answered))

    def _record_failure(self, outcome: kv.PlatformOutcome) -> None:
        self._report_reachability(False)
        if not self._retry_delay_ms:
            extra = {"prefix": self._prefix, "outcome": repr(outcome)}
            log.warning("store lost", extra=extra)
        self._retry_delay_ms = min(
            max(self._retry_delay_ms * 2, MIN_RETRY_DELAY_MS), MAX_RETRY_DELAY_MS
        )
        elapsed_ms = self._context.clock.now_ms() - self._called_ms
        self._schedule_call(max(self._retry_delay_ms - elapsed_ms, 0))

    def _record_success(self) -> None:
        self._report_reachability(True)
        if self._retry_delay_ms:
            log.info("store regained", extra={"prefix": self._prefix})
            self._retry_delay_ms = 0
