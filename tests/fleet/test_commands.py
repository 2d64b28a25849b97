from __future__ import annotations

import pytest

from guavapin.fleet import actions
from guavapin.fleet.budget import Liveness
from guavapin.fleet.commands import KEPT_ENTRIES
from guavapin.fleet.commands import MAX_OUTBOX_ENTRIES
from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Outcome
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.model import DAY_MS
from guavapin.objects.model import MaintenanceWave
from tests.fleet.builders import all_live
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run

OBJECTS = objects()
TOKEN = 5
MOVE_PHASES = (HostPhase.DRAINING, HostPhase.RELEASED, HostPhase.JOINING)
WAVE_PHASES = (HostPhase.DRAINING, HostPhase.REBOOTING, HostPhase.CHECKING)


def reason(outcome: Outcome[FleetState]) -> Reason:
    assert isinstance(outcome, Refused), outcome
    return outcome.reason


def move_until(phase: HostPhase) -> FleetState:
    state = must(run(placed(OBJECTS), actions.StartMove("b0", "a"), OBJECTS))
    for step in MOVE_PHASES[: MOVE_PHASES.index(phase)]:
        state = must(run(state, actions.AdvanceMove("b0", step), OBJECTS, token=TOKEN))
    return state


def wave_until(phase: HostPhase) -> FleetState:
    state = must(run(placed(OBJECTS), actions.StartWave("w"), OBJECTS))
    state = must(run(state, actions.StartWaveHost("w", "a0"), OBJECTS, token=TOKEN))
    phases = (*WAVE_PHASES, HostPhase.RETURNING)
    for step in phases[: phases.index(phase)]:
        action = actions.AdvanceWaveHost("a0", step)
        state = must(run(state, action, OBJECTS, token=TOKEN))
    return state


def test_move_changes_pool_in_one_write() -> None:
    pools = [move_until(phase).placements["b0"] for phase in MOVE_PHASES]
    assert pools == ["b", "b", "a"]
    action = actions.AdvanceMove("b0", HostPhase.JOINING)
    done = must(run(move_until(HostPhase.JOINING), action, OBJECTS, token=TOKEN))
    assert done.placements["b0"] == "a" and done.disruptions == {}


@pytest.mark.parametrize("phase", MOVE_PHASES)
def test_move_is_undone_from_every_step(phase: HostPhase) -> None:
    state = must(run(move_until(phase), actions.UndoMove("b0"), OBJECTS))
    assert state.placements["b0"] == "b" and state.disruptions == {}


@pytest.mark.parametrize("phase", MOVE_PHASES)
def test_second_step_from_the_same_phase_is_refused(phase: HostPhase) -> None:
    """Guards against a resumed holder that repeats a step of its successor."""
    action = actions.AdvanceMove("b0", phase)
    state = must(run(move_until(phase), action, OBJECTS, token=TOKEN))
    assert reason(run(state, action, OBJECTS, token=TOKEN)) is Reason.CONFLICT


@pytest.mark.parametrize("phase", MOVE_PHASES)
def test_operator_and_duty_cannot_both_hold_a_host(phase: HostPhase) -> None:
    state = move_until(phase)
    for action in (
        actions.Drain("b0"),
        actions.Undrain("b0"),
        actions.StartMove("b0", "a"),
    ):
        assert reason(run(state, action, OBJECTS)) is Reason.CONFLICT


@pytest.mark.parametrize("phase", (*WAVE_PHASES, HostPhase.RETURNING))
def test_operator_cannot_undrain_a_host_in_maintenance(phase: HostPhase) -> None:
    outcome = run(wave_until(phase), actions.Undrain("a0"), OBJECTS)
    assert reason(outcome) is Reason.CONFLICT


def test_joining_host_that_is_down_does_not_serve() -> None:
    live = Liveness(all_live(OBJECTS).live - {"b0"})
    state = move_until(HostPhase.JOINING)
    action = actions.AdvanceMove("b0", HostPhase.JOINING)
    outcome = run(state, action, OBJECTS, live, token=TOKEN)
    assert reason(outcome) is Reason.UNREACHABLE
    outcome = run(state, actions.UndoMove("b0"), OBJECTS, live)
    assert reason(outcome) is Reason.UNREACHABLE


def test_wave_host_goes_through_all_steps_and_is_recorded() -> None:
    state = wave_until(HostPhase.RETURNING)
    action = actions.FinishWaveHost("a0", is_healthy=True)
    state = must(run(state, action, OBJECTS, token=TOKEN, wall_ms=9_000))
    assert state.disruptions == {} and state.maintained_ms == {"a0": 9_000}
    assert state.waves["w"].done == ("a0",)


def test_host_is_not_finished_before_its_check() -> None:
    action = actions.FinishWaveHost("a0", is_healthy=True)
    for phase in WAVE_PHASES:
        outcome = run(wave_until(phase), action, OBJECTS, token=TOKEN)
        assert reason(outcome) is Reason.CONFLICT


def test_failed_hosts_stay_out_of_service_and_stop_the_wave() -> None:
    state = wave_until(HostPhase.REBOOTING)
    state = must(run(state, actions.StartWaveHost("w", "b0"), OBJECTS, token=TOKEN))
    for host in ("a0", "b0"):
        assert state.waves["w"].status is WaveStatus.RUNNING
        action = actions.FinishWaveHost(host, is_healthy=False)
        state = must(run(state, action, OBJECTS, token=TOKEN))
    assert state.waves["w"].status is WaveStatus.STOPPED
    assert state.waves["w"].failed == ("a0", "b0")
    assert state.disruptions["a0"].phase is HostPhase.FAILED
    outcome = run(state, actions.StartWaveHost("w", "a1"), OBJECTS, token=TOKEN)
    assert reason(outcome) is Reason.CONFLICT
    state = must(run(state, actions.Undrain("a0"), OBJECTS))
    assert "a0" not in state.disruptions


