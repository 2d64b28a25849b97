"""Did a write whose answer was lost take effect? A pure decision."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.fleet.commands import find_applied

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class LostWrite:
    """A compare-and-swap without an answer: its expected revision and sequence."""

    command_id: str
    expected: int
    sequence: int


class Verdict(Enum):
    """What a later read tells about a lost write."""

    TOOK_EFFECT = "took_effect"
    STILL_POSSIBLE = "still_possible"
    HAD_NO_EFFECT = "had_no_effect"
    UNDECIDABLE = "undecidable"


def settle(lost: LostWrite, state: FleetState, revision: int) -> Verdict:
    """Judge a lost write by a record read after it.

    While the record is at the expected revision, the write may still arrive. Once
    the revision has moved, it can no longer succeed, and the audit entries tell
    whether it was the one that moved it, unless they have been trimmed.
    """
    if find_applied(state, lost.command_id) is not None:
        return Verdict.TOOK_EFFECT
    if revision == lost.expected:
        return Verdict.STILL_POSSIBLE
    first = state.outbox[0].sequence if state.outbox else state.next_sequence
    if first <= lost.sequence:
        return Verdict.HAD_NO_EFFECT
    return Verdict.UNDECIDABLE
