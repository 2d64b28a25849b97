"""Executors on which a predecessor may have started what is not known."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Executors that a reason names, at most.
MAX_NAMED = 4


@dataclass(frozen=True, slots=True)
class UnresolvedExecutors:
    """Executors whose runs are not all known, with the pools that each may be in.

    The entry of an executor and the list of machines may name different pools. Before
    the first list, an executor of any pool may be unresolved, and `are_all_listed` is
    unset.
    """

    pools_by_executor: Mapping[str, frozenset[str]] = field(default_factory=dict)
    are_all_listed: bool = True
    pools: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        pools = frozenset().union(*self.pools_by_executor.values())
        object.__setattr__(self, "pools", pools)

    def concern(self, pools: frozenset[str]) -> bool:
        """Return whether an unresolved executor may be in one of these pools."""
        return not self.are_all_listed or not self.pools.isdisjoint(pools)

    def describe(self, pools: frozenset[str]) -> str:
        """Return a reason for work that waits for the executors in these pools."""
        if not self.are_all_listed:
            return "the machines are not listed yet"
        names = sorted(
            f"{executor_id} in {'/'.join(sorted(own & pools))}"
            for executor_id, own in self.pools_by_executor.items()
            if own & pools
        )
        named = ", ".join(names[:MAX_NAMED])
        more = f" and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else ""
        return f"executors have not answered this scheduler yet: {named}{more}"
