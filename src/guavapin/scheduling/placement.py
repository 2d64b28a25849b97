"""Chooses the host on which a subtask starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Step
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import StepRun
    from guavapin.scheduling.room_index import PoolRoom


def has_required_label(step: Step, host: Host) -> bool:
    """Return whether a host has the label that a step requires, if any."""
    return not step.required_label or step.required_label in host.registration.labels


def choose_host(step_run: StepRun, room: PoolRoom, rack: str = "") -> Host | None:
    """Return the host for one more subtask of a step, None if it fits on none.

    `room` has usable hosts of the step's pool. Hosts in `rack`, that of the rest of a
    tightly coupled step, or in the rack of the step's data come first. Among them the
    host with the least free processor time that fits is chosen (best fit), so that
    whole hosts stay free and can leave the pool. For a filler, the host with the most
    free processor time is chosen.
    """
    step = step_run.step
    target_rack = rack or step.preferred_rack
    if target_rack:
        in_rack = [
            host for host in room.hosts_in_rack(target_rack) if _fits(step_run, host)
        ]
        if in_rack:
            sign = -1 if step.is_filler else 1
            return min(
                in_rack,
                key=lambda host: (sign * host.free.cpu_millis, host.executor_id),
            )
    if step.is_filler:
        hosts = room.most_free_first()
    else:
        hosts = room.least_free_first(step.reserved.cpu_millis)
    return next((host for host in hosts if _fits(step_run, host)), None)


def _fits(step_run: StepRun, host: Host) -> bool:
    """Return whether one more subtask of a step may start on a usable host."""
    step = step_run.step
    if not host.free.covers(step.reserved) or not has_required_label(step, host):
        return False
    bound = step.max_per_host
    return not bound or step_run.count_runs_on(host.executor_id) < bound


def choose_hosts_for_gang(
    step_run: StepRun, candidates: list[Host]
) -> list[Host] | None:
    """Return a host for each member of a gang, None if they do not all fit.

    A tightly coupled gang is placed in one rack if all members fit there, else across
    racks.
    """
    if step_run.step.is_tightly_coupled:
        racks = sorted({host.registration.rack for host in candidates})
        for rack in racks:
            chosen = _pack(
                step_run, [h for h in candidates if h.registration.rack == rack]
            )
            if chosen is not None:
                return chosen
    return _pack(step_run, candidates)


def _pack(step_run: StepRun, hosts: list[Host]) -> list[Host] | None:
    step = step_run.step
    chosen: list[Host] = []
    order = sorted(hosts, key=lambda host: (host.free.cpu_millis, host.executor_id))
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
