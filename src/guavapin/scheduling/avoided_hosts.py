"""Permits trials on avoided hosts while work has no other host.

Answers the load pattern of failures on all hosts of a pool, or on all that are not in
use: each host is avoided for up to 8 s after its signs, and work that fits nowhere else
would wait although the hosts may be sound again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.placement import find_exclusion
from guavapin.scheduling.shortage import Shortage

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

# Time for which work may have no host but avoided ones before one of these is tried.
# Users are promised that such work has a run again within 3 s.
MAX_WAIT_MS = 2_000

# Interval of the checks, each of which permits one trial in a pool.
CHECK_INTERVAL_MS = 250


class AvoidedHosts:
    """Times since which work of a pool has no host but avoided ones.

    Long-running subtasks count at any time. Jobs count while less than half of the
    pool is in use: in a full pool they wait for their turn, and trials on hosts that
    fail would make more of them late.
    """

    def __init__(self, term: Term, hosts: HostTable) -> None:
        self._term = term
        self._hosts = hosts
        self._since_ms: dict[str, int] = {}
        self._next_check_ms = 0

    def permit_trials(
        self, waiting_in: Callable[[str, bool], Iterable[StepRun]]
    ) -> None:
        """Permit a trial in each pool whose work has waited for too long.

        `waiting_in` returns the steps of a pool that only wait for a host in order, or
        the long-running ones among them.
        """
        now_ms = self._term.now_ms
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        avoided: dict[str, list[Host]] = {}
        for host in self._hosts.room.set_aside_hosts():
            # A trial that runs tells first whether the host works.
            if host.is_avoided(now_ms) and not host.health.is_trial_running:
                avoided.setdefault(host.pool, []).append(host)
        since_ms, self._since_ms = self._since_ms, {}
        for pool, hosts in avoided.items():
            hosts.sort(key=lambda host: (host.set_aside_until_ms, host.executor_id))
            steps = waiting_in(pool, not self._is_half_free(pool))
            found = self._find_host(pool, hosts, steps)
            if found is None:
                continue
            self._since_ms[pool] = since_ms.get(pool, now_ms)
            if now_ms - self._since_ms[pool] >= MAX_WAIT_MS:
                found.permit_trial(now_ms)

    def _find_host(
        self, pool: str, hosts: list[Host], steps: Iterable[StepRun]
    ) -> Host | None:
        """Return the first host with room for a step that has nothing running."""
        shortage = Shortage()
        for step_run in steps:
            step = step_run.step
            if step.is_gang or shortage.applies(pool, step):
                continue
            if not self._has_nothing_running(step_run):
                continue
            for host in hosts:
                if find_exclusion(step_run, host) is None:
                    return host
            shortage.record(pool, step)
        return None

    def _has_nothing_running(self, step_run: StepRun) -> bool:
        """Return whether a subtask may start, and nothing runs that counts for it."""
        if not step_run.step.is_long_running and step_run.job_run.has_wanted_runs:
            return False
        now_ms = self._term.now_ms
        return any(
            step_run.not_before_ms.get(index, 0) <= now_ms
            and not step_run.wanted_runs(index)
            for index in step_run.waiting
        )

    def _is_half_free(self, pool: str) -> bool:
        """Return whether less than half of the processor time of a pool is in use."""
        used = capacity = 0
        for host in self._hosts.by_id.values():
            if host.pool == pool and host.has_answered and host.is_answering:
                used += host.used.cpu_millis
                capacity += host.registration.capacity.cpu_millis
        return 2 * used < capacity
