"""A list of machines that shows an executor as down while a start is on its way there.

The start arrives after that of the next attempt if the list ends the executor's runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.proxy import LinkMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_soak.executor_host import ExecutorHost
    from guavapin_soak.succession_plan import SuccessionFault

# Time for which the list shows the executor as down: the scheduler reads it every
# 700 ms.
SHOWN_MS = 1_000


class ListAtStart:
    """One executor under this fault; the owner calls `tick` until `is_over`."""

    def __init__(
        self,
        host: ExecutorHost,
        fault: SuccessionFault,
        submit_work: Callable[[], object],
        now_ms: int,
    ) -> None:
        self._host = host
        self._fault = fault
        self._executor_id = host.executor_id
        self._end_ms = now_ms + fault.for_ms
        self._is_shown = False
        self.is_over = False
        self._starts = host.count_delayed_starts()
        host.begin_link(LinkMode.STARTS_DELAYED, True)
        submit_work()

    def tick(self, now_ms: int) -> None:
        """Change the list at the first start, and undo the fault when it is due."""
        if self.is_over:
            return
        is_same_life = self._host.executor_id == self._executor_id
        if now_ms >= self._end_ms:
            self.is_over = True
            self._host.end_link(LinkMode.STARTS_DELAYED, True)
            if self._is_shown and is_same_life:
                self._host.list_as("up", self._executor_id)
        elif (
            not self._is_shown
            and is_same_life
            and self._host.count_delayed_starts() > self._starts
        ):
            self._is_shown = True
            self._end_ms = now_ms + SHOWN_MS
            self._host.list_as(self._fault.listed_state, "")
