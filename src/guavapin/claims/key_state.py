"""State of one idempotency key in this process, and effects of its transitions."""

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
    """Phase of this process's work on a key.

    CLAIMING repeats one compare-and-swap until its result is known. READING reads the
    key's record after a conflict, and READING_PAGE the page of the record's claimant.
    HELD waits for the end of the granted request; SETTLING writes its outcome and
    RELEASING its release. FOLLOWING waits for the outcome of another claimant.
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
    """A waiting request.

    It is refused at `confirm_deadline_ms` while no claimant of the key is known, and
    otherwise at `deadline_ms`.
    """

    request_id: int
    confirm_deadline_ms: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class KeyState:
    """State of a key; all its requests have the digest `digest`.

    `holder` is the id of the granted request. `expected` is the revision that the
    claim's compare-and-swap expects, `revision` the revision of the record when it was
    last seen. `page` and `other_claim_id` belong to the other claimant that is
    followed; `page_revision` is the revision of that page. `may_be_written` is true
    after a write of the claim got no answer. `delayed_by` is the reason for which the
    last call failed. Work for which no request waits ends at `until_ms`.
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
    """Compare and swap the key's record at the revision `expected`."""

    record: ClaimRecord
    expected: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Write an outcome or a release.

    It goes to the claim's page, or to the key's record at `revision`.
    """

    record: ClaimRecord
    revision: int


@dataclass(frozen=True, slots=True)
class Read:
    """Read `page`, or the key's record if `page` is empty."""

    page: str = ""


@dataclass(frozen=True, slots=True)
class Follow:
    """Watch `page`, or the key's record if it is empty, for later revisions."""

    after_revision: int
    page: str = ""


@dataclass(frozen=True, slots=True)
class Pause:
    """Call `on_retry` after the backoff."""


@dataclass(frozen=True, slots=True)
class Respond:
    """Send an answer to a request."""

    answer: ClaimAnswer


Effect: TypeAlias = Write | Settle | Read | Follow | Pause | Respond
# A state of None ends the work on the key.
Step: TypeAlias = tuple[KeyState | None, tuple[Effect, ...]]
