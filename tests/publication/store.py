"""A key-value store for tests: revisions, compare-and-swap, watches, faults."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import PlatformRequest
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Watch
from guavapin.keyvalue.messages import Written

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES = 1_000_000


class Fault(Enum):
    """Fault injected into a call."""

    NONE = "none"
    ANSWER_LOST = "answer lost"
    NOT_SENT = "not sent"
    RATE_LIMITED = "rate limited"


@dataclass
class Store:
    """Store that records all `calls`; `fault_of` selects the fault of each of them."""

    fault_of: Callable[[PlatformRequest], Fault] = lambda request: Fault.NONE
    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 0
    calls: list[PlatformRequest] = field(default_factory=list)
    history: list[tuple[str, bytes]] = field(default_factory=list)

    def call(self, request: PlatformRequest) -> PlatformOutcome:
        """Perform one call under the fault that `fault_of` selects for it."""
        self.calls.append(request)
        fault = self.fault_of(request)
        if fault is Fault.NOT_SENT:
            return NotSent("platform is down")
        if fault is Fault.RATE_LIMITED:
            return RateLimited()
        outcome = self._apply(request)
        return Unknown("no answer") if fault is Fault.ANSWER_LOST else outcome

    def watch_is_due(self, request: Watch) -> bool:
        return any(
            key.startswith(request.prefix) and revision > request.after_revision
            for key, (_, revision) in self.values.items()
        )

    def _apply(self, request: PlatformRequest) -> PlatformOutcome:
        match request:
            case Get(_, _, key):
                found = self.values.get(key)
                return Missing() if found is None else Found(*found)
            case Put(_, _, key, value, expected):
                if len(value) > MAX_VALUE_BYTES:
                    return NotSent("value too large")
                return self._swap(key, value, expected)
            case Delete(_, _, key, expected):
                return self._swap(key, None, expected)
            case ListPrefix(_, _, prefix):
                return Listed(self._keys(prefix, 0), self.revision)
            case Watch(_, _, prefix, after):
                return Changed(self._keys(prefix, after), self.revision)
        raise AssertionError(f"unexpected call {request}")

    def _swap(self, key: str, value: bytes | None, expected: int) -> PlatformOutcome:
        present = self.values[key][1] if key in self.values else 0
        if present != expected:
            return Conflict(present)
        self.revision += 1
        if value is None:
            del self.values[key]
        else:
            self.values[key] = (value, self.revision)
            self.history.append((key, value))
        return Written(self.revision)

    def _keys(self, prefix: str, after: int) -> tuple[KeyRevision, ...]:
        return tuple(
            KeyRevision(key, revision)
            for key, (_, revision) in sorted(self.values.items())
            if key.startswith(prefix) and revision > after
        )
