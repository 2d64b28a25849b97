"""Test harness that runs one task with a manual clock and records its messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.clock import ManualClock
from guavapin.kernel.task import TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.outcome import Outcome
    from guavapin.kernel.task import Task


@dataclass(frozen=True, slots=True)
class Sent:
    """A message that the task sent to another service."""

    service: str
    message: object


class TaskHarness:
    """A `TaskContext` without threads or sockets.

    `advance` moves the clock and delivers the timers that come due, in order.
    """

    def __init__(self, task: Task, start_ms: int = 0) -> None:
        self.clock = ManualClock(start_ms)
        self.sent: list[Sent] = []
        # Time that the loop has spent on work; it has been idle for the rest.
        self.busy_ms = 0
        self.watched: dict[int, Callable[[int], None]] = {}
        self._task = task
        self._timers: dict[int, tuple[int, object]] = {}
        self._next_timer_id = 1

    def start(self) -> Outcome[None]:
        """Start the task with this harness as its context."""
        return self._task.start(self)

    def now_ms(self) -> int:
        """Return the manual time in milliseconds."""
        return self.clock.now_ms()

    def idle_ms(self) -> int:
        """Return the manual time without the time spent on work."""
        return self.now_ms() - self.busy_ms

    def send(self, service: str, message: object) -> None:
        """Record a message."""
        self.sent.append(Sent(service, message))

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        """Record a timer that `advance` will fire."""
        handle = TimerHandle(self._next_timer_id)
        self._next_timer_id += 1
        self._timers[handle.timer_id] = (self.now_ms() + delay_ms, message)
        return handle

    def cancel_timer(self, handle: TimerHandle) -> None:
        """Remove a timer."""
        self._timers.pop(handle.timer_id, None)

    def watch(self, fd: int, events: int, callback: Callable[[int], None]) -> None:
        """Record a watched descriptor."""
        self.watched[fd] = callback

    def unwatch(self, fd: int) -> None:
        """Remove a watched descriptor."""
        self.watched.pop(fd, None)

    def advance(self, delta_ms: int) -> None:
        """Move time by `delta_ms`, firing each due timer at its own time."""
        end_ms = self.now_ms() + delta_ms
        while True:
            due = [
                (due_ms, timer_id)
                for timer_id, (due_ms, _) in self._timers.items()
                if due_ms <= end_ms
            ]
            if not due:
                break
            due_ms, timer_id = min(due)
            _, message = self._timers.pop(timer_id)
            self.clock.advance(max(due_ms - self.now_ms(), 0))
            self._task.handle(message)
        self.clock.advance(end_ms - self.now_ms())

    def take_sent(self) -> list[Sent]:
        """Return the recorded messages and clear the record."""
        sent, self.sent = self.sent, []
        return sent
