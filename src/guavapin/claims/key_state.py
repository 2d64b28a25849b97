"""State of one idempotency key in this process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.kernel.outcome import Reason

if TYPE_CHECKING:
    from guavapin.claims.messages import ClaimAnswer
    from guavapin.claims.record import ClaimRecord


class Phase(Enum):
    """What this process does about a key.

    CLAIMING repeats one compare-and-swap until its result is known, READING reads
    the record after a conflict, READING_PAGE its claimant's outcomes, HELD waits for
    the request that was granted, SETTLING and RELEASING write what came of it,
    FOLLOWING waits for another claimant.
    """

    CLAIMING = "claiming"
    READING = "reading"
    READING_PAGE = "reading_page"
    HELD = "held"
    SETTLING = "settling"
    RELEASING = "releasing"
    FOLLOWING = "following"


@dataclass(frozen=True, slots=True)
class Requester:
    """A request that waits; `give_up_ms` applies while nobody is known to hold it."""

    request_id: int
    give_up_ms: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class KeyState:
    """All requests for one key have the digest `digest`.

    `expected` is the revision that the claim's compare-and-swap expects, `revision`
    that of the record when it was last seen. `page` and `other_claim_id` are those of
    another claimant that is followed, `page_revision` that of its page.
    `may_be_written` tells that a write of the claim got no answer. `delayed_by` is
    why the last call failed. `until_ms` bounds work that nobody waits for.
    """

    phase: Phase
    claim_id: str
    digest: bytes
    requesters: tuple[Requester, ...] = ()
    holder: int | None = None
    expected: int = 0
    revision: int = 0
    page: str = ""
    page_revision: int = 0
    other_claim_id: str = ""
    may_be_written: bool = False
    record: ClaimRecord | None = None
    tries: int = 0
    delayed_by: Reason = Reason.CUT_OFF
    until_ms: int = 0


@dataclass(frozen=True, slots=True)
class Write:
    """Compare and swap the key's record."""

    record: ClaimRecord
    expected: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Write what came of the claim, in its page or at a revision of the record."""

    record: ClaimRecord
    revision: int


@dataclass(frozen=True, slots=True)
class Read:
    """Read the key's record, or a page."""

    page: str = ""


@dataclass(frozen=True, slots=True)
class Follow:
    """Learn of changes of the key's record, or of a page, after a revision."""

    after_revision: int
    page: str = ""


@dataclass(frozen=True, slots=True)
class Pause:
    """Call `on_retry` after the backoff."""


@dataclass(frozen=True, slots=True)
class Respond:
    """Answer a request."""

    answer: ClaimAnswer


Effect: TypeAlias = Write | Settle | Read | Follow | Pause | Respond
# A key without state needs nothing more.
Step: TypeAlias = tuple[KeyState | None, tuple[Effect, ...]]
