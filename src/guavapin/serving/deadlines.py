"""Queues of deadlines that share one timer; moving a deadline later costs O(1)."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.kernel import TaskContext
    from guavapin.kernel import TimerHandle

# The heap is rebuilt when it exceeds twice the number of deadlines by this many
# entries.
COMPACTION_SLACK = 64


class Deadlines:
    """Due times by integer key, for the connections or attempts of one task.

    A request moves its deadline several times and usually ends long before it.
    Therefore a change only updates a dict, and the heap is rebuilt when most of its
    entries are outdated.
    """

    def __init__(self) -> None:
        self._due_ms: dict[int, int] = {}
        self._heap: list[tuple[int, int]] = []
        self._queued_ms: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._due_ms)

    def set(self, key: int, due_ms: int) -> None:
        """Set or move the deadline of `key`."""
        self._due_ms[key] = due_ms
        queued_ms = self._queued_ms.get(key)
        if queued_ms is None or due_ms < queued_ms:
            self._push(key, due_ms)

    def discard(self, key: int) -> None:
        """Remove the deadline of `key`, if it has one."""
        if self._due_ms.pop(key, None) is not None:
            self._compact()

    def next_due_ms(self) -> int | None:
        """Return a time at or before the earliest deadline, None if there is none."""
        return self._heap[0][0] if self._due_ms else None

    def pop_due(self, now_ms: int) -> list[int]:
        """Remove and return the keys whose deadline is at or before `now_ms`."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            queued_ms, key = heapq.heappop(self._heap)
            if self._queued_ms.get(key) != queued_ms:
                continue
            del self._queued_ms[key]
            due_ms = self._due_ms.get(key)
            if due_ms is None:
                continue
            if due_ms <= now_ms:
                del self._due_ms[key]
                due.append(key)
            else:
                self._push(key, due_ms)
        return due

    def _push(self, key: int, due_ms: int) -> None:
        self._queued_ms[key] = due_ms
        heapq.heappush(self._heap, (due_ms, key))

    def _compact(self) -> None:
        if len(self._heap) <= 2 * len(self._due_ms) + COMPACTION_SLACK:
            return
        self._queued_ms = dict(self._due_ms)
        self._heap = [(due_ms, key) for key, due_ms in self._due_ms.items()]
        heapq.heapify(self._heap)


class DeadlineTimer:
    """The `Deadlines` of one task and the kernel timer that drives it.

    The kernel delivers `message` to the task when a deadline may have passed. The task
    must then call `pop_due`.
    """

    def __init__(self, context: TaskContext, message: object) -> None:
        self._context = context
        self._message = message
        self._deadlines = Deadlines()
        self._timer: TimerHandle | None = None
        self._timer_due_ms = 0

    def set(self, key: int, delay_ms: int) -> None:
        """Set or move the deadline of `key` to `delay_ms` from now."""
        self._deadlines.set(key, self._context.now_ms() + delay_ms)
        self._arm()

    def discard(self, key: int) -> None:
        """Remove the deadline of `key`, if it has one."""
        self._deadlines.discard(key)

    def pop_due(self) -> list[int]:
        """Remove and return the keys that are due, and restart the timer."""
        self._timer = None
        due = self._deadlines.pop_due(self._context.now_ms())
        self._arm()
        return due

    def _arm(self) -> None:
        due_ms = self._deadlines.next_due_ms()
        if due_ms is None:
            return
        if self._timer is not None:
            if self._timer_due_ms <= due_ms:
                return
            self._context.cancel_timer(self._timer)
        delay_ms = max(due_ms - self._context.now_ms(), 0)
        self._timer = self._context.set_timer(delay_ms, self._message)
        self._timer_due_ms = due_ms
