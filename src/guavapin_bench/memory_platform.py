"""A platform in memory for benchmarks: revisions, compare-and-swap and watches.

The kernels of one process share it. It answers a call after 1 to 5 ms, and counts calls
by kind and written bytes by kind of key.
"""

from __future__ import annotations

import random
import threading
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.keyvalue import messages as platform
from guavapin.publication.head import AUDIT_PREFIX
from guavapin.publication.head import CHUNK_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import TaskContext
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest

MIN_ANSWER_DELAY_MS = 1
MAX_ANSWER_DELAY_MS = 5


class Store:
    """Holds values with revisions for the nodes of this process; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, tuple[bytes, int]] = {}
        self._revision = 0
        self.listeners: list[Callable[[], None]] = []
        self.calls: Counter[str] = Counter()
        self.written: Counter[str] = Counter()

    def call(self, request: PlatformRequest) -> PlatformOutcome:
        """Apply one call, and notify the listeners if it wrote a value."""
        with self._lock:
            self.calls[type(request).__name__] += 1
            outcome = self._apply(request)
        if isinstance(outcome, platform.Written):
            for notify in self.listeners:
                notify()
        return outcome

    def changed(self, watch: platform.Watch) -> platform.Changed:
        """Return the changes for a watch; counts no call, as its start was counted."""
        with self._lock:
            keys = self._keys(watch.prefix, watch.after_revision)
            return platform.Changed(keys, self._revision)

    def _apply(self, request: PlatformRequest) -> PlatformOutcome:
        match request:
            case platform.Get(_, _, key):
                found = self._values.get(key)
                return platform.Missing() if found is None else platform.Found(*found)
            case platform.Put(_, _, key, value, expected):
                return self._compare_and_swap(key, value, expected)
            case platform.Delete(_, _, key, expected):
                return self._compare_and_swap(key, None, expected)
            case platform.ListPrefix(_, _, prefix):
                return platform.Listed(self._keys(prefix, 0), self._revision)
            case _:
                return platform.NotSent("not supported by the benchmark")

    def _compare_and_swap(
        self, key: str, value: bytes | None, expected: int
    ) -> PlatformOutcome:
        current_revision = self._values[key][1] if key in self._values else 0
        if current_revision != expected:
            return platform.Conflict(current_revision)
        self._revision += 1
        if value is None:
            del self._values[key]
            return platform.Written(self._revision)
        self._values[key] = (value, self._revision)
        self.written[_value_kind(key)] += len(value)
        return platform.Written(self._revision)

    def _keys(self, prefix: str, after: int) -> tuple[platform.KeyRevision, ...]:
        return tuple(
            platform.KeyRevision(key, revision)
            for key, (_, revision) in self._values.items()
            if key.startswith(prefix) and revision > after
        )


@dataclass(frozen=True, slots=True)
class _DelayedAnswer:
    request: PlatformRequest
    outcome: PlatformOutcome


@dataclass(frozen=True, slots=True)
class StoreChanged:
    """Announces that a value of the store has changed."""


@dataclass(frozen=True, slots=True)
class _WatchEnd:
    request_id: int


class MemoryPlatform:
    """Service `platform` of a node, backed by the shared store."""

    name = "platform"

    def __init__(self, store: Store, seed: int) -> None:
        self._store = store
        self._rng = random.Random(seed)
        self._watches: dict[int, platform.Watch] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        match message:
            case platform.Watch():
                self._store.calls["Watch"] += 1
                self._watches[message.request_id] = message
                self._context.set_timer(message.wait_ms, _WatchEnd(message.request_id))
                self._check_watches()
            case StoreChanged():
                self._check_watches()
            case _WatchEnd(request_id) if request_id in self._watches:
                self._end_watch(self._watches[request_id])
            case _DelayedAnswer(request, outcome):
                reply = platform.Reply(request.request_id, outcome)
                self._context.send(request.reply_to, reply)
            case platform.Get() | platform.Put() | platform.Delete():
                self._answer(message)
            case platform.ListPrefix():
                self._answer(message)

    def stop(self) -> None:
        """Do nothing: the service owns no resources."""

    def _answer(self, request: PlatformRequest) -> None:
        answer = _DelayedAnswer(request, self._store.call(request))
        self._context.set_timer(self._delay_ms(), answer)

    def _check_watches(self) -> None:
        for watch in tuple(self._watches.values()):
            if self._store.changed(watch).keys:
                self._end_watch(watch)

    def _end_watch(self, watch: platform.Watch) -> None:
        del self._watches[watch.request_id]
        answer = _DelayedAnswer(watch, self._store.changed(watch))
        self._context.set_timer(self._delay_ms(), answer)

    def _delay_ms(self) -> int:
        return self._rng.randint(MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS)


def _value_kind(key: str) -> str:
    if key.startswith(CHUNK_PREFIX):
        return "chunk"
    return "audit" if key.startswith(AUDIT_PREFIX) else "head"
