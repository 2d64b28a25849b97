"""Chooses the host on which a subtask starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.jobs.model import Step
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import StepRun


def has_required_label(step: Step, host: Host) -> bool:
    """Return whether a host has the label that a step requires, if any."""
    return not step.required_label or step.required_label in host.registration.labels


def choose_host(
    step_run: StepRun, hosts: Iterable[Host], rack: str = ""
) -> Host | None:
    """Return the host for one more subtask of a step, None if it fits on none.

    `hosts` must be usable hosts of the step's pool. Hosts in `rack`, that of the rest
    of a tightly coupled step, or in the rack of the step's data come first. Among them
    the host with the least free processor time that fits is chosen (best fit), so that
    whole hosts stay free and can leave the pool. For a filler, the host with the most
    free processor time is chosen.
    """
    step = step_run.step
    reserved = step.reserved
    target_rack = rack or step.preferred_rack
    max_per_host, label = step.max_per_host, step.required_label
    # Read once, since the loop goes through all hosts of a pool for each start.
    cpu_millis, memory_mb, gpus = reserved.cpu_millis, reserved.memory_mb, reserved.gpus
    best, best_key = None, None
    for host in hosts:
        free = host.free
        if free.cpu_millis < cpu_millis or free.memory_mb < memory_mb:
            continue
        if free.gpus < gpus or (label and not has_required_label(step, host)):
            continue
        if max_per_host and step_run.count_runs_on(host.executor_id) >= max_per_host:
            continue
        is_other_rack = bool(target_rack) and host.registration.rack != target_rack
        if step.is_filler:
            key = (is_other_rack, -free.cpu_millis, host.executor_id)
        else:
            key = (is_other_rack, free.cpu_millis, host.executor_id)
        if best_key is None or key < best_key:
            best, best_key = host, key
    return best


def choose_hosts_for_gang(
    step_run: StepRun, hosts: Iterable[Host]
) -> list[Host] | None:
    """Return a host for each member of a gang, None if they do not all fit.

    A tightly coupled gang is placed in one rack if all members fit there, else across
    racks.
    """
    candidates = list(hosts)
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
    for host in sorted(hosts, key=lambda host: host.free.cpu_millis):
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
