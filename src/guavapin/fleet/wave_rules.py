"""Rules for commands on maintenance waves and on the hosts of a wave."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.fleet.change import Change
from guavapin.fleet.change import Situation
from guavapin.fleet.host_rules import begin_disruption
from guavapin.fleet.host_rules import describe_disruption
from guavapin.fleet.host_rules import enter_phase
from guavapin.fleet.host_rules import find_disruption
from guavapin.fleet.host_rules import without_disruption
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.fleet.actions import AbortWave
    from guavapin.fleet.actions import AdvanceWaveHost
    from guavapin.fleet.actions import FinishWave
    from guavapin.fleet.actions import FinishWaveHost
    from guavapin.fleet.actions import PauseWave
    from guavapin.fleet.actions import ResumeWave
    from guavapin.fleet.actions import ReturnWaveHost
    from guavapin.fleet.actions import StartWave
    from guavapin.fleet.actions import StartWaveHost
    from guavapin.fleet.actions import StopWave
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import MaintenanceWave

_ACTIVE = (WaveStatus.RUNNING, WaveStatus.PAUSED)

_NEXT_PHASE = {
    HostPhase.DRAINING: HostPhase.REBOOTING,
    HostPhase.REBOOTING: HostPhase.CHECKING,
    HostPhase.CHECKING: HostPhase.RETURNING,
}


def start_wave(action: StartWave, situation: Situation) -> Outcome[Change]:
    """Start a declared wave that is not in progress.

    To keep the record small, the progress of waves that have ended and are no longer
    declared is dropped.
    """
    state = situation.state
    if action.wave not in situation.objects.waves:
        return Refused(Reason.MISSING, f"wave {action.wave!r} is not declared")
    progress = state.waves.get(action.wave)
    if progress is not None and progress.status in _ACTIVE:
        return _conflict(progress)
    if hosts_in_wave(state, action.wave):
        detail = f"wave {action.wave!r} still has hosts in progress"
        return Refused(Reason.CONFLICT, detail)
    started = WaveProgress(action.wave, WaveStatus.RUNNING, situation.wall_ms)
    change = _update(situation, started, "wave.start")
    waves = {
        name: progress
        for name, progress in change.state.waves.items()
        if name in situation.objects.waves
        or progress.status in _ACTIVE
        or hosts_in_wave(state, name)
    }
    return Ok(replace(change, state=replace(change.state, waves=waves)))


def pause_wave(action: PauseWave, situation: Situation) -> Outcome[Change]:
    """Pause a running wave, so that no further host is started."""
    return _change_status(
        action.wave, (WaveStatus.RUNNING,), WaveStatus.PAUSED, situation, "wave.pause"
    )


def resume_wave(action: ResumeWave, situation: Situation) -> Outcome[Change]:
    """Continue a wave that was paused, or stopped by the duty."""
    allowed = (WaveStatus.PAUSED, WaveStatus.STOPPED)
    return _change_status(
        action.wave, allowed, WaveStatus.RUNNING, situation, "wave.resume"
    )


def abort_wave(action: AbortWave, situation: Situation) -> Outcome[Change]:
    """Abort a wave; the duty returns or finishes the hosts in progress."""
    allowed = (WaveStatus.RUNNING, WaveStatus.PAUSED, WaveStatus.STOPPED)
    return _change_status(
        action.wave, allowed, WaveStatus.ABORTED, situation, "wave.abort"
    )


def stop_wave(action: StopWave, situation: Situation) -> Outcome[Change]:
    """Stop a wave in progress and record the reason for the operator."""
    return _change_status(
        action.wave, _ACTIVE, WaveStatus.STOPPED, situation, "wave.stop", action.detail
    )


def finish_wave(action: FinishWave, situation: Situation) -> Outcome[Change]:
    """Mark a wave as done; failed hosts stay out of service until undrained."""
    if any(
        item.phase is not HostPhase.FAILED
        for item in hosts_in_wave(situation.state, action.wave)
    ):
        detail = f"wave {action.wave!r} still has hosts in progress"
        return Refused(Reason.CONFLICT, detail)
    return _change_status(
        action.wave, (WaveStatus.RUNNING,), WaveStatus.DONE, situation, "wave.done"
    )


def start_wave_host(action: StartWaveHost, situation: Situation) -> Outcome[Change]:
    """Begin the maintenance of one host if the wave's limits and budget allow it."""
    wave = situation.objects.waves.get(action.wave)
    progress = situation.state.waves.get(action.wave)
    if wave is None or progress is None:
        return Refused(Reason.MISSING, f"wave {action.wave!r} is not started")
    if progress.status is not WaveStatus.RUNNING:
        return _conflict(progress)
    refused = _check_wave_limits(wave, progress, action.host, situation)
    if refused is not None:
        return refused
    item = Disruption(
        host=action.host,
        pool=situation.state.placements.get(action.host, ""),
        kind=DisruptionKind.WAVE,
        phase=HostPhase.DRAINING,
        actor=situation.actor,
        since_ms=situation.wall_ms,
        wave=action.wave,
    )
    return begin_disruption(item, situation, "wave.host.start", f"by {action.wave}")


