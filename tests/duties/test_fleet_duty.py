from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from guavapin.duties.messages import HostStep
from guavapin.duties.messages import HostStepDone
from guavapin.duties.messages import PerformHostStep
from guavapin.duties.messages import PoolDemand
from guavapin.fleet import actions
from guavapin.fleet.messages import Execute
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import MaintenanceWave
from tests.duties.cluster import Cluster
from tests.duties.cluster import Process
from tests.duties.cluster import check_audit_trail
from tests.fleet.builders import objects
from tests.fleet.platform_double import DROPPED
from tests.fleet.platform_double import LATE
from tests.fleet.platform_double import LOST

MINUTE_MS = 60_000
WAVE = MaintenanceWave("w", drain_timeout_ms=20_000, reboot_timeout_ms=40_000)
NO_WAVE = MaintenanceWave("w", window_start_ms=10**15)


def wave_cluster(processes: int = 1, wave: MaintenanceWave = WAVE) -> Cluster:
    return Cluster(objects(per_pool=4, wave=wave), processes)


def move_cluster(processes: int = 1) -> Cluster:
    return Cluster(objects(wave=NO_WAVE), processes)


def test_wave_maintains_every_host_once_within_the_budgets() -> None:
    cluster = wave_cluster()
    cluster.run(4 * MINUTE_MS)
    state = cluster.state
    assert state.waves["w"].status is WaveStatus.DONE
    assert sorted(state.waves["w"].done) == sorted(cluster.objects.hosts)
    reboots = Counter(s.host for s in cluster.steps if s.step is HostStep.REBOOT)
    assert set(reboots.values()) == {1}
    assert max(cluster.max_disrupted.values()) <= 2
    check_audit_trail(state)


@pytest.mark.parametrize("fault", [LOST, DROPPED, LATE])
@pytest.mark.parametrize("skip", range(0, 24, 3))
def test_wave_ends_whatever_write_loses_its_answer(fault: str, skip: int) -> None:
    cluster = wave_cluster()
    cluster.double.faults.extend(["ok"] * skip + [fault] * 2)
    cluster.run(5 * MINUTE_MS)
    cluster.double.deliver_late()
    assert cluster.state.waves["w"].status is WaveStatus.DONE
    check_audit_trail(cluster.state)


@pytest.mark.parametrize("message_number", range(1, 60, 4))
def test_holder_paused_at_any_message_changes_nothing_when_it_resumes(
    message_number: int,
) -> None:
    """The holder is paused mid-command until long after its lease has lapsed."""
    cluster = wave_cluster(processes=2)
    cluster.run(3_000)
    first = cluster.holder
    assert first is not None
    seen = 0

    def pause(process: Process, service: str, message: object) -> None:
        nonlocal seen
        seen += process is first
        if seen == message_number:
            first.is_paused = True

    cluster.on_message = pause
    cluster.run(5_000)
    first.is_paused = True
    cluster.on_message = None
    cluster.lapse_leases()
    cluster.run(20_000)
    second = cluster.holder
    assert second is not None and second is not first
    before = cluster.state
    first.is_paused = False
    first.pump()
    after = cluster.state
    assert after == before
    cluster.run(4 * MINUTE_MS)
    assert cluster.state.waves["w"].status is WaveStatus.DONE
    check_audit_trail(cluster.state)
    assert max(cluster.max_disrupted.values()) <= 2


@pytest.mark.parametrize(
    "phase", [HostPhase.DRAINING, HostPhase.RELEASED, HostPhase.JOINING]
)
def test_move_continues_after_a_takeover_at_each_step(phase: HostPhase) -> None:
    cluster = move_cluster(processes=2)
    cluster.silent = {("b0", HostStep.JOIN)}

    def pause(process: Process, service: str, message: object) -> None:
        item = cluster.state.disruptions.get("b0")
        if item is not None and item.phase is phase and process is cluster.holder:
            process.is_paused = True

    cluster.run(4_000)
    cluster.on_message = pause
    assert isinstance(cluster.operate(actions.StartMove("b0", "a")), Ok)
    cluster.run(5_000)
    cluster.on_message = None
    assert cluster.holder is None
    assert cluster.state.disruptions["b0"].phase is phase
    cluster.lapse_leases()
    cluster.silent.clear()
    cluster.run(40_000)
    assert cluster.state.placements["b0"] == "a" and not cluster.state.disruptions
    check_audit_trail(cluster.state)


def test_move_that_cannot_empty_its_host_is_undone() -> None:
    cluster = move_cluster()
    cluster.silent = {("b0", HostStep.DRAIN)}
    cluster.failing = {("b0", HostStep.CHECKPOINT)}
    assert isinstance(cluster.operate(actions.StartMove("b0", "a")), Ok)
    cluster.run(11 * MINUTE_MS, step_ms=1_000)
    assert cluster.state.placements["b0"] == "b" and not cluster.state.disruptions


