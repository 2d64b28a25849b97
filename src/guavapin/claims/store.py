"""The interface of claim stores: events in, actions out.

A store keeps a mapping of frozen records and does no I/O; its caller executes the
actions that it returns. The same stores run in the `claims` task, in tests that choose
the order of events, and in the benchmark.
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

# Name of the service that receives the answers to platform calls.
SERVICE = "claims"
HOUR_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class ClaimsConfig:
    """Settings of the claims.

    A request whose claim the platform does not confirm within `confirm_timeout_ms` is
    refused as not run, because it holds a slot of an upstream while it waits.
    `max_claiming` bounds the keys with an unconfirmed claim. Requests for further keys
    are refused at once, so that a slow platform does not tie up the slots.

    While the platform does not answer, the write of an outcome or a release is repeated
    for up to `settle_ms`; `max_settling_bytes` bounds the memory of such outcomes. With
    `has_pages` the outcomes of several keys are written at once in a page. A page
    accepts claims for `page_open_ms` and waits `page_linger_ms` for further outcomes. A
    record is kept for `retention_ms` to `retention_ms + lease_span_ms` after its last
    write.
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
    """Purpose of a wake-up."""

    RETRY = "retry"
    EXPIRE = "expire"
    LEASE = "lease"


@dataclass(frozen=True, slots=True)
class Wake:
    """Identifies a wake-up.

    `subject` is the platform key or the request id that it concerns. A retry whose
    `wake_id` is out of date is ignored.
    """

    kind: WakeKind
    subject: str | int = ""
    wake_id: int = 0


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Send `request` to the platform; the reply carries its `request_id`."""

    request: PlatformRequest


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Call `on_wake` with `wake` after `delay_ms`."""

    delay_ms: int
    wake: Wake


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send an answer to the service that requested the claim."""

    answer: ClaimAnswer


Action: TypeAlias = CallPlatform | WakeAfter | SendAnswer
Actions: TypeAlias = tuple[Action, ...]


class ClaimStore(Protocol):
    """Keeps claims at the platform."""

    def on_start(self, now_ms: int) -> Actions:
        """Return the first actions; called once."""
        ...

    def on_claim(self, req: ClaimKey, now_ms: int) -> Actions:
        """Handle a request for a claim; one `SendAnswer` follows, now or later."""
        ...

    def on_outcome(self, msg: RecordAnswer | RecordUnknown, now_ms: int) -> Actions:
        """Record the outcome of a granted request."""
        ...

    def on_release(self, msg: ReleaseClaim, now_ms: int) -> Actions:
        """Release a granted claim or remove a waiting request; no `SendAnswer`."""
        ...

    def on_reply(self, call_id: int, outcome: PlatformOutcome, now_ms: int) -> Actions:
        """Apply the answer to a platform call; unknown calls are ignored."""
        ...

    def on_wake(self, wake: Wake, now_ms: int) -> Actions:
        """Handle a wake-up; one that is out of date is ignored."""
        ...

    def counters(self) -> dict[str, int]:
        """Return counters of events by name."""
        ...


def key_hash(service: str, key: str) -> str:
    """Return the hash of a service's key as 32 hexadecimal digits."""
    text = f"{len(service)}:{service}{key}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def backoff_ms(cfg: ClaimsConfig, tries: int, salt: str) -> int:
    """Return an exponential delay in ms with jitter.

    The delay is 50% to 150% of the exponential value; `salt` fixes the share.
    """
    delay = min(cfg.backoff_ms << min(tries, 16), cfg.max_backoff_ms)
    share = zlib.crc32(f"{salt}/{tries}".encode()) / 2**32
    return int(delay * (0.5 + share)) + 1
