"""Messages that a scrape sends to the tasks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueryCounters:
    """Sent as a `Call`; the reply is a copy of the task's counters by name.

    The task makes the copy between two messages, so that no other thread reads a
    counter while it changes.
    """
