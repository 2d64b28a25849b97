"""Runs real tasks in simulated processes and time, in one thread, without sockets."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.kernel.clock import ManualClock
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.task import Task

START_MS = 1_000_000


class SimulatedLoop:
    """Runs events in order of simulated time.

    The `observers` are called whenever a task uses its context or has handled a
    message, so that a fault can also be injected between two actions of one handler.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(START_MS)
        self.observers: list[Callable[[], None]] = []
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._sequence = 0
        self._is_observing = False

    def now_ms(self) -> int:
        """Return the simulated time."""
        return self.clock.now_ms()

    def after(self, delay_ms: int, callback: Callable[[], object]) -> None:
        """Call `callback` after `delay_ms`; equal times keep their order."""
        self._sequence += 1
        due_ms = self.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, self._sequence, callback))

    def run(self, duration_ms: int) -> None:
        """Run all events of the next `duration_ms` and advance the clock by it."""
        end_ms = self.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.now_ms())
            callback()
        self.clock.advance(end_ms - self.now_ms())

    def observe(self) -> None:
        """Call the observers; events that they cause do not call them again."""
        if self._is_observing:
            return
        self._is_observing = True
        for observer in self.observers:
            observer()
        self._is_observing = False


class ExternalServices(Protocol):
    """Receives the messages to services that a simulated process does not run."""

    def on_external_message(
        self, node: Node, sender: str, service: str, message: object
    ) -> None:
        """Handle a message that the task `sender` of `node` sent to `service`."""
        ...


class Node:
    """A simulated process, whose tasks pause, resume and end together.

    If a pause begins during a handler, messages that the handler sends later are
    delayed until the end of the pause.
    """

    def __init__(
        self, loop: SimulatedLoop, name: str, external: ExternalServices
    ) -> None:
        self.loop = loop
        self.name = name
        self.is_alive = True
        self.is_paused = False
        self._external = external
        self._tasks: dict[str, Task] = {}
        self._delayed: list[Callable[[], None]] = []

    def add(self, task: Task) -> None:
        """Start a task in this process; raise RuntimeError if it refuses."""
        self._tasks[task.name] = task
        outcome = task.start(NodeContext(self, task.name))
        if isinstance(outcome, Refused):
            raise RuntimeError(f"{task.name} did not start: {outcome}")

    def deliver(self, service: str, message: object) -> None:
        """Let a task handle a message now, or after the present pause.

        Messages to a dead process are dropped.
        """
        if not self.is_alive:
            return
        if self.is_paused:
            self._delayed.append(lambda: self.deliver(service, message))
            return
        self._tasks[service].handle(message)
        self.loop.observe()

    def send(self, sender: str, service: str, message: object) -> None:
        """Forward a message of a task, after the present pause if there is one."""
        self.loop.observe()
        if not self.is_alive:
            return
        if self.is_paused:
            self._delayed.append(lambda: self._forward(sender, service, message))
            return
        self._forward(sender, service, message)

    def pause(self, duration_ms: int) -> None:
        """Delay all messages of this process for `duration_ms`."""
        if self.is_paused or not self.is_alive:
            return
        self.is_paused = True
        self.loop.after(duration_ms, self._resume)

    def crash(self) -> None:
        """End the process at once and drop its delayed messages."""
        self.is_alive = False
        self._delayed.clear()

    def _resume(self) -> None:
        self.is_paused = False
        delayed, self._delayed = self._delayed, []
        for callback in delayed:
            callback()

    def _forward(self, sender: str, service: str, message: object) -> None:
        if service in self._tasks:
            self.loop.after(0, lambda: self.deliver(service, message))
        else:
            self._external.on_external_message(self, sender, service, message)


class NodeContext:
    """The `TaskContext` of one task of a `Node`."""

    def __init__(self, node: Node, service: str) -> None:
        self.clock = node.loop.clock
        self._node = node
        self._service = service
        self._timers: set[int] = set()
        self._next_timer = 1

    def now_ms(self) -> int:
        """Return the simulated time."""
        self._node.loop.observe()
        return self.clock.now_ms()

    def idle_ms(self) -> int:
        """Return the simulated time, since work takes none."""
        return self.clock.now_ms()

    def send(self, service: str, message: object) -> None:
        """Send a message to a service of this process or to an external one."""
        self._node.send(self._service, service, message)

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        """Deliver `message` to this task after `delay_ms`."""
        timer_id, self._next_timer = self._next_timer, self._next_timer + 1
        self._timers.add(timer_id)

        def fire() -> None:
            if timer_id in self._timers:
                self._timers.discard(timer_id)
                self._node.deliver(self._service, message)

        self._node.loop.after(max(int(delay_ms), 0), fire)
        return TimerHandle(timer_id)

    def cancel_timer(self, handle: TimerHandle) -> None:
        """Cancel a timer; an expired one is ignored."""
        self._timers.discard(handle.timer_id)

    def watch(self, fd: int, events: int, callback: Callable[[int], None]) -> None:
        """Raise NotImplementedError: no task in the matrix owns a socket."""
        raise NotImplementedError

    def unwatch(self, fd: int) -> None:
        """Raise NotImplementedError: no task in the matrix owns a socket."""
        raise NotImplementedError