def test_long_work_is_checkpointed_before_the_reboot() -> None:
    cluster = wave_cluster()
    cluster.silent = {("a0", HostStep.DRAIN)}
    cluster.run(4 * MINUTE_MS)
    steps = [s.step for s in cluster.steps if s.host == "a0"]
    assert steps.index(HostStep.CHECKPOINT) < steps.index(HostStep.REBOOT)
    assert "a0" in cluster.state.waves["w"].done


def test_host_whose_work_cannot_stop_is_never_rebooted() -> None:
    """Guards against planned maintenance that cuts off a request."""
    cluster = wave_cluster()
    cluster.silent = {("a0", HostStep.DRAIN)}
    cluster.failing = {("a0", HostStep.CHECKPOINT)}
    cluster.run(4 * MINUTE_MS)
    assert not any(s.host == "a0" and s.step is HostStep.REBOOT for s in cluster.steps)
    assert len(cluster.state.waves["w"].done) == 7


@pytest.mark.parametrize("step", [HostStep.REBOOT, HostStep.CHECK_HEALTH])
def test_hosts_that_do_not_come_back_stop_the_wave(step: HostStep) -> None:
    cluster = wave_cluster()
    cluster.silent = {(host, step) for host in cluster.objects.hosts}
    cluster.run(4 * MINUTE_MS)
    progress = cluster.state.waves["w"]
    assert progress.status is WaveStatus.STOPPED and len(progress.failed) >= 2
    assert len(progress.failed) <= WAVE.max_at_once and progress.done == ()


def test_wave_stops_when_several_hosts_are_lost_at_once() -> None:
    cluster = wave_cluster(wave=MaintenanceWave("w", max_at_once=1))
    cluster.run(10_000)
    for host in ("a3", "b3"):
        cluster.double.hosts[host] = "gone"
    cluster.run(5_000)
    progress = cluster.state.waves["w"]
    assert progress.status is WaveStatus.STOPPED and "lost at once" in progress.detail
    cluster.run(2 * MINUTE_MS)
    assert cluster.state.disruptions == {}, "hosts in progress reach a safe end"


def test_host_lost_during_a_drain_returns_the_draining_host() -> None:
    cluster = wave_cluster(wave=replace(WAVE, max_at_once=2, pools=("a",)))
    cluster.silent = {(host, HostStep.DRAIN) for host in cluster.objects.hosts}
    cluster.run(6_000)
    assert len(cluster.state.disruptions) == 2
    spare = sorted(set(["a0", "a1", "a2", "a3"]) - set(cluster.state.disruptions))
    cluster.double.hosts[spare[0]] = "gone"
    cluster.run(6_000)
    assert len(cluster.state.disruptions) <= 1
    cluster.double.hosts[spare[0]] = "live"
    cluster.silent.clear()
    cluster.run(4 * MINUTE_MS)
    assert cluster.state.waves["w"].status is WaveStatus.DONE


def test_nothing_begins_while_the_platform_is_down_and_all_ends_after() -> None:
    cluster = wave_cluster(processes=2)
    cluster.run(10_000)
    cluster.double.is_down = True
    cluster.lapse_leases()
    before = cluster.state
    cluster.run(2 * MINUTE_MS)
    assert cluster.state == before and cluster.holder is None
    cluster.double.is_down = False
    cluster.run(4 * MINUTE_MS)
    assert cluster.state.waves["w"].status is WaveStatus.DONE


def test_aborted_wave_returns_draining_hosts_and_finishes_others() -> None:
    cluster = wave_cluster()
    cluster.silent = {("a0", HostStep.DRAIN), ("b0", HostStep.REBOOT)}
    cluster.run(8_000)
    assert cluster.state.disruptions["a0"].phase is HostPhase.DRAINING
    assert isinstance(cluster.operate(actions.AbortWave("w")), Ok)
    cluster.silent.clear()
    cluster.run(2 * MINUTE_MS)
    state = cluster.state
    assert state.disruptions == {} and "a0" not in state.waves["w"].done
    assert "b0" in state.waves["w"].done


def test_paused_wave_starts_no_host_until_it_is_resumed() -> None:
    cluster = wave_cluster()
    cluster.run(5_000)
    assert isinstance(cluster.operate(actions.PauseWave("w")), Ok)
    cluster.run(2 * MINUTE_MS)
    done = cluster.state.waves["w"].done
    assert cluster.state.disruptions == {} and len(done) < 8
    assert isinstance(cluster.operate(actions.ResumeWave("w")), Ok)
    cluster.run(4 * MINUTE_MS)
    assert cluster.state.waves["w"].status is WaveStatus.DONE


