"""Index for the checks: the hosts of each pool and what its budget requires."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.objects.model import AvailabilityBudget
    from guavapin.objects.model import Host
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool's hosts and its budget, None when the budget does not exist."""

    name: str
    hosts: tuple[Host, ...]
    budget: AvailabilityBudget | None

    @property
    def required(self) -> int:
        """Return how many hosts must stay available."""
        return 0 if self.budget is None else required_hosts(self.budget, self.size)

    @property
    def size(self) -> int:
        """Return the number of hosts."""
        return len(self.hosts)

    def largest_rack(self) -> tuple[str, int]:
        """Return the rack with most hosts of the pool, and their number."""
        racks = Counter(host.rack for host in self.hosts)
        return max(racks.items(), key=lambda item: (item[1], item[0]), default=("", 0))


def required_hosts(budget: AvailabilityBudget, size: int) -> int:
    """Return how many of `size` hosts must stay available under `budget`.

    A share is rounded up after the floating-point error is removed: 0.7 of 10 hosts
    is 7, not 8.
    """
    share = math.ceil(round(budget.min_available_share * size, 9))
    return max(budget.min_available, share)


def pool_views(objects: ObjectSet) -> dict[str, PoolView]:
    """Return a view of each pool; hosts of unknown pools are left out."""
    hosts: dict[str, list[Host]] = {name: [] for name in objects.pools}
    for host in objects.hosts.values():
        if host.pool in hosts:
            hosts[host.pool].append(host)
    return {
        name: PoolView(name, tuple(hosts[name]), objects.budgets.get(pool.budget))
        for name, pool in objects.pools.items()
    }
