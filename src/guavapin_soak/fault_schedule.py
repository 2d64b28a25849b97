"""Begins the faults of a plan at their times, and advances those that are on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.executor_deployment import Step
from guavapin_soak.executor_plan import ExecutorFaultKind
from guavapin_soak.false_evidence import FalseEvidence
from guavapin_soak.idle_restart import IdleRestart
from guavapin_soak.idle_restart import choose_idle
from guavapin_soak.list_at_start import ListAtStart
from guavapin_soak.rolling_stop import RollingStop
from guavapin_soak.succession import Succession
from guavapin_soak.succession_plan import SuccessionKind

if TYPE_CHECKING:
    from guavapin_soak.executor_deployment import ExecutorDeployment
    from guavapin_soak.executor_host import ExecutorHost
    from guavapin_soak.executor_plan import ExecutorFault
    from guavapin_soak.executor_plan import ExecutorPlan
    from guavapin_soak.long_work import LongWorkCaller
    from guavapin_soak.succession_plan import SuccessionFault
    from guavapin_soak.succession_plan import SuccessionPlan
    from guavapin_soak.timed_fault import TimedFault


class FaultSchedule:
    """Faults of one run; only the thread that injects faults calls `tick`."""

    def __init__(
        self,
        deployment: ExecutorDeployment,
        plan: ExecutorPlan,
        successions: SuccessionPlan,
        bursts: LongWorkCaller,
        service_changes_ms: tuple[int, ...] = (),
    ) -> None:
        self._deployment = deployment
        self._bursts = bursts
        idle_kind = ExecutorFaultKind.RESTART_IDLE
        # Steps of one fault that are due at the same time keep their order.
        steps = [
            step
            for fault in plan.faults
            if fault.kind is not idle_kind
            for step in deployment.steps(fault)
        ]
        steps += [
            Step(at_ms, deployment.change_service) for at_ms in service_changes_ms
        ]
        self._steps = sorted(steps, key=lambda step: step.at_ms)
        self._at_idle = [fault for fault in plan.faults if fault.kind is idle_kind]
        self._successions = [*successions.faults]
        self._roll_pauses_ms = successions.roll_pauses_ms
        self._active: list[TimedFault] = []
        # The succession of each machine that is under way.
        self._succeeding: dict[str, Succession] = {}

    def tick(self, began_ms: int, now_ms: int) -> None:
        """Apply what is due; times of the plan count from `began_ms`."""
        while self._steps and began_ms + self._steps[0].at_ms <= now_ms:
            self._steps.pop(0).apply()
        while self._at_idle and began_ms + self._at_idle[0].at_ms <= now_ms:
            self._begin_at_idle(self._at_idle.pop(0), now_ms)
        while self._successions and began_ms + self._successions[0].at_ms <= now_ms:
            fault = self._successions.pop(0)
            for target in fault.targets:
                self._begin(fault, self._deployment.executors[target], now_ms)
        if self._roll_pauses_ms and now_ms >= began_ms:
            entries, pauses_ms = self._deployment.entries, self._roll_pauses_ms
            self._active.append(RollingStop(entries, pauses_ms, now_ms))
            self._roll_pauses_ms = ()
        for active in self._active:
            active.tick(now_ms)
        self._active = [active for active in self._active if not active.is_over]

    def _begin_at_idle(self, fault: ExecutorFault, now_ms: int) -> None:
        hosts = self._deployment.executors
        self._active += [
            IdleRestart(host, fault, self._bursts.request_burst, now_ms)
            for host in choose_idle(hosts, fault.targets, fault.count, now_ms)
        ]

    def _begin(self, fault: SuccessionFault, host: ExecutorHost, now_ms: int) -> None:
        """Begin a fault unless the machine's next life is under way."""
        current = self._succeeding.get(host.machine)
        if current is not None and not current.is_over:
            return
        if fault.kind in (SuccessionKind.SUCCEED, SuccessionKind.CRASH):
            burst = self._bursts.request_burst
            current = Succession(host, fault, burst, now_ms)
            self._succeeding[host.machine] = current
            self._active.append(current)
        elif fault.kind is SuccessionKind.LIST_AT_START:
            burst = self._bursts.request_burst
            self._active.append(ListAtStart(host, fault, burst, now_ms))
        else:
            self._active.append(FalseEvidence(host, fault, now_ms))
