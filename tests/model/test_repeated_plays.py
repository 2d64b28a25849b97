"""A seed repeats its play in another process, whatever the order of its sets."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from tests.model.other_lives import play_other_lives
from tests.model.services import play_services
from tests.model.test_waiting import play_waiting
from tests.model.waves import play_waves

ROOT = Path(__file__).parents[2]

# Kinds of events of the play in which the order of a set of hosts mattered most often.
STOPS_AND_MOVES = ("stop",) * 3 + ("move",) * 4 + ("crash",) * 2


def play_all() -> str:
    """Return when each play ended, and what its generator drew next."""
    worlds = (
        play_waiting(940005, STOPS_AND_MOVES),
        play_waiting(940024, STOPS_AND_MOVES),
        play_other_lives(600475),
        play_services(2),
        play_waves(1),
    )
    return "\n".join(f"{item.clock.now_ms()} {item.rng.random()}" for item in worlds)


def test_a_seed_repeats_its_play_in_another_process() -> None:
    # Guards against faults that a seed finds once and not again: sets of hosts were
    # iterated in the order of their addresses.
    runs = [
        subprocess.Popen(
            [sys.executable, "-m", "tests.model.test_repeated_plays"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": str(number)},
        )
        for number in range(4)
    ]
    printed = [run.communicate()[0] for run in runs]
    assert printed[0]
    assert printed[1:] == printed[:1] * 3


if __name__ == "__main__":
    print(play_all())
