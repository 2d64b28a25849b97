from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.duties.messages import HostStep
from guavapin.fleet import actions
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.routing.health import HealthSettings
from guavapin.waves.disruption_steps import SLOW_START_MS
from guavapin.waves.disruption_steps import BeginStep
from guavapin.waves.disruption_steps import HostSituation
from guavapin.waves.disruption_steps import StepResult
from guavapin.waves.disruption_steps import SubmitAction
from guavapin.waves.disruption_steps import Wait
from guavapin.waves.disruption_steps import next_step
from guavapin.waves.disruption_steps import step_id

OK = StepResult(True)
FAILED = StepResult(False, "broken")
WAVE_HOST = Disruption(
    "h", "a", DisruptionKind.WAVE, HostPhase.DRAINING, "x", 1_000, wave="w"
)


def situation(
    phase: HostPhase,
    elapsed_ms: int = 0,
    kind: DisruptionKind = DisruptionKind.WAVE,
    is_live: bool = True,
    wave_status: WaveStatus = WaveStatus.RUNNING,
    **results: StepResult,
) -> HostSituation:
    return HostSituation(
        replace(WAVE_HOST, phase=phase, kind=kind),
        {HostStep(name): result for name, result in results.items()},
        is_live,
        1_000 + elapsed_ms,
        wave_status,
        drain_timeout_ms=100,
        reboot_timeout_ms=50_000,
    )


def test_paused_wave_still_finishes_its_hosts() -> None:
    paused = situation(HostPhase.REBOOTING, wave_status=WaveStatus.PAUSED, reboot=OK)
    action = actions.AdvanceWaveHost("h", HostPhase.REBOOTING)
    assert next_step(paused) == SubmitAction(action)


@pytest.mark.parametrize("status", list(WaveStatus))
@pytest.mark.parametrize("elapsed_ms", [0, 99, 150, 200, 10_000])
def test_host_with_work_is_never_rebooted(status: WaveStatus, elapsed_ms: int) -> None:
    step = next_step(situation(HostPhase.DRAINING, elapsed_ms, wave_status=status))
    reboots = SubmitAction(actions.AdvanceWaveHost("h", HostPhase.DRAINING))
    assert not isinstance(step, SubmitAction) or step.action != reboots.action


def test_failed_checkpoint_returns_the_host() -> None:
    step = next_step(situation(HostPhase.DRAINING, 150, checkpoint=FAILED))
    assert isinstance(step, SubmitAction) and step.action == actions.ReturnWaveHost("h")


def test_aborted_wave_lets_a_rebooting_host_finish() -> None:
    aborted = situation(HostPhase.REBOOTING, wave_status=WaveStatus.ABORTED)
    assert next_step(aborted) == BeginStep(HostStep.REBOOT)


@pytest.mark.parametrize("phase", [HostPhase.REBOOTING, HostPhase.CHECKING])
def test_host_that_does_not_come_back_has_failed(phase: HostPhase) -> None:
    step = next_step(situation(phase, 50_000))
    assert isinstance(step, SubmitAction)
    assert step.action == actions.FinishWaveHost("h", is_healthy=False)


def test_returned_host_is_done_only_after_its_slow_start() -> None:
    early = situation(HostPhase.RETURNING, SLOW_START_MS - 1)
    assert next_step(early) == Wait()
    step = next_step(situation(HostPhase.RETURNING, SLOW_START_MS))
    assert isinstance(step, SubmitAction)
    assert step.action == actions.FinishWaveHost("h", is_healthy=True)


def test_host_lost_during_its_return_fails_in_the_end() -> None:
    lost = situation(HostPhase.RETURNING, SLOW_START_MS, is_live=False)
    assert next_step(lost) == Wait()
    step = next_step(situation(HostPhase.RETURNING, 50_000, is_live=False))
    assert isinstance(step, SubmitAction)
    assert step.action == actions.FinishWaveHost("h", is_healthy=False)


def test_wall_clock_that_steps_back_times_nothing_out() -> None:
    late = situation(HostPhase.REBOOTING, -100_000)
    assert next_step(late) == BeginStep(HostStep.REBOOT)


@pytest.mark.parametrize("phase", [HostPhase.DRAINED, HostPhase.FAILED])
def test_held_hosts_wait_for_the_operator(phase: HostPhase) -> None:
    for kind in (DisruptionKind.DRAIN, DisruptionKind.WAVE):
        assert next_step(situation(phase, 10**9, kind)) == Wait()


def test_operators_drain_waits_for_work_without_timeout() -> None:
    drain = situation(HostPhase.DRAINING, 10**9, DisruptionKind.DRAIN)
    assert next_step(drain) == BeginStep(HostStep.DRAIN)


def test_step_ids_differ_between_phases_and_repetitions() -> None:
    later = replace(WAVE_HOST, since_ms=2_000)
    ids = {step_id(item, HostStep.DRAIN) for item in (WAVE_HOST, later)}
    assert len(ids) == 2


@pytest.mark.parametrize("status", [WaveStatus.ABORTED, WaveStatus.STOPPED])
def test_ended_wave_returns_draining_hosts(status: WaveStatus) -> None:
    step = next_step(situation(HostPhase.DRAINING, wave_status=status, drain=OK))
    assert isinstance(step, SubmitAction) and step.action == actions.ReturnWaveHost("h")


def test_draining_host_is_returned_to_a_pool_below_its_budget() -> None:
    """Guards against losses that add to a drain begun before and break the budget."""
    short = replace(situation(HostPhase.DRAINING, drain=OK), is_pool_short=True)
    step = next_step(short)
    assert isinstance(step, SubmitAction) and step.action == actions.ReturnWaveHost("h")


@pytest.mark.parametrize("elapsed_ms", [-5_000, 0, 2_999, 4_999])
@pytest.mark.parametrize("kind", list(DisruptionKind))
def test_end_of_work_is_ignored_while_new_work_may_arrive(
    kind: DisruptionKind, elapsed_ms: int
) -> None:
    """Guards against a reboot on a report of usage older than the last request."""
    early = situation(HostPhase.DRAINING, elapsed_ms, kind)
    assert next_step(early) == Wait()
    reported = situation(HostPhase.DRAINING, elapsed_ms, kind, drain=OK)
    assert next_step(reported) == Wait()


def test_host_without_work_advances_once_no_new_work_can_arrive() -> None:
    assert next_step(situation(HostPhase.DRAINING, 5_000)) == BeginStep(HostStep.DRAIN)
    drained = situation(HostPhase.DRAINING, 5_000, drain=OK)
    action = actions.AdvanceWaveHost("h", HostPhase.DRAINING)
    assert next_step(drained) == SubmitAction(action, "work has ended")


def test_checkpoint_is_tried_only_after_the_drain_has_timed_out() -> None:
    late = situation(HostPhase.DRAINING, 5_100)
    assert next_step(late) == BeginStep(HostStep.CHECKPOINT)
    later = next_step(situation(HostPhase.DRAINING, 5_200))
    assert isinstance(later, SubmitAction) and later.action == actions.ReturnWaveHost(
        "h"
    )


def test_return_lasts_as_long_as_the_slow_start_of_the_serving_side() -> None:
    """Guards against a longer return, which blocks another disruption needlessly."""
    assert HealthSettings().slow_start_ms == SLOW_START_MS
