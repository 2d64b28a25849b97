"""Messages by which a scrape reads the tasks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueryCounters:
    """Asked as a `Call`; the reply is a copy of the task's counters by name.

    The task answers between two messages, so no other thread reads a counter while it
    changes.
    """
