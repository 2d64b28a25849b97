"""The dispatch that sorts all waiting steps and searches all hosts each time.

It is the reference for the dispatcher that keeps both in order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.avoided_hosts import AvoidedHosts
from guavapin.scheduling.placement import has_required_label
from guavapin.scheduling.starter import Starter

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.pool_gate import PoolGate
    from guavapin.scheduling.queue_rules import QueueRules
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term
    from guavapin.scheduling.unresolved_executors import UnresolvedExecutors


class PlainDispatcher:
    """Same interface as `Dispatcher`; queues must not need advice."""

    def __init__(
        self, term: Term, hosts: HostTable, rules: QueueRules, gate: PoolGate
    ) -> None:
        self._term, self._hosts, self._rules = term, hosts, rules
        self._gate = gate
        self._starter = Starter(term, hosts, rules, gate)
        self._steps: set[StepRun] = set()
        self._avoided = AvoidedHosts(term, hosts)

    def add(self, step_run: StepRun) -> None:
        self._steps.add(step_run)

    def discard(self, step_run: StepRun) -> None:
        self._steps.discard(step_run)

    def is_held_up(
        self, step_run: StepRun, unresolved: UnresolvedExecutors | None = None
    ) -> bool:
        if unresolved is None:
            unresolved = self._hosts.unknown_runs.unresolved()
        job_run = step_run.job_run
        is_unresolved = unresolved.concern(self._rules.run_pools_of(job_run))
        is_inherited = job_run.is_inherited
        return is_inherited and is_unresolved and not step_run.step.allows_copies

    def dispatch(self) -> None:
        now_ms = self._term.now_ms
        self._starter.caps.begin_dispatch()
        unresolved = self._hosts.unknown_runs.unresolved()
        self._hosts.room.refresh(now_ms)
        self._avoided.permit_trials(self._waiting_for_a_host)
        for step_run in sorted(self._steps, key=self._rules.position):
            pool = self._rules.pool_of(step_run)
            if not step_run.waiting or self.is_held_up(step_run, unresolved):
                continue
            hosts = [
                host
                for host in self._hosts.by_id.values()
                if host.pool == pool and host.is_usable(now_ms)
            ]
            if step_run.step.is_gang:
                self._starter._start_gang(step_run, hosts)
            else:
                self._start_each(step_run, hosts)

    def _waiting_for_a_host(self, pool: str, only_long_running: bool) -> list[StepRun]:
        return [
            step_run
            for step_run in sorted(self._steps, key=self._rules.position)
            if step_run.waiting
            and (step_run.step.is_long_running or not only_long_running)
            and self._rules.pool_of(step_run) == pool
            and not self.is_held_up(step_run)
            and not self._starter.caps.is_held(step_run)
        ]

    def _start_each(self, step_run: StepRun, hosts: list[Host]) -> None:
        is_coupled = step_run.step.is_tightly_coupled
        rack = self._starter._rack_in_use(step_run) if is_coupled else ""
        for index in sorted(step_run.waiting):
            if step_run.not_before_ms.get(index, 0) > self._term.now_ms:
                continue
            if not self._starter.caps.may_start(step_run):
                return
            # A host on trial takes one subtask.
            usable = [host for host in hosts if host.is_usable(self._term.now_ms)]
            host = _choose_host(step_run, usable, rack)
            if host is None or not self._gate.may_start(step_run):
                return
            self._starter._start(step_run, index, host)
            if is_coupled:
                rack = rack or host.registration.rack


def _choose_host(step_run: StepRun, hosts: list[Host], rack: str) -> Host | None:
    step = step_run.step
    target_rack = rack or step.preferred_rack
    best, best_key = None, None
    for host in hosts:
        if not host.free.covers(step.reserved) or not has_required_label(step, host):
            continue
        count = step_run.count_runs_on(host.executor_id)
        if step.max_per_host and count >= step.max_per_host:
            continue
        is_other_rack = bool(target_rack) and host.registration.rack != target_rack
        sign = -1 if step.is_filler else 1
        key = (is_other_rack, sign * host.free.cpu_millis, host.executor_id)
        if best_key is None or key < best_key:
            best, best_key = host, key
    return best
