"""Decides whether a submission can still be handed in through the store in time.

Answers the load pattern of callers who arrive while the scheduler or its zone is away
and the store is slow or refuses calls: a write that is sent when its answer cannot
arrive in time any more leaves the caller with an undecided answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from guavapin.intake.rejection import RETURN_DELAY_MS
from guavapin.jobs.calls import Rejected

# Number of answers whose times are kept, and the age after which one says nothing of
# the store any more.
MAX_ANSWERS = 16
MAX_ANSWER_AGE_MS = 2_000

REJECTION = Rejected("the job cannot be handed in in time", RETURN_DELAY_MS)


@dataclass(frozen=True, slots=True)
class StoreAnswers:
    """Recent answers of the store as pairs of arrival and duration, in milliseconds."""

    rows: tuple[tuple[int, int], ...] = ()

    def after_answer(self, duration_ms: int, now_ms: int) -> StoreAnswers:
        """Return the answers after one more has arrived."""
        return StoreAnswers((*self.rows, (now_ms, duration_ms))[-MAX_ANSWERS:])

    def shortest_ms(self, now_ms: int) -> int:
        """Return the shortest time of a recent answer, 0 if there is none."""
        return min(
            (
                duration_ms
                for arrived_ms, duration_ms in self.rows
                if now_ms - arrived_ms <= MAX_ANSWER_AGE_MS
            ),
            default=0,
        )


def can_hand_in(
    left_ms: int, delay_ms: int, answers: StoreAnswers, now_ms: int
) -> bool:
    """Return whether a write that is sent after a delay can be answered in time.

    `left_ms` is the time until the caller must have its answer. Only what certainly
    comes too late is excluded: the write is taken to be as fast as the fastest recent
    answer, and as instant if there is none.
    """
    return left_ms > delay_ms + answers.shortest_ms(now_ms)