def test_operator_and_duty_race_for_one_host() -> None:
    """The first writer gets the host; the refusal of the other names the holder."""
    cluster = wave_cluster(processes=2)
    outcomes = []

    def race(process: Process, service: str, message: object) -> None:
        body = message.command.action if isinstance(message, Execute) else None
        if isinstance(body, actions.StartWaveHost) and not outcomes:
            cluster.on_message = None
            outcomes.append(cluster.operate(actions.Drain(body.host)))

    cluster.on_message = race
    cluster.run(4_000)
    assert isinstance(outcomes[0], Ok)
    (drained,) = (e.object for e in cluster.state.outbox if e.action == "host.drain")
    item = cluster.state.disruptions[drained]
    assert item.kind is DisruptionKind.DRAIN and item.actor == "tester"
    cluster.run(MINUTE_MS)
    assert cluster.state.disruptions[drained].phase is HostPhase.DRAINED
    assert max(cluster.max_disrupted.values()) <= 2
    check_audit_trail(cluster.state)


def test_demand_borrows_hosts_from_the_spare() -> None:
    budget = AvailabilityBudget("budget", min_available=3)
    cluster = Cluster(objects(budget=budget, wave=NO_WAVE))
    for process in cluster.processes:
        process.deliver("fleet_duty", PoolDemand({"a": 7.0}))
    cluster.run(MINUTE_MS)
    placements = Counter(cluster.state.placements.values())
    assert placements == {"a": 7, "b": 5}
    moves = [e for e in cluster.state.outbox if e.action == "move.start"]
    assert len(moves) == 1


def test_new_hosts_are_admitted_and_gone_hosts_removed() -> None:
    cluster = move_cluster()
    state = cluster.state
    del state.placements["a5"]
    state.placements["old"] = "a"
    cluster.store(state)
    cluster.run(10_000)
    assert cluster.state.placements.get("a5") == "a"
    assert "old" not in cluster.state.placements


def test_wave_of_a_new_fleet_waits_for_its_hosts() -> None:
    """Guards against a wave that finds no hosts in an empty record and ends at once."""
    cluster = wave_cluster()
    del cluster.double.keys[FLEET_KEY]
    for process in cluster.processes:
        process.advance(500)
    cluster.run(4 * MINUTE_MS)
    progress = cluster.state.waves["w"]
    assert progress.status is WaveStatus.DONE
    assert sorted(progress.done) == sorted(cluster.objects.hosts)


def test_steps_of_one_phase_keep_their_identity_over_a_takeover() -> None:
    """Guards against a second holder that reboots a host already rebooting."""
    cluster = wave_cluster(processes=2)
    cluster.silent = {(host, HostStep.REBOOT) for host in cluster.objects.hosts}
    cluster.run(5_000)
    first = cluster.holder
    assert first is not None
    first.is_paused = True
    cluster.lapse_leases()
    cluster.run(10_000)
    reboots: dict[str, set[str]] = {}
    for step in cluster.steps:
        assert isinstance(step, PerformHostStep)
        if step.step is HostStep.REBOOT:
            reboots.setdefault(step.host, set()).add(step.step_id)
    assert reboots and all(len(ids) == 1 for ids in reboots.values())


def test_idle_duty_makes_few_calls() -> None:
    cluster = move_cluster()
    cluster.run(10_000)
    before = cluster.double.calls
    cluster.run(MINUTE_MS)
    assert cluster.double.calls - before <= 60 * 3


def test_nothing_is_sent_after_the_lease_may_have_lapsed() -> None:
    """The fence would refuse the command, but it must not be sent at all."""
    cluster = wave_cluster()
    cluster.run(3_000)
    first = cluster.holder
    assert first is not None
    duty, harness = first.harnesses["fleet_duty"]
    harness.clock.advance(10_000)
    harness.advance(20_000)
    duty.handle(HostStepDone("a0", True))
    assert not any(isinstance(sent.message, Execute) for sent in harness.sent)


def test_fence_rises_with_each_takeover() -> None:
    cluster = move_cluster(processes=2)
    fences = []
    for _ in range(3):
        cluster.run(12_000)
        fences.append(cluster.state.fence)
        cluster.lapse_leases()
    assert fences == sorted(set(fences))
    assert isinstance(cluster.operate(actions.Drain("a0")), Ok)
    outcome = cluster.operate(actions.Drain("a0"))
    assert isinstance(outcome, Refused) and outcome.reason is Reason.CONFLICT
