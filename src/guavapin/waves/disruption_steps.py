"""Decides the next step of one host in a planned disruption; pure.

The fleet record holds the phase and the time it began, so each new holder of the duty
continues from there. The results of steps on the host are only a cache.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from guavapin.duties.messages import HostStep
from guavapin.fleet import actions
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus

# Time until a returned host gets its full share of work. It must be equal to
# `guavapin.routing.health.HealthSettings.slow_start_ms`, which the serving side uses.
# Until then the host counts as down in the budget.
SLOW_START_MS = 10_000

# Entry processes may send new work for 3 s after a drain began. The platform's reports
# of usage and of hosts lag by 2 s. If a report before that says that the work has
# ended, it may miss a request.
DRAIN_PROPAGATION_MS = 3_000
REPORT_LAG_MS = 2_000

_NOT_EMPTY = "work neither ended nor could be checkpointed"

# Timeouts of drains and moves, which belong to no wave.
DRAIN_TIMEOUT_MS = 600_000
JOIN_TIMEOUT_MS = 600_000


@dataclass(frozen=True, slots=True)
class StepResult:
    """Result of a step on a host; `detail` gives the reason of a failure."""

    is_ok: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class HostSituation:
    """A disruption and the inputs for deciding its next step.

    `results` holds the ended steps of the current phase. `is_pool_short` is set if the
    pool is below its budget, because hosts were lost after the disruption began.
    """

    item: Disruption
    results: dict[HostStep, StepResult]
    is_live: bool
    wall_ms: int
    wave_status: WaveStatus | None = None
    drain_timeout_ms: int = DRAIN_TIMEOUT_MS
    reboot_timeout_ms: int = JOIN_TIMEOUT_MS
    is_pool_short: bool = False

    @property
    def elapsed_ms(self) -> int:
        """Time since the phase began, 0 if the wall clock was set back."""
        return max(self.wall_ms - self.item.since_ms, 0)


@dataclass(frozen=True, slots=True)
class BeginStep:
    """Begin a step on the host, or await its result if it has begun."""

    step: HostStep


@dataclass(frozen=True, slots=True)
class SubmitAction:
    """Submit an action on the fleet record."""

    action: actions.FleetAction
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until the situation changes."""


NextStep: TypeAlias = BeginStep | SubmitAction | Wait


def next_step(situation: HostSituation) -> NextStep:
    """Return the next step for one host."""
    item = situation.item
    if item.kind is DisruptionKind.DRAIN:
        return _drain_step(situation)
    if item.kind is DisruptionKind.MOVE:
        return _move_step(situation)
    return _wave_step(situation)


def step_id(item: Disruption, step: HostStep) -> str:
    """Return the id of a step, which is the same for every holder of the duty."""
    return (
        f"{item.host}:{item.kind.value}:{item.phase.value}:{item.since_ms}:{step.value}"
    )


def _drain_step(situation: HostSituation) -> NextStep:
    """Wait without a timeout until the work has ended, then advance the drain."""
    if situation.item.phase is not HostPhase.DRAINING or _may_get_work(situation):
        return Wait()
    if _is_ok(situation, HostStep.DRAIN):
        return SubmitAction(actions.AdvanceDrain(situation.item.host), "work has ended")
    return BeginStep(HostStep.DRAIN)


def _move_step(situation: HostSituation) -> NextStep:
    item = situation.item
    advance_action = actions.AdvanceMove(item.host, item.phase)
    if item.phase is HostPhase.DRAINING:
        return _empty_host(situation, advance_action, actions.UndoMove(item.host))
    if item.phase is HostPhase.RELEASED:
        return SubmitAction(advance_action)
    if _is_ok(situation, HostStep.JOIN) and situation.is_live:
        return SubmitAction(advance_action, "ready in its new pool")
    if situation.elapsed_ms >= situation.reboot_timeout_ms and situation.is_live:
        return SubmitAction(actions.UndoMove(item.host), "did not join in time")
    return BeginStep(HostStep.JOIN)


def _wave_step(situation: HostSituation) -> NextStep:
    item = situation.item
    advance_action = actions.AdvanceWaveHost(item.host, item.phase)
    if item.phase is HostPhase.DRAINING:
        return_action = actions.ReturnWaveHost(item.host)
        if situation.wave_status in (WaveStatus.ABORTED, WaveStatus.STOPPED):
            return SubmitAction(return_action, f"wave {situation.wave_status.value}")
        return _empty_host(situation, advance_action, return_action)
    if item.phase is HostPhase.REBOOTING:
        return _maintenance_step(situation, HostStep.REBOOT, advance_action)
    if item.phase is HostPhase.CHECKING:
        return _maintenance_step(situation, HostStep.CHECK_HEALTH, advance_action)
    if item.phase is HostPhase.RETURNING:
        return _return_step(situation)
    return Wait()


def _empty_host(
    situation: HostSituation,
    advance_action: actions.FleetAction,
    return_action: actions.FleetAction,
) -> NextStep:
    """Wait for the work to end, then checkpoint the rest; never cut work off.

    The timeout starts when no new work can arrive any more. If the work can neither end
    nor be checkpointed, the host returns to service.
    """
    if situation.is_pool_short:
        return SubmitAction(return_action, "the pool is below its budget")
    is_drained = _is_ok(situation, HostStep.DRAIN)
    is_saved = _is_ok(situation, HostStep.CHECKPOINT)
    has_failed = HostStep.CHECKPOINT in situation.results and not is_saved
    if has_failed and not is_drained:
        return SubmitAction(return_action, _NOT_EMPTY)
    if _may_get_work(situation):
        return Wait()
    if is_drained:
        return SubmitAction(advance_action, "work has ended")
    waited_ms = situation.elapsed_ms - DRAIN_PROPAGATION_MS - REPORT_LAG_MS
    if waited_ms < situation.drain_timeout_ms:
        return BeginStep(HostStep.DRAIN)
    if is_saved:
        return SubmitAction(advance_action, "remaining work is checkpointed")
    if waited_ms >= 2 * situation.drain_timeout_ms:
        return SubmitAction(return_action, _NOT_EMPTY)
    return BeginStep(HostStep.CHECKPOINT)


def _maintenance_step(
    situation: HostSituation, step: HostStep, advance_action: actions.FleetAction
) -> NextStep:
    if _is_ok(situation, step):
        return SubmitAction(advance_action)
    host = situation.item.host
    failed = situation.results.get(step)
    if failed is not None and step is HostStep.REBOOT:
        return SubmitAction(
            actions.FinishWaveHost(host, is_healthy=False), failed.detail
        )
    if situation.elapsed_ms >= situation.reboot_timeout_ms:
        reason = f"{step.value} did not end in time"
        return SubmitAction(actions.FinishWaveHost(host, is_healthy=False), reason)
    return BeginStep(step)


def _return_step(situation: HostSituation) -> NextStep:
    host = situation.item.host
    if situation.elapsed_ms < SLOW_START_MS:
        return Wait()
    if situation.is_live:
        return SubmitAction(actions.FinishWaveHost(host, is_healthy=True))
    if situation.elapsed_ms >= situation.reboot_timeout_ms:
        reason = "lost during its return"
        return SubmitAction(actions.FinishWaveHost(host, is_healthy=False), reason)
    return Wait()


def _may_get_work(situation: HostSituation) -> bool:
    """Return whether new work may arrive, or be missing in the platform's reports."""
    return situation.elapsed_ms < DRAIN_PROPAGATION_MS + REPORT_LAG_MS


def _is_ok(situation: HostSituation, step: HostStep) -> bool:
    result = situation.results.get(step)
    return result is not None and result.is_ok
