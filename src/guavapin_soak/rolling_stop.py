"""Stops entry hosts one after the other, as a roll of a new version does."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from guavapin_soak.entry_process import STOP_GRACE_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin_soak.entry_process import EntryProcess

# Time from the start of a process to the stop of the next one.
STEP_PAUSE_MS = 1_500


class RollingStop:
    """Rolls of all entry hosts, each after the next one of `pauses_ms`."""

    def __init__(
        self, entries: Sequence[EntryProcess], pauses_ms: Sequence[int], now_ms: int
    ) -> None:
        self._entries = entries
        self._pauses_ms = [*pauses_ms]
        self._waiting: list[EntryProcess] = []
        self._stopping: EntryProcess | None = None
        self._stopped_ms = 0
        self._due_ms = now_ms

    @property
    def is_over(self) -> bool:
        """Whether no stop is due any more."""
        return not (self._pauses_ms or self._waiting or self._stopping)

    def tick(self, now_ms: int) -> None:
        """Stop the next process when it is due, or start the one that has ended."""
        entry = self._stopping
        if entry is not None:
            is_late = now_ms >= self._stopped_ms + STOP_GRACE_S * 1_000
            if is_late or not entry.is_running:
                entry.restart()
                self._stopping = None
                self._due_ms = now_ms + STEP_PAUSE_MS
        elif now_ms >= self._due_ms and self._waiting:
            self._stopping = self._waiting.pop(0)
            self._stopped_ms = now_ms
            self._stopping.signal(signal.SIGTERM)
        elif now_ms >= self._due_ms and self._pauses_ms:
            self._due_ms = now_ms + self._pauses_ms.pop(0)
            self._waiting = [*self._entries]
