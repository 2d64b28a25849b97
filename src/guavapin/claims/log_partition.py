"""The head of a partition's log: one write or one read at a time.

A batch is written to the next sequence number if that does not exist yet. After a
conflict, which shows that another process wrote that number, the log is read to its
end, and the batch is written to the number after it. A write without an answer is
repeated unchanged until it is known which batch has the number.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.claims.log_batch import decode_batch
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Written

if TYPE_CHECKING:
    from guavapin.claims.log_batch import Batch
    from guavapin.keyvalue.messages import PlatformOutcome


class HeadPhase(Enum):
    """Phase of the log head.

    IDLE has no call in flight, WRITING writes a batch, READING catches up with the
    log, BROKEN follows a segment that could not be decoded.
    """

    IDLE = "idle"
    WRITING = "writing"
    READING = "reading"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class LogHead:
    """Head of the log as this process knows it.

    `sequence` is the first number whose batch this process has not applied.
    `may_be_written` is true after a write of `batch` got no answer.
    """

    sequence: int = 1
    phase: HeadPhase = HeadPhase.IDLE
    batch: Batch | None = None
    may_be_written: bool = False
    tries: int = 0


class HeadStep(Enum):
    """Next action of the log writer."""

    NOTHING = "nothing"
    CALL = "call"
    PAUSE = "pause"
    CAUGHT_UP = "caught_up"


@dataclass(frozen=True, slots=True)
class Applied:
    """A batch of the log at `sequence`; `is_own` if this process wrote it."""

    batch: Batch
    sequence: int
    is_own: bool


HeadResult: TypeAlias = tuple[LogHead, Applied | None, HeadStep]


def read(head: LogHead) -> LogHead:
    """Begin to read the log from the next sequence number."""
    return replace(head, phase=HeadPhase.READING, tries=0)


def write(head: LogHead, batch: Batch) -> LogHead:
    """Begin to write a batch at the next sequence number."""
    return replace(head, phase=HeadPhase.WRITING, batch=batch, tries=0)


def on_reply(head: LogHead, outcome: PlatformOutcome) -> HeadResult:
    """Apply the answer to the head's call."""
    match head.phase, outcome:
        case HeadPhase.WRITING, Written():
            return _advance(head, head.batch, is_own=True)
        case HeadPhase.WRITING, Conflict():
            return read(head), None, HeadStep.CALL
        case HeadPhase.WRITING, Unknown():
            updated = replace(head, may_be_written=True, tries=head.tries + 1)
            return updated, None, HeadStep.PAUSE
        case HeadPhase.READING, Found(value, _):
            found = decode_batch(value)
            if found is None:
                return replace(head, phase=HeadPhase.BROKEN), None, HeadStep.CAUGHT_UP
            is_own = head.batch is not None and found.batch_id == head.batch.batch_id
            return _advance(head, found, is_own=is_own)
        case HeadPhase.READING, Missing():
            return replace(head, phase=HeadPhase.IDLE), None, HeadStep.CAUGHT_UP
    if head.phase in (HeadPhase.WRITING, HeadPhase.READING):
        return replace(head, tries=head.tries + 1), None, HeadStep.PAUSE
    return head, None, HeadStep.NOTHING


def _advance(head: LogHead, batch: Batch | None, *, is_own: bool) -> HeadResult:
    """Apply the batch at the present sequence number and advance to the next one."""
    assert batch is not None, "the head is writing without a batch"
    applied = Applied(batch, head.sequence, is_own)
    was_reading = head.phase is HeadPhase.READING
    updated = replace(
        head,
        sequence=head.sequence + 1,
        phase=HeadPhase.READING if was_reading else HeadPhase.IDLE,
        batch=None if is_own else head.batch,
        may_be_written=False,
        tries=0,
    )
    return updated, applied, HeadStep.CALL if was_reading else HeadStep.CAUGHT_UP
