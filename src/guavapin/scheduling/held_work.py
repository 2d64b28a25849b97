"""Finds work that does not start although its pool has room, for logs and metrics.

Users are promised that a job, and each subtask of a long-running step, has a run again
within a few seconds if there is capacity for it twice over, unless its organisation
uses half of its cap. Nothing here changes what the scheduler does.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.scheduling.placement import find_exclusion
from guavapin.scheduling.shortage import Shortage
from guavapin.scheduling.where import held_up_reason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.jobs.model import Resources
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.step_run import StepRun

# Time without a run after which work counts as held, how often its need has to fit into
# its pool for that, and the share of the cap that its organisation may have in use.
# All three are the users' own figures.
HELD_MS = 3_000
ROOM_FACTOR = 2
CAP_SHARE = 0.5

CHECK_INTERVAL_MS = 1_000

# Looks at hosts in one check. A look takes a microsecond or two, and the check delays
# the starts of a pool that is full.
MAX_LOOKS = 5_000

# Lines that one check may log; the number of all held work is in each of them.
MAX_LINES = 4

log = logging.getLogger("guavapin.scheduling.held")


@dataclass(frozen=True, slots=True)
class WorkKey:
    """A subtask of a long-running step, or a whole job with step and index -1."""

    job_id: str
    occurrence: int = -1
    step: int = -1
    index: int = -1


class HeldWork:
    """Times since which work has no run although its pool has room for it.

    Only the scheduler calls it. The time starts anew whenever a condition does not
    hold, so that a short lack of room is not counted.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._since_ms: dict[WorkKey, int] = {}
        self._logged: set[WorkKey] = set()
        self._next_check_ms = 0

    @property
    def held(self) -> frozenset[WorkKey]:
        """Return the work that has been held for `HELD_MS` or longer."""
        return frozenset(self._logged)

    def check(self, now_ms: int) -> None:
        """Update the times, and log the work that is held for too long or no more."""
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        waiting = self._find_waiting()
        for key in [key for key in self._since_ms if key not in waiting]:
            since_ms = self._since_ms.pop(key)
            if key in self._logged:
                self._logged.discard(key)
                extra = {**asdict(key), "state": "ends", "for_ms": now_ms - since_ms}
                log.info("work held up", extra=extra)
        late = []
        for key, step_run in waiting.items():
            since_ms = self._since_ms.setdefault(key, now_ms)
            if now_ms - since_ms >= HELD_MS and key not in self._logged:
                late.append((key, step_run))
        self._logged.update(key for key, _ in late)
        for key, step_run in late[:MAX_LINES]:
            self._log(key, step_run, now_ms)

    def _find_waiting(self) -> dict[WorkKey, StepRun]:
        """Return the work without a wanted run that has room, by key.

        Work that is not searched because of `MAX_LOOKS` stays as it was.
        """
        found: dict[WorkKey, StepRun] = {}
        search = _RoomSearch(self._hosts_by_pool())
        for step_run in self._scheduler.steps:
            keys = [*_keys_without_runs(step_run)]
            if not keys or self._uses_half_of_cap(step_run):
                continue
            has_room = search.has_room(step_run, self._pool_of(step_run))
            for key in keys:
                if has_room or (has_room is None and key in self._since_ms):
                    found[key] = step_run
        return found

    def _pool_of(self, step_run: StepRun) -> str:
        return self._scheduler.pool_of(step_run.job_run)

    def _hosts_by_pool(self) -> dict[str, list[Host]]:
        """Return the hosts that answer and stay, those with the most room first.

        They count whatever else keeps work from them.
        """
        by_pool: dict[str, list[Host]] = {}
        for host in self._scheduler.hosts.by_id.values():
            is_up = host.is_registered and host.has_answered and host.is_answering
            if is_up and not host.registration.is_draining:
                by_pool.setdefault(host.pool, []).append(host)
        for hosts in by_pool.values():
            hosts.sort(key=lambda host: -host.free.cpu_millis)
        return by_pool

    def _uses_half_of_cap(self, step_run: StepRun) -> bool:
        name = step_run.job_run.job.organisation
        organisation = self._scheduler.term.table.organisation(name) if name else None
        if organisation is None:
            return False
        used, cap = self._scheduler.hosts.usage.used(name), organisation.cap
        return any(
            limit and amount >= CAP_SHARE * limit
            for amount, limit in (
                (used.cpu_millis, cap.cpu_millis),
                (used.memory_mb, cap.memory_mb),
                (used.gpus, cap.gpus),
            )
        )

    def _log(self, key: WorkKey, step_run: StepRun, now_ms: int) -> None:
        pool = self._pool_of(step_run)
        states: Counter[str] = Counter()
        for host in self._hosts_by_pool().get(pool, ()):
            exclusion = find_exclusion(step_run, host)
            state = "room" if exclusion is None else f"no {exclusion.value}"
            states[f"{state}, {host.describe(now_ms)}"] += 1
        organisation = step_run.job_run.job.organisation
        usage = self._scheduler.hosts.usage
        phases = [run.phase.value for runs in step_run.runs.values() for run in runs]
        extra = {
            **asdict(key),
            "state": "begins",
            "since_ms": now_ms - self._since_ms[key],
            "reason": held_up_reason(self._scheduler, step_run) or "no host is chosen",
            "pool": pool,
            "hosts": dict(sorted(states.items())),
            "waiting": len(step_run.waiting),
            "runs": dict(Counter(phases)),
            "organisation": organisation,
            "running_cpu": usage.used(organisation).cpu_millis,
            "possible_cpu": usage.possible(organisation).cpu_millis,
            "possible_mb": usage.possible(organisation).memory_mb,
            "is_inherited": step_run.job_run.is_inherited,
            "held_in_all": len(self._logged),
        }
        log.warning("work held up", extra=extra)


