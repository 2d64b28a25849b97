"""Decides the next actions of the fleet duty's holder; pure."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.capacity.lending import LendingState
from guavapin.capacity.lending import plan_lending
from guavapin.duties.messages import HostStep
from guavapin.fleet import actions
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.fleet.wave_rules import hosts_in_wave
from guavapin.fleet.wave_rules import is_in_scope
from guavapin.waves import disruption_steps
from guavapin.waves.losses import LossHistory
from guavapin.waves.losses import is_mass_loss
from guavapin.waves.planner import PlanInput
from guavapin.waves.planner import plan_starts
from guavapin.waves.planner import remaining_hosts

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.fleet.state import Disruption
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import MaintenanceWave
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class DutySituation:
    """The input of a decision; `results` maps step ids to ended steps."""

    state: FleetState
    objects: ObjectSet
    live: frozenset[str]
    wall_ms: int
    now_ms: int
    results: Mapping[str, disruption_steps.StepResult]
    losses: LossHistory = field(default_factory=LossHistory)
    long_work: frozenset[str] = frozenset()
    demand: Mapping[str, float] = field(default_factory=dict)
    lending: LendingState = field(default_factory=LendingState)


@dataclass(frozen=True, slots=True)
class DesiredStep:
    """A step that should be in progress on a host."""

    step_id: str
    host: str
    step: HostStep


@dataclass(frozen=True, slots=True)
class DutyPlan:
    """Changes in the order to submit them, and the steps that should be in progress.

    Disruptions are ended before others begin, so that they no longer count against the
    budgets.
    """

    changes: tuple[disruption_steps.SubmitAction, ...]
    steps: tuple[DesiredStep, ...]
    lending: LendingState


def decide(situation: DutySituation) -> DutyPlan:
    """Return the changes to submit and the steps to keep in progress."""
    changes: list[disruption_steps.SubmitAction] = []
    steps: list[DesiredStep] = []
    short_pools = _short_pools(situation)
    for host in sorted(situation.state.disruptions):
        item = situation.state.disruptions[host]
        is_short = item.pool in short_pools
        decision = disruption_steps.next_step(
            _host_situation(situation, item, is_short)
        )
        if isinstance(decision, disruption_steps.SubmitAction):
            changes.append(decision)
        elif isinstance(decision, disruption_steps.BeginStep):
            desired_id = disruption_steps.step_id(item, decision.step)
            steps.append(DesiredStep(desired_id, host, decision.step))
    lending = situation.lending
    membership = tuple(_membership(situation))
    changes.extend(membership)
    if is_mass_loss(situation.losses, len(situation.state.placements)):
        changes.extend(_stop_waves(situation))
    else:
        # A wave started before its hosts are admitted would end at once.
        if not membership:
            changes.extend(_wave_changes(situation))
        changes.extend(_plan_starts(situation))
        lending, moves = plan_lending(
            lending,
            situation.state,
            situation.objects,
            situation.demand,
            situation.now_ms,
        )
        changes.extend(disruption_steps.SubmitAction(move, "demand") for move in moves)
    return DutyPlan(tuple(changes), tuple(steps), lending)


def _short_pools(situation: DutySituation) -> set[str]:
    """Return the pools below their budgets that have planned disruptions."""
    disrupted = {item.pool for item in situation.state.disruptions.values()}
    if not disrupted:
        return set()
    objects, live = situation.objects, Liveness(situation.live)
    short_pools = set()
    for name, status in pool_statuses(situation.state, objects, live).items():
        pool = objects.pools.get(name)
        budget = objects.budgets.get(pool.budget) if pool is not None else None
        if name not in disrupted or budget is None:
            continue
        if status.available < required_available(budget, status.size):
            short_pools.add(name)
    return short_pools


def _host_situation(
    situation: DutySituation, item: Disruption, is_pool_short: bool
) -> disruption_steps.HostSituation:
    results = {}
    for step in HostStep:
        result = situation.results.get(disruption_steps.step_id(item, step))
        if result is not None:
            results[step] = result
    wave = situation.objects.waves.get(item.wave)
    progress = situation.state.waves.get(item.wave)
    return disruption_steps.HostSituation(
        item=item,
        results=results,
        is_live=item.host in situation.live,
        wall_ms=situation.wall_ms,
        wave_status=progress.status if progress else None,
        drain_timeout_ms=(
            wave.drain_timeout_ms if wave else disruption_steps.DRAIN_TIMEOUT_MS
        ),
        reboot_timeout_ms=(
            wave.reboot_timeout_ms if wave else disruption_steps.JOIN_TIMEOUT_MS
        ),
        is_pool_short=is_pool_short,
    )


def _stop_waves(situation: DutySituation) -> Iterator[disruption_steps.SubmitAction]:
    lost = ", ".join(host for host, _ in situation.losses.lost[:5])
    detail = f"{len(situation.losses.lost)} hosts lost at once: {lost}"
    for name, progress in sorted(situation.state.waves.items()):
        if progress.status is WaveStatus.RUNNING:
            yield disruption_steps.SubmitAction(actions.StopWave(name, detail), detail)


def _wave_changes(situation: DutySituation) -> Iterator[disruption_steps.SubmitAction]:
    """Start waves whose window is open; finish or stop waves that have ended."""
    for name, wave in sorted(situation.objects.waves.items()):
        progress = situation.state.waves.get(name)
        if progress is None:
            if _is_due(situation, wave):
                yield disruption_steps.SubmitAction(
                    actions.StartWave(name), "window has opened"
                )
        elif progress.status is WaveStatus.RUNNING:
            yield from _end_of_wave(situation, wave, progress.started_ms)


def _is_due(situation: DutySituation, wave: MaintenanceWave) -> bool:
    predecessor = situation.state.waves.get(wave.after)
    if wave.after and (
        predecessor is None or predecessor.status is not WaveStatus.DONE
    ):
        return False
    start_ms = wave.window_start_ms or situation.wall_ms
    is_open = start_ms <= situation.wall_ms < start_ms + wave.window_length_ms
    return is_open and _is_scope_admitted(situation, wave)


def _is_scope_admitted(situation: DutySituation, wave: MaintenanceWave) -> bool:
    """Return whether a host in the wave's scope is admitted, or none is declared.

    If a wave started before the first of its declared hosts is admitted, it would end
    at once without maintaining any.
    """
    is_declared = any(
        is_in_scope(wave, host.pool, host.rack)
        for host in situation.objects.hosts.values()
    )
    found = remaining_hosts(situation.state, situation.objects, wave)
    return bool(found) or not is_declared


def _end_of_wave(
    situation: DutySituation, wave: MaintenanceWave, started_ms: int
) -> Iterator[disruption_steps.SubmitAction]:
    items = hosts_in_wave(situation.state, wave.name)
    if any(item.phase is not HostPhase.FAILED for item in items):
        return
    left = remaining_hosts(situation.state, situation.objects, wave)
    end_ms = (wave.window_start_ms or started_ms) + wave.window_length_ms
    if not left:
        yield disruption_steps.SubmitAction(actions.FinishWave(wave.name))
    elif situation.wall_ms >= end_ms:
        detail = f"window ended with {len(left)} hosts left"
        yield disruption_steps.SubmitAction(actions.StopWave(wave.name, detail), detail)


def _plan_starts(situation: DutySituation) -> Iterator[disruption_steps.SubmitAction]:
    plan = PlanInput(
        situation.state,
        situation.objects,
        Liveness(situation.live),
        situation.wall_ms,
        situation.long_work,
    )
    for start in plan_starts(plan):
        yield disruption_steps.SubmitAction(start)


def _membership(situation: DutySituation) -> Iterator[disruption_steps.SubmitAction]:
    """Admit declared hosts that are live; remove undeclared hosts that are not."""
    state, objects = situation.state, situation.objects
    for name, host in objects.hosts.items():
        if name not in state.placements and name in situation.live:
            admit = actions.AdmitHost(name, host.pool)
            yield disruption_steps.SubmitAction(admit, "declared")
    for name in state.placements:
        is_gone = name not in objects.hosts and name not in situation.live
        if is_gone and name not in state.disruptions and objects.hosts:
            yield disruption_steps.SubmitAction(
                actions.RemoveHost(name), "not declared"
            )
