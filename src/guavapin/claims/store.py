"""The interface of claim stores: events in, actions out.

A store owns a mapping of frozen records and talks to nobody; its caller carries out
the actions. The same stores run in the `claims` task, in tests that choose the order
of events, and in the benchmark.
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

if TYPE_CHECKING:
    from guavapin.claims.messages import ClaimAnswer
    from guavapin.claims.messages import ClaimKey
    from guavapin.claims.messages import RecordAnswer
    from guavapin.claims.messages import RecordUnknown
    from guavapin.claims.messages import ReleaseClaim
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest

# Name of the service to which the platform's answers go.
SERVICE = "claims"
HOUR_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class ClaimsConfig:
    """Settings of the claims.

    `confirm_timeout_ms` bounds how long a request waits for the platform before it is
    refused as not run, since it holds an upstream's slot meanwhile. `max_claiming`
    bounds the keys whose claim the platform has not confirmed; further requests are
    refused at once, so that a slow platform does not collect slots. `settle_ms`
    bounds how long an outcome or a release is offered to a platform that does not
    answer, and `max_settling_bytes` the memory of such outcomes. With `has_pages`
    outcomes are written for several keys at once, in a page that takes claims for
    `page_open_ms` and waits `page_linger_ms` for further outcomes. A record is kept
    from `retention_ms` to `retention_ms + lease_span_ms` after its last write.
    """

    confirm_timeout_ms: int = 1_500
    backoff_ms: int = 20
    max_backoff_ms: int = 1_000
    settle_ms: int = 600_000
    max_keys: int = 4_096
    max_claiming: int = 64
    max_waiters: int = 64
    max_watches: int = 12
    watch_ms: int = 20_000
    has_pages: bool = True
    page_open_ms: int = 250
    page_linger_ms: int = 100
    max_settling_bytes: int = 32 * 1024 * 1024
    retention_ms: int = 24 * HOUR_MS
    lease_span_ms: int = 600_000


class WakeKind(Enum):
    """What a store wants to be woken for."""

    RETRY = "retry"
    EXPIRE = "expire"
    LEASE = "lease"


@dataclass(frozen=True, slots=True)
class Wake:
    """Names a wake-up: the key path or request id it concerns."""

    kind: WakeKind
    subject: str | int = ""
    wake_id: int = 0


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Send `request`; its `request_id` comes back with the outcome."""

    request: PlatformRequest


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Call `on_wake` after `delay_ms`."""

    delay_ms: int
    wake: Wake


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send an answer to the service that asked."""

    answer: ClaimAnswer


Action: TypeAlias = CallPlatform | WakeAfter | SendAnswer
Actions: TypeAlias = tuple[Action, ...]


class ClaimStore(Protocol):
    """A way of keeping claims in the platform's service."""

    def on_start(self, now_ms: int) -> Actions:
        """Begin."""
        ...

    def on_claim(self, req: ClaimKey, now_ms: int) -> Actions:
        """Handle a request for a claim; one `SendAnswer` follows, now or later."""
        ...

    def on_outcome(self, msg: RecordAnswer | RecordUnknown, now_ms: int) -> Actions:
        """Record what came of a granted request."""
        ...

    def on_release(self, msg: ReleaseClaim, now_ms: int) -> Actions:
        """Give up a granted claim, or a request that waits, without a `SendAnswer`."""
        ...

    def on_reply(self, call_id: int, outcome: PlatformOutcome, now_ms: int) -> Actions:
        """Handle the answer to a platform call; unknown calls are ignored."""
        ...

    def on_wake(self, wake: Wake, now_ms: int) -> Actions:
        """Handle a wake-up; one that is out of date is ignored."""
        ...

    def counters(self) -> dict[str, int]:
        """Return counters of events by name."""
        ...


def key_hash(service: str, key: str) -> str:
    """Return 32 hex digits for a key of a service."""
    text = f"{len(service)}:{service}{key}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def backoff_ms(cfg: ClaimsConfig, tries: int, salt: str) -> int:
    """Return an exponential delay with jitter from 50% to 150%, fixed by `salt`."""
    delay = min(cfg.backoff_ms << min(tries, 16), cfg.max_backoff_ms)
    share = zlib.crc32(f"{salt}/{tries}".encode()) / 2**32
    return int(delay * (0.5 + share)) + 1
