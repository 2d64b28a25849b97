"""Input and result of the rules for fleet commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class Situation:
    """The input of a rule; `wall_ms` is the writer's wall time."""

    state: FleetState
    objects: ObjectSet
    liveness: Liveness
    wall_ms: int
    actor: str
    token: int | None


@dataclass(frozen=True, slots=True)
class Change:
    """A new state without its audit entry, and the content of that entry."""

    state: FleetState
    action: str
    object: str
    old: str = ""
    new: str = ""


def require_pool(situation: Situation, pool: str) -> Outcome[None]:
    """Return `Refused(MISSING)` if the pool or its budget is not declared."""
    declared = situation.objects.pools.get(pool)
    if declared is None:
        return Refused(Reason.MISSING, f"pool {pool!r} is not declared")
    if declared.budget not in situation.objects.budgets:
        detail = f"pool {pool!r}: budget = {declared.budget!r} is not declared"
        return Refused(Reason.MISSING, detail)
    return Ok(None)
