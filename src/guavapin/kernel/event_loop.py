"""An event loop: one thread, one selector, the mailboxes of its tasks."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
from collections import deque
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.task import TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.clock import Clock
    from guavapin.kernel.task import Task

# Bounds the work between two polls of the sockets, so that a burst of messages
# cannot delay accepts and reads for long.
MESSAGES_PER_ITERATION = 256


class EventLoop:
    """Runs the tasks assigned to it; blocks until a socket, message or timer is due.

    `post` and `stop` may be called from any thread, everything else only on the
    loop's own thread. An exception from a task ends the loop and is kept in
    `failure`, from which the kernel reports it.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.failure: BaseException | None = None
        self._selector = selectors.DefaultSelector()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._local_queue: deque[tuple[Task, object]] = deque()
        self._inbox: deque[tuple[Task, object] | Callable[[], None]] = deque()
        self._timers: list[tuple[int, int, Task, object]] = []
        self._live_timers: set[int] = set()
        self._timer_ids = itertools.count(1)
        self._running = True
        self._now_ms = clock.now_ms()
        self._idle_ms = 0
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)

    def now_ms(self) -> int:
        """Return the time read at the start of this iteration, in milliseconds."""
        return self._now_ms

    def post(self, item: tuple[Task, object] | Callable[[], None]) -> None:
        """Queue a message or a function from any thread and wake the loop."""
        self._inbox.append(item)
        self._wake()

    def idle_ms(self) -> int:
        """Return for how many milliseconds the loop has waited for events so far."""
        return self._idle_ms

    def post_local(self, task: Task, message: object) -> None:
        """Queue a message from a task of this loop."""
        self._local_queue.append((task, message))

    def set_timer(self, task: Task, delay_ms: int, message: object) -> TimerHandle:
        """Deliver `message` to `task` after `delay_ms`, counted from now."""
        timer_id = next(self._timer_ids)
        due_ms = self.clock.now_ms() + max(delay_ms, 0)
        heapq.heappush(self._timers, (due_ms, timer_id, task, message))
        self._live_timers.add(timer_id)
        return TimerHandle(timer_id)

    def cancel_timer(self, handle: TimerHandle) -> None:
        """Cancel a timer; its heap entry is removed when it reaches the top."""
        self._live_timers.discard(handle.timer_id)

    def watch(self, fd: int, events: int, callback: Callable[[int], None]) -> None:
        """Watch `fd` for `events`; this replaces an earlier watch of `fd`."""
        if fd in self._callbacks:
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)
        self._callbacks[fd] = callback

    def unwatch(self, fd: int) -> None:
        """Stop watching `fd`; must be called before the descriptor is closed."""
        if self._callbacks.pop(fd, None) is not None:
            self._selector.unregister(fd)

    def stop(self) -> None:
        """End `run` after the current iteration."""
        self.post(self._mark_ended)

    def run(self) -> None:
        """Run until `stop` or until a task raises."""
        try:
            while self._running:
                self._iterate()
        except BaseException as exc:
            self.failure = exc
            raise
        finally:
            self._running = False

    def close(self) -> None:
        """Release the selector and the wake sockets, after `run` has returned."""
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    @property
    def is_running(self) -> bool:
        """Whether the loop accepts messages."""
        return self._running

    def _mark_ended(self) -> None:
        self._running = False

    def _wake(self) -> None:
        try:
            self._wake_sender.send(b"\0")
        except BlockingIOError:
            # A full buffer already guarantees a wake-up.
            return
        except OSError as exc:
            if self._running:
                raise InvariantError(f"loop {self.name}: wake socket failed") from exc

    def _iterate(self) -> None:
        timeout_s = self._timeout_s()
        waits_since_ms = self.clock.now_ms()
        ready = self._selector.select(timeout_s)
        self._now_ms = self.clock.now_ms()
        self._idle_ms += self._now_ms - waits_since_ms
        for key, events in ready:
            callback = self._callbacks.get(key.fd)
            if callback is not None:
                callback(events)
            elif key.fileobj is self._wake_receiver:
                self._wake_receiver.recv(4096)
        self._fire_timers()
        self._deliver_inbox()
        self._deliver_local_queue()

    def _timeout_s(self) -> float | None:
        if self._local_queue or self._inbox:
            return 0.0
        while self._timers and self._timers[0][1] not in self._live_timers:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(self._timers[0][0] - self.clock.now_ms(), 0) / 1_000

    def _fire_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self._now_ms:
            _, timer_id, task, message = heapq.heappop(self._timers)
            if timer_id in self._live_timers:
                self._live_timers.discard(timer_id)
                task.handle(message)

    def _deliver_inbox(self) -> None:
        for _ in range(len(self._inbox)):
            item = self._inbox.popleft()
            if callable(item):
                item()
            else:
                item[0].handle(item[1])

    def _deliver_local_queue(self) -> None:
        for _ in range(MESSAGES_PER_ITERATION):
            if not self._local_queue:
                return
            task, message = self._local_queue.popleft()
            task.handle(message)