@pytest.mark.parametrize(
    ("wave", "wall_ms", "expected"),
    [
        (MaintenanceWave("w", max_at_once=1), 1_000, Reason.NO_CAPACITY),
        (MaintenanceWave("w", pools=("b",)), 1_000, Reason.BAD_INPUT),
        (MaintenanceWave("w", after="v"), 1_000, Reason.CONFLICT),
        (MaintenanceWave("w"), 22 * DAY_MS, Reason.DEADLINE),
        (MaintenanceWave("w", window_start_ms=DAY_MS), 1_000, Reason.DEADLINE),
    ],
)
def test_limits_of_a_wave_hold(
    wave: MaintenanceWave, wall_ms: int, expected: Reason
) -> None:
    state = wave_until(HostPhase.DRAINING)
    object_set = objects(wave=wave)
    action = actions.StartWaveHost("w", "a1")
    outcome = run(state, action, object_set, token=TOKEN, wall_ms=wall_ms)
    assert reason(outcome) is expected


def test_paused_wave_starts_no_host_and_continues_after_resume() -> None:
    state = must(run(wave_until(HostPhase.DRAINING), actions.PauseWave("w"), OBJECTS))
    action = actions.StartWaveHost("w", "a1")
    assert reason(run(state, action, OBJECTS, token=TOKEN)) is Reason.CONFLICT
    state = must(run(state, actions.ResumeWave("w"), OBJECTS))
    must(run(state, action, OBJECTS, token=TOKEN))


def test_aborted_wave_cannot_be_resumed() -> None:
    state = must(run(wave_until(HostPhase.DRAINING), actions.AbortWave("w"), OBJECTS))
    assert reason(run(state, actions.ResumeWave("w"), OBJECTS)) is Reason.CONFLICT
    assert reason(run(state, actions.StartWave("w"), OBJECTS)) is Reason.CONFLICT
    state = must(run(state, actions.ReturnWaveHost("a0"), OBJECTS, token=TOKEN))
    must(run(state, actions.StartWave("w"), OBJECTS))


def test_progress_of_undeclared_waves_is_dropped_once_they_ended() -> None:
    """Guards against a record that grows with every wave ever declared."""
    state = placed(OBJECTS)
    for name, status in (("old", WaveStatus.DONE), ("on", WaveStatus.RUNNING)):
        state.waves[name] = WaveProgress(name, status, 0, done=("a0",))
    state = must(run(state, actions.StartWave("w"), OBJECTS))
    assert set(state.waves) == {"on", "w"}


def test_fence_only_rises_and_refuses_lower_tokens() -> None:
    state = must(run(placed(OBJECTS), actions.RaiseFence(), OBJECTS, token=8))
    assert state.fence == 8
    again = run(state, actions.RaiseFence(), OBJECTS, token=8)
    assert reason(again) is Reason.DUPLICATE
    for action in (actions.RaiseFence(), actions.Drain("a0"), actions.TrimOutbox(1)):
        assert reason(run(state, action, OBJECTS, token=7)) is Reason.FENCED


def test_duty_commands_need_a_token() -> None:
    for action in (actions.StartWaveHost("w", "a0"), actions.TrimOutbox(1)):
        assert reason(run(placed(OBJECTS), action, OBJECTS)) is Reason.FORBIDDEN


def full_outbox(count: int) -> FleetState:
    entries = (AuditEntry(n, 0, "x", "y", "z", 1) for n in range(1, count + 1))
    return FleetState(
        next_sequence=count + 1,
        placements=placed(OBJECTS).placements,
        outbox=tuple(entries),
    )


def test_trim_keeps_the_newest_entries() -> None:
    state = must(run(full_outbox(100), actions.TrimOutbox(100), OBJECTS, token=TOKEN))
    assert [entry.sequence for entry in state.outbox] == list(
        range(101 - KEPT_ENTRIES, 102)
    )


def test_full_outbox_refuses_new_disruptions_but_not_their_end() -> None:
    """Guards against a record above the platform's limit if no archiver runs."""
    state = must(run(full_outbox(MAX_OUTBOX_ENTRIES - 1), actions.Drain("a0"), OBJECTS))
    assert reason(run(state, actions.Drain("a1"), OBJECTS)) is Reason.OVERLOADED
    must(run(state, actions.Undrain("a0"), OBJECTS))


def test_host_is_admitted_once_and_only_when_live() -> None:
    state = FleetState()
    action = actions.AdmitHost("a0", "a")
    assert reason(run(state, action, OBJECTS, Liveness())) is Reason.UNREACHABLE
    state = must(run(state, action, OBJECTS))
    again = run(state, actions.AdmitHost("a0", "b"), OBJECTS)
    assert reason(again) is Reason.CONFLICT


def test_undeclared_host_is_removed_after_its_drain() -> None:
    state = FleetState(placements={**placed(OBJECTS).placements, "old": "a"})
    live = Liveness(all_live(OBJECTS).live | {"old"})
    remove = actions.RemoveHost("old")
    assert reason(run(state, remove, OBJECTS, live)) is Reason.CONFLICT
    state = must(run(state, actions.Drain("old"), OBJECTS, live))
    state = must(run(state, actions.AdvanceDrain("old"), OBJECTS, live, token=TOKEN))
    state = must(run(state, remove, OBJECTS, live))
    assert "old" not in state.placements and "old" not in state.disruptions
