"""The task protocol and the kernel functions available to a task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from guavapin.kernel.clock import Clock
    from guavapin.kernel.outcome import Outcome


@dataclass(frozen=True, slots=True)
class Call:
    """A message that expects a reply through `fut`.

    `body` is the message itself. The receiving task resolves `fut` exactly once.
    """

    body: object
    fut: Future[Any]


@dataclass(eq=False, slots=True, frozen=True)
class TimerHandle:
    """Identifies a timer, so that its task can cancel it."""

    timer_id: int


class TaskContext(Protocol):
    """Kernel functions for a task; to be used on the task's own loop only."""

    @property
    def clock(self) -> Clock:
        """Return the clock of the loop."""
        ...

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds, read once per loop iteration."""
        ...

    def idle_ms(self) -> int:
        """Return for how many milliseconds the loop has waited for events so far."""
        ...

    def send(self, service: str, message: object) -> None:
        """Queue `message` for `service`; an unknown name is a broken invariant."""
        ...

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        """Deliver `message` to this task after `delay_ms` milliseconds."""
        ...

    def cancel_timer(self, handle: TimerHandle) -> None:
        """Cancel a timer; a timer that has fired already is ignored."""
        ...

    def watch(self, fd: int, events: int, callback: Callable[[int], None]) -> None:
        """Call `callback(ready events)` when `fd` is ready; replaces an earlier watch.

        `events` combines ``selectors.EVENT_READ`` and ``selectors.EVENT_WRITE``.
        """
        ...

    def unwatch(self, fd: int) -> None:
        """Stop watching `fd`; an unknown descriptor is ignored."""
        ...


class Task(Protocol):
    """A service that owns its sockets and its state and handles one message at a time.

    The kernel calls all methods on the thread of the task's loop.
    """

    @property
    def name(self) -> str:
        """Return the name under which other services find this one."""
        ...

    def start(self, context: TaskContext) -> Outcome[None]:
        """Open sockets and timers; `Refused` stops the start of the process."""
        ...

    def handle(self, message: object) -> None:
        """Handle one message; an exception is a broken invariant."""
        ...

    def stop(self) -> None:
        """Close the sockets and files that `start` opened."""
        ...
