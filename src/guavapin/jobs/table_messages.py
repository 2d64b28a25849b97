"""Messages of the service `tables`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.jobs.table_changes import TableChanges
    from guavapin.jobs.table_view import TableView


@dataclass(frozen=True, slots=True)
class TableConfirmed:
    """From ``tables``: the proof of the table in force has changed."""

    view: TableView


@dataclass(frozen=True, slots=True)
class RefreshTable:
    """To ``tables``: read the table from the store soon, since a key is unknown."""


@dataclass(frozen=True, slots=True)
class DescribeTable:
    """To ``tables``: a query of another entry host, whose table has `version`.

    With `wants_changes` the answer has what changed since then, never the whole table.
    """

    reply_to: str
    request_id: int
    version: int
    wants_changes: bool = False


@dataclass(frozen=True, slots=True)
class TableDescribed:
    """From ``tables``: version and proof of the table in force.

    `version` is -1 without a table. `table` is set if it is newer than the version that
    the query named. `age_ms` is the age of the proof, -1 without one. `changes` lead to
    `version`, which holds all changes up to the store's `revision`.
    """

    request_id: int
    version: int
    age_ms: int
    table: QueueTable | None
    changes: tuple[TableChanges, ...] = ()
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ViewExpired:
    """To ``reach``: whether calls with keys are rejected since the view is too old."""

    is_expired: bool