def advance_wave_host(action: AdvanceWaveHost, situation: Situation) -> Outcome[Change]:
    """Advance the maintenance: draining, rebooting, checking, returning."""
    found = find_disruption(
        situation.state, action.host, DisruptionKind.WAVE, action.phase
    )
    if isinstance(found, Refused):
        return found
    phase = _NEXT_PHASE.get(action.phase)
    if phase is None:
        return Refused(Reason.CONFLICT, describe_disruption(found.value))
    return Ok(enter_phase(found.value, phase, situation, f"wave.host.{phase.value}"))


def return_wave_host(action: ReturnWaveHost, situation: Situation) -> Outcome[Change]:
    """Return a draining host to service; a rebooting host can only be finished."""
    found = find_disruption(
        situation.state, action.host, DisruptionKind.WAVE, HostPhase.DRAINING
    )
    if isinstance(found, Refused):
        return found
    state = without_disruption(situation.state, action.host)
    return Ok(Change(state, "wave.host.return", action.host, "draining", "serving"))


def finish_wave_host(action: FinishWaveHost, situation: Situation) -> Outcome[Change]:
    """End one host's maintenance.

    The wave stops when its failed hosts reach `max_failed`, or 1 if that is 0.
    """
    item = situation.state.disruptions.get(action.host)
    if item is None or item.kind is not DisruptionKind.WAVE:
        detail = f"host {action.host!r} is in no wave"
        return Refused(Reason.CONFLICT, detail)
    if item.phase is HostPhase.FAILED:
        return Refused(Reason.CONFLICT, describe_disruption(item))
    if not action.is_healthy:
        return Ok(_fail_host(item, situation))
    if item.phase is not HostPhase.RETURNING:
        return Refused(Reason.CONFLICT, describe_disruption(item))
    return Ok(_complete_host(item, situation))


def hosts_in_wave(state: FleetState, wave: str) -> tuple[Disruption, ...]:
    """Return the disruptions that belong to `wave`."""
    return tuple(item for item in state.disruptions.values() if item.wave == wave)


def is_in_scope(wave: MaintenanceWave, pool: str, rack: str) -> bool:
    """Return whether a host of `pool` and `rack` belongs to the wave."""
    in_pools = not wave.pools or pool in wave.pools
    in_racks = not wave.racks or rack in wave.racks
    return in_pools and in_racks


def is_in_window(wave: MaintenanceWave, started_ms: int, wall_ms: int) -> bool:
    """Return whether hosts may be started now.

    A window without a start begins when the wave does.
    """
    start_ms = wave.window_start_ms or started_ms
    return start_ms <= wall_ms < start_ms + wave.window_length_ms


