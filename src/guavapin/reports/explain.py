"""Explanations why a host takes no work, or a wave waits; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.budget import check_disruption
from guavapin.fleet.budget import pool_statuses
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.effective import FollowedFleet
    from guavapin.fleet.state import FleetState
    from guavapin.kernel.outcome import Outcome
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class Explanation:
    """The state of one host or wave, one sentence per line."""

    kind: str
    name: str
    lines: tuple[str, ...]


def explain_host(
    name: str, objects: ObjectSet, fleet: FollowedFleet, liveness: Liveness
) -> Outcome[Explanation]:
    """Return the pool of a host, whether it takes work, and if it may be drained."""
    host = objects.hosts.get(name)
    view = fleet.hosts.get(name)
    if host is None and view is None:
        return Refused(Reason.MISSING, f"host {name!r} is not declared")
    lines = []
    if host is not None:
        lines.append(f"declared for pool {host.pool}, {host.zone}, {host.rack}")
    if view is None:
        lines.append("in no pool yet; the fleet duty places declared hosts")
    else:
        work = "takes new work" if view.takes_new_work else "takes no new work"
        reason = f" ({view.reason})" if view.reason else ""
        lines.append(f"serves in pool {view.pool}, {work}{reason}")
    known = "listed as live" if name in liveness.live else "not listed as live"
    lines.append(f"{known} by the platform; a host not listed counts as down")
    if host is not None and view is not None and not view.reason:
        lines.append(_may_drain(name, objects, fleet.state, liveness))
    return Ok(Explanation("host", name, tuple(lines)))


def explain_wave(
    name: str, objects: ObjectSet, state: FleetState
) -> Outcome[Explanation]:
    """Return the progress of a wave and what it waits for."""
    wave = objects.waves.get(name)
    progress = state.waves.get(name)
    if wave is None and progress is None:
        return Refused(Reason.MISSING, f"wave {name!r} is not declared")
    if progress is None:
        return Ok(Explanation("wave", name, ("not started",)))
    lines = [
        f"{progress.status.value}: {len(progress.done)} hosts done, "
        f"{len(progress.failed)} failed"
    ]
    if progress.detail:
        lines.append(progress.detail)
    lines.extend(
        f"host {item.host} is {item.phase.value}"
        for item in state.disruptions.values()
        if item.wave == name
    )
    if progress.failed:
        lines.append(f"failed: {', '.join(progress.failed)}")
    return Ok(Explanation("wave", name, tuple(lines)))


def _may_drain(
    name: str, objects: ObjectSet, state: FleetState, liveness: Liveness
) -> str:
    pool = state.placements[name]
    budget = objects.budgets[objects.pools[pool].budget]
    status = pool_statuses(state, objects, liveness)[pool]
    outcome = check_disruption(status, budget, objects.hosts[name])
    if isinstance(outcome, Refused):
        return f"may not be taken out now: {outcome.detail}"
    return "may be taken out now; the budget allows it"
