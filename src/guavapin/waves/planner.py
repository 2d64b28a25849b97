"""Plans which hosts of the running waves begin maintenance now; pure.

The wave that started first is planned first. Later waves use the rest of the
budgets, so waves that would break a budget together run one after the other.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.actions import StartWaveHost
from guavapin.fleet.budget import PoolStatus
from guavapin.fleet.budget import check_disruption
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.fleet.wave_rules import hosts_in_wave
from guavapin.fleet.wave_rules import is_in_scope
from guavapin.fleet.wave_rules import is_in_window
from guavapin.kernel.outcome import Ok

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.state import FleetState
    from guavapin.fleet.state import WaveProgress
    from guavapin.objects.model import Host
    from guavapin.objects.model import MaintenanceWave
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class PlanInput:
    """The input of a plan.

    `long_work` names hosts whose running work is expected to take long. They come last
    in their pool, so that the work can end by itself.
    """

    state: FleetState
    objects: ObjectSet
    liveness: Liveness
    wall_ms: int
    long_work: frozenset[str] = frozenset()


class _BudgetTracker:
    """Tracks the pools' statuses and the hosts down by plan in each zone."""

    def __init__(self, statuses: dict[str, PoolStatus], objects: ObjectSet) -> None:
        self.statuses = statuses
        self.objects = objects
        self.zones: Counter[str] = Counter()

    def reserve(self, host: Host, pool: str) -> bool:
        """Count `host` as down if its pool's budget allows; return whether it did."""
        declared = self.objects.pools.get(pool)
        budget = self.objects.budgets.get(declared.budget) if declared else None
        if budget is None:
            return False
        outcome = check_disruption(self.statuses[pool], budget, host)
        if isinstance(outcome, Ok):
            self.statuses[pool] = outcome.value
            self.zones[host.zone] += 1
            return True
        return False

    def max_down(self, pool: str) -> int:
        """Return how many hosts of `pool` may be down at once by its budget."""
        declared = self.objects.pools.get(pool)
        budget = self.objects.budgets.get(declared.budget) if declared else None
        if budget is None:
            return 0
        status = self.statuses[pool]
        return len(status.members) - required_available(budget, status.size)


def plan_starts(plan: PlanInput) -> tuple[StartWaveHost, ...]:
    """Return the starts in order; each is within its wave's limits and the budget."""
    running = sorted(
        (
            progress
            for progress in plan.state.waves.values()
            if progress.status is WaveStatus.RUNNING
            and progress.wave in plan.objects.waves
        ),
        key=lambda progress: (progress.started_ms, progress.wave),
    )
    if not running:
        return ()
    statuses = pool_statuses(plan.state, plan.objects, plan.liveness)
    tracker = _BudgetTracker(statuses, plan.objects)
    for item in plan.state.disruptions.values():
        disrupted = plan.objects.hosts.get(item.host)
        if disrupted is not None:
            tracker.zones[disrupted.zone] += 1
    starts: list[StartWaveHost] = []
    reserved: set[str] = set()
    for progress in running:
        wave = plan.objects.waves[progress.wave]
        if _may_start(plan, wave, progress):
            picked = _plan_wave(plan, wave, progress, tracker, reserved)
            reserved.update(picked)
            starts.extend(StartWaveHost(wave.name, host) for host in picked)
    return tuple(starts)


def remaining_hosts(
    state: FleetState, objects: ObjectSet, wave: MaintenanceWave
) -> tuple[str, ...]:
    """Return the hosts of a wave that are not in progress, done or failed."""
    progress = state.waves.get(wave.name)
    ended = {*progress.done, *progress.failed} if progress is not None else set()
    return tuple(
        name
        for name, host in objects.hosts.items()
        if name in state.placements
        and is_in_scope(wave, state.placements[name], host.rack)
        and name not in ended
        and not _is_disrupted_by(state, name, wave.name)
    )


def _may_start(plan: PlanInput, wave: MaintenanceWave, progress: WaveProgress) -> bool:
    predecessor = plan.state.waves.get(wave.after)
    if wave.after and (
        predecessor is None or predecessor.status is not WaveStatus.DONE
    ):
        return False
    return is_in_window(wave, progress.started_ms, plan.wall_ms)


def _plan_wave(
    plan: PlanInput,
    wave: MaintenanceWave,
    progress: WaveProgress,
    tracker: _BudgetTracker,
    reserved: set[str],
) -> list[str]:
    """Pick hosts one by one, each from the pool with the most remaining rounds.

    The wave takes at least as many rounds as its slowest pool, so that pool must never
    wait for another.
    """
    in_progress = sum(
        item.phase is not HostPhase.FAILED
        for item in hosts_in_wave(plan.state, wave.name)
    )
    free = wave.max_at_once - in_progress
    if free <= 0:
        return []
    candidates = _candidates(plan, wave, tracker, reserved)
    picked: list[str] = []
    while free > 0 and candidates:
        pool = max(
            candidates,
            key=lambda name: (_remaining_rounds(candidates, tracker, name), name),
        )
        host = _reserve_first(plan, candidates[pool], pool, tracker)
        if host is None:
            del candidates[pool]
            continue
        candidates[pool].remove(host)
        if not candidates[pool]:
            del candidates[pool]
        picked.append(host.name)
        free -= 1
    return picked


def _candidates(
    plan: PlanInput, wave: MaintenanceWave, tracker: _BudgetTracker, reserved: set[str]
) -> dict[str, list[Host]]:
    """Return the hosts that may begin, by pool, in order of preference."""
    candidates: dict[str, list[Host]] = {}
    for name in remaining_hosts(plan.state, plan.objects, wave):
        if name not in reserved and name not in plan.state.disruptions:
            pool = plan.state.placements[name]
            candidates.setdefault(pool, []).append(plan.objects.hosts[name])
    for hosts in candidates.values():
        zones = Counter(host.zone for host in hosts)
        hosts.sort(key=lambda host: _sort_key(plan, tracker, zones, host))
    return candidates


def _sort_key(
    plan: PlanInput, tracker: _BudgetTracker, zones: Counter[str], host: Host
) -> tuple[bool, int, int, str, int, str]:
    """Order by long work last, zone in progress first, then zone with most hosts left.

    Maintaining one zone at a time keeps the other zones complete, so the loss of a zone
    or rack coincides with as few planned disruptions as possible.
    """
    return (
        host.name in plan.long_work,
        -tracker.zones[host.zone],
        -zones[host.zone],
        host.zone,
        plan.state.maintained_ms.get(host.name, 0),
        host.name,
    )


def _remaining_rounds(
    candidates: dict[str, list[Host]], tracker: _BudgetTracker, pool: str
) -> float:
    return len(candidates[pool]) / max(tracker.max_down(pool), 1)


def _reserve_first(
    plan: PlanInput, hosts: Iterable[Host], pool: str, tracker: _BudgetTracker
) -> Host | None:
    for host in hosts:
        if host.name in plan.liveness.live and tracker.reserve(host, pool):
            return host
    return None


def _is_disrupted_by(state: FleetState, host: str, wave: str) -> bool:
    item = state.disruptions.get(host)
    return item is not None and item.wave == wave
