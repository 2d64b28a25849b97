"""What a stopping scheduler hands over: the runs of each host.

A successor that cannot reach a host does not know what runs there, and would have to
hold up all inherited jobs of its pool until the leases of its predecessor have ended.
With a stored record of them it holds up only the subtasks that may run on such a host.

Answers the load pattern of entry hosts that are restarted in turn while an availability
zone is cut off.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Resources
    from guavapin.jobs.model import Subtask
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.host_table import HostTable

HANDOVER_PREFIX = "handover/"
HANDOVER_KEY = f"{HANDOVER_PREFIX}runs"


@dataclass(frozen=True, slots=True)
class HandedRun:
    """One attempt of a subtask that may run on a host.

    `is_settled` is unset for a start that was not answered, and may arrive later. A run
    that is not `is_wanted` is to be stopped, or has ended.
    """

    subtask: Subtask
    attempt: int
    is_settled: bool = True
    is_wanted: bool = True


@dataclass(frozen=True, slots=True)
class HandedEntry:
    """What a successor needs of the entry of an executor that the registry has lost."""

    address: str
    pool: str
    zone: str
    capacity: Resources


@dataclass(frozen=True, slots=True)
class HandedHost:
    """All that may run on one incarnation of an executor.

    `is_listed` is set if the last list of machines named the executor. A later list
    without it shows that the executor has ended. `entry` is None without runs, and in
    the records of earlier builds.
    """

    executor_id: str
    born_ms: int
    runs: tuple[HandedRun, ...]
    is_listed: bool = False
    entry: HandedEntry | None = None


@dataclass(frozen=True, slots=True)
class RemovalStored:
    """Tag: the record of the predecessor is removed, so that no successor reads it."""


def collect_hosts(hosts: HostTable) -> tuple[HandedHost, ...]:
    """Return all hosts of a term whose runs are known.

    An end that is not stored counts as a run: the host lists it until it is confirmed,
    and its subtask must not start elsewhere before that. A start that was not sent is
    none.
    """
    return tuple(
        _collect(host, hosts.unknown_runs.is_listed(host))
        for host in hosts.by_id.values()
        if hosts.unknown_runs.are_runs_known(host)
    )


def _collect(host: Host, is_listed: bool) -> HandedHost:
    runs = tuple(
        HandedRun(run.subtask, run.attempt, run.is_settled, run.is_wanted)
        for run in host.runs.values()
        if run.key not in host.waiting_starts
    ) + tuple(
        HandedRun(subtask, attempt, is_wanted=False)
        for subtask, attempt in host.unstored_ends.values()
    )
    entry = None
    if runs:
        known = host.registration
        entry = HandedEntry(known.address, known.service, known.zone, known.capacity)
    return HandedHost(host.executor_id, host.born_ms, runs, is_listed, entry)
