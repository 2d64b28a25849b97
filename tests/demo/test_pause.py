"""The demo reports for how long its process did not run."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from guavapin.kernel import Call
from guavapin_demo.pause import TIMER_INTERVAL_MS
from guavapin_demo.pause import GetLongestPause
from guavapin_demo.pause import PauseTask


class Context:
    """Clock that a test sets, and the timer that is set last."""

    def __init__(self) -> None:
        self.at_ms = 0
        self.timer: object = None

    def now_ms(self) -> int:
        return self.at_ms

    def set_timer(self, delay_ms: int, message: object) -> None:
        self.timer = message


def test_the_longest_pause_is_kept() -> None:
    # Guards against a slow run whose report does not say that the process was paused.
    context, task = Context(), PauseTask()
    task.start(context)  # type: ignore[arg-type]
    for late_ms in (0, 900, 30):
        context.at_ms += TIMER_INTERVAL_MS + late_ms
        task.handle(context.timer)
    fut: Future[Any] = Future()
    task.handle(Call(GetLongestPause(), fut))
    assert fut.result(0) == 900
