"""Random faults at three control processes, then a time without faults.

All disruptions and the wave must end in the time without faults.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from guavapin.duties.messages import HostStep
from guavapin.duties.messages import PerformHostStep
from guavapin.fleet import actions
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.messages import Execute
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Ok
from guavapin.keyvalue import messages as platform
from guavapin.objects.model import MaintenanceWave
from tests.duties.cluster import Cluster
from tests.duties.cluster import Process
from tests.duties.cluster import check_audit_trail
from tests.fleet.builders import command
from tests.fleet.builders import objects
from tests.fleet.platform_double import DROPPED
from tests.fleet.platform_double import LATE
from tests.fleet.platform_double import LOST
from tests.fleet.platform_double import NOT_SENT
from tests.fleet.platform_double import RATE_LIMITED

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState

FAULTS = (LOST, DROPPED, LATE, NOT_SENT, RATE_LIMITED)
WAVE = MaintenanceWave("w", max_failed=9, drain_timeout_ms=20_000)


class Chaos:
    """Injects faults drawn from `seed` into a cluster and checks each write."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(objects(per_pool=4, wave=WAVE), processes=3)
        self.last = self.cluster.state
        self.cluster.on_message = self.check

    def check(self, process: Process, service: str, message: object) -> None:
        state = self.cluster.state
        if state.next_sequence != self.last.next_sequence:
            self.check_change(self.last, state)
            self.last = state
        if isinstance(message, PerformHostStep) and message.step is HostStep.REBOOT:
            # A holder that was paused may only request a step that had begun.
            assert message.step_id.split(":")[2] == HostPhase.REBOOTING.value
        is_listing = isinstance(message, tuple) and isinstance(
            message[1], platform.ListHosts
        )
        if is_listing and self.rng.random() < 0.02:
            process.is_paused = True

    def check_change(self, old: FleetState, new: FleetState) -> None:
        assert new.fence >= old.fence
        assert set(new.placements) == set(old.placements)
        begun = set(new.disruptions) - set(old.disruptions)
        live = frozenset(self.cluster.double.hosts)
        statuses = pool_statuses(new, self.cluster.objects, Liveness(live))
        for host in begun:
            status = statuses[new.disruptions[host].pool]
            budget = self.cluster.objects.budgets["budget"]
            assert status.available >= required_available(budget, status.size)

    def inject_faults(self) -> None:
        cluster, rng = self.cluster, self.rng
        if rng.random() < 0.10:
            cluster.double.faults.extend(rng.choices(FAULTS, k=rng.randint(1, 3)))
        if rng.random() < 0.05:
            cluster.lapse_leases()
        if rng.random() < 0.05:
            cluster.double.is_down = not cluster.double.is_down
        if rng.random() < 0.10:
            cluster.double.deliver_late()
        for process in cluster.processes:
            if process.is_paused and rng.random() < 0.10:
                self.resume(process)
        if rng.random() < 0.02:
            host = rng.choice(sorted(cluster.objects.hosts))
            action = rng.choice([actions.Drain(host), actions.Undrain(host)])
            self.operate(action)

    def operate(self, action: actions.FleetAction) -> None:
        """Send an operator's command; it may be answered later or refused."""
        process = self.cluster.processes[-1]
        process.deliver("fleet_writer", Execute("operators", 1, command(action)))
        process.pump()

    def resume(self, process: Process) -> None:
        """Resume a process; its lease has lapsed if it was paused for over 5 s."""
        if process.missed_ms > 5_000:
            self.cluster.lapse_leases()
        process.is_paused = False
        process.pump()

    def end_faults(self) -> None:
        cluster = self.cluster
        cluster.on_message = None
        cluster.double.is_down = False
        cluster.double.faults.clear()
        cluster.double.deliver_late()
        for process in cluster.processes:
            self.resume(process)
        cluster.run(6_000)
        if cluster.holder is None:
            # The double does not lapse leases that are not renewed; the test must.
            cluster.lapse_leases()
        cluster.run(30_000)
        for item in cluster.state.disruptions.values():
            if item.kind is DisruptionKind.DRAIN:
                self.operate(actions.Undrain(item.host))
        if cluster.state.waves["w"].status is WaveStatus.STOPPED:
            assert isinstance(cluster.operate(actions.ResumeWave("w")), Ok)
        cluster.run(300_000)


@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold_under_random_faults_and_the_wave_ends(seed: int) -> None:
    """Combines pauses, lapses, lost and late writes, outages and operators' commands.

    Guards against a broken budget, a lost placement, a reboot outside its phase, a
    lowered fence and a wave that does not end.
    """
    chaos = Chaos(seed)
    cluster = chaos.cluster
    for _ in range(300):
        chaos.inject_faults()
        for process in cluster.processes:
            process.advance(500)
    chaos.end_faults()
    assert cluster.state.waves["w"].status is WaveStatus.DONE
    assert cluster.state.disruptions == {}
    check_audit_trail(cluster.state)
