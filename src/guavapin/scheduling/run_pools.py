"""The pools on whose hosts subtasks of a job may run."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class RunPools:
    """Pools on whose hosts subtasks of a job may run, for a successor.

    The service of a queue may change while its jobs run, and a successor knows only the
    table in force. So the progress record of a job names its pools, and a scheduler
    starts subtasks only on the pools in `stored`, which the record in the store names.
    `names` are those of the next record, and `version` is raised by each addition.

    For example, a job that was submitted to the service `a` begins with
    `RunPools.of("a")`. Once its queue has the service `b`, `add("b", {"a"})` names both
    pools, and `confirm` permits starts on `b` when the record is stored.
    """

    names: frozenset[str]
    stored: frozenset[str]
    version: int = 0

    @classmethod
    def of(cls, *names: str) -> RunPools:
        """Return the pools that the records of a job in the store name."""
        return cls(frozenset(names), frozenset(names))

    def add(self, pool: str, in_use: frozenset[str]) -> RunPools:
        """Return the pools with a new one, and without those that are not `in_use`.

        A pool that is dropped counts as not stored at once, since a later record, which
        does not name it, may be stored at any time.
        """
        names = (self.names & in_use) | {pool}
        return RunPools(names, self.stored & names, self.version + 1)

    def confirm(self, version: int) -> RunPools:
        """Return the pools once the record of a version is stored.

        An earlier version has no effect: the record that follows it may name fewer
        pools.
        """
        if version != self.version:
            return self
        return replace(self, stored=self.names)


@dataclass(frozen=True, slots=True)
class RunPoolsStored:
    """Tag: the progress record with a version of a job's pools is stored."""

    job_id: str
    version: int
