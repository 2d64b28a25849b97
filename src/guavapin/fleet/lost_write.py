"""Decides whether a write whose answer was lost took effect; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class LostWrite:
    """A compare-and-swap without an answer: expected revision and audit sequence."""

    expected: int
    sequence: int


class LostWriteOutcome(Enum):
    """Conclusion about a lost write from a later read of the record."""

    STILL_POSSIBLE = "still_possible"
    HAD_NO_EFFECT = "had_no_effect"
    UNDECIDABLE = "undecidable"


def resolve_lost_write(
    lost: LostWrite, state: FleetState, revision: int
) -> LostWriteOutcome:
    """Decide on a lost write by a later record that does not list its command.

    While the record is at the expected revision, the write may still arrive. Once the
    revision has changed, the write can no longer succeed. It did not cause the change
    either, unless its audit entry has been trimmed since.
    """
    if revision == lost.expected:
        return LostWriteOutcome.STILL_POSSIBLE
    first = state.outbox[0].sequence if state.outbox else state.next_sequence
    if first <= lost.sequence:
        return LostWriteOutcome.HAD_NO_EFFECT
    return LostWriteOutcome.UNDECIDABLE
