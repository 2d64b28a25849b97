"""A page of outcomes: one platform value with the outcomes of several claims.

A claim names its page, so that other processes know where its outcome will appear.
Only the process that opened a page writes it. A write without an answer is repeated
with the same entries, because a later conflict may be caused by an earlier copy of the
write. Entries added meanwhile would then count as written although they are not.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from guavapin.claims.record import ClaimRecord
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Written

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome

# Bounds a page to 16 answers of 16 KB, well below the platform's 1 MB.
MAX_CLAIMS = 16
MAX_ENTRY_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class Page:
    """State of a page that this process has opened.

    `entries[:written]` have been written, and `entries[:sending]` are in the present
    write. The page accepts claims until `accepts_until_ms`. `assigned` counts all
    claims that name it, `open_claims` those without an outcome in it. `is_busy` is true
    from the first unwritten entry until all are written. Writes without success end at
    `until_ms`.
    """

    accepts_until_ms: int
    assigned: int = 0
    open_claims: int = 0
    revision: int = 0
    entries: tuple[ClaimRecord, ...] = ()
    written: int = 0
    sending: int = 0
    is_busy: bool = False
    tries: int = 0
    until_ms: int = 0


class PageStep(Enum):
    """Next action for a page."""

    IDLE = "idle"
    WRITE = "write"
    LINGER = "linger"
    PAUSE = "pause"


_DECODER = msgspec.msgpack.Decoder(tuple[ClaimRecord, ...])


def encode_page(entries: tuple[ClaimRecord, ...]) -> bytes:
    """Return the platform value of a page."""
    return msgspec.msgpack.encode(entries)


def decode_page(value: bytes) -> dict[str, ClaimRecord] | None:
    """Return the records by claim id, or None if the value is no page; never raises."""
    try:
        return {record.claim_id: record for record in _DECODER.decode(value)}
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def accepts(page: Page, now_ms: int) -> bool:
    """Return whether another claim may name this page."""
    return now_ms < page.accepts_until_ms and page.assigned < MAX_CLAIMS


def assign(page: Page) -> Page:
    """Add a claim that names this page."""
    return replace(page, assigned=page.assigned + 1, open_claims=page.open_claims + 1)


def abandon(page: Page) -> Page:
    """Remove a claim that will have no outcome in this page."""
    return replace(page, open_claims=page.open_claims - 1)


def add(page: Page, record: ClaimRecord, until_ms: int) -> tuple[Page, PageStep]:
    """Add an outcome; it is written at once if the page waits for no other outcome."""
    updated = replace(
        page,
        open_claims=page.open_claims - 1,
        entries=(*page.entries, record),
        is_busy=True,
        until_ms=until_ms,
    )
    if page.is_busy:
        return updated, PageStep.IDLE
    return updated, _next_write(updated)


def send(page: Page) -> Page:
    """Begin a write, or repeat the write whose result is not known."""
    sending = page.sending if page.sending > page.written else len(page.entries)
    return replace(page, sending=sending)


def on_reply(page: Page, outcome: PlatformOutcome) -> tuple[Page, PageStep]:
    """Apply the answer to a write; `written` increases if the write took effect."""
    if not isinstance(outcome, Written | Conflict):
        return replace(page, tries=page.tries + 1), PageStep.PAUSE
    updated = replace(
        page, revision=outcome.revision, written=page.sending, sending=0, tries=0
    )
    if updated.written < len(updated.entries):
        return updated, _next_write(updated)
    return replace(updated, is_busy=False), PageStep.IDLE


def is_finished(page: Page, now_ms: int) -> bool:
    """Return whether the page needs no more writes and accepts no more claims."""
    return not page.is_busy and not page.open_claims and not accepts(page, now_ms)


def _next_write(page: Page) -> PageStep:
    return PageStep.LINGER if page.open_claims else PageStep.WRITE