class _RoomSearch:
    """Searches for hosts with room twice over, within `MAX_LOOKS` in all."""

    def __init__(self, hosts_by_pool: dict[str, list[Host]]) -> None:
        self._hosts_by_pool = hosts_by_pool
        self._looks = 0
        self._with_room: set[tuple[str, Resources]] = set()
        self._shortage = Shortage()

    def has_room(self, step_run: StepRun, pool: str) -> bool | None:
        """Return whether a pool could run one more subtask, or a gang, twice over.

        The result is None if it was not searched.
        """
        step = step_run.step
        need = pool, step.reserved
        is_restricted = step.required_label or step.max_per_host or step.is_gang
        if not is_restricted and need in self._with_room:
            return True
        if self._shortage.applies(pool, step):
            return False
        needed = ROOM_FACTOR * (step.count if step.is_gang else 1)
        for host in self._hosts_by_pool.get(pool, ()):
            if host.free.cpu_millis < step.reserved.cpu_millis:
                break
            if self._looks >= MAX_LOOKS:
                return None
            self._looks += 1
            if find_exclusion(step_run, host) is None:
                needed -= _fitting(step_run, host)
                if needed <= 0:
                    self._with_room.add(need)
                    return True
        self._shortage.record(pool, step)
        return False


def _keys_without_runs(step_run: StepRun) -> Iterator[WorkKey]:
    """Yield the work of an open step that has nothing running and is not done."""
    job_run = step_run.job_run
    job_id = job_run.job.job_id
    if step_run.step.is_long_running:
        for index in range(step_run.step.count):
            if not step_run.wanted_runs(index):
                yield WorkKey(job_id, *step_run.key, index)
    elif step_run.waiting and not job_run.has_wanted_runs:
        yield WorkKey(job_id)


def _fitting(step_run: StepRun, host: Host) -> int:
    """Return how many more subtasks of a step a host with room may run, at most 2."""
    step, free = step_run.step, host.free.minus(step_run.step.reserved)
    bound = step.max_per_host
    if bound and step_run.count_runs_on(host.executor_id) + 1 >= bound:
        return 1
    return 2 if free.covers(step.reserved) else 1
