"""Reads and watches the head and reads chunks from the platform, for one task.

Only one read of the head is in flight; a read that is requested meanwhile follows it.
Failed calls are retried after a delay with jitter that rises with each failure.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import Watch
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import chunk_key

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext

READ_INTERVAL_MS = 30_000
# A watch on a silent connection ends only at its deadline. With this wait, a zone that
# is cut off from the others still reads a change within the limit of 7 s.
WATCH_WAIT_MS = 5_000
# The first heartbeats arrive within this time of a start, so that only one seat of a
# zone starts a watch.
WATCH_START_DELAY_MS = 1_500
# Every process also polls the head's revision, which is a small answer. A watch, or the
# connection to the peer that watches, may go silent without a reset, which would delay
# a change beyond the limit of 2 s.
CHECK_INTERVAL_MS = 1_000
MIN_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 5_000


@dataclass(frozen=True, slots=True)
class PeriodicRead:
    """Timer: read the head at a jittered interval, in case a change was missed."""


@dataclass(frozen=True, slots=True)
class RetryRead:
    """Timer: read the head after a failure."""


@dataclass(frozen=True, slots=True)
class StartWatch:
    """Timer: the head may be watched from now on."""


@dataclass(frozen=True, slots=True)
class CheckHead:
    """Timer: request the head's revision."""


SourceTimer: TypeAlias = PeriodicRead | RetryRead | StartWatch | CheckHead


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The platform answered with this encoded head."""

    value: bytes


@dataclass(frozen=True, slots=True)
class HeadMissing:
    """The platform has no head."""


@dataclass(frozen=True, slots=True)
class ChunkRead:
    """A chunk; `data` is None if the platform did not return it."""

    digest: str
    data: bytes | None


SourceEvent: TypeAlias = HeadRead | HeadMissing | ChunkRead


class HeadSource:
    """Platform calls of one service; to be used only on that service's loop."""

    def __init__(self, service: str, seed: str) -> None:
        self._service = service
        # For jitter only; never decides which generation is adopted.
        self._random = random.Random(seed)
        self._requests: dict[int, Get | Watch | ListPrefix] = {}
        self._next_request_id = 1
        self._revision = 0
        self._read_failures = 0
        self._is_reading = False
        self._must_read_again = False
        self._is_retry_due = False
        self._is_watcher = False
        self._may_watch = False
        self._watch_failures = 0
        self.is_watch_open = False
        self.counters: Counter[str] = Counter()

    def start(self, context: TaskContext) -> None:
        """Read the head and set the timers of the reads, the checks and the watch."""
        self._context = context
        self.read_head()
        context.set_timer(WATCH_START_DELAY_MS, StartWatch())
        context.set_timer(self._jittered(READ_INTERVAL_MS), PeriodicRead())
        context.set_timer(CHECK_INTERVAL_MS, CheckHead())

    def on_timer(self, timer: SourceTimer) -> None:
        """Handle a timer that was delivered to the owning task."""
        match timer:
            case PeriodicRead():
                self.read_head()
                self._context.set_timer(
                    self._jittered(READ_INTERVAL_MS), PeriodicRead()
                )
            case RetryRead():
                self._is_retry_due = False
                self.read_head()
            case StartWatch():
                self._may_watch = True
                self._watch()
            case CheckHead():
                self._check()

    def set_watcher(self, is_watcher: bool) -> None:
        """Start watching the head, or stop once the current watch ends."""
        self._is_watcher = is_watcher
        self._watch()

    def read_head(self) -> None:
        """Read the head; if a read is in flight, read again once it ends."""
        if self._is_reading:
            self._must_read_again = True
            return
        self._is_reading = True
        self.counters["head_reads"] += 1
        self._call(Get(self._service, self._next_request_id, HEAD_KEY))

    def read_head_later(self) -> None:
        """Read the head after a delay that rises until a read succeeds."""
        if self._is_retry_due:
            return
        self._is_retry_due = True
        self._read_failures += 1
        self._context.set_timer(self._backoff(self._read_failures), RetryRead())

    def read_chunk(self, digest: str) -> None:
        """Read a chunk; the reply becomes a `ChunkRead`."""
        self.counters["chunk_reads"] += 1
        self._call(Get(self._service, self._next_request_id, chunk_key(digest)))

    def on_reply(self, request_id: int, outcome: PlatformOutcome) -> SourceEvent | None:
        """Return the event for a reply of the platform, or None if it has none."""
        request = self._requests.pop(request_id, None)
        if isinstance(request, Watch):
            self._on_watch(outcome)
            return None
        if request is None:
            self.counters["unexpected_replies"] += 1
            return None
        if isinstance(request, ListPrefix):
            self._on_revision_listed(outcome)
            return None
        if request.key == HEAD_KEY:
            return self._on_head(outcome)
        data = outcome.value if isinstance(outcome, Found) else None
        return ChunkRead(request.key.rpartition("/")[2], data)

    def _on_head(self, outcome: PlatformOutcome) -> SourceEvent | None:
        self._is_reading = False
        if self._must_read_again:
            self._must_read_again = False
            self.read_head()
        match outcome:
            case Found(value, revision):
                self._read_failures = 0
                self._revision = max(self._revision, revision)
                return HeadRead(value)
            case Missing():
                self.counters["heads_missing"] += 1
                return HeadMissing()
            case _:
                self.counters["head_reads_failed"] += 1
                self.read_head_later()
                return None

    def _watch(self) -> None:
        if self.is_watch_open or not self._may_watch or not self._is_watcher:
            return
        self.is_watch_open = True
        self.counters["watches"] += 1
        request_id = self._next_request_id
        after = self._revision
        self._call(Watch(self._service, request_id, HEAD_KEY, after, WATCH_WAIT_MS))

    def _check(self) -> None:
        self._context.set_timer(CHECK_INTERVAL_MS, CheckHead())
        self.counters["head_checks"] += 1
        request_id = self._next_request_id
        self._call(ListPrefix(self._service, request_id, HEAD_KEY))

    def _on_revision_listed(self, outcome: PlatformOutcome) -> None:
        if isinstance(outcome, Listed) and any(
            item.key == HEAD_KEY and item.revision > self._revision
            for item in outcome.keys
        ):
            self.read_head()

    def _on_watch(self, outcome: PlatformOutcome) -> None:
        self.is_watch_open = False
        if isinstance(outcome, Changed):
            self._watch_failures = 0
            self._revision = max(self._revision, outcome.revision)
            if outcome.keys:
                self.read_head()
            self._watch()
            return
        self._watch_failures += 1
        self.counters["watches_failed"] += 1
        self._may_watch = False
        self._context.set_timer(self._backoff(self._watch_failures), StartWatch())

    def _call(self, request: Get | Watch | ListPrefix) -> None:
        self._requests[request.request_id] = request
        self._next_request_id += 1
        self._context.send("platform", request)

    def _backoff(self, failures: int) -> int:
        ceiling_ms = min(
            MIN_RETRY_DELAY_MS * 2 ** min(failures, 10), MAX_RETRY_DELAY_MS
        )
        return self._random.randint(MIN_RETRY_DELAY_MS, ceiling_ms)

    def _jittered(self, delay_ms: int) -> int:
        return self._random.randint(delay_ms * 2 // 3, delay_ms * 4 // 3)
