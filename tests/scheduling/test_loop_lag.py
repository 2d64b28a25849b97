"""When a scheduler counts its host as slow."""

from __future__ import annotations

from guavapin.scheduling.loop_lag import LATE_TICK_MS
from guavapin.scheduling.loop_lag import MIN_TERM_MS
from guavapin.scheduling.loop_lag import WINDOW_MS
from guavapin.scheduling.loop_lag import LoopLag

BEGIN_MS = 1_000
TICK_MS = 50


def after_ticks(late_ms: list[int], begin_ms: int) -> bool:
    """Return whether a term begun at `BEGIN_MS` hands over during these ticks."""
    lag, now_ms = LoopLag(BEGIN_MS, begin_ms), begin_ms
    for late in late_ms:
        now_ms += TICK_MS + late
        lag = lag.after_tick(late, now_ms)
        if lag.must_hand_over(now_ms):
            return True
    return False


def test_a_scheduler_with_late_ticks_hands_over() -> None:
    # Guards against the slow scheduler of gagnon-jobs-large: with an eighth of its
    # speed, 102 of 116 jobs of two seconds were late.
    assert after_ticks([4 * LATE_TICK_MS] * 12, BEGIN_MS + MIN_TERM_MS)


def test_a_scheduler_that_was_suspended_once_stays() -> None:
    # Guards against a takeover after a short pause, which takes longer than to go on.
    ticks = [*[0] * 5, WINDOW_MS, *[0] * 60]
    assert not after_ticks(ticks, BEGIN_MS + MIN_TERM_MS)


def test_a_new_term_does_not_end_because_of_late_ticks() -> None:
    # Guards against terms that end one after the other when every host is too slow.
    ticks = [4 * LATE_TICK_MS] * ((MIN_TERM_MS - WINDOW_MS) // (5 * LATE_TICK_MS))
    assert not after_ticks(ticks, BEGIN_MS)


def test_ticks_that_are_a_little_late_are_no_sign_of_a_slow_host() -> None:
    # Guards against a hand-over in each burst that a host of usual speed can carry.
    assert not after_ticks([TICK_MS // 5] * 200, BEGIN_MS + MIN_TERM_MS)
