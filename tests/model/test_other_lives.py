"""No subtask runs twice although evidence of an end is about another life."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import pytest

from tests.model.other_lives import play_other_lives

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.model.other_lives import OtherLives

SEEDS = 6


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_while_others_answer_for_an_executor(seed: int) -> None:
    # Guards against any order of refusals by former lives, lists of machines that are
    # out of date and starts that are under way in which a host is given up although its
    # executor is up, so that its subtasks start elsewhere while they run there.
    played: list[OtherLives] = []
    assert play_other_lives(seed, played.append).violations == []
    assert played[0].odd_lists


def main(seconds: float, first: int, report: Callable[[str], None] = print) -> int:
    """Play fresh seeds for a time; print broken ones and what was played."""
    end_s, seed, broken = time.monotonic() + seconds, first, 0
    played: list[OtherLives] = []
    while time.monotonic() < end_s:
        violations = play_other_lives(seed, played.append).violations
        if violations:
            broken += 1
            report(f"seed {seed}: {violations[0]}")
        seed += 1
    report(f"{seed - first} seeds from {first}, {broken} broken")
    former_answers = sum(lives.former_answers for lives in played)
    odd_lists = sum(lives.odd_lists for lives in played)
    report(f"{former_answers} answers of former lives, {odd_lists} odd lists")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
