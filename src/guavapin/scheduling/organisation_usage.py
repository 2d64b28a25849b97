"""What each organisation has running over all hosts, and whether its cap allows more.

Answers the load pattern of one organisation that asks for more than it may have. After
a takeover, work that a predecessor started may run on hosts that have not answered yet.
The sums include an upper bound of this work.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from guavapin.jobs.model import Resources
from guavapin.jobs.model import Subtask

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.jobs.organisations import Organisation
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.run import RunKey

NOTHING = Resources()

# Most runs of a subtask at one time: a copy starts only beside a single run, and a
# long-running subtask starts again once its run is lost or being stopped.
MAX_RUNS_WITH_COPIES = 2


class OrganisationUsage:
    """Resources of the runs of each organisation; only the table of hosts changes it.

    A run counts from its start order until its end is known. It thus also counts while
    its start is not answered, and while it is being stopped. A run whose need is not
    known (`Run.is_need_known` unset) counts as the whole capacity of its host; runs of
    a job that has ended count at most for what its record says that may still run.
    `unseen_capacity` is that of the hosts whose runs are not known yet, None if it is
    not known either.
    """

    def __init__(self) -> None:
        self.unseen_capacity: Resources | None = NOTHING
        # Needs of the known runs of all organisations.
        self.total = NOTHING
        self._used: dict[str, Resources] = {}
        # The same by pool, and by pool and organisation.
        self._pool_totals: dict[str, Resources] = {}
        self._pool_used: dict[tuple[str, str], Resources] = {}
        self._pool_by_run: dict[tuple[str, RunKey], str] = {}
        self._counts: Counter[str] = Counter()
        # Organisation, "" if it is not known either, and capacity of the host of each
        # run whose need is not known.
        self._unknown_runs: dict[tuple[str, RunKey], tuple[str, Resources]] = {}
        # What may still run of jobs that ended before this term, by job.
        self._ended_needs: dict[str, Resources] = {}
        # Inherited subtasks with runs that are not known to have ended or to run: their
        # organisation, their need and the most such runs. Beside them the sum of these
        # needs and of ended jobs' runs.
        self._unseen: dict[Subtask, tuple[str, Resources, int]] = {}
        self._unseen_needs: dict[str, Resources] = {}

    def add(self, run: Run, capacity: Resources, pool: str = "") -> None:
        """Count a run on a host of a pool with this capacity."""
        if not run.is_need_known and (run.organisation or not run.is_owner_known):
            key = (run.executor_id, run.key)
            self._unknown_runs[key] = (run.organisation, capacity)
        if run.organisation:
            used = self._used.get(run.organisation, NOTHING)
            self._used[run.organisation] = used.plus(run.need)
            self.total = self.total.plus(run.need)
            self._counts[run.organisation] += 1
            self._add_to_pool(run, pool)
            self.mark_seen(run.subtask)

    def remove(self, run: Run) -> None:
        """Count a run no more."""
        if not run.is_need_known:
            self._unknown_runs.pop((run.executor_id, run.key), None)
        if run.organisation:
            self._remove_from_pool(run)
            self.total = self.total.minus(run.need)
            self._counts[run.organisation] -= 1
            if self._counts[run.organisation]:
                used = self._used[run.organisation].minus(run.need)
                self._used[run.organisation] = used
            else:
                del self._counts[run.organisation], self._used[run.organisation]

    def inherit(self, job_run: JobRun) -> None:
        """Count what a predecessor may have started of an open job.

        The members of a gang are all done once one of them is, so they count in any
        case. A copy may go on beside a run that is done.
        """
        job = job_run.job
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.steps):
                step_run = job_run.steps.get((occurrence, number))
                done = step_run.done if step_run and not step.is_gang else ()
                has_copies = step.allows_copies or step.is_long_running
                max_runs = MAX_RUNS_WITH_COPIES if has_copies else 1
                for index in range(step.count):
                    runs = max_runs - (index in done)
                    if runs:
                        subtask = Subtask(job.job_id, occurrence, number, index)
                        self._unseen[subtask] = (job.organisation, step.need, runs)
                    for _ in range(runs):
                        self._add_unseen_need(job.organisation, step.need)

    def inherit_ended(self, job_id: str, organisation: str, running: Resources) -> None:
        """Count what may still run of a job that ended under a predecessor."""
        if organisation and running != NOTHING:
            self._ended_needs[job_id] = running
            self._add_unseen_need(organisation, running)

    def mark_seen(self, subtask: Subtask) -> None:
        """Record that one run of an inherited subtask has ended, or is known."""
        row = self._unseen.pop(subtask, None)
        if row is not None:
            organisation, need, runs = row
            if runs > 1:
                self._unseen[subtask] = (organisation, need, runs - 1)
            left = self._unseen_needs[organisation].minus(need)
            self._unseen_needs[organisation] = left
            if left == NOTHING:
                del self._unseen_needs[organisation]

    def forget_unseen(self) -> None:
        """Drop the work of predecessors; nothing of it runs on an unknown host."""
        self.unseen_capacity = NOTHING
        self._unseen.clear()
        self._unseen_needs.clear()

    @property
    def has_unseen(self) -> bool:
        """Whether work of a predecessor may run that is not known here."""
        return bool(self._unseen_needs)

    def used(self, organisation: str) -> Resources:
        """Return the needs of the known runs of an organisation."""
        return self._used.get(organisation, NOTHING)

    def used_in_pool(self, pool: str, organisation: str) -> Resources:
        """Return the needs of the known runs of an organisation in a pool."""
        return self._pool_used.get((pool, organisation), NOTHING)

    def total_in_pool(self, pool: str) -> Resources:
        """Return the needs of the known runs of all organisations in a pool."""
        return self._pool_totals.get(pool, NOTHING)

    def run_count(self, organisation: str) -> int:
        """Return the number of known runs of an organisation."""
        return self._counts[organisation]

    def possible(self, organisation: str) -> Resources:
        """Return the most that an organisation may have running."""
        used = self._used.get(organisation, NOTHING)
        if self._unknown_runs:
            used = used.plus(self._unknown_run_capacity(organisation))
        if organisation in self._unseen_needs and self.unseen_capacity != NOTHING:
            used = used.plus(self._unseen_bound(organisation))
        return used

    def allows(self, organisation: Organisation, need: Resources, count: int) -> bool:
        """Return whether `count` more subtasks stay within an organisation's cap.

        A single subtask larger than the cap may run alone (section 3.4 of
        docs/organisations-and-load.md).
        """
        possible, cap = self.possible(organisation.name), organisation.cap
        if count == 1 and possible == NOTHING and not self._counts[organisation.name]:
            return True
        return (
            _is_within(possible.cpu_millis, need.cpu_millis * count, cap.cpu_millis)
            and _is_within(possible.memory_mb, need.memory_mb * count, cap.memory_mb)
            and _is_within(possible.gpus, need.gpus * count, cap.gpus)
        )

    def cpu_room(self, organisation: Organisation) -> float:
        """Return the most processor time with which a subtask may start."""
        possible, cap_millis = (
            self.possible(organisation.name),
            organisation.cap.cpu_millis,
        )
        is_idle = possible == NOTHING and not self._counts[organisation.name]
        return (
            math.inf if is_idle or not cap_millis else cap_millis - possible.cpu_millis
        )

    def _add_to_pool(self, run: Run, pool: str) -> None:
        self._pool_by_run[run.executor_id, run.key] = pool
        self._pool_totals[pool] = self.total_in_pool(pool).plus(run.need)
        used = self.used_in_pool(pool, run.organisation).plus(run.need)
        self._pool_used[pool, run.organisation] = used

    def _remove_from_pool(self, run: Run) -> None:
        pool = self._pool_by_run.pop((run.executor_id, run.key), None)
        if pool is None:
            return
        self._pool_totals[pool] = self.total_in_pool(pool).minus(run.need)
        used = self.used_in_pool(pool, run.organisation).minus(run.need)
        self._pool_used[pool, run.organisation] = used
        if used == NOTHING:
            del self._pool_used[pool, run.organisation]

    def _add_unseen_need(self, organisation: str, need: Resources) -> None:
        needs = self._unseen_needs.get(organisation, NOTHING)
        self._unseen_needs[organisation] = needs.plus(need)

    def _unknown_run_capacity(self, organisation: str) -> Resources:
        """Return the bound of the runs whose need is not known, by their jobs.

        The run of a job without a known organisation may belong to any of them.
        """
        hosts_by_job: dict[str, dict[str, Resources]] = {}
        for (executor_id, key), (owner, capacity) in self._unknown_runs.items():
            if owner in ("", organisation):
                hosts = hosts_by_job.setdefault(key[0].job_id, {})
                hosts[executor_id] = capacity
        total = NOTHING
        for job_id, hosts in hosts_by_job.items():
            bound = _sum(hosts.values())
            needs = self._ended_needs.get(job_id)
            total = total.plus(bound if needs is None else _least(bound, needs))
        all_hosts: dict[str, Resources] = {}
        for hosts in hosts_by_job.values():
            all_hosts.update(hosts)
        return _least(total, _sum(all_hosts.values()))

    def _unseen_bound(self, organisation: str) -> Resources:
        """Return the bound of what runs of an organisation on unknown hosts."""
        needs, capacity = self._unseen_needs[organisation], self.unseen_capacity
        if capacity is None:
            return needs
        return _least(needs, capacity)


def _sum(amounts: Iterable[Resources]) -> Resources:
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def _least(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_millis, other.cpu_millis),
        min(one.memory_mb, other.memory_mb),
        min(one.gpus, other.gpus),
    )


def _is_within(used: int, need: int, cap: int) -> bool:
    return not cap or used + need <= cap
