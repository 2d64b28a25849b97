"""When a scheduler counts its host as too slow."""

from __future__ import annotations

from guavapin.scheduling.loop_load import MIN_TERM_MS
from guavapin.scheduling.loop_load import WINDOW_MS
from guavapin.scheduling.loop_load import LoopLoad

BEGIN_MS = 1_000
TICK_MS = 50


def hands_over(ticks: list[tuple[int, int]], begin_ms: int) -> bool:
    """Return whether a term begun at `BEGIN_MS` hands over.

    `ticks` are pairs of the time since the last tick and the idle time in it.
    """
    idle_ms, now_ms = 7_000, begin_ms
    load = LoopLoad(BEGIN_MS, begin_ms, idle_ms, begin_ms)
    for elapsed_ms, idle in ticks:
        idle_ms, now_ms = idle_ms + idle, now_ms + elapsed_ms
        load = load.after(idle_ms, now_ms)
        if load.must_hand_over(now_ms):
            return True
    return False


def test_a_scheduler_without_idle_time_hands_over() -> None:
    # Guards against the slow scheduler of gagnon-jobs-large: with an eighth of its
    # speed, 102 of 116 jobs of two seconds were late.
    ticks = [(TICK_MS, 1)] * (WINDOW_MS // TICK_MS)
    assert hands_over(ticks, BEGIN_MS + MIN_TERM_MS)


def test_late_ticks_show_a_slow_host_too() -> None:
    # Guards against a loop that is so slow that hardly any tick falls into a window.
    assert hands_over([(WINDOW_MS // 2, 0)] * 2, BEGIN_MS + MIN_TERM_MS)


def test_a_scheduler_that_was_suspended_stays() -> None:
    # Guards against a takeover after a pause, which takes longer than to go on.
    ticks = [(TICK_MS, TICK_MS // 2), (2 * WINDOW_MS, 0)]
    assert not hands_over([*ticks, *[ticks[0]] * 60], BEGIN_MS + MIN_TERM_MS)


def test_a_new_term_does_not_end_because_of_its_load() -> None:
    # Guards against terms that end one after the other when every host is too slow.
    ticks = [(TICK_MS, 0)] * (MIN_TERM_MS // TICK_MS - 1)
    assert not hands_over(ticks, BEGIN_MS)


def test_a_busy_scheduler_with_idle_time_stays() -> None:
    # Guards against a hand-over in each burst that a host can carry.
    ticks = [(TICK_MS, TICK_MS // 5)] * 200
    assert not hands_over(ticks, BEGIN_MS + MIN_TERM_MS)