def _check_wave_limits(
    wave: MaintenanceWave, progress: WaveProgress, name: str, situation: Situation
) -> Refused | None:
    state, objects = situation.state, situation.objects
    host = objects.hosts.get(name)
    pool = state.placements.get(name, "")
    if host is None or not is_in_scope(wave, pool, host.rack):
        detail = f"host {name!r} is not in the scope of wave {wave.name!r}"
        return Refused(Reason.BAD_INPUT, detail)
    if name in progress.done or name in progress.failed:
        return Refused(Reason.DUPLICATE, f"host {name!r} is done in {wave.name!r}")
    if not is_in_window(wave, progress.started_ms, situation.wall_ms):
        return Refused(Reason.DEADLINE, f"wave {wave.name!r} is outside its window")
    predecessor = state.waves.get(wave.after)
    if wave.after and (
        predecessor is None or predecessor.status is not WaveStatus.DONE
    ):
        return Refused(Reason.CONFLICT, f"wave {wave.after!r} has not ended")
    in_progress = sum(
        item.phase is not HostPhase.FAILED for item in hosts_in_wave(state, wave.name)
    )
    if in_progress >= wave.max_at_once:
        found = f"{in_progress} hosts are in progress; at most {wave.max_at_once}"
        return Refused(Reason.NO_CAPACITY, f"wave {wave.name!r}: {found}")
    return None


def _fail_host(item: Disruption, situation: Situation) -> Change:
    change = enter_phase(item, HostPhase.FAILED, situation, "wave.host.failed")
    progress = change.state.waves.get(item.wave)
    if progress is None:
        return change
    progress = replace(progress, failed=(*progress.failed, item.host))
    wave = situation.objects.waves.get(item.wave)
    reaches_limit = wave is not None and len(progress.failed) >= max(wave.max_failed, 1)
    if reaches_limit and progress.status in _ACTIVE:
        detail = f"{len(progress.failed)} hosts did not come back"
        progress = replace(progress, status=WaveStatus.STOPPED, detail=detail)
    waves = {**change.state.waves, item.wave: progress}
    new_state = replace(change.state, waves=waves)
    return replace(change, state=new_state, new=f"failed, wave {progress.status.value}")


def _complete_host(item: Disruption, situation: Situation) -> Change:
    state = without_disruption(situation.state, item.host)
    maintained = {**state.maintained_ms, item.host: situation.wall_ms}
    waves = state.waves
    progress = waves.get(item.wave)
    if progress is not None:
        done = replace(progress, done=(*progress.done, item.host))
        waves = {**waves, item.wave: done}
    new_state = replace(state, maintained_ms=maintained, waves=waves)
    return Change(new_state, "wave.host.done", item.host, item.phase.value, "serving")


def _change_status(
    wave: str,
    allowed: tuple[WaveStatus, ...],
    status: WaveStatus,
    situation: Situation,
    action: str,
    detail: str = "",
) -> Outcome[Change]:
    progress = situation.state.waves.get(wave)
    if progress is None:
        return Refused(Reason.MISSING, f"wave {wave!r} is not started")
    if progress.status not in allowed:
        return _conflict(progress)
    changed = replace(progress, status=status, detail=detail)
    return Ok(_update(situation, changed, action))


def _update(situation: Situation, progress: WaveProgress, action: str) -> Change:
    old = situation.state.waves.get(progress.wave)
    waves = {**situation.state.waves, progress.wave: progress}
    state = replace(situation.state, waves=waves)
    old_status = old.status.value if old is not None else ""
    new = f"{progress.status.value} {progress.detail}".strip()
    return Change(state, action, progress.wave, old_status, new)


def _conflict(progress: WaveProgress) -> Refused:
    detail = f"wave {progress.wave!r} is {progress.status.value}"
    return Refused(Reason.CONFLICT, detail)
