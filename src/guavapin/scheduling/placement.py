"""Chooses the host on which a subtask starts."""

from __future__ import annotations

from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.jobs.model import Step
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.room_index import PoolRoom
    from guavapin.scheduling.step_run import StepRun


# Hosts with room among which a preference chooses. A start must not go through all
# hosts of a pool, and the hosts after these leave more processor time unused.
MAX_PREFERRED_FROM = 8

# Hosts after the first one with room that are searched for these.
MAX_SEARCHED = 32


class Exclusion(Enum):
    """Reason for which a usable host does not get one more subtask of a step."""

    ROOM = "room"
    LABEL = "label"
    SPREAD = "spread"


class HostPreference(Protocol):
    """Prefers some of the hosts that have room for a step."""

    def is_concerned(self, step_run: StepRun) -> bool:
        """Return whether the step may have a penalty on any host."""
        ...

    def penalty(self, step_run: StepRun, host: Host) -> float:
        """Return the disadvantage of a host for the step, 0 for none."""
        ...


class _NoPreference:
    def is_concerned(self, step_run: StepRun) -> bool:
        return False

    def penalty(self, step_run: StepRun, host: Host) -> float:
        return 0.0


NO_PREFERENCE: HostPreference = _NoPreference()


def has_required_label(step: Step, host: Host) -> bool:
    """Return whether a host has the label that a step requires, if any."""
    return not step.required_label or step.required_label in host.registration.labels


def choose_host(
    step_run: StepRun,
    room: PoolRoom,
    rack: str = "",
    preference: HostPreference = NO_PREFERENCE,
) -> Host | None:
    """Return the host for one more subtask of a step, None if it fits on none.

    `room` has usable hosts of the step's pool. Hosts in `rack`, that of the rest of a
    tightly coupled step, or in the rack of the step's data come first. Among them the
    host with the least free processor time that fits is chosen (best fit), so that
    whole hosts stay free and can leave the pool. For a filler, the host with the most
    free processor time is chosen. Of the first hosts in this order, the one with the
    lowest penalty is chosen; the penalty neither excludes a host nor changes the rack.
    """
    step = step_run.step
    target_rack = rack or step.preferred_rack
    if target_rack:
        in_rack = [
            host for host in room.hosts_in_rack(target_rack) if _fits(step_run, host)
        ]
        if in_rack:
            sign = -1 if step.is_filler else 1
            in_rack.sort(
                key=lambda host: (sign * host.free.cpu_millis, host.executor_id)
            )
            return _preferred(step_run, iter(in_rack), preference)
    if step.is_filler:
        hosts = room.most_free_first()
    else:
        hosts = room.least_free_first(step.reserved.cpu_millis)
    if step.is_tightly_coupled:
        # The first host decides the rack of the step.
        return next((host for host in hosts if _fits(step_run, host)), None)
    return _preferred(step_run, hosts, preference)


def _preferred(
    step_run: StepRun, hosts: Iterator[Host], preference: HostPreference
) -> Host | None:
    """Return the host with the lowest penalty, the first of those with the same."""
    first = next((host for host in hosts if _fits(step_run, host)), None)
    if first is None or not preference.is_concerned(step_run):
        return first
    best, lowest, fitting = first, preference.penalty(step_run, first), 1
    for host in islice(hosts, MAX_SEARCHED):
        if not lowest or fitting == MAX_PREFERRED_FROM:
            break
        if not _fits(step_run, host):
            continue
        fitting += 1
        penalty = preference.penalty(step_run, host)
        if penalty < lowest:
            best, lowest = host, penalty
    return best


def find_exclusion(step_run: StepRun, host: Host) -> Exclusion | None:
    """Return why one more subtask of a step may not start on a usable host, if so."""
    step = step_run.step
    if not host.free.covers(step.reserved):
        return Exclusion.ROOM
    if not has_required_label(step, host):
        return Exclusion.LABEL
    bound = step.max_per_host
    if bound and step_run.count_runs_on(host.executor_id) >= bound:
        return Exclusion.SPREAD
    return None


def _fits(step_run: StepRun, host: Host) -> bool:
    return find_exclusion(step_run, host) is None


def choose_hosts_for_gang(
    step_run: StepRun,
    candidates: list[Host],
    preference: HostPreference = NO_PREFERENCE,
) -> list[Host] | None:
    """Return a host for each member of a gang, None if they do not all fit.

    Hosts with a lower penalty are filled first. A tightly coupled gang is placed in one
    rack if all members fit there, else across racks.
    """
    if step_run.step.is_tightly_coupled:
        racks = sorted({host.registration.rack for host in candidates})
        for rack in racks:
            chosen = _pack(
                step_run,
                [h for h in candidates if h.registration.rack == rack],
                preference,
            )
            if chosen is not None:
                return chosen
    return _pack(step_run, candidates, preference)


def _pack(
    step_run: StepRun, hosts: list[Host], preference: HostPreference
) -> list[Host] | None:
    step = step_run.step
    chosen: list[Host] = []
    order = sorted(hosts, key=lambda host: (host.free.cpu_millis, host.executor_id))
    if preference.is_concerned(step_run):
        order.sort(key=lambda host: preference.penalty(step_run, host))
    for host in order:
        if not has_required_label(step, host):
            continue
        free, count = host.free, 0
        while len(chosen) < step.count and free.covers(step.reserved):
            if step.max_per_host and count >= step.max_per_host:
                break
            free = free.minus(step.reserved)
            count += 1
            chosen.append(host)
    return chosen if len(chosen) == step.count else None
