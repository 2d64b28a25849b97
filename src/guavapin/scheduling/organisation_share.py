"""Which organisations use more than their weighted share of the executors.

Answers the load pattern of organisations that together ask for more than all executors
hold: those below their share come first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.jobs.model import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from guavapin.scheduling.host import Host
    from guavapin.scheduling.organisation_usage import OrganisationUsage
    from guavapin.scheduling.term import Term

# Age from which the capacity of the fleet is summed up again. It decides only which
# resource is the scarcest.
CAPACITY_AGE_MS = 1_000

_NOTHING = Resources()

_RESOURCES: tuple[Callable[[Resources], int], ...] = (
    lambda amount: amount.cpu_millis,
    lambda amount: amount.memory_mb,
    lambda amount: amount.gpus,
)


class OrganisationShares:
    """Weighted shares of the organisations that have something running or waiting.

    The share is that of the scarcest resource: the one of whose capacity over all hosts
    the organisations use the largest part. It decides by pool: an organisation that
    uses much of a pool with free room must not wait for it in one that is full.
    """

    def __init__(
        self, term: Term, usage: OrganisationUsage, hosts: Callable[[], Iterable[Host]]
    ) -> None:
        self._term = term
        self._usage = usage
        self._hosts = hosts
        self._pool = ""
        self._weights: dict[str, float] = {}
        self._amount = _RESOURCES[0]
        self._capacity = Resources()
        self._next_capacity_ms = 0
        # Result of `over_share`, and the use for which it was determined.
        self._over: frozenset[str] = frozenset()
        self._over_at: Resources | None = None

    def begin_dispatch(self) -> None:
        """Determine the scarcest resource for one dispatch."""
        self._amount = self._scarcest()

    def begin_pool(self, pool: str, waiting: Collection[str]) -> None:
        """Set the shares in a pool; `waiting` are those with steps that wait there."""
        self._pool = pool
        self._weights = self._weighted(
            lambda name: (
                name in waiting or self._usage.used_in_pool(pool, name) != _NOTHING
            )
        )
        self._over_at = None

    def over_share(self) -> frozenset[str]:
        """Return the organisations that use more than their weighted share of the pool.

        One of weight 0 always does, unless all that are active have this weight.
        """
        total = self._usage.total_in_pool(self._pool)
        if total is not self._over_at:
            self._over_at = total
            in_use = self._amount(total)
            over = frozenset(
                name
                for name, weighted in self._weights.items()
                if not weighted
                or self._amount(self._usage.used_in_pool(self._pool, name))
                > weighted * in_use
            )
            if over != self._over:
                self._over = over
        return self._over

    def share(self, organisation: str) -> float:
        """Return the part of the scarcest resource in use that an organisation has."""
        total = self._amount(self._usage.total)
        return self._amount(self._usage.used(organisation)) / total if total else 0.0

    def weighted_share(self, organisation: str, waiting: Collection[str]) -> float:
        """Return the part that it should have of all pools, by its weight.

        `waiting` are the organisations with steps that wait in any pool.
        """
        weights = self._weighted(
            lambda name: name in waiting or bool(self._usage.run_count(name))
        )
        return weights.get(organisation, 0.0)

    def _weighted(self, is_active: Callable[[str], bool]) -> dict[str, float]:
        """Return the parts of the active organisations, which add up to 1."""
        active = {
            row.name: row.weight
            for row in self._term.table.organisations
            if is_active(row.name)
        }
        # Weights are divided by the largest one before they are summed up, so that
        # huge weights do not overflow.
        largest = max(active.values(), default=0.0)
        if not largest:
            return {}
        parts = {name: weight / largest for name, weight in active.items()}
        total = sum(parts.values())
        return {name: part / total for name, part in parts.items()}

    def _scarcest(self) -> Callable[[Resources], int]:
        now_ms = self._term.now_ms
        if now_ms >= self._next_capacity_ms:
            self._next_capacity_ms = now_ms + CAPACITY_AGE_MS
            capacity = Resources()
            for host in self._hosts():
                capacity = capacity.plus(host.registration.capacity)
            self._capacity = capacity
        total = self._usage.total
        # The first of equal ones is taken, which is processor time.
        return max(
            _RESOURCES,
            key=lambda amount: amount(total) / max(amount(self._capacity), 1),
        )
