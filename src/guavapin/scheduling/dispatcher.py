"""Decides which waiting subtasks start now, and in which order.

Answers the load pattern of a turn that asks for more than its pool holds: thousands of
steps wait, and each end of a run makes room for one of them.
"""

from __future__ import annotations

import sys
from itertools import islice
from typing import TYPE_CHECKING

from guavapin.scheduling.avoided_hosts import AvoidedHosts
from guavapin.scheduling.organisation_share import OrganisationShares
from guavapin.scheduling.placement import NO_PREFERENCE
from guavapin.scheduling.shortage import Shortage
from guavapin.scheduling.starter import Starter
from guavapin.scheduling.waiting_steps import WaitingSteps

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.placement import HostPreference
    from guavapin.scheduling.pool_gate import PoolGate
    from guavapin.scheduling.queue_rules import QueueRules
    from guavapin.scheduling.room_index import PoolRoom
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term
    from guavapin.scheduling.unresolved_executors import UnresolvedExecutors


# Steps of a pool that are searched for one that only an avoided host can take.
MAX_SEARCHED_STEPS = 500


class Dispatcher:
    """Starts waiting subtasks, pool by pool, as far as they fit on a host."""

    def __init__(
        self,
        term: Term,
        hosts: HostTable,
        rules: QueueRules,
        gate: PoolGate,
        preference: HostPreference = NO_PREFERENCE,
    ) -> None:
        self._term = term
        self._hosts = hosts
        self._rules = rules
        self._gate = gate
        self.starter = Starter(term, hosts, rules, gate, preference)
        self._caps = self.starter.caps
        self.shares = OrganisationShares(
            term, hosts.usage, lambda: hosts.by_id.values()
        )
        self._waiting = WaitingSteps(rules)
        self._avoided = AvoidedHosts(term, hosts)
        self._table = term.table

    def add(self, step_run: StepRun) -> None:
        """Start the waiting subtasks of a step from the next dispatch on."""
        if step_run.waiting:
            self._waiting.add(step_run)

    def discard(self, step_run: StepRun) -> None:
        """Start no more subtasks of a step."""
        self._waiting.discard(step_run)

    @property
    def held_organisations(self) -> frozenset[str]:
        """Return the organisations whose cap holds steps at present."""
        return self._caps.held

    def waiting_in(self, pool: str) -> Iterator[StepRun]:
        """Return the waiting steps of a pool in order, also those that do not fit."""
        candidates = self._waiting.candidates(
            pool, lambda: sys.maxsize, over_share=self.shares.over_share
        )
        return (step_run for _, step_run in candidates)

    def dispatch(self) -> None:
        """Start the waiting subtasks that fit on a host, in order of position."""
        self._caps.end_holds()
        self._hosts.room.refresh(self._term.now_ms)
        if self._table is not self._term.table:
            self._table = self._term.table
            self._waiting.sort_again()
        self._waiting.mark_late(self._term.now_ms)
        self._caps.begin_dispatch()
        self._avoided.permit_trials(self._waiting_for_a_host)
        if not len(self._waiting):
            return
        self._hosts.room.refresh(self._term.now_ms)
        if self._term.table.organisations:
            self.shares.begin_dispatch()
        unresolved = self._gate.unresolved()
        for pool in self._waiting.pools():
            room = self._hosts.room.pool(pool)
            if len(room):
                self._dispatch_pool(pool, room, unresolved)

    def _waiting_for_a_host(
        self, pool: str, only_long_running: bool
    ) -> Iterator[StepRun]:
        """Return the first steps of a pool that only wait for a host, in order."""
        unresolved = self._gate.unresolved()
        steps: Iterator[StepRun] = iter(self._waiting.long_running_in(pool))
        if not only_long_running:
            self._caps.begin_pool()
            candidates = self._waiting.candidates(
                pool, lambda: sys.maxsize, self._caps.passes_over
            )
            steps = (row for _, row in islice(candidates, MAX_SEARCHED_STEPS))
        for step_run in steps:
            is_held_up = self._gate.is_held_up(step_run, unresolved)
            if not is_held_up and not self._caps.is_held(step_run):
                yield step_run

    def _dispatch_pool(
        self, pool: str, room: PoolRoom, unresolved: UnresolvedExecutors
    ) -> None:
        if self._term.table.organisations:
            self.shares.begin_pool(pool, self._waiting.organisations(pool))
        self._caps.begin_pool()
        shortage = Shortage()
        started = []
        for need_class, step_run in self._waiting.candidates(
            pool,
            lambda: room.max_free_cpu,
            self._caps.passes_over,
            self.shares.over_share,
            self._caps.skips_ahead,
        ):
            step = step_run.step
            if self._gate.is_held_up(step_run, unresolved):
                continue
            if step.reserved.cpu_millis > room.max_free_cpu and self._rules.needs_room(
                step_run
            ):
                continue
            if shortage.applies(pool, step):
                continue
            if not self.starter.start_waiting(step_run, room):
                shortage.record(pool, step)
            if not step_run.waiting:
                started.append(step_run)
            elif need_class.organisation:
                self._caps.count_refusal(need_class, step_run)
        for step_run in started:
            self._waiting.discard(step_run)
