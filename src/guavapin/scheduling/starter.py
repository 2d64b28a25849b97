"""Starts the waiting subtasks of a step on hosts with enough free resources."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from guavapin.executors.model import Start
from guavapin.scheduling.cap_gate import CapGate
from guavapin.scheduling.placement import NO_PREFERENCE
from guavapin.scheduling.placement import choose_host
from guavapin.scheduling.placement import choose_hosts_for_gang
from guavapin.scheduling.room_index import PoolRoom
from guavapin.scheduling.run import Run
from guavapin.scheduling.run import RunPhase
from guavapin.scheduling.tickets import advice_request
from guavapin.scheduling.tickets import ticket

if TYPE_CHECKING:
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.placement import HostPreference
    from guavapin.scheduling.pool_gate import PoolGate
    from guavapin.scheduling.queue_rules import QueueRules
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term


log = logging.getLogger("guavapin.scheduling.starts")


class Starter:
    """Chooses the hosts for waiting subtasks and orders their start."""

    def __init__(
        self,
        term: Term,
        hosts: HostTable,
        rules: QueueRules,
        gate: PoolGate,
        preference: HostPreference = NO_PREFERENCE,
    ) -> None:
        self._gate = gate
        self._preference = preference
        self._term = term
        self._hosts = hosts
        self._rules = rules
        self.caps = CapGate(term, hosts)

    def start_waiting(self, step_run: StepRun, pool_room: PoolRoom) -> bool:
        """Start the waiting subtasks of a step on usable hosts of its pool.

        Return False if one of them fits on no host of the pool. The result is always
        True for a gang, and for a queue that needs advice, since then only the hosts
        with a ticket are searched. It is True too if the cap of the organisation holds
        the rest, or if the record of the job has to name the pool first.
        """
        now_ms = self._term.now_ms
        advice = self._rules.terms_of(step_run.job_run).advice
        room = pool_room
        if advice is not None:
            hosts = pool_room.hosts()
            request = advice_request(step_run, hosts, advice, now_ms)
            if request is not None:
                self._term.actions.append(request)
            room = PoolRoom(host for host in hosts if ticket(step_run, host, now_ms))
        if step_run.step.is_gang:
            for chosen in self._start_gang(step_run, room.hosts()):
                pool_room.update(chosen, now_ms)
            return True
        rack = self.rack_of(step_run)
        for index in sorted(step_run.waiting):
            if step_run.not_before_ms.get(index, 0) > now_ms:
                continue
            if not self.caps.may_start(step_run):
                return True
            host = choose_host(step_run, room, rack, self._preference)
            if host is None:
                return room is not pool_room
            if not self._gate.may_start(step_run):
                return True
            self._start(step_run, index, host)
            pool_room.update(host, now_ms)
            if room is not pool_room:
                room.update(host, now_ms)
            if step_run.step.is_tightly_coupled:
                rack = rack or host.registration.rack
        return True

    def preview(self, step_run: StepRun, pool_room: PoolRoom) -> list[Host]:
        """Return where one more subtask of a step would start now, or the gang.

        The list is empty if it would not start. Nothing is changed or requested.
        """
        now_ms = self._term.now_ms
        room = pool_room
        if self._rules.terms_of(step_run.job_run).advice is not None:
            hosts = pool_room.hosts()
            room = PoolRoom(host for host in hosts if ticket(step_run, host, now_ms))
        if step_run.step.is_gang:
            hosts = room.hosts()
            return choose_hosts_for_gang(step_run, hosts, self._preference) or []
        host = choose_host(step_run, room, self.rack_of(step_run), self._preference)
        return [] if host is None else [host]

    def rack_of(self, step_run: StepRun) -> str:
        """Return the rack that a tightly coupled step uses already, "" without one."""
        return self._rack_in_use(step_run) if step_run.step.is_tightly_coupled else ""

    def _start_gang(self, step_run: StepRun, hosts: list[Host]) -> list[Host]:
        """Start all members of a gang if they fit, and return their hosts."""
        if len(step_run.waiting) < step_run.step.count:
            return []
        if not self.caps.may_start(step_run, step_run.step.count):
            return []
        now_ms = self._term.now_ms
        hosts = [host for host in hosts if host.health.takes_gang(now_ms)]
        chosen = choose_hosts_for_gang(step_run, hosts, self._preference)
        if chosen is None or not self._gate.may_start(step_run):
            return []
        attempt = self._term.next_attempt(
            max(step_run.last_attempt.values(), default=0)
        )
        for index, host in enumerate(chosen):
            self._start(step_run, index, host, attempt)
        return chosen

    def _start(
        self, step_run: StepRun, index: int, host: Host, attempt: int = 0
    ) -> None:
        last = step_run.last_attempt.get(index, 0)
        attempt = attempt or self._term.next_attempt(last)
        run = Run(
            step_run.subtask(index),
            attempt,
            host.executor_id,
            step_run.step.reserved,
            RunPhase.STARTING,
            self._term.now_ms,
            step_run.job_run.job.organisation,
            step_run.step.need,
        )
        run.is_long_running = step_run.step.is_long_running
        run.is_filler = step_run.step.is_filler
        run.image = step_run.step.image
        step_run.add(index, run)
        job_run = step_run.job_run
        order = Start(
            subtask=run.subtask,
            attempt=attempt,
            spec=job_run.job.spec,
            saved=step_run.saved_value(index),
            # Set when the order is sent.
            until_ms=0,
            token=self._term.token,
            ticket=ticket(step_run, host, self._term.now_ms),
        )
        self._log_order(step_run, host, run)
        self._hosts.start(host, run, order)

    def _log_order(self, step_run: StepRun, host: Host, run: Run) -> None:
        """Log an order and, if it replaces a lost run, the evidence for the loss."""
        extra: dict[str, int | str] = {
            "job": run.subtask.job_id,
            "step": run.subtask.step,
            "index": run.subtask.index,
            "executor": host.executor_id,
            "born_ms": host.born_ms,
            "attempt": run.attempt,
        }
        lost = step_run.lost.get(run.subtask.index)
        if lost is not None:
            extra |= lost.describe(self._term.now_ms)
        log.info("run ordered", extra=extra)

    def _rack_in_use(self, step_run: StepRun) -> str:
        for runs in step_run.runs.values():
            for run in runs:
                host = self._hosts.by_id.get(run.executor_id)
                if host is not None:
                    return host.registration.rack
        return ""
