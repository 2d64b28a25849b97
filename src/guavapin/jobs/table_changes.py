"""What changed between two versions of the table, and the changes of late.

Answers the load of a large table that changes often: on the slowest links the whole
table takes longer than a change may take to be in force, but what changed does not.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.jobs.queues import QueueTable

if TYPE_CHECKING:
    from guavapin.jobs.caller_limits import CallerLimits
    from guavapin.jobs.organisations import Organisation
    from guavapin.jobs.queues import Pool
    from guavapin.jobs.queues import Queue

# Changes that are kept for other entry hosts. A host that has missed more reads the
# whole table.
MAX_CHANGES = 8


@dataclass(frozen=True, slots=True)
class TableChanges:
    """How the table `version` differs from the table `base`.

    `removed` holds keys of queues, `queues` those that are new or differ. Pools and
    organisations are given in full; `organisations` is None if they are the same.
    """

    base: int
    version: int
    removed: tuple[str, ...]
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits


def find_changes(base: QueueTable, table: QueueTable) -> TableChanges | None:
    """Return how `table` differs from the older table `base`.

    Returns None if a key stands for several queues, which changes cannot describe.
    """
    keys = {queue.key for queue in table.queues}
    base_keys = {queue.key for queue in base.queues}
    if len(keys) < len(table.queues) or len(base_keys) < len(base.queues):
        return None
    return TableChanges(
        base=base.version,
        version=table.version,
        removed=tuple(row.key for row in base.queues if row.key not in keys),
        queues=tuple(row for row in table.queues if base.queue(row.key) != row),
        pools=table.pools,
        organisations=(
            None if base.organisations == table.organisations else table.organisations
        ),
        limits=table.limits,
    )


def apply_changes(base: QueueTable, changes: TableChanges) -> QueueTable | None:
    """Return the changed table, or None if the changes are those of another one."""
    if changes.base != base.version or changes.version <= base.version:
        return None
    replaced = {*changes.removed, *(queue.key for queue in changes.queues)}
    kept = tuple(queue for queue in base.queues if queue.key not in replaced)
    organisations = changes.organisations
    return QueueTable(
        changes.version,
        kept + changes.queues,
        changes.pools,
        base.organisations if organisations is None else organisations,
        changes.limits,
    )


class ChangeHistory:
    """The last changes of a table, each of which follows on the one before."""

    def __init__(self) -> None:
        self._changes: deque[TableChanges] = deque(maxlen=MAX_CHANGES)

    def add(self, changes: TableChanges | None) -> None:
        """Record the newest changes; None if they are not known."""
        if changes is None:
            self._changes.clear()
        else:
            self._changes.append(changes)

    def since(self, version: int) -> tuple[TableChanges, ...]:
        """Return all changes after a version, () if they are not known."""
        changes = [row for row in self._changes if row.base >= version]
        if not changes or changes[0].base != version:
            return ()
        # Organisations are given in full, so that only the last ones are needed.
        given = [row for row in changes if row.organisations is not None]
        return tuple(
            replace(row, organisations=None) if row in given[:-1] else row
            for row in changes
        )
